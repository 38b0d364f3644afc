"""The prompts that a decode engine prefills itself; uses no clock.

Its answers pause during each of these prefills. Two prefills with no event of the
answers between them are one pause.
"""

from __future__ import annotations

import math

from jujubeslip.admission._prefill_queue import INITIAL_TOKENS_PER_SECOND
from jujubeslip.admission._prefill_speed import PrefillSpeed

# Prefill speed of a decode engine, as a share of the speed of a prefill engine, as
# engines are specified.
DECODE_ENGINE_SPEED_SHARE = 0.5
# Time constant of the moving average of the speed, in seconds of prefill.
SPEED_SECONDS = 1.0
# Time that a full engine takes for one event, in seconds. A gap between two events is
# longer than the pause that causes it by this time.
EVENT_SECONDS = 0.08


class OwnPrefills:
    """The pauses and the speed of one engine's own prefills, in seconds and tokens."""

    def __init__(self) -> None:
        self._began_at = -math.inf
        self._ended_at = -math.inf
        self._pause_seconds = 0.0
        self._speed = PrefillSpeed(
            INITIAL_TOKENS_PER_SECOND * DECODE_ENGINE_SPEED_SHARE, SPEED_SECONDS
        )

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
        self._speed.measure(tokens, now - self._began_at, True, now)

    def pause_seconds(self, now: float) -> float:
        """Return for how long the answers have paused since their latest event."""
        return self._pause_seconds if now - self._ended_at < EVENT_SECONDS else 0.0

    def seconds_since(self, now: float) -> float:
        """Return how long ago the latest prefill ended; infinite if there was none."""
        return now - self._ended_at

    def tokens_per_second(self, prefill_speed: float) -> float:
        """Return its speed; by that of a prefill engine until it has been measured."""
        if self._speed.measured_at is None:
            return prefill_speed * DECODE_ENGINE_SPEED_SHARE
        return self._speed.tokens_per_second
