"""Charges against limits that all hosts share, at the leader or without a leader."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, TypeVar

from jujubeslip.accounts import POOL_USED, HostSpending, Loan
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._leader_pauses import LeaderPauses
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import PeerRefusal

T = TypeVar("T")

# Timeout of a call to the leader, in seconds; an answer takes a few milliseconds.
ANSWER_SECONDS = 0.25
# Interval at which a host without a leader joins the pool of such hosts, in seconds.
# With this interval all have joined before most requests arrive.
JOIN_SECONDS = 0.25
# How many control hosts a request is charged at in turn if they do not answer.
MAXIMUM_POOLS = 2
MILLISECONDS = 1000


@dataclass(frozen=True)
class PoolAnswer:
    """What a pool of hosts without a leader has decided about a request."""

    may_run: bool
    address: str
    """The control host that keeps the pool, empty if none answered."""
    wait: float
    """Seconds until the pool may admit the request, infinite if unknown."""


NOT_ADMITTED = PoolAnswer(False, "", math.inf)


class SharedCharges:
    """Charges at the leader, or at the pool of the hosts that find no leader.

    The pool is kept by one control host that these hosts reach. `spending` is what this
    host has spent; it is only used while `lock` is held.
    """

    def __init__(self, leader: LeaderContact, spending: HostSpending) -> None:
        self._leader = leader
        self._pool_pauses = LeaderPauses()
        self.spending = spending
        self.lock = threading.Lock()

    @property
    def has_leader(self) -> bool:
        """Return whether there is a leader to call that has not just failed."""
        return self._leader.has_leader

    def charge_at_leader(self, request_id: str, rpc: Callable[[Any], T]) -> T | None:
        """Charge at the leader and return its answer, None if no leader is found."""
        while (address := self._leader.address()) is not None:
            answer = self._leader.call(address, request_id, ANSWER_SECONDS, rpc)
            if answer is not None:
                return answer
        return None

    def charge_at_pool(self, rpc: Callable[[Any, Loan], bool]) -> PoolAnswer:
        """Lend this host's shares to the pool, and charge a request there.

        A control host that does not answer is skipped for a while, and the next one
        asked. It may have charged the request, too, which then counts twice.
        """
        addresses = self._leader.reachable_control_hosts()
        usable = [item for item in addresses if not self._pool_pauses.is_paused(item)]
        for address in usable[:MAXIMUM_POOLS]:
            with self.lock:
                loan = self.spending.lend(address, steady_seconds())
            if loan is None:
                return NOT_ADMITTED
            answer = self._leader.call_control_host(
                address, ANSWER_SECONDS, partial(_call, rpc, loan)
            )
            if isinstance(answer, PeerRefusal) and answer.error_id == POOL_USED:
                return PoolAnswer(False, address, _wait_of(answer))
            if isinstance(answer, bool):
                return PoolAnswer(answer, address, math.inf)
            self._pool_pauses.pause(address)
        return NOT_ADMITTED

    def end_loan(self) -> None:
        """End the loan of this host's shares, since it has found a leader."""
        with self.lock:
            self.spending.end_loan()


def _call(rpc: Callable[[Any, Loan], bool], loan: Loan, peer: Any) -> bool:
    return rpc(peer, loan)


def _wait_of(refusal: PeerRefusal) -> float:
    wait_ms = refusal.retry_after_ms or 0
    return wait_ms / MILLISECONDS if wait_ms else math.inf
