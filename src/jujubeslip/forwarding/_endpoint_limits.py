"""Whether endpoints may be sent requests, by what they have said of themselves."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from jujubeslip.accounts import LedgerAnswer
from jujubeslip.forwarding._shared_charges import JOIN_SECONDS, SharedCharges
from jujubeslip.kernel import Deadline, Process, steady_seconds
from jujubeslip.notices import EndpointNotices, Hold, HoldReason
from jujubeslip.peers import EndpointLimitState, EndpointSpending

logger = logging.getLogger(__name__)

MILLISECONDS = 1000

# How often the leader is told of limits that were lifted, in seconds.
TELL_SECONDS = 0.5
# How often limits that count no more are looked for, in seconds.
FORGET_SECONDS = 10.0
# For how much longer than the leader says a host asks for none of an endpoint's limit
# at most, by lot, in seconds: all hosts would ask for the next request at once.
SPREAD_SECONDS = 1.0
# How long it asks for none after the pool of hosts without a leader had none left.
ALONE_WAIT_SECONDS = 0.5


class EndpointLimits:
    """Lets as many requests go to an endpoint as its limit allows over all hosts.

    Each request to an endpoint with a limit is charged at the leader before it is sent,
    or at the pool of the hosts that find no leader. May be used by threads.
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
        """Tell the leader of limits that end until the process stops."""
        process.repeat(TELL_SECONDS, self._tell_lifted)
        process.repeat(JOIN_SECONDS, self._join_pool)
        process.repeat(FORGET_SECONDS, self.forget_old)

    @property
    def count(self) -> int:
        """Return how many starts have a limit."""
        return len(self.notices.limited_starts)

    def hold_of(self, start_id: str) -> Hold | None:
        """Return why a start is given no requests now, None if it may be."""
        hold = self.notices.hold_of(start_id)
        if hold is not None:
            return hold
        wait = self.wait_for(start_id)
        return Hold(HoldReason.LIMIT, Deadline.after(wait)) if wait > 0 else None

    def wait_for(self, start_id: str) -> float:
        """Return for how long a start takes no more requests, in seconds."""
        if self.notices.limit_of(start_id) is None:
            return 0.0
        with self._charges.lock:
            return self._charges.spending.wait_for(start_id, steady_seconds())

    def take(self, request_id: str, start_id: str) -> float:
        """Charge a request to be sent there; return when to ask again, 0 if it may."""
        limit = self.notices.limit_of(start_id)
        if limit is None:
            return 0.0
        with self._charges.lock:
            answer = self._charges.spending.spend(start_id, 1.0, steady_seconds())
        if answer.wait > 0 or not answer.asks_leader:
            return answer.wait
        told = _spending(start_id, 1.0, limit.per_second, limit.named_at)
        state: EndpointLimitState | None = self._charges.at_leader(
            request_id, partial(_charge, told)
        )
        wait = self._charge_alone(told) if state is None else self._take(state)
        if wait > 0:
            extra = {
                "request_id": request_id,
                "start_id": start_id,
                "per_second": limit.per_second,
                "named_ago_ms": told.named_ago_ms,
                "wait_ms": int(wait * MILLISECONDS),
                "leader": state is not None,
            }
            logger.info("request not within its endpoint's limit", extra=extra)
        return wait

    def forget_old(self) -> None:
        """Drop limits of starts that have not been heard for long."""
        for start_id in self.notices.forget_old():
            self._forget_spending(start_id)

    def _take(self, state: EndpointLimitState) -> float:
        """Return what the leader's answer means for the request."""
        now = steady_seconds()
        start_id, per_second = state.start_id, state.per_second or 0.0
        if not per_second:
            self._drop_lifted(start_id, now - (state.named_ago_ms or 0) / MILLISECONDS)
            return 0.0
        wait = float(state.wait_seconds or 0.0)
        if wait > 0:
            others = max(0, self._hosts() - 1)
            spread = min(SPREAD_SECONDS, others / (2 * per_second))
            wait += random.uniform(0, spread)
            self._hold_off(start_id, wait)
        return wait

    def _charge_alone(self, told: EndpointSpending) -> float:
        may_send = self._charges.at_pool(
            lambda peer: peer.charge_endpoint_alone(self._host_id, self._hosts(), told)
        )
        if may_send:
            return 0.0
        self._hold_off(told.start_id, ALONE_WAIT_SECONDS)
        return ALONE_WAIT_SECONDS

    def _hold_off(self, start_id: str, wait: float) -> None:
        with self._charges.lock:
            self._charges.spending.take_answer(
                start_id, LedgerAnswer(wait, near_limit=True), steady_seconds()
            )

    def _drop_lifted(self, start_id: str, lifted_at: float) -> None:
        """Drop a limit that the endpoint has lifted in an answer to another host."""
        if self.notices.drop_limit(start_id, lifted_at):
            self._forget_spending(start_id)

    def _forget_spending(self, start_id: str) -> None:
        with self._charges.lock:
            self._charges.spending.forget(start_id)

    def _tell_lifted(self) -> None:
        # Told once: the other hosts are sent answers without the limit, too.
        for start_id, lifted_at in self.notices.take_lifted().items():
            self._forget_spending(start_id)
            told = _spending(start_id, 0.0, 0.0, lifted_at)
            self._charges.at_leader("", partial(_charge, told))

    def _join_pool(self) -> None:
        """Lend this host's parts while it finds no leader, before they are needed."""
        if self.notices.limited_starts and not self._charges.has_leader:
            nothing = EndpointSpending("", 0.0, 0.0, 0)
            self._charges.at_pool(
                lambda peer: peer.charge_endpoint_alone(
                    self._host_id, self._hosts(), nothing
                )
            )


def _charge(told: EndpointSpending, peer: Any) -> EndpointLimitState:
    answer: EndpointLimitState = peer.charge_endpoint(told)
    return answer


def _spending(
    start_id: str, amount: float, per_second: float, known_at: float
) -> EndpointSpending:
    known_ago_ms = int((steady_seconds() - known_at) * MILLISECONDS)
    return EndpointSpending(start_id, amount, per_second, known_ago_ms)
