"""Limits that all hosts share, on the control host that leads."""

from __future__ import annotations

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable

from jujubeslip.accounts import (
    AccountLedger,
    AlonePool,
    LedgerAnswer,
    LimitBounds,
    RateLimit,
)
from jujubeslip.kernel import steady_seconds

# How often a log line tells that a limit is used, in seconds: there may be hundreds of
# requests a second beyond it.
LOG_SECONDS = 1.0
FREE = LedgerAnswer(0.0, False)


class LimitKeeper(ABC):
    """A ledger of limits by name for each lead of this host, and a pool without a lead.

    What is left belongs to one lead of this host: with the next lead it begins anew,
    and with little, since the leader before may have let run all that there was.
    """

    def __init__(
        self,
        bounds: LimitBounds,
        lead_began_at: Callable[[], float | None],
        heard_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._bounds = bounds
        self._lead_began_at = lead_began_at
        self._heard_share = heard_share
        self._ledger = AccountLedger(bounds, steady_seconds())
        self._ledger_began_at: float | None = None
        self._alone_pool = AlonePool(bounds)
        self._logged_at_by_name: dict[str, float] = {}
        self._lock = threading.Lock()

    @abstractmethod
    def _limit_of(self, name: str) -> RateLimit | None:
        """Return a limit in force, None without one."""

    @abstractmethod
    def _log_used(
        self, name: str, limit: RateLimit, cost: float, left: float, wait: float
    ) -> None:
        """Write a line on a limit that is used."""

    @abstractmethod
    def _note_new_lead(self) -> None:
        """Drop what belongs to the lead before."""

    def _charge(
        self, ledger: AccountLedger, name: str, cost: float, now: float
    ) -> LedgerAnswer:
        limit = self._limit_of(name)
        if limit is None:
            return FREE
        answer = ledger.charge(name, limit, cost, now)
        if answer.wait > 0 and now - self._logged_at(name) >= LOG_SECONDS:
            self._logged_at_by_name[name] = now
            left = ledger.left(name, limit, now)
            self._log_used(name, limit, cost, left, answer.wait)
        return answer

    def _charge_alone(
        self, host_id: str, entry_hosts: int, name: str, cost: float
    ) -> bool:
        """Charge at the pool, to which the host lends its parts with that."""
        now = steady_seconds()
        self._alone_pool.join(host_id, now)
        limit = self._limit_of(name)
        if not cost or limit is None:
            return True
        return self._alone_pool.charge(name, limit, cost, entry_hosts, now)

    def _forget(self, name: str) -> None:
        """Drop what is known of a limit that is no more."""
        self._ledger.forget(name)
        self._alone_pool.forget(name)
        self._logged_at_by_name.pop(name, None)

    def _logged_at(self, name: str) -> float:
        return self._logged_at_by_name.get(name, float("-inf"))

    def _current_ledger(self) -> AccountLedger:
        began_at = self._lead_began_at()
        if began_at is not None and began_at != self._ledger_began_at:
            self._ledger = AccountLedger(self._bounds, began_at)
            self._ledger_began_at = began_at
            self._note_new_lead()
        self._ledger.set_heard_share(self._heard_share(), steady_seconds())
        return self._ledger
