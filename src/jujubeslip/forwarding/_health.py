"""What this host has seen of each endpoint lately."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass, replace

from jujubeslip.kernel import Deadline, steady_seconds

logger = logging.getLogger(__name__)

# How long an endpoint that can't be reached is passed over, in seconds; doubled with
# each further failure in a row. One that restarts at once is found again soon, and
# one that is dead costs a connect timeout only now and then.
FIRST_PAUSE_SECONDS = 0.5
MAXIMUM_PAUSE_SECONDS = 8.0
# How much the latest answer counts for the share of failures: about the last ten do.
FAILURE_WEIGHT = 0.1
# In which the share counts half as much, without further answers, in seconds: about as
# long as ten answers take at an endpoint that one host sends two requests a second.
# Else an endpoint that failed once is given nothing that could show it to be sound.
FAILURE_HALF_LIFE_SECONDS = 5.0


@dataclass(frozen=True)
class _Health:
    failures_in_a_row: int = 0
    paused_until: Deadline = Deadline(float("-inf"))
    failure_share: float = 0.0
    answered_at: float = float("-inf")
    """When the share was noted."""
    open_requests: int = 0
    is_replaced: bool = False
    """Whether another endpoint has answered at its address."""


class EndpointHealth:
    """Open requests, failures and pauses by start; may be used by threads.

    What was seen of one start says nothing of the next one under its id: passed over
    for the one before, a new start would get nothing for seconds, or for an hour.
    """

    def __init__(self) -> None:
        self._health_by_start: dict[str, _Health] = {}
        self._lock = threading.Lock()

    def open_requests(self, start_id: str) -> int:
        """Return how many requests of this host the endpoint works on."""
        return self._get(start_id).open_requests

    def failure_share(self, start_id: str) -> float:
        """Return the share of requests that failed there lately, 0 to 1."""
        return _faded_share(self._get(start_id), steady_seconds())

    def is_paused(self, start_id: str) -> bool:
        """Say whether the endpoint is passed over for now."""
        health = self._get(start_id)
        return health.is_replaced or not health.paused_until.expired

    def is_replaced(self, start_id: str) -> bool:
        """Say whether another endpoint has answered at its address: it is gone."""
        return self._get(start_id).is_replaced

    def working(self, start_id: str) -> AbstractContextManager[None]:
        """Return a context in which the endpoint works on one more request."""
        return self._working(start_id)

    @contextmanager
    def _working(self, start_id: str) -> Iterator[None]:
        self._add_open(start_id, 1)
        try:
            yield
        finally:
            self._add_open(start_id, -1)

    def note_success(self, start_id: str) -> None:
        """Note a whole answer."""
        self._note(start_id, failed=False)

    def note_failure(self, start_id: str) -> None:
        """Note an answer that failed or did not come whole."""
        self._note(start_id, failed=True)

    def note_unreachable(self, start_id: str) -> None:
        """Pass the endpoint over for a while, longer after each time in a row.

        Failures while it is passed over are of requests that were on their way before:
        counted, a dozen of them at one moment would keep it out for the longest time.
        """
        with self._lock:
            health = self._get(start_id)
            if not health.paused_until.expired:
                return
            failures = health.failures_in_a_row + 1
            pause = min(
                FIRST_PAUSE_SECONDS * 2 ** (failures - 1), MAXIMUM_PAUSE_SECONDS
            )
            self._health_by_start[start_id] = replace(
                health,
                failures_in_a_row=failures,
                paused_until=Deadline.after(pause),
            )
        extra = {
            "start_id": start_id,
            "seconds": pause,
            "failures_in_a_row": failures,
        }
        logger.info("endpoint passed over", extra=extra)

    def note_replaced(self, start_id: str) -> None:
        """Never use this start again: another one answers at its address."""
        with self._lock:
            self._health_by_start[start_id] = replace(
                self._get(start_id), is_replaced=True
            )
        extra = {"start_id": start_id}
        logger.info("another endpoint answers at its address", extra=extra)

    def _get(self, start_id: str) -> _Health:
        return self._health_by_start.get(start_id, _Health())

    def _add_open(self, start_id: str, change: int) -> None:
        with self._lock:
            health = self._get(start_id)
            self._health_by_start[start_id] = replace(
                health, open_requests=health.open_requests + change
            )

    def _note(self, start_id: str, failed: bool) -> None:
        with self._lock:
            health = self._get(start_id)
            now = steady_seconds()
            share = _faded_share(health, now)
            share += FAILURE_WEIGHT * ((1.0 if failed else 0.0) - share)
            self._health_by_start[start_id] = replace(
                health,
                failure_share=share,
                answered_at=now,
                failures_in_a_row=health.failures_in_a_row if failed else 0,
            )


def _faded_share(health: _Health, now: float) -> float:
    """Return what the share of failures counts at this instant."""
    age = now - health.answered_at
    return float(health.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))
