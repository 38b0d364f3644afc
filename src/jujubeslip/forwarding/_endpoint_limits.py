"""Limits that endpoints in need name in their answers, as this host knows them."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from jujubeslip.accounts import LedgerAnswer
from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._shared_charges import JOIN_SECONDS, SharedCharges
from jujubeslip.interfaces import EndpointHead
from jujubeslip.kernel import Deadline, Process, steady_seconds
from jujubeslip.peers import EndpointLimitState, EndpointSpending

logger = logging.getLogger(__name__)

MILLISECONDS = 1000

# How long a limit is kept that the endpoint neither names again nor lifts, in seconds:
# far longer than a limited endpoint goes without a request.
KEPT_SECONDS = 60.0
# How often the leader is told of limits that were lifted, in seconds.
TELL_SECONDS = 0.5
# How often limits that count no more are looked for, in seconds.
FORGET_SECONDS = 10.0
# For how much longer than the leader says a host asks for none of an endpoint's limit
# at most, by lot, in seconds: all hosts would ask for the next request at once.
SPREAD_SECONDS = 1.0
# How long it asks for none after the pool of hosts without a leader had none left.
ALONE_WAIT_SECONDS = 0.5


@dataclass(frozen=True)
class NamedLimit:
    """How many requests an endpoint takes from all hosts together."""

    per_second: float
    named_at: float
    """When an answer named it last, in seconds of this host's clock."""

    @property
    def forgotten_at(self) -> Deadline:
        """Return when it counts no more, unless it is named again."""
        return Deadline(self.named_at + KEPT_SECONDS)


class EndpointLimits:
    """Lets as many requests go to an endpoint as its limit allows over all hosts.

    Each request to an endpoint with a limit is charged at the leader before it is sent,
    or at the pool of the hosts that find no leader. May be used by threads.
    """

    def __init__(
        self, charges: SharedCharges, host_id: str, hosts: Callable[[], int]
    ) -> None:
        self._charges = charges
        self._host_id = host_id
        self._hosts = hosts
        self._limit_by_start: dict[str, NamedLimit] = {}
        self._lifted_at_by_start: dict[str, float] = {}
        """Of limits that the leader is still to be told of."""
        self._lock = threading.Lock()

    def start(self, process: Process) -> None:
        """Tell the leader of limits that end until the process stops."""
        process.repeat(TELL_SECONDS, self._tell_lifted)
        process.repeat(JOIN_SECONDS, self._join_pool)
        process.repeat(FORGET_SECONDS, self.forget_old)

    @property
    def count(self) -> int:
        """Return how many starts have a limit."""
        return len(self._limit_by_start)

    def note_answer(
        self, endpoint: Endpoint, head: EndpointHead, sent_at: float
    ) -> None:
        """Note what the head of an answer says to a request sent at this instant.

        An answer without a limit lifts the one that is known, unless its request was
        sent before that was named.
        """
        if head.limit_per_second is None and not self._limit_by_start:
            return
        start_id = endpoint.start_id
        with self._lock:
            known = self._limit_by_start.get(start_id)
            if head.limit_per_second is not None:
                limit = NamedLimit(head.limit_per_second, steady_seconds())
                self._limit_by_start[start_id] = limit
            elif known is not None and sent_at > known.named_at:
                del self._limit_by_start[start_id]
                self._lifted_at_by_start[start_id] = steady_seconds()
            else:
                return
        self._log(start_id, known, head.limit_per_second)

    def wait_for(self, start_id: str) -> float:
        """Return for how long a start takes no more requests, in seconds."""
        if start_id not in self._limit_by_start:
            return 0.0
        with self._charges.lock:
            return self._charges.spending.wait_for(start_id, steady_seconds())

    def take(self, request_id: str, start_id: str) -> float:
        """Charge a request to be sent there; return when to ask again, 0 if it may."""
        limit = self._limit_by_start.get(start_id)
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
        with self._lock:
            for start_id, limit in list(self._limit_by_start.items()):
                if limit.forgotten_at.expired:
                    del self._limit_by_start[start_id]
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
        with self._lock:
            known = self._limit_by_start.get(start_id)
            if known is None or known.named_at > lifted_at:
                return
            del self._limit_by_start[start_id]
        self._forget_spending(start_id)
        self._log(start_id, known, None)

    def _forget_spending(self, start_id: str) -> None:
        with self._charges.lock:
            self._charges.spending.forget(start_id)

    def _tell_lifted(self) -> None:
        with self._lock:
            lifted = dict(self._lifted_at_by_start)
        for start_id, lifted_at in lifted.items():
            self._forget_spending(start_id)
            told = _spending(start_id, 0.0, 0.0, lifted_at)
            self._charges.at_leader("", partial(_charge, told))
        # Told once: the other hosts are sent answers without the limit, too.
        with self._lock:
            for start_id in lifted:
                self._lifted_at_by_start.pop(start_id, None)

    def _join_pool(self) -> None:
        """Lend this host's parts while it finds no leader, before they are needed."""
        if self._limit_by_start and not self._charges.has_leader:
            nothing = EndpointSpending("", 0.0, 0.0, 0)
            self._charges.at_pool(
                lambda peer: peer.charge_endpoint_alone(
                    self._host_id, self._hosts(), nothing
                )
            )

    def _log(
        self, start_id: str, known: NamedLimit | None, per_second: float | None
    ) -> None:
        extra = {
            "start_id": start_id,
            "per_second": per_second,
            "per_second_before": known.per_second if known else None,
        }
        if per_second is None:
            logger.info("endpoint lifted its limit", extra=extra)
        elif known is None or known.per_second != per_second:
            logger.info("endpoint named a limit", extra=extra)


def _charge(told: EndpointSpending, peer: Any) -> EndpointLimitState:
    answer: EndpointLimitState = peer.charge_endpoint(told)
    return answer


def _spending(
    start_id: str, amount: float, per_second: float, known_at: float
) -> EndpointSpending:
    known_ago_ms = int((steady_seconds() - known_at) * MILLISECONDS)
    return EndpointSpending(start_id, amount, per_second, known_ago_ms)
