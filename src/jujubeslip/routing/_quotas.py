"""The keeper of an account's limits: shares them out by recent demand, if it must."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import LimitShare, LimitUsage

# Below this part of a limit no host has a share of its own.
FREE_BELOW = 0.8
# This part of a limit is given out evenly, so that a host whose clients come anew
# is not refused everything until its next report.
EVEN_PART = 0.1
# A host's report counts for this long, in seconds.
REPORT_LIFETIME = 3.0


class QuotaKeeper:
    """Sums up what the hosts report of each limit and answers with their shares."""

    def __init__(self, clock: Callable[[], float] = steady_seconds) -> None:
        self._clock = clock
        self._reports: dict[tuple[str, str], dict[str, tuple[float, float]]] = {}
        self._lock = threading.Lock()

    def report(
        self, host_id: str, usages: Iterable[LimitUsage], host_count: int
    ) -> list[LimitShare]:
        """Take a host's report and return its shares."""
        with self._lock:
            return [self._share(host_id, usage, host_count) for usage in usages]

    def _share(self, host_id: str, usage: LimitUsage, host_count: int) -> LimitShare:
        now = self._clock()
        key = (usage.client, usage.kind)
        kept_by_host = {
            host: (until, demand)
            for host, (until, demand) in self._reports.get(key, {}).items()
            if until > now
        }
        kept_by_host[host_id] = (now + REPORT_LIFETIME, usage.demand)
        self._reports[key] = kept_by_host
        total = sum(demand for _, demand in kept_by_host.values())
        if total < FREE_BELOW * usage.limit:
            return LimitShare(usage.client, usage.kind, False, usage.limit)
        even = EVEN_PART / max(host_count, len(kept_by_host))
        by_demand = (1 - EVEN_PART) * usage.demand / total
        rate = usage.limit * (even + by_demand)
        return LimitShare(usage.client, usage.kind, True, rate)
