"""Failures, pauses, answer times and open requests of endpoints at this host."""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass, replace

from jujubeslip.forwarding._answer_times import AnswerTimes, MeasuredCall
from jujubeslip.forwarding._shared_answer_times import SharedAnswerTimes
from jujubeslip.forwarding._slow_log import SlowLog
from jujubeslip.kernel import Deadline, steady_seconds

logger = logging.getLogger(__name__)

# How long an unreachable endpoint is skipped, in seconds; doubled with each further
# failure in a row. An endpoint that restarts at once is used again soon, and one that
# is down costs a connect timeout only rarely.
FIRST_PAUSE_SECONDS = 0.5
MAXIMUM_PAUSE_SECONDS = 8.0
# Weight of the latest answer in the failure share, which covers about the last ten.
FAILURE_WEIGHT = 0.1
# Half-life of the failure share while no answers arrive, in seconds: about the time of
# ten answers at an endpoint to which one host sends two requests a second. Without the
# decay, an endpoint that failed once would get no requests that could show its
# recovery.
FAILURE_HALF_LIFE_SECONDS = 5.0


@dataclass(frozen=True)
class _Health:
    failures_in_a_row: int = 0
    paused_until: Deadline = Deadline(float("-inf"))
    failure_share: float = 0.0
    answered_at: float = float("-inf")
    """When the share was recorded."""
    open_requests: int = 0
    is_replaced: bool = False
    """Whether another endpoint has answered at its address."""


class EndpointHealth:
    """Open requests, failures and pauses by endpoint start; thread-safe.

    The health of one start says nothing about the next start under the same endpoint
    id: skipped for failures of the earlier one, a new start would get no requests for
    seconds, or for an hour.
    """

    def __init__(self) -> None:
        self._health_by_start: dict[str, _Health] = {}
        self._lock = threading.Lock()
        self.answer_times = AnswerTimes()
        self.shared_times = SharedAnswerTimes(self.answer_times)
        self.slow_log = SlowLog()

    def open_requests(self, start_id: str) -> int:
        """Return how many requests of this host the endpoint works on."""
        return self._get(start_id).open_requests

    def failure_share(self, start_id: str) -> float:
        """Return the recent share of failed requests, 0 to 1."""
        return _decayed_failure_share(self._get(start_id), steady_seconds())

    def is_paused(self, start_id: str) -> bool:
        """Return whether the endpoint is skipped for now."""
        health = self._get(start_id)
        return health.is_replaced or not health.paused_until.expired

    def is_replaced(self, start_id: str) -> bool:
        """Return whether another endpoint has answered at its address in its place."""
        return self._get(start_id).is_replaced

    def track_request(self, start_id: str) -> AbstractContextManager[MeasuredCall]:
        """Return a context that counts one more open request, and measures its time."""
        return self._track_request(start_id)

    @contextmanager
    def _track_request(self, start_id: str) -> Iterator[MeasuredCall]:
        self._add_open(start_id, 1)
        try:
            with self.answer_times.measure(start_id) as call:
                yield call
        finally:
            self._add_open(start_id, -1)

    def note_success(self, start_id: str) -> None:
        """Record a whole answer."""
        self._note(start_id, failed=False)

    def note_failure(self, start_id: str) -> None:
        """Record an answer that failed or was incomplete."""
        self.answer_times.note_failure(start_id)
        self._note(start_id, failed=True)

    def note_unreachable(self, start_id: str, reason: str = "") -> None:
        """Skip the endpoint for a while, longer after each failure in a row.

        Failures while it is skipped belong to requests that were sent before: if they
        counted, a dozen at the same moment would cause the maximum pause.
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
            "reason": reason,
        }
        logger.info("endpoint skipped", extra=extra)

    def forget_failures(self) -> None:
        """Forget failures, pauses and times, whose cause was not the endpoints."""
        self.answer_times.forget()
        with self._lock:
            for start_id, health in self._health_by_start.items():
                self._health_by_start[start_id] = replace(
                    health,
                    failures_in_a_row=0,
                    paused_until=Deadline(float("-inf")),
                    failure_share=0.0,
                )

    def note_replaced(self, start_id: str) -> None:
        """Never use this start again, since another one answers at its address."""
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
            share = _decayed_failure_share(health, now)
            share += FAILURE_WEIGHT * ((1.0 if failed else 0.0) - share)
            self._health_by_start[start_id] = replace(
                health,
                failure_share=share,
                answered_at=now,
                failures_in_a_row=health.failures_in_a_row if failed else 0,
            )


def _decayed_failure_share(health: _Health, now: float) -> float:
    """Return the failure share, decayed to this time."""
    age = now - health.answered_at
    return float(health.failure_share * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS))
