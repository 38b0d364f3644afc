"""What other entry hosts have seen of endpoints, and what this host tells them.

Control hosts combine the reports of the entry hosts that they hear. The median over
the control hosts that this host hears counts, so that one of them changes nothing.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from jujubeslip.discovery import MAXIMUM_LISTED, AnswerReport, SlowEndpoint
from jujubeslip.forwarding._answer_times import AnswerTimes, RecentAnswers
from jujubeslip.kernel import steady_seconds

# How long the list of a control host counts, in seconds. It replies each second.
LIST_SECONDS = 2.5
# Answers, and failures among them, from which on this host reports a start.
REPORTED_ANSWERS = 2
REPORTED_FAILURES = 2


class SharedAnswerTimes:
    """The lists of slow endpoints of all control hosts; thread-safe."""

    def __init__(
        self, times: AnswerTimes, clock: Callable[[], float] = steady_seconds
    ) -> None:
        self._times = times
        self._clock = clock
        self._list_by_address: dict[str, tuple[float, dict[str, SlowEndpoint]]] = {}
        self._lock = threading.Lock()

    def apply(self, address: str, listed: Sequence[SlowEndpoint]) -> None:
        """Replace the list of one control host."""
        by_start = {item.start_id: item for item in listed[:MAXIMUM_LISTED]}
        with self._lock:
            now = self._clock()
            self._list_by_address = {
                key: kept
                for key, kept in self._list_by_address.items()
                if kept[0] >= now - LIST_SECONDS
            }
            self._list_by_address[address] = (now, by_start)

    def expected_seconds(self, start_id: str) -> float:
        """Return the answer time of the start, 0 unless it is listed as slow."""
        return self._median(start_id, lambda item: item.seconds)

    def failure_share(self, start_id: str) -> float:
        """Return the share of failed answers of the start, 0 unless it is listed."""
        return self._median(start_id, lambda item: item.failure_share)

    def reports(self) -> list[AnswerReport]:
        """Return what this host tells of starts that look slow or failing."""
        listed = self._listed_starts()
        reports = []
        for recent in self._times.recent():
            report = AnswerReport(
                recent.start_id,
                recent.seconds,
                self._times.usual_times_of_start(recent.start_id).slow_from,
                recent.answers,
                recent.failures,
            )
            if recent.start_id in listed or _is_conspicuous(recent, report):
                reports.append(report)
        reports.sort(key=lambda item: (-item.failures, -item.seconds))
        return reports[:MAXIMUM_LISTED]

    def _listed_starts(self) -> set[str]:
        with self._lock:
            lists = [by_start for _, by_start in self._list_by_address.values()]
        return {start_id for by_start in lists for start_id in by_start}

    def _median(self, start_id: str, value: Callable[[SlowEndpoint], float]) -> float:
        with self._lock:
            if not self._list_by_address:
                return 0.0
            oldest = self._clock() - LIST_SECONDS
            values = sorted(
                value(by_start[start_id]) if start_id in by_start else 0.0
                for heard_at, by_start in self._list_by_address.values()
                if heard_at >= oldest
            )
        return values[(len(values) - 1) // 2] if values else 0.0


def _is_conspicuous(recent: RecentAnswers, report: AnswerReport) -> bool:
    if recent.failures >= REPORTED_FAILURES:
        return True
    return recent.answers >= REPORTED_ANSWERS and report.is_slow
