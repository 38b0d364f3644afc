"""Demand for the decode slots of a pool, by priority."""

from __future__ import annotations

import math

from jujubeslip.kernel import steady_seconds

# The time over which demand is averaged, in seconds.
WINDOW_SECONDS = 5.0
PRIORITIES = 3


class Demand:
    """Recently requested slot seconds, as a sum that decays over the window.

    The sum is too low in the first seconds, so a new pool underestimates its demand.
    """

    def __init__(self) -> None:
        self._updated_at = steady_seconds()
        self._seconds_by_priority = [0.0] * PRIORITIES

    def add(self, priority: int, hold_seconds: float) -> None:
        """Count an arriving request that would hold a slot for `hold_seconds`."""
        self._decay()
        self._seconds_by_priority[min(priority, PRIORITIES - 1)] += hold_seconds

    def share_up_to(self, priority: int, slots: int) -> float:
        """Return the share of `slots` requested at this priority and higher ones."""
        self._decay()
        if slots <= 0 or priority < 0:
            return 0.0
        demanded_seconds = sum(self._seconds_by_priority[: priority + 1])
        return demanded_seconds / (WINDOW_SECONDS * slots)

    def _decay(self) -> None:
        now = steady_seconds()
        factor = math.exp((self._updated_at - now) / WINDOW_SECONDS)
        self._seconds_by_priority = [
            seconds * factor for seconds in self._seconds_by_priority
        ]
        self._updated_at = now
