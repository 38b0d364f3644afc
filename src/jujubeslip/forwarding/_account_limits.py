"""Limits of client accounts at a host: what runs at once, what the leader is asked."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from jujubeslip.accounts import (
    HostSpending,
    LedgerAnswer,
    Spent,
    limit_reached,
)
from jujubeslip.endpoints import CallerGoneError
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._shared_charges import (
    ANSWER_SECONDS,
    JOIN_SECONDS,
    SharedCharges,
)
from jujubeslip.kernel import (
    Deadline,
    Process,
    Ran,
    RequestRefusedError,
    steady_seconds,
)
from jujubeslip.peers import AccountSpending, AccountState

logger = logging.getLogger(__name__)

# How often the leader is told what was spent, in seconds. What may be untold is bounded
# by itself; told more often, each plain request would cost a call.
SETTLE_SECONDS = 1.0
# How often a host that has no leader to ask looks for one, in seconds.
LEADER_LOOK_SECONDS = 0.1
# When a client should come back whose request found no leader, in seconds: a new one is
# elected in about a second, and a retry finds another host.
NO_LEADER_RETRY_SECONDS = 0.7
# How long a request waits for a leader that was late with an answer, in seconds: until
# it is asked again. Refused, its client would come back no sooner.
LATE_LEADER_SECONDS = 1.0
# The least that a client is told to stay away, in seconds, and how much longer by lot:
# together, all that were refused would find the limit used up by the first.
LEAST_RETRY_SECONDS = 0.1
RETRY_SPREAD = 0.3


class AccountLimits:
    """Lets each request run that its account's limit allows, and refuses the others."""

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
        """Tell the leader what was spent until the process stops."""
        self._process.repeat(SETTLE_SECONDS, self._settle)
        self._process.repeat(JOIN_SECONDS, self._join_pool)

    def charge(self, context: ForwardContext, attempts: Attempts) -> None:
        """Return if the request may run, or raise RequestRefusedError.

        It is charged once, however often it is sent.
        """
        if not context.cost or attempts.is_charged:
            return
        name = context.request.account_name
        with self._lock:
            answer = self._spending.spend(name, context.cost, steady_seconds())
        if answer.wait > 0:
            raise self.over_limit(context, answer.wait)
        if not answer.asks_leader:
            self._note_spent(context, attempts)
        else:
            self._charge_with_patience(context, attempts)
        attempts.is_charged = True

    def _charge_with_patience(
        self, context: ForwardContext, attempts: Attempts
    ) -> None:
        """Charge at the leader, which may be late once, or without one."""
        limit = context.end_by.earlier_of(Deadline.after(LATE_LEADER_SECONDS))
        while not self.charge_at_leader(context, attempts):
            if self._charged_alone(context, attempts):
                return
            if not self._leader.is_late or not self.wait_for_leader(context, limit):
                raise self._limit_unknown(context)

    def wait_for_leader(self, context: ForwardContext, limit: Deadline) -> bool:
        """Wait for a leader to ask; say whether there may be one.

        Raises CallerGoneError when the client goes before that.
        """
        while self._leader.address() is None:
            if limit.expired or self._process.stopped.wait(LEADER_LOOK_SECONDS):
                return False
            if context.gone():
                raise CallerGoneError("The client closed its connection.", Ran.NO)
        return True

    def charge_alone(self, context: ForwardContext, attempts: Attempts) -> None:
        """Let the request run without a leader, or raise RequestRefusedError.

        On what this host may spend untold, or on what all lend that find no leader.
        """
        if not context.cost or attempts.is_charged:
            return
        if not self._charged_alone(context, attempts):
            raise self._limit_unknown(context)

    def _charged_alone(self, context: ForwardContext, attempts: Attempts) -> bool:
        name = context.request.account_name
        with self._lock:
            may_run = self._spending.spend_alone(name, context.cost, steady_seconds())
        if may_run:
            self._note_spent(context, attempts)
        elif not self._charge_at_pool(AccountSpending(name, context.cost)):
            return False
        attempts.is_charged = True
        return True

    def _limit_unknown(self, context: ForwardContext) -> RequestRefusedError:
        """Return the refusal of a request that no leader could charge."""
        self._log_refusal(context, "no leader knows what is left")
        return RequestRefusedError(
            "limit_unknown",
            "No control host that leads can say whether the client account's "
            "limit allows the request.",
            retry_after=NO_LEADER_RETRY_SECONDS,
        )

    def give_back(self, context: ForwardContext, attempts: Attempts) -> None:
        """Take back what was spent here for a request that has not run."""
        if not attempts.spent_here or attempts.may_have_run:
            return
        with self._lock:
            name = context.request.account_name
            self._spending.give_back(name, attempts.spent_here)
        attempts.spent_here = 0.0

    def over_limit(self, context: ForwardContext, wait: float) -> RequestRefusedError:
        """Return the refusal of a request whose account has used its limit."""
        self._log_refusal(context, "its limit is used", wait)
        spread = 1 + RETRY_SPREAD * random.random()
        counts_tokens = context.account is not None and context.account.counts_tokens
        kind = "tokens" if counts_tokens else "requests"
        return limit_reached(kind, max(LEAST_RETRY_SECONDS, wait * spread))

    def charge_at_leader(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Charge the request; say whether there was a leader that knows the limit.

        Raises RequestRefusedError where the account has used it.
        """
        name = context.request.account_name
        spending = AccountSpending(name, context.cost, attempts.charge_id)
        state: AccountState | None = self._charges.at_leader(
            context.request.request_id, lambda peer: peer.charge_account(spending)
        )
        if state is None:
            return False
        self._take(state)
        if state.wait_seconds > 0:
            raise self.over_limit(context, state.wait_seconds)
        attempts.is_charged = True
        return True

    def _join_pool(self) -> None:
        """Lend this host's parts while it finds no leader, before they are needed."""
        if self._has_accounts() and not self._charges.has_leader:
            self._charge_at_pool(AccountSpending("", 0.0))

    def _charge_at_pool(self, spending: AccountSpending) -> bool:
        """Charge a request at the pool; say whether it may run."""
        return self._charges.at_pool(
            lambda peer: peer.charge_alone(self._host_id, self._hosts(), spending)
        )

    def _settle(self) -> None:
        with self._lock:
            told = self._spending.take_untold()
        if not told:
            return
        states = self._tell(told)
        with self._lock:
            if states is None:
                self._spending.put_back(told)
            else:
                self._spending.confirm(told)
        for state in states or ():
            self._take(state)

    def _tell(self, told: list[Spent]) -> list[AccountState] | None:
        """Return what the leader says, None if it may not have heard of it."""
        address = self._leader.address()
        if address is None:
            return None
        spent = [AccountSpending(item.account_name, item.amount) for item in told]
        return self._leader.call(
            address, "", ANSWER_SECONDS, lambda peer: peer.settle_accounts(spent)
        )

    def _take(self, state: AccountState) -> None:
        answer = LedgerAnswer(state.wait_seconds or 0.0, bool(state.near_limit))
        with self._lock:
            self._spending.take_answer(state.account_name, answer, steady_seconds())

    def _note_spent(self, context: ForwardContext, attempts: Attempts) -> None:
        attempts.spent_here = context.cost

    def _log_refusal(
        self, context: ForwardContext, reason: str, wait: float = 0.0
    ) -> None:
        extra = {
            "request_id": context.request.request_id,
            "account": context.request.account_name,
            "cost": context.cost,
            "wait_ms": int(wait * 1000),
            "version": context.table.version,
            "reason": reason,
        }
        logger.info("request not within its account's limit", extra=extra)
