"""The limits of client accounts, on the control host that leads."""

from __future__ import annotations

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from jujubeslip.accounts import (
    AccountLedger,
    AlonePool,
    ClientAccounts,
    LedgerAnswer,
    LimitBounds,
    RateLimit,
)
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import AccountSpending, AccountState, AccountUse

logger = logging.getLogger(__name__)

# How long a charged request is remembered, in seconds: longer than clients wait for an
# answer, so that one that asks again, or for a further engine, is not charged twice.
CHARGED_SECONDS = 30.0
# How often a log line tells that an account has used its limit, in seconds: each host
# has a line for each request, and one account may send hundreds a second.
LOG_SECONDS = 1.0
FREE = LedgerAnswer(0.0, False)


@dataclass(frozen=True)
class _Charged:
    account_name: str
    cost: float
    at: float


class AccountKeeper:
    """Charges requests before they run, and takes what hosts have let run.

    What is left belongs to one lead of this host: with the next lead it begins anew,
    and with little, since the leader before may have let run all that there was.
    """

    def __init__(
        self,
        bounds: LimitBounds,
        accounts: Callable[[], ClientAccounts | None],
        lead_began_at: Callable[[], float | None],
        heard_share: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._heard_share = heard_share
        self._bounds = bounds
        self._accounts = accounts
        self._lead_began_at = lead_began_at
        self._ledger = AccountLedger(bounds, steady_seconds())
        self._ledger_began_at: float | None = None
        self._alone_pool = AlonePool(bounds)
        self._charged_by_request: OrderedDict[str, _Charged] = OrderedDict()
        self._logged_at_by_name: dict[str, float] = {}
        self._lock = threading.Lock()

    def charge_once(self, request_id: str, spending: AccountSpending) -> float:
        """Charge a request; return when it may come back, 0 where it may run."""
        with self._lock:
            ledger = self._current_ledger()
            now = steady_seconds()
            self._forget_old(now)
            if request_id in self._charged_by_request:
                return 0.0
            answer = self._charge(ledger, spending, now)
            if answer.wait == 0:
                name, cost = spending.account_name, spending.amount
                self._charged_by_request[request_id] = _Charged(name, cost, now)
        return answer.wait

    def give_back(self, request_id: str) -> None:
        """Take back the charge of a request that will not run."""
        with self._lock:
            charged = self._charged_by_request.pop(request_id, None)
            if charged is None:
                return
            limit = self._limit_of(charged.account_name)
            if limit is not None:
                self._current_ledger().settle(
                    charged.account_name, limit, -charged.cost, steady_seconds()
                )

    def charge(self, spending: AccountSpending) -> AccountState:
        """Charge a request of a host that asks for this alone."""
        with self._lock:
            answer = self._charge(self._current_ledger(), spending, steady_seconds())
        return _state(spending.account_name, answer)

    def settle(self, spent: Sequence[AccountSpending]) -> list[AccountState]:
        """Take what a host has let run since it told last."""
        with self._lock:
            ledger, now = self._current_ledger(), steady_seconds()
            states = []
            for item in spent:
                limit = self._limit_of(item.account_name)
                answer = (
                    ledger.settle(item.account_name, limit, item.amount, now)
                    if limit is not None
                    else FREE
                )
                states.append(_state(item.account_name, answer))
        return states

    def charge_alone(
        self, host_id: str, entry_hosts: int, spending: AccountSpending
    ) -> bool:
        """Charge a request of a host that finds no leader; say whether it may run.

        The host lends its parts with that; without an amount it does nothing else.
        """
        with self._lock:
            now = steady_seconds()
            self._alone_pool.join(host_id, now)
            limit = self._limit_of(spending.account_name)
            if not spending.amount:
                return True
            may_run = limit is None or self._alone_pool.charge(
                spending.account_name, limit, spending.amount, entry_hosts, now
            )
        extra = {
            "host_id": host_id,
            "account": spending.account_name,
            "cost": spending.amount,
            "may_run": may_run,
        }
        logger.info("request charged without a leader", extra=extra)
        return may_run

    def uses(self) -> list[AccountUse]:
        """Return what is left of each account's limit, of those that asked."""
        with self._lock:
            ledger, now = self._current_ledger(), steady_seconds()
            limit_by_name = {name: self._limit_of(name) for name in ledger.names}
            return [
                AccountUse(
                    name, limit.per_second, limit.burst, ledger.left(name, limit, now)
                )
                for name, limit in limit_by_name.items()
                if limit is not None
            ]

    def _charge(
        self, ledger: AccountLedger, spending: AccountSpending, now: float
    ) -> LedgerAnswer:
        name = spending.account_name
        limit = self._limit_of(name)
        if limit is None:
            return FREE
        answer = ledger.charge(name, limit, spending.amount, now)
        if answer.wait > 0 and now - self._logged_at(name) >= LOG_SECONDS:
            self._logged_at_by_name[name] = now
            extra = {
                "account": name,
                "cost": spending.amount,
                "left": round(ledger.left(name, limit, now)),
                "per_second": limit.per_second,
                "wait_ms": int(answer.wait * 1000),
            }
            logger.info("account has used its limit", extra=extra)
        return answer

    def _logged_at(self, name: str) -> float:
        return self._logged_at_by_name.get(name, float("-inf"))

    def _limit_of(self, name: str) -> RateLimit | None:
        accounts = self._accounts()
        account = accounts.by_name.get(name) if accounts is not None else None
        return account.limit if account is not None else None

    def _current_ledger(self) -> AccountLedger:
        began_at = self._lead_began_at()
        if began_at is not None and began_at != self._ledger_began_at:
            self._ledger = AccountLedger(self._bounds, began_at)
            self._ledger_began_at = began_at
            self._charged_by_request.clear()
        self._ledger.set_heard_share(self._heard_share(), steady_seconds())
        return self._ledger

    def _forget_old(self, now: float) -> None:
        while self._charged_by_request:
            request_id, charged = next(iter(self._charged_by_request.items()))
            if charged.at > now - CHARGED_SECONDS:
                return
            del self._charged_by_request[request_id]


def _state(name: str, answer: LedgerAnswer) -> AccountState:
    return AccountState(name, answer.wait, answer.near_limit)
