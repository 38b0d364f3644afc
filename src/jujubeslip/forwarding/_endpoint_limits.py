"""Enforces the request limits, backoffs and leaving notices of endpoints."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from jujubeslip.accounts import LedgerAnswer, Loan
from jujubeslip.forwarding._shared_charges import JOIN_SECONDS, SharedCharges
from jujubeslip.kernel import Deadline, Process, steady_seconds
from jujubeslip.notices import EndpointNotices, Hold, HoldReason
from jujubeslip.peers import EndpointLimitState, EndpointSpending

logger = logging.getLogger(__name__)

MILLISECONDS = 1000

# Interval between reports of lifted limits to the leader, in seconds.
REPORT_SECONDS = 0.5
# Interval between removals of outdated limits, in seconds.
FORGET_SECONDS = 10.0
# The longest random time added to the wait that the leader gives, in seconds. Without
# it, all hosts would ask for the endpoint's next request at once.
MAXIMUM_JITTER_SECONDS = 1.0
# How long a host waits after the pool of hosts without a leader had nothing left.
NO_LEADER_WAIT_SECONDS = 0.5


class EndpointLimits:
    """Bounds the requests of all hosts to an endpoint by its limit.

    Each request to an endpoint with a limit is charged at the leader before it is sent,
    or at the pool of the hosts that find no leader. Instances are thread-safe.
    """

    def __init__(
        self,
        charges: SharedCharges,
        host_id: str,
        hosts: Callable[[], int],
        notices: EndpointNotices | None = None,
    ) -> None:
        self.notices = notices or EndpointNotices()
        self._charges = charges
        self._host_id = host_id
        self._hosts = hosts

    def start(self, process: Process) -> None:
        """Report lifted limits to the leader until the process stops."""
        process.repeat(REPORT_SECONDS, self._report_lifted)
        process.repeat(JOIN_SECONDS, self._join_pool)
        process.repeat(FORGET_SECONDS, self.forget_old)

    @property
    def count(self) -> int:
        """Return the number of starts with a limit."""
        return len(self.notices.limited_starts)

    def hold_of(self, start_id: str) -> Hold | None:
        """Return why a start may get no requests now, None if it may."""
        hold = self.notices.hold_of(start_id)
        if hold is not None:
            return hold
        wait = self.wait_for(start_id)
        return Hold(HoldReason.LIMIT, Deadline.after(wait)) if wait > 0 else None

    def wait_for(self, start_id: str) -> float:
        """Return how long a start's limit allows no more requests, in seconds."""
        if self.notices.limit_of(start_id) is None:
            return 0.0
        with self._charges.lock:
            return self._charges.spending.wait_for(start_id, steady_seconds())

    def spend(self, request_id: str, start_id: str) -> float:
        """Charge a request to a start; return the seconds to wait, 0 if it may go."""
        limit = self.notices.limit_of(start_id)
        if limit is None:
            return 0.0
        with self._charges.lock:
            answer = self._charges.spending.spend(start_id, 1.0, steady_seconds())
        if answer.wait > 0 or not answer.asks_leader:
            return answer.wait
        spending = _to_spending(start_id, 1.0, limit.per_second, limit.named_at)
        state: EndpointLimitState | None = self._charges.charge_at_leader(
            request_id, partial(_charge, spending)
        )
        wait = (
            self._charge_without_leader(spending)
            if state is None
            else self._apply_state(state)
        )
        if wait > 0:
            extra = {
                "request_id": request_id,
                "start_id": start_id,
                "per_second": limit.per_second,
                "named_ago_ms": spending.named_ago_ms,
                "wait_ms": int(wait * MILLISECONDS),
                "leader": state is not None,
            }
            logger.info("request not within its endpoint's limit", extra=extra)
        return wait

    def forget_old(self) -> None:
        """Drop limits of starts not heard from for a long time."""
        for start_id in self.notices.forget_old():
            self._forget_spending(start_id)

    def _apply_state(self, state: EndpointLimitState) -> float:
        """Apply the leader's answer; return the seconds that the request must wait."""
        now = steady_seconds()
        start_id, per_second = state.start_id, state.per_second or 0.0
        if not per_second:
            self._drop_lifted(start_id, now - (state.named_ago_ms or 0) / MILLISECONDS)
            return 0.0
        wait = float(state.wait_seconds or 0.0)
        if wait > 0:
            others = max(0, self._hosts() - 1)
            jitter = min(MAXIMUM_JITTER_SECONDS, others / (2 * per_second))
            wait += random.uniform(0, jitter)
            self._record_wait(start_id, wait)
        return wait

    def _charge_without_leader(self, spending: EndpointSpending) -> float:
        if self._charge_at_pool(spending):
            return 0.0
        self._record_wait(spending.start_id, NO_LEADER_WAIT_SECONDS)
        return NO_LEADER_WAIT_SECONDS

    def _record_wait(self, start_id: str, wait: float) -> None:
        with self._charges.lock:
            self._charges.spending.apply_answer(
                start_id, LedgerAnswer(wait, near_limit=True), steady_seconds()
            )

    def _drop_lifted(self, start_id: str, lifted_at: float) -> None:
        """Drop a limit that the endpoint lifted in an answer to another host."""
        if self.notices.drop_limit(start_id, lifted_at):
            self._forget_spending(start_id)

    def _forget_spending(self, start_id: str) -> None:
        with self._charges.lock:
            self._charges.spending.forget(start_id)

    def _report_lifted(self) -> None:
        # Reported once: the other hosts get answers without the limit, too.
        for start_id, lifted_at in self.notices.pop_lifted().items():
            self._forget_spending(start_id)
            spending = _to_spending(start_id, 0.0, 0.0, lifted_at)
            self._charges.charge_at_leader("", partial(_charge, spending))

    def _join_pool(self) -> None:
        """Lend this host's shares to the pool while it finds no leader.

        This happens before the pool is needed, so that it has the shares by then.
        """
        if self.notices.limited_starts and not self._charges.has_leader:
            self._charge_at_pool(EndpointSpending("", 0.0, 0.0, 0))

    def _charge_at_pool(self, spending: EndpointSpending) -> bool:
        """Charge a request at the pool; return whether it may be sent.

        The pools of endpoints' limits count no rate of a host that moves among them.
        """

        def charge(peer: Any, loan: Loan) -> bool:
            return loan.has_base and bool(
                peer.charge_endpoint_alone(self._host_id, self._hosts(), spending)
            )

        return self._charges.charge_at_pool(charge).may_run


def _charge(spending: EndpointSpending, peer: Any) -> EndpointLimitState:
    answer: EndpointLimitState = peer.charge_endpoint(spending)
    return answer


def _to_spending(
    start_id: str, amount: float, per_second: float, known_at: float
) -> EndpointSpending:
    known_ago_ms = int((steady_seconds() - known_at) * MILLISECONDS)
    return EndpointSpending(start_id, amount, per_second, known_ago_ms)
