"""How much of a pool's decode slots is asked for, by priority."""

from __future__ import annotations

import math

from jujubeslip.kernel import steady_seconds

# The time over which demand is averaged, in seconds.
WINDOW_SECONDS = 5.0
PRIORITIES = 3


class Demand:
    """Slot seconds asked for lately, as a sum that decays over the window.

    In the first seconds it is too low, so that a pool begins optimistic.
    """

    def __init__(self) -> None:
        self._noted_at = steady_seconds()
        self._seconds_by_priority = [0.0] * PRIORITIES

    def note(self, priority: int, hold_seconds: float) -> None:
        """Count a request that arrives now and would hold a slot for so long."""
        self._decay()
        self._seconds_by_priority[min(priority, PRIORITIES - 1)] += hold_seconds

    def share_up_to(self, priority: int, slots: int) -> float:
        """Return the share of all slots that this priority and higher ones ask for."""
        self._decay()
        if slots <= 0 or priority < 0:
            return 0.0
        asked = sum(self._seconds_by_priority[: priority + 1])
        return asked / (WINDOW_SECONDS * slots)

    def _decay(self) -> None:
        now = steady_seconds()
        factor = math.exp((self._noted_at - now) / WINDOW_SECONDS)
        self._seconds_by_priority = [
            seconds * factor for seconds in self._seconds_by_priority
        ]
        self._noted_at = now
