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
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jujubeslip.accounts._limit_bounds import LimitBounds
from jujubeslip.accounts._models import RateLimit
from jujubeslip.accounts._pool_members import Loan, PoolMembers, Spans

# Share of a pool that is kept for requests of the highest priority.
RESERVED_SHARE = 0.25
# For how long what is known of the members' rates is reused, in seconds: hundreds of
# requests a second are charged, and each would look at all members.
RATE_REUSE_SECONDS = 0.02
# Charges of an account within this time count as one, in seconds.
SPENT_MERGE_SECONDS = 0.02


@dataclass(frozen=True)
class PoolAnswer:
    """The pool's decision about a request."""

    may_run: bool
    left: float
    """What the pool allows of the limit after this decision."""
    wait: float = 0.0
    """Seconds until enough may be free if it may not run, infinite if unknown."""


@dataclass
class _Spent:
    began_at: float
    spent_at: float
    cost: float


class _Rates:
    """The seconds for which the rates of members count, as known at some time."""

    def __init__(
        self,
        counted_spans: Sequence[tuple[float, float]],
        window_began_at: float,
        counted_at: float,
        growth: float,
    ) -> None:
        self.window_began_at = window_began_at
        self.counted_at = counted_at
        self.growth = growth
        """By how much the seconds grow with each second, as far as is known."""
        self._begins = sorted(span[0] for span in counted_spans)
        self._ends = sorted(span[1] for span in counted_spans)
        self._begin_sums = _sums_to_end(self._begins)
        self._end_sums = _sums_to_end(self._ends)

    def since(self, begin: float) -> float:
        """Return the sum of the members' seconds since then."""
        later_ends = bisect_right(self._ends, begin)
        later_begins = bisect_right(self._begins, begin)
        ends = self._end_sums[later_ends] - begin * (len(self._ends) - later_ends)
        begins = self._begin_sums[later_begins] - begin * (
            len(self._begins) - later_begins
        )
        return ends - begins


def _sums_to_end(values: Sequence[float]) -> list[float]:
    sums = [0.0]
    for value in reversed(values):
        sums.append(sums[-1] + value)
    return sums[::-1]


def _never() -> Spans:
    return ()


class LeaderlessPool:
    """The shares of the hosts that have joined, and the cost charged to them.

    The cost admitted in any window, or in any part of one, is at most the hosts' shares
    of the overage and the slack, and their equal shares of the limit's rate for the
    times in it in which no leader grants them; a single request may be larger. Each
    host's share is in one pool at a time, and a charge counts for a whole window. Rates
    that were not spent do not add up unless `rates_add_up` is set: a leader may grant
    the whole burst in the same window.

    A pool does not know what a previous process of its host has charged. So rates count
    from its begin on, and other shares once a window has passed since then.
    """

    def __init__(
        self,
        bounds: LimitBounds,
        leaderless_spans: Callable[[], Spans] = _never,
        began_at: float = -math.inf,
        rates_add_up: bool = False,
    ) -> None:
        self._rates_add_up = rates_add_up
        self._bounds = bounds
        self._began_at = began_at
        self._members = PoolMembers(bounds.window_seconds)
        self._leaderless_spans = leaderless_spans
        self._rates: _Rates | None = None
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
        rates = self._current_rates(now)
        spent = self._spent_since(name, rates.window_began_at)
        base = self._lent_bases(now) * self._bounds.leaderless_share(limit, hosts)
        rate_share = limit.per_second / hosts
        free = 1 - RESERVED_SHARE if priority > 0 else 1.0

        allowed = base + rate_share * rates.since(rates.window_began_at)
        used = sum(item.cost for item in spent)
        missing = used + cost - free * allowed
        # In any part of the window, too, but for one request that is larger than that.
        used = min(cost, free * base)
        for item in () if self._rates_add_up else reversed(spent):
            used += item.cost
            allowed = base + rate_share * rates.since(item.spent_at)
            missing = max(missing, used - free * allowed)
        if missing <= 0:
            _add(spent, cost, now)
            return PoolAnswer(True, -missing)
        growth = free * rate_share * rates.growth
        wait = missing / growth if growth > 0 else math.inf
        return PoolAnswer(False, cost - missing, wait)

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

    def _current_rates(self, now: float) -> _Rates:
        """Return the seconds for which hosts' rates count in this window."""
        latest = self._rates
        if latest is not None and now - latest.counted_at < RATE_REUSE_SECONDS:
            return latest
        spans = self._leaderless_spans()
        window_began_at = now - self._bounds.window_seconds
        counted = (max(window_began_at, self._began_at), now)
        self._rates = _Rates(
            self._members.counted_spans(spans, counted),
            window_began_at,
            now,
            self._members.rate_growth(spans, now),
        )
        return self._rates


def _add(spent: deque[_Spent], cost: float, now: float) -> None:
    """Add a charge; one that follows another closely counts as made with it."""
    latest = spent[-1] if spent else None
    if latest is None or now - latest.began_at >= SPENT_MERGE_SECONDS:
        spent.append(_Spent(now, now, cost))
        return
    latest.spent_at = now
    latest.cost += cost
