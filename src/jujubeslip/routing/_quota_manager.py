"""Division of account limits among hosts by their recent demand."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import LimitShare, LimitUsage

# Demand below this share of a limit leaves each host the whole limit.
SHARING_THRESHOLD = 0.8
# This share of a limit is divided evenly, so that a host with new clients does not have
# to refuse all their requests until its next report.
EVEN_SHARE = 0.1
# How long a host's report is valid, in seconds.
REPORT_LIFETIME_SECONDS = 3.0


class QuotaManager:
    """Sums up the reported demand for each limit and returns the hosts' shares."""

    def __init__(self, clock: Callable[[], float] = steady_seconds) -> None:
        self._clock = clock
        self._reports: dict[tuple[str, str], dict[str, tuple[float, float]]] = {}
        self._lock = threading.Lock()

    def report(
        self, host_id: str, usages: Iterable[LimitUsage], host_count: int
    ) -> list[LimitShare]:
        """Record a host's report and return its shares."""
        with self._lock:
            return [self._share(host_id, usage, host_count) for usage in usages]

    def _share(self, host_id: str, usage: LimitUsage, host_count: int) -> LimitShare:
        now = self._clock()
        key = (usage.client, usage.kind)
        report_by_host = {
            host: (until, demand)
            for host, (until, demand) in self._reports.get(key, {}).items()
            if until > now
        }
        report_by_host[host_id] = (now + REPORT_LIFETIME_SECONDS, usage.demand)
        self._reports[key] = report_by_host
        total = sum(demand for _, demand in report_by_host.values())
        if total < SHARING_THRESHOLD * usage.limit:
            return LimitShare(usage.client, usage.kind, False, usage.limit)
        even = EVEN_SHARE / max(host_count, len(report_by_host))
        by_demand = (1 - EVEN_SHARE) * usage.demand / total
        rate = usage.limit * (even + by_demand)
        return LimitShare(usage.client, usage.kind, True, rate)
