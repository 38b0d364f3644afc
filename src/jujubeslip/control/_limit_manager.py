"""Limits that all hosts share, as the leading control host keeps them."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

from jujubeslip.accounts import (
    AccountLedger,
    LeaderlessPool,
    LedgerAnswer,
    LimitBounds,
    RateLimit,
)
from jujubeslip.kernel import steady_seconds

# How often it is logged that a limit is exceeded, in seconds: there may be hundreds of
# requests per second beyond it.
LOG_INTERVAL_SECONDS = 1.0
NOT_LIMITED = LedgerAnswer(0.0, False)


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
    ) -> None:
        self._bounds = bounds
        self._leadership_began_at = leadership_began_at
        self._heard_share = heard_share
        self._ledger = AccountLedger(bounds, steady_seconds())
        self._ledger_began_at: float | None = None
        self._leaderless_pool = LeaderlessPool(bounds)
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

    def _charge(
        self, ledger: AccountLedger, name: str, cost: float, now: float
    ) -> LedgerAnswer:
        limit = self._limit_of(name)
        if limit is None:
            return NOT_LIMITED
        answer = ledger.charge(name, limit, cost, now)
        if answer.wait > 0 and now - self._logged_at(name) >= LOG_INTERVAL_SECONDS:
            self._logged_at_by_name[name] = now
            left = ledger.left(name, limit, now)
            self._log_exceeded(name, limit, cost, left, answer.wait)
        return answer

    def _charge_without_leader(
        self, host_id: str, entry_hosts: int, name: str, cost: float
    ) -> bool:
        """Charge the pool of hosts without a leader, and add the host's share to it."""
        now = steady_seconds()
        self._leaderless_pool.join(host_id, now)
        limit = self._limit_of(name)
        if not cost or limit is None:
            return True
        return self._leaderless_pool.charge(name, limit, cost, entry_hosts, now)

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
        self._ledger.set_heard_share(self._heard_share(), steady_seconds())
        return self._ledger
