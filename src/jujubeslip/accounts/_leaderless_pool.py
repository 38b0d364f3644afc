"""The pooled limits of hosts without a leader.

While a leader is being elected, or a zone is partitioned from it, each host may spend
a share of a limit. One share is less than the cost of a streamed request, so hosts add
their shares at one control host that they all reach. The sum is enough for streamed
requests, whichever host a client calls. The pool has no clock and no lock; callers pass
the time and synchronize access.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from jujubeslip.accounts._limit_bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit

# How long a host must have been without a leader before its equal share of the rate
# counts, in seconds. By then the leader, whose WATCHER_TIMEOUT_SECONDS is shorter,
# counts the host as partitioned and withholds that share. The share counts until
# RATE_DURATION_SECONDS, which is shorter than ENTRY_HOST_RETENTION_SECONDS, after which
# the leader no longer withholds it.
RATE_DELAY_SECONDS = 3.5
RATE_DURATION_SECONDS = 300.0
# A host that has not joined again for this long no longer counts, in seconds. Hosts
# join several times as often, and add their share to another pool only once a whole
# window has passed.
JOIN_LIFETIME_SECONDS = 2.0
# A host that joins again after a longer pause than this had a leader in between, in
# seconds: hosts without one join several times as often.
REJOIN_SECONDS = 1.0


@dataclass
class _Member:
    leaderless_since: float
    last_join_at: float


@dataclass(frozen=True)
class _Spent:
    spent_at: float
    cost: float


class LeaderlessPool:
    """The shares of the hosts that have joined, and the cost charged to them.

    The cost admitted in any window is at most the sum of the shares: each host's share
    is in one pool at a time, and a charge counts for a whole window. Hosts that have
    been without a leader for longer also add their equal share of the limit's rate.
    """

    def __init__(self, bounds: LimitBounds) -> None:
        self._bounds = bounds
        self._member_by_host: dict[str, _Member] = {}
        self._spent_by_name: dict[str, deque[_Spent]] = {}

    def join(self, host_id: str, now: float) -> None:
        """Add a host's leaderless shares of all limits to the pool, or renew them."""
        self._remove_expired(now)
        member = self._member_by_host.setdefault(host_id, _Member(now, now))
        if member.last_join_at < now - REJOIN_SECONDS:
            # It had a leader in between, which granted the whole rate.
            member.leaderless_since = now
        member.last_join_at = now

    def charge(
        self, name: str, limit: RateLimit, cost: float, hosts: int, now: float
    ) -> bool:
        """Charge a request if the pooled shares allow it; return whether they do.

        `hosts` is the number of hosts among which the limit's rate, its overage and the
        leaderless share of its slack are divided.
        """
        spent = self._spent_by_name.setdefault(name, deque())
        while spent and spent[0].spent_at < now - self._bounds.window_seconds:
            spent.popleft()
        self._remove_expired(now)
        shares = len(self._member_by_host) * self._bounds.leaderless_share(limit, hosts)
        rate_shares = limit.per_second / max(1, hosts) * self._rate_seconds(now)
        if sum(item.cost for item in spent) + cost > shares + rate_shares:
            return False
        spent.append(_Spent(now, cost))
        return True

    def forget(self, name: str) -> None:
        """Remove the charges to a limit."""
        self._spent_by_name.pop(name, None)

    def _rate_seconds(self, now: float) -> float:
        """Return the sum of the seconds for which hosts' rates count in this window."""
        window = self._bounds.window_seconds
        seconds = 0.0
        for member in self._member_by_host.values():
            leaderless_seconds = now - member.leaderless_since
            if leaderless_seconds < RATE_DURATION_SECONDS:
                seconds += min(
                    window, max(0.0, leaderless_seconds - RATE_DELAY_SECONDS)
                )
        return seconds

    def _remove_expired(self, now: float) -> None:
        oldest = now - JOIN_LIFETIME_SECONDS
        for host_id, member in list(self._member_by_host.items()):
            if member.last_join_at < oldest:
                del self._member_by_host[host_id]
