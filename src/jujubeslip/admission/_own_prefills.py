"""The prompts that a decode engine prefills itself; uses no clock.

Its answers pause during each of these prefills. Two prefills with no event of the
answers between them are one pause.
"""

from __future__ import annotations

import math

# Time that a full engine takes for one event, in seconds. A gap between two events is
# longer than the pause that causes it by this time.
EVENT_SECONDS = 0.08
# Weight of the prompts before the latest one in the moving average of the speed.
KEPT_SHARE = 0.8
# A prefill that took less than this share of the expected time, or more than this many
# times as long, was not observed completely and does not count.
MINIMUM_TIME_FACTOR, MAXIMUM_TIME_FACTOR = 0.5, 4.0


class OwnPrefills:
    """The pauses and the speed of one engine's own prefills, in seconds and tokens."""

    def __init__(self) -> None:
        self._began_at = -math.inf
        self._ended_at = -math.inf
        self._pause_seconds = 0.0
        self._tokens = 0.0
        self._seconds = 0.0

    def begin(self, now: float) -> None:
        """Note that a prefill begins."""
        self._pause_seconds = self.pause_seconds(now)
        self._began_at = now

    def end(self, now: float) -> None:
        """Note that the answers continue."""
        self._pause_seconds += max(0.0, now - self._began_at)
        self._began_at = now
        self._ended_at = now

    def measure(self, tokens: int, now: float) -> None:
        """Record the speed of the prefill that is complete now."""
        seconds = now - self._began_at
        if self._seconds:
            expected = tokens * self._seconds / self._tokens
            if not (
                MINIMUM_TIME_FACTOR * expected
                <= seconds
                <= MAXIMUM_TIME_FACTOR * expected
            ):
                return
        if seconds > 0:
            self._tokens = KEPT_SHARE * self._tokens + tokens
            self._seconds = KEPT_SHARE * self._seconds + seconds

    def pause_seconds(self, now: float) -> float:
        """Return for how long the answers have paused since their latest event."""
        return self._pause_seconds if now - self._ended_at < EVENT_SECONDS else 0.0

    def seconds_since(self, now: float) -> float:
        """Return how long ago the latest prefill ended; infinite if there was none."""
        return now - self._ended_at

    def tokens_per_second(self, assumed: float) -> float:
        """Return the measured speed, `assumed` before the first measurement."""
        return self._tokens / self._seconds if self._seconds else assumed
