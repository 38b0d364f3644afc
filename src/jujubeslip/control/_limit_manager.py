"""Limits that all hosts share, as the leading control host keeps them."""

from __future__ import annotations

import math
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.accounts import (
    AccountLedger,
    LeaderlessPool,
    LedgerAnswer,
    LimitBounds,
    Loan,
    PoolAnswer,
    RateLimit,
    Spans,
)
from jujubeslip.kernel import steady_seconds

# How often it is logged that a limit is exceeded, in seconds: there may be hundreds of
# requests per second beyond it.
LOG_INTERVAL_SECONDS = 1.0
NOT_LIMITED = LedgerAnswer(0.0, False)
ALLOWED_BY_POOL = PoolAnswer(True, math.inf)


def _now() -> float:
    return steady_seconds()


def _no_spans() -> Spans:
    return ()


@dataclass(frozen=True)
class LeaseTimes:
    """What a limit manager knows about leaders' leases."""

    ledger_time: Callable[[], float] = _now
    """The time that stands still while this leader has no valid lease."""
    leaderless_spans: Callable[[], Spans] = _no_spans
    """The times in which no leader can have had a valid lease."""
    pool_began_at: float = -math.inf
    """When this host began to keep the charges of its leaderless pool."""
    rates_add_up: bool = True
    """Whether the pool may spend rates of a whole window at once."""


@dataclass(frozen=True)
class PoolCharge:
    """A charge of a host without a leader; without a cost, it only joins the pool."""

    host_id: str
    entry_hosts: int
    name: str
    cost: float
    loan: Loan | None = None
    priority: int = 0


DEFAULT_LEASE_TIMES = LeaseTimes()


class LimitManager(ABC):
    """Charges limits by name: on a ledger as leader, else on a pool without a leader.

    The ledger lasts for one leadership of this host. The next leadership starts with a
    new ledger and little left of each limit, since the previous leader may have used up
    the whole of it.
    """

    def __init__(
        self,
        bounds: LimitBounds,
        leadership_began_at: Callable[[], float | None],
        heard_share: Callable[[], float] = lambda: 1.0,
        lease_times: LeaseTimes = DEFAULT_LEASE_TIMES,
    ) -> None:
        self._bounds = bounds
        self._ledger_time = lease_times.ledger_time
        self._leadership_began_at = leadership_began_at
        self._heard_share = heard_share
        self._ledger = AccountLedger(bounds, self._ledger_time())
        self._ledger_began_at: float | None = None
        self._leaderless_pool = LeaderlessPool(
            bounds,
            lease_times.leaderless_spans,
            lease_times.pool_began_at,
            lease_times.rates_add_up,
        )
        self._logged_at_by_name: dict[str, float] = {}
        self._lock = threading.Lock()

    @abstractmethod
    def _limit_of(self, name: str) -> RateLimit | None:
        """Return a limit in force, None without one."""

    @abstractmethod
    def _log_exceeded(
        self, name: str, limit: RateLimit, cost: float, left: float, wait: float
    ) -> None:
        """Log that a limit is exceeded."""

    @abstractmethod
    def _on_new_leadership(self) -> None:
        """Discard what belongs to the previous leadership of this host."""

    def _charge(self, ledger: AccountLedger, name: str, cost: float) -> LedgerAnswer:
        limit = self._limit_of(name)
        if limit is None:
            return NOT_LIMITED
        now, ledger_time = steady_seconds(), self._ledger_time()
        answer = ledger.charge(name, limit, cost, ledger_time)
        if answer.wait > 0 and now - self._logged_at(name) >= LOG_INTERVAL_SECONDS:
            self._logged_at_by_name[name] = now
            left = ledger.left(name, limit, ledger_time)
            self._log_exceeded(name, limit, cost, left, answer.wait)
        return answer

    def has_leaderless_hosts(self) -> bool:
        """Return whether hosts without a leader lend their shares to this pool."""
        with self._lock:
            return self._leaderless_pool.has_members(steady_seconds())

    def _charge_without_leader(self, charge: PoolCharge) -> PoolAnswer:
        """Charge the pool of hosts without a leader, and add the host's share to it."""
        now = steady_seconds()
        pool, hosts = self._leaderless_pool, charge.entry_hosts
        pool.join(charge.host_id, now, charge.loan, hosts)
        limit = self._limit_of(charge.name)
        if not charge.cost or limit is None:
            return ALLOWED_BY_POOL
        return pool.charge(charge.name, limit, charge.cost, hosts, now, charge.priority)

    def _forget(self, name: str) -> None:
        """Discard the state of a limit that no longer exists."""
        self._ledger.forget(name)
        self._leaderless_pool.forget(name)
        self._logged_at_by_name.pop(name, None)

    def _logged_at(self, name: str) -> float:
        return self._logged_at_by_name.get(name, float("-inf"))

    def _current_ledger(self) -> AccountLedger:
        began_at = self._leadership_began_at()
        if began_at is not None and began_at != self._ledger_began_at:
            self._ledger = AccountLedger(self._bounds, began_at)
            self._ledger_began_at = began_at
            self._on_new_leadership()
        self._ledger.set_heard_share(self._heard_share(), self._ledger_time())
        return self._ledger
