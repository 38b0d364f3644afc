"""Enforces the limits of client accounts on a host.

The host lets some requests run without asking the leader, and charges the others there.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable
from typing import Any

from jujubeslip.accounts import (
    HostSpending,
    LedgerAnswer,
    Loan,
    Spent,
    limit_reached,
)
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._shared_charges import (
    ANSWER_SECONDS,
    JOIN_SECONDS,
    MILLISECONDS,
    PoolAnswer,
    SharedCharges,
)
from jujubeslip.kernel import (
    Deadline,
    Process,
    Ran,
    RequestRefusedError,
    steady_seconds,
)
from jujubeslip.peers import AccountSpending, AccountState, PoolLoan

logger = logging.getLogger(__name__)

# Interval between reports of spent amounts to the leader, in seconds. The unreported
# amount has a bound of its own; with more frequent reports each plain request would
# cost a call.
SETTLE_SECONDS = 1.0
# Interval at which a host without a leader looks for one, in seconds.
LEADER_POLL_SECONDS = 0.1
# When a client whose request found no leader should retry, in seconds. A new leader is
# elected in about a second, and a retry reaches another host.
NO_LEADER_RETRY_SECONDS = 0.7
# How long a request may wait until the pool of hosts without a leader has enough left,
# and the shortest time until it asks again, in seconds.
MAXIMUM_POOL_WAIT_SECONDS = 0.3
MINIMUM_POLL_SECONDS = 0.02
# How long a request waits for a leader whose answer was late, in seconds: until the
# leader is called again. The client of a refused request would not retry sooner.
LATE_LEADER_SECONDS = 1.0
# The shortest time after which a refused client should retry, in seconds, and the
# largest random addition as a share of the wait. If all refused clients retried at
# once, the first ones would use up the limit.
MINIMUM_RETRY_SECONDS = 0.1
RETRY_JITTER_SHARE = 0.3

ADMITTED_HERE = PoolAnswer(True, "", 0.0)


class AccountLimits:
    """Admits the requests that their account's limit allows, and refuses the others."""

    def __init__(
        self,
        process: Process,
        leader: LeaderContact,
        spending: HostSpending,
        host_id: str,
        hosts: Callable[[], int],
        has_accounts: Callable[[], bool],
    ) -> None:
        self._host_id = host_id
        self._hosts = hosts
        self._has_accounts = has_accounts
        self._process = process
        self._leader = leader
        self._charges = SharedCharges(leader, spending)
        self._spending = spending
        self._lock = self._charges.lock

    def start(self) -> None:
        """Report spent amounts to the leader until the process stops."""
        self._process.repeat(SETTLE_SECONDS, self._settle)
        self._process.repeat(JOIN_SECONDS, self._join_pool)

    def charge(self, context: ForwardContext, attempts: Attempts) -> None:
        """Charge the request, or raise RequestRefusedError if it may not run.

        A request is charged once, however often it is sent.
        """
        if not context.cost or attempts.is_charged:
            return
        name = context.request.account_name
        with self._lock:
            answer = self._spending.spend(name, context.cost, steady_seconds())
        if answer.wait > 0:
            raise self.over_limit_refusal(context, answer.wait)
        if not answer.asks_leader:
            self._record_spent(context, attempts)
        else:
            self._charge_with_retry(context, attempts)
        attempts.is_charged = True

    def _charge_with_retry(self, context: ForwardContext, attempts: Attempts) -> None:
        """Charge at the leader, whose answer may be late once, or without a leader."""
        limit = context.end_by.earlier_of(Deadline.after(LATE_LEADER_SECONDS))
        while not self.charge_at_leader(context, attempts):
            if not self.wait_for_leader(context, attempts, limit):
                return

    def wait_for_leader(
        self,
        context: ForwardContext,
        attempts: Attempts,
        limit: Deadline,
        awaits_election: bool = False,
    ) -> bool:
        """Charge without a leader at once, or wait until there may be a leader.

        Returns whether there may be one; otherwise the request has been charged. A
        leader that was late or has no valid lease may answer soon. The election of
        another one takes longer than most requests may wait, so that they are refused
        at once unless `awaits_election` is set.

        Raises RequestRefusedError, and ClientDisconnectedError if the client
        disconnects during the wait.
        """
        while not (pool := self._try_charge_without_leader(context, attempts)).may_run:
            may_wait = (
                awaits_election
                or pool.wait <= MAXIMUM_POOL_WAIT_SECONDS
                or self._leader.has_skipped_leader
            )
            if not may_wait or limit.expired:
                raise self._limit_unknown_refusal(context, pool)
            tick = min(LEADER_POLL_SECONDS, max(MINIMUM_POLL_SECONDS, pool.wait))
            if self._process.stopped.wait(tick):
                raise self._limit_unknown_refusal(context, pool)
            if context.client_disconnected():
                raise ClientDisconnectedError(
                    "The client closed its connection.", Ran.NO
                )
            if self._leader.address() is not None:
                return True
        return False

    def charge_without_leader(
        self, context: ForwardContext, attempts: Attempts
    ) -> None:
        """Charge the request without a leader, or raise RequestRefusedError.

        It is charged to the amount that this host may spend unreported, or to the pool
        of the hosts that find no leader.
        """
        if not context.cost or attempts.is_charged:
            return
        pool = self._try_charge_without_leader(context, attempts)
        if not pool.may_run:
            raise self._limit_unknown_refusal(context, pool)

    def _try_charge_without_leader(
        self, context: ForwardContext, attempts: Attempts
    ) -> PoolAnswer:
        name = context.request.account_name
        with self._lock:
            may_run = self._spending.spend_without_leader(
                name, context.cost, steady_seconds()
            )
        if may_run:
            self._record_spent(context, attempts)
            attempts.is_charged = True
            return ADMITTED_HERE
        priority = _priority_within_account(context)
        spending = AccountSpending(name, context.cost, priority=priority)
        pool = self._charge_at_pool(spending)
        attempts.is_charged = pool.may_run
        return pool

    def _limit_unknown_refusal(
        self, context: ForwardContext, pool: PoolAnswer
    ) -> RequestRefusedError:
        """Return the refusal of a request that could not be charged."""
        wait = pool.wait if math.isfinite(pool.wait) else 0.0
        self._log_refusal(context, "no leader available", wait, pool.address)
        jitter = 1 + RETRY_JITTER_SHARE * random.random()
        return RequestRefusedError(
            "limit_unknown",
            "No leading control host can check whether the client account's "
            "limit allows the request.",
            retry_after=max(NO_LEADER_RETRY_SECONDS, wait * jitter),
        )

    def is_near_limit(self, context: ForwardContext) -> bool:
        """Return whether the request's account has little left of its limit."""
        with self._lock:
            return self._spending.is_near_limit(context.request.account_name)

    def give_back(self, context: ForwardContext, attempts: Attempts) -> None:
        """Refund the amount that this host spent for a request that has not run."""
        if not attempts.charged_locally or attempts.may_have_run:
            return
        with self._lock:
            name = context.request.account_name
            self._spending.give_back(name, attempts.charged_locally)
        attempts.charged_locally = 0.0

    def over_limit_refusal(
        self, context: ForwardContext, wait: float
    ) -> RequestRefusedError:
        """Return the refusal of a request whose account has used up its limit."""
        self._log_refusal(context, "its limit is used", wait)
        jitter = 1 + RETRY_JITTER_SHARE * random.random()
        counts_tokens = context.account is not None and context.account.counts_tokens
        kind = "tokens" if counts_tokens else "requests"
        return limit_reached(kind, max(MINIMUM_RETRY_SECONDS, wait * jitter))

    def charge_at_leader(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Charge the request; return whether a leader that knows the limit answered.

        Raises RequestRefusedError if the account has used up its limit.
        """
        name = context.request.account_name
        spending = AccountSpending(name, context.cost, attempts.charge_id)
        state: AccountState | None = self._charges.charge_at_leader(
            context.request.request_id, lambda peer: peer.charge_account(spending)
        )
        if state is None:
            return False
        self._charges.end_loan()
        self._apply_state(state)
        if state.wait_seconds > 0:
            raise self.over_limit_refusal(context, state.wait_seconds)
        attempts.is_charged = True
        return True

    def _join_pool(self) -> None:
        """Lend this host's shares to the pool while it finds no leader.

        This happens before the pool is needed, so that it has the shares by then.
        """
        if not self._has_accounts():
            return
        if self._charges.has_leader:
            self._charges.end_loan()
        else:
            self._charge_at_pool(AccountSpending("", 0.0))

    def _charge_at_pool(self, spending: AccountSpending) -> PoolAnswer:
        """Charge a request at the pool."""

        def charge(peer: Any, loan: Loan) -> bool:
            lent_ms = int(loan.lent_seconds * MILLISECONDS)
            spending.loan = PoolLoan(loan.loan_id, lent_ms, not loan.has_base)
            return bool(peer.charge_alone(self._host_id, self._hosts(), spending))

        return self._charges.charge_at_pool(charge)

    def _settle(self) -> None:
        with self._lock:
            unreported = self._spending.take_unreported()
        if not unreported:
            return
        states = self._report(unreported)
        with self._lock:
            if states is None:
                self._spending.mark_unconfirmed(unreported)
            else:
                self._spending.confirm(unreported)
        for state in states or ():
            self._apply_state(state)

    def _report(self, unreported: list[Spent]) -> list[AccountState] | None:
        """Report to the leader; return its answer, None if the report may be lost."""
        address = self._leader.address()
        if address is None:
            return None
        spent = [AccountSpending(item.account_name, item.amount) for item in unreported]
        return self._leader.call(
            address, "", ANSWER_SECONDS, lambda peer: peer.settle_accounts(spent)
        )

    def _apply_state(self, state: AccountState) -> None:
        answer = LedgerAnswer(state.wait_seconds or 0.0, bool(state.near_limit))
        with self._lock:
            self._spending.apply_answer(state.account_name, answer, steady_seconds())

    def _record_spent(self, context: ForwardContext, attempts: Attempts) -> None:
        attempts.charged_locally = context.cost

    def _log_refusal(
        self,
        context: ForwardContext,
        reason: str,
        wait: float = 0.0,
        pool: str = "",
    ) -> None:
        extra = {
            "request_id": context.request.request_id,
            "account": context.request.account_name,
            "cost": context.cost,
            "wait_ms": int(wait * 1000),
            "version": context.table.version,
            "reason": reason,
            "pool": pool,
        }
        logger.info("request not within its account's limit", extra=extra)


def _priority_within_account(context: ForwardContext) -> int:
    """Return the request's priority among those of its account, 0 for the highest.

    Nothing is kept for others where all requests of an account have one priority.
    """
    account = context.account
    if account is None or account.priority is not None:
        return 0
    highest = min(route.priority for route in context.table.routes)
    return max(0, context.rank - highest)
