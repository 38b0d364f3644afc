"""A token bucket whose rate can change."""

from __future__ import annotations

from collections.abc import Callable

# A bucket holds this many seconds of its rate, so that bursts are admitted.
BURST_SECONDS = 2.0


class TokenBucket:
    """A rate with a burst; `take` returns 0 or the seconds to wait."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._level: float | None = None
        self._filled_at = clock()

    def take(self, amount: float, rate: float) -> float:
        """Take the amount and return 0, or return the seconds until it is available.

        After a decrease of the rate, the level is reduced to the new burst.
        """
        now = self._clock()
        capacity = max(1.0, rate * BURST_SECONDS)
        level = capacity if self._level is None else self._level
        level = min(capacity, level + (now - self._filled_at) * rate)
        self._filled_at = now
        needed = min(amount, capacity)
        if level < needed:
            self._level = level
            return (needed - level) / rate
        self._level = level - amount
        return 0.0
