"""The endpoint starts that the entry hosts which this control host hears find slow."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from jujubeslip.discovery import AnswerReport, SlowEndpoint, slow_endpoints
from jujubeslip.kernel import steady_seconds

# How long the report of an entry host counts, in seconds: it asks about once a second.
REPORT_SECONDS = 2.0
# Shortest interval between two combinations of the reports, in seconds, so that their
# cost doesn't grow with the square of the number of hosts.
COMBINE_SECONDS = 0.25


class SlowList:
    """Combines the reports of entry hosts; thread-safe.

    Nothing is kept of hosts that report nothing.
    """

    def __init__(self, clock: Callable[[], float] = steady_seconds) -> None:
        self._clock = clock
        self._report_by_watcher: dict[str, tuple[float, tuple[AnswerReport, ...]]] = {}
        self._combined_at = float("-inf")
        self._listed: tuple[SlowEndpoint, ...] = ()
        self._lock = threading.Lock()

    def record(self, watcher_id: str, reports: Sequence[AnswerReport]) -> None:
        """Replace the report of one entry host."""
        with self._lock:
            if reports:
                entry = (self._clock(), tuple(reports))
                self._report_by_watcher[watcher_id] = entry
            else:
                self._report_by_watcher.pop(watcher_id, None)

    def listed(self) -> tuple[SlowEndpoint, ...]:
        """Return the starts that are slow or failing by the latest reports."""
        with self._lock:
            now = self._clock()
            if now >= self._combined_at + COMBINE_SECONDS:
                self._combine(now)
            return self._listed

    def _combine(self, now: float) -> None:
        self._combined_at = now
        self._report_by_watcher = {
            watcher_id: (reported_at, reports)
            for watcher_id, (reported_at, reports) in self._report_by_watcher.items()
            if reported_at >= now - REPORT_SECONDS
        }
        self._listed = slow_endpoints(
            reports for _, reports in self._report_by_watcher.values()
        )
