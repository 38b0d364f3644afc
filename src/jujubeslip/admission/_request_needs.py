"""The mean need of a request in each role; uses no clock, thread or engine.

Engines start in some proportion of the two roles. A burst may follow seconds after the
first requests, while a change of role takes seven seconds. The memory use of engines
shows the right proportion only after answers have run for seconds; the parameters of
the requests show it after the first dozen.
"""

from __future__ import annotations

from collections import deque

from jujubeslip.admission._models import EngineNeed

# Minimum number of requests for a mean. With eight, its error is about a fifth.
MINIMUM_REQUESTS = 8
# Number of latest requests that are averaged.
MAXIMUM_REQUESTS = 50


class RequestNeeds:
    """The needs of the latest requests and their mean."""

    def __init__(self) -> None:
        self._latest: deque[EngineNeed] = deque(maxlen=MAXIMUM_REQUESTS)

    def note(self, need: EngineNeed) -> None:
        """Note the expected need of a request."""
        self._latest.append(need)

    @property
    def mean(self) -> EngineNeed | None:
        """Return the mean need, None before enough requests have arrived."""
        count = len(self._latest)
        if count < MINIMUM_REQUESTS:
            return None
        return EngineNeed(
            sum(need.prefill_seconds for need in self._latest) / count,
            sum(need.decode_seconds for need in self._latest) / count,
        )
