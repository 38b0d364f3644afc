"""The pooled limits of hosts without a leader.

It answers bursts of requests while a leader is being elected, the control hosts are
split, or a zone is partitioned from the leader. Each host may spend a share of a limit
by itself, which is less than the cost of a streamed request, so hosts add their shares
at one control host that they all reach. The sum is enough for streamed requests,
whichever host a client calls. The pool has no clock and no lock; callers pass the time
and synchronize access.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.accounts._limit_bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit
from jujubeslip.accounts._pool_members import Loan, PoolMembers, Spans

# Share of a pool that is kept for requests of the highest priority.
RESERVED_SHARE = 0.25
# For how long the seconds for which the members' rates count are reused, in seconds:
# hundreds of requests a second are charged, and each would look at all members.
RATE_REUSE_SECONDS = 0.02


@dataclass(frozen=True)
class PoolAnswer:
    """The pool's decision about a request."""

    may_run: bool
    left: float
    """What the pool allows of the limit after this decision."""
    wait: float = 0.0
    """Seconds until enough may be free if it may not run, infinite if unknown."""


@dataclass(frozen=True)
class _Spent:
    spent_at: float
    cost: float


@dataclass(frozen=True)
class _RateSeconds:
    window_began_at: float
    """Begin of the window in which the seconds were counted."""
    counted_at: float
    seconds: float
    per_second: float
    """By how much the seconds grow with each second, as far as is known."""


def _never() -> Spans:
    return ()


class LeaderlessPool:
    """The shares of the hosts that have joined, and the cost charged to them.

    The cost admitted in any window is at most the sum of the shares: each host's share
    is in one pool at a time, and a charge counts for a whole window. Hosts also add
    their equal share of the limit's rate for times in which no leader grants it.
    """

    def __init__(
        self,
        bounds: LimitBounds,
        leaderless_spans: Callable[[], Spans] = _never,
        began_at: float = -math.inf,
    ) -> None:
        self._bounds = bounds
        self._began_at = began_at
        self._members = PoolMembers(bounds.window_seconds)
        self._leaderless_spans = leaderless_spans
        self._rate_seconds: _RateSeconds | None = None
        self._spent_by_name: dict[str, deque[_Spent]] = {}

    def join(
        self, host_id: str, now: float, loan: Loan | None = None, hosts: int = 1
    ) -> None:
        """Add a host's leaderless shares of all limits to the pool, or renew them.

        `hosts` is the number of hosts that this one knows. Without a loan, the host
        reports nothing about when its shares were lent.
        """
        self._members.join(host_id, now, loan, hosts)

    def charge(
        self,
        name: str,
        limit: RateLimit,
        cost: float,
        hosts: int,
        now: float,
        priority: int = 0,
    ) -> PoolAnswer:
        """Charge a request if the pooled shares allow it.

        `hosts` is the number of hosts among which the limit's rate, its overage and the
        leaderless share of its slack are divided. Of what the pool allows, a part is
        kept for requests of priority 0, the highest.
        """
        hosts = max(hosts, self._members.most_known_hosts(now))
        rate = self._count_rate_seconds(now)
        spent = self._spent_since(name, rate.window_began_at)
        shares = self._lent_bases(now) * self._bounds.leaderless_share(limit, hosts)
        rate_share = limit.per_second / hosts
        allowed = shares + rate_share * rate.seconds
        used = sum(item.cost for item in spent)
        kept = RESERVED_SHARE * allowed if priority > 0 else 0.0
        missing = used + cost + kept - allowed
        if missing <= 0:
            spent.append(_Spent(now, cost))
            return PoolAnswer(True, allowed - used - cost)
        growth = rate_share * rate.per_second
        wait = missing / growth if growth > 0 else math.inf
        return PoolAnswer(False, allowed - used, wait)

    def forget(self, name: str) -> None:
        """Remove the charges to a limit."""
        self._spent_by_name.pop(name, None)

    def has_members(self, now: float) -> bool:
        """Return whether hosts without a leader have joined and not left."""
        return self._members.count(now) > 0

    def _spent_since(self, name: str, begin: float) -> deque[_Spent]:
        spent = self._spent_by_name.setdefault(name, deque())
        while spent and spent[0].spent_at < begin:
            spent.popleft()
        return spent

    def _lent_bases(self, now: float) -> int:
        if now < self._began_at + self._bounds.window_seconds:
            return 0
        return self._members.lent_bases(now)

    def _count_rate_seconds(self, now: float) -> _RateSeconds:
        """Return the sum of the seconds for which hosts' rates count in this window."""
        latest = self._rate_seconds
        if latest is not None and now - latest.counted_at < RATE_REUSE_SECONDS:
            return latest
        spans = self._leaderless_spans()
        window_began_at = now - self._bounds.window_seconds
        counted = (max(window_began_at, self._began_at), now)
        self._rate_seconds = _RateSeconds(
            window_began_at,
            now,
            self._members.rate_seconds(spans, counted),
            self._members.rate_growth(spans, now),
        )
        return self._rate_seconds
