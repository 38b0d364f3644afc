"""What a request takes of engines in either role; knows no clock, thread or engine.

The load that this answers: engines start in some proportion of the two roles, and a
burst comes seconds after the first requests, while a change of role takes seven. How
full engines get shows the right proportion only once answers have run for seconds; what
requests say of themselves shows it with the first dozen.
"""

from __future__ import annotations

from collections import deque

from jujubeslip.admission._models import EngineNeed

# Requests whose mean is taken for the usual one: of eight, it is off by a fifth.
MINIMUM_REQUESTS = 8
# Latest requests that count.
MAXIMUM_REQUESTS = 50


class RequestNeeds:
    """The needs of the latest requests."""

    def __init__(self) -> None:
        self._latest: deque[EngineNeed] = deque(maxlen=MAXIMUM_REQUESTS)

    def note(self, need: EngineNeed) -> None:
        """Note what a request is expected to take."""
        self._latest.append(need)

    @property
    def mean(self) -> EngineNeed | None:
        """Return what a request takes in the mean, None before enough have come."""
        count = len(self._latest)
        if count < MINIMUM_REQUESTS:
            return None
        return EngineNeed(
            sum(need.reading_seconds for need in self._latest) / count,
            sum(need.answering_seconds for need in self._latest) / count,
        )
