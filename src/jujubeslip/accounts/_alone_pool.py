"""What hosts that find no leader may spend together; knows no clock or thread.

The load that it answers: a leader is being elected, or a zone is cut off from it, and
each host has a fraction of a stream to spend. Together at one control host that they
all reach, the parts are whole streams, for whichever host a client asks.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from jujubeslip.accounts._bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit

# How long a host must have been alone before its even part of the rate counts, in
# seconds: the leader misses it by then, and keeps that part back. And for how long it
# counts: shorter than the leader keeps it back for a host that it doesn't hear.
MISSED_SECONDS = 3.5
RATE_SECONDS = 300.0
# A host that has not joined again for this long is counted no more, in seconds: it
# joins several times as often, and lends its part to no other pool for a whole window.
JOINED_SECONDS = 2.0
# A host that joins again after a longer pause than this has not been alone all the
# while, in seconds: it joins several times as often.
RESUMED_SECONDS = 1.0


@dataclass
class _Joined:
    since: float
    latest: float


@dataclass(frozen=True)
class _Spent:
    at: float
    cost: float


class AlonePool:
    """The parts of the hosts that have joined, and what was spent of them.

    What runs in any window is at most what the parts add up to: each host's part is in
    one pool at a time, and what was spent stays spent for a window. Hosts that have
    been alone for longer bring their even part of the limit's rate, too.
    """

    def __init__(self, bounds: LimitBounds) -> None:
        self._bounds = bounds
        self._joined_by_host: dict[str, _Joined] = {}
        self._spent_by_name: dict[str, deque[_Spent]] = {}

    def join(self, host_id: str, now: float) -> None:
        """Take a host's parts of all accounts' margins in."""
        self._forget_gone(now)
        joined = self._joined_by_host.setdefault(host_id, _Joined(now, now))
        if joined.latest < now - RESUMED_SECONDS:
            # It had a leader meanwhile, which gave out the whole rate.
            joined.since = now
        joined.latest = now

    def charge(
        self, name: str, limit: RateLimit, cost: float, hosts: int, now: float
    ) -> bool:
        """Charge a request, if the parts allow it; `hosts` is how many share them."""
        spent = self._spent_by_name.setdefault(name, deque())
        while spent and spent[0].at < now - self._bounds.window_seconds:
            spent.popleft()
        self._forget_gone(now)
        parts = len(self._joined_by_host) * self._bounds.alone(limit, hosts)
        rates = limit.per_second / max(1, hosts) * self._seconds_of_rate(now)
        if sum(item.cost for item in spent) + cost > parts + rates:
            return False
        spent.append(_Spent(now, cost))
        return True

    def forget(self, name: str) -> None:
        """Drop what was spent of a limit."""
        self._spent_by_name.pop(name, None)

    def _seconds_of_rate(self, now: float) -> float:
        """Return for how long hosts' parts of the rate count in this window, summed."""
        window = self._bounds.window_seconds
        seconds = 0.0
        for joined in self._joined_by_host.values():
            alone_for = now - joined.since
            if alone_for < RATE_SECONDS:
                seconds += min(window, max(0.0, alone_for - MISSED_SECONDS))
        return seconds

    def _forget_gone(self, now: float) -> None:
        oldest = now - JOINED_SECONDS
        for host_id, joined in list(self._joined_by_host.items()):
            if joined.latest < oldest:
                del self._joined_by_host[host_id]
