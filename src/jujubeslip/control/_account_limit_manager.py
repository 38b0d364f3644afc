"""The limits of client accounts, as the leading control host keeps them."""

from __future__ import annotations

import logging
import math
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from opentelemetry import metrics

from jujubeslip.accounts import (
    POOL_USED,
    ClientAccounts,
    LedgerAnswer,
    LimitBounds,
    Loan,
    PoolAnswer,
    RateLimit,
)
from jujubeslip.control._limit_manager import (
    DEFAULT_LEASE_TIMES,
    NOT_LIMITED,
    LeaseTimes,
    LimitManager,
    PoolCharge,
)
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import AccountSpending, AccountState, AccountUse, PeerRefusal

logger = logging.getLogger(__name__)

# How long a charged request is remembered, in seconds: longer than clients wait for a
# response, so that a retry, or a request for a further engine, is not charged twice.
CHARGED_SECONDS = 30.0
MILLISECONDS = 1000
# The answer to a repeated charge. It is near the limit, so that the host keeps asking
# before each request.
ALREADY_CHARGED = LedgerAnswer(0.0, near_limit=True)


@dataclass(frozen=True)
class _Charged:
    account_name: str
    cost: float
    at: float


class AccountLimitManager(LimitManager):
    """Charges requests before they run, and settles those that hosts have run."""

    def __init__(
        self,
        bounds: LimitBounds,
        accounts: Callable[[], ClientAccounts | None],
        leadership_began_at: Callable[[], float | None],
        heard_share: Callable[[], float] = lambda: 1.0,
        lease_times: LeaseTimes = DEFAULT_LEASE_TIMES,
    ) -> None:
        super().__init__(bounds, leadership_began_at, heard_share, lease_times)
        self._accounts = accounts
        self._pool_charges = metrics.get_meter("jujubeslip.control").create_counter(
            "jujubeslip.control.leaderless_charges",
            description="Requests charged without a leader, by outcome.",
        )
        self._charged_by_id: OrderedDict[str, _Charged] = OrderedDict()

    def charge_once(self, request_id: str, spending: AccountSpending) -> float:
        """Charge a request; return the seconds until a retry, 0 if it may run."""
        with self._lock:
            return self._charge_once(request_id, spending).wait

    def _charge_once(
        self, charge_id: str | None, spending: AccountSpending
    ) -> LedgerAnswer:
        """Charge a request unless this id was charged before; the id is optional."""
        ledger = self._current_ledger()
        now = steady_seconds()
        self._remove_old_charges(now)
        if charge_id in self._charged_by_id:
            return ALREADY_CHARGED
        name, cost = spending.account_name, spending.amount
        answer = self._charge(ledger, name, cost)
        if answer.wait == 0 and charge_id:
            self._charged_by_id[charge_id] = _Charged(name, cost, now)
        return answer

    def give_back(self, request_id: str) -> None:
        """Refund the charge of a request that will not run."""
        with self._lock:
            charged = self._charged_by_id.pop(request_id, None)
            if charged is None:
                return
            limit = self._limit_of(charged.account_name)
            if limit is not None:
                self._current_ledger().settle(
                    charged.account_name, limit, -charged.cost, self._ledger_time()
                )

    def charge(self, spending: AccountSpending) -> AccountState:
        """Charge a request of a host that asks for nothing but the charge."""
        with self._lock:
            answer = self._charge_once(spending.charge_id, spending)
        return _state(spending.account_name, answer)

    def settle(self, spent: Sequence[AccountSpending]) -> list[AccountState]:
        """Settle the requests that a host has run since its last report."""
        with self._lock:
            ledger, now = self._current_ledger(), self._ledger_time()
            states = []
            for item in spent:
                limit = self._limit_of(item.account_name)
                answer = (
                    ledger.settle(item.account_name, limit, item.amount, now)
                    if limit is not None
                    else NOT_LIMITED
                )
                states.append(_state(item.account_name, answer))
        return states

    def charge_without_leader(
        self, host_id: str, entry_hosts: int, spending: AccountSpending
    ) -> bool:
        """Charge a request of a host without a leader; return whether it may run.

        The call also adds the host's share of the limits to the pool. Without an
        amount, it does nothing else.

        Raises PeerRefusal if the request may not run yet, and may later.
        """
        charge = PoolCharge(
            host_id,
            entry_hosts,
            spending.account_name,
            spending.amount,
            _loan_of(spending),
            spending.priority or 0,
        )
        with self._lock:
            answer = self._charge_without_leader(charge)
        if not charge.cost:
            return True
        is_finite = math.isfinite(answer.wait)
        wait_ms = int(answer.wait * MILLISECONDS) + 1 if is_finite else 0
        extra = {
            "host_id": host_id,
            "account": charge.name,
            "cost": charge.cost,
            "priority": charge.priority,
            "left": round(answer.left) if math.isfinite(answer.left) else None,
            "may_run": answer.may_run,
            "wait_ms": 0 if answer.may_run else wait_ms,
        }
        logger.info("request charged without a leader", extra=extra)
        self._pool_charges.add(1, {"outcome": _outcome_of(answer)})
        if not answer.may_run and wait_ms:
            raise PeerRefusal(
                POOL_USED,
                "The pool of hosts without a leader has too little left.",
                "Ask again after the time given.",
                wait_ms,
            )
        return answer.may_run

    def uses(self) -> list[AccountUse]:
        """Return what is left of the limits of the accounts that sent requests."""
        with self._lock:
            ledger, now = self._current_ledger(), self._ledger_time()
            limit_by_name = {name: self._limit_of(name) for name in ledger.names}
            return [
                AccountUse(
                    name, limit.per_second, limit.burst, ledger.left(name, limit, now)
                )
                for name, limit in limit_by_name.items()
                if limit is not None
            ]

    def _log_exceeded(
        self, name: str, limit: RateLimit, cost: float, left: float, wait: float
    ) -> None:
        extra = {
            "account": name,
            "cost": cost,
            "left": round(left),
            "per_second": limit.per_second,
            "wait_ms": int(wait * 1000),
        }
        logger.info("account has used its limit", extra=extra)

    def _limit_of(self, name: str) -> RateLimit | None:
        accounts = self._accounts()
        account = accounts.by_name.get(name) if accounts is not None else None
        return account.limit if account is not None else None

    def _on_new_leadership(self) -> None:
        self._charged_by_id.clear()

    def _remove_old_charges(self, now: float) -> None:
        while self._charged_by_id:
            request_id, charged = next(iter(self._charged_by_id.items()))
            if charged.at > now - CHARGED_SECONDS:
                return
            del self._charged_by_id[request_id]


def _loan_of(spending: AccountSpending) -> Loan | None:
    loan = spending.loan
    if loan is None:
        return None
    lent_seconds = (loan.lent_ms or 0) / MILLISECONDS
    return Loan(loan.loan_id or 0, lent_seconds, not loan.rate_only)


def _outcome_of(answer: PoolAnswer) -> str:
    return "admitted" if answer.may_run else "refused"


def _state(name: str, answer: LedgerAnswer) -> AccountState:
    return AccountState(name, answer.wait, answer.near_limit)
