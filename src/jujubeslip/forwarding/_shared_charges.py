"""Charges against limits that all hosts share, at the leader or without a leader."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from jujubeslip.accounts import HostSpending
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.kernel import steady_seconds

T = TypeVar("T")

# Timeout of a call to the leader, in seconds; an answer takes a few milliseconds.
ANSWER_SECONDS = 0.25
# Interval at which a host without a leader joins the pool of such hosts, in seconds.
# With this interval all have joined before most requests arrive.
JOIN_SECONDS = 0.25


class SharedCharges:
    """Charges at the leader, or at the pool of the hosts that find no leader.

    The pool is kept by one control host that these hosts reach. `spending` is what this
    host has spent; it is only used while `lock` is held.
    """

    def __init__(self, leader: LeaderContact, spending: HostSpending) -> None:
        self._leader = leader
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

    def charge_at_pool(self, rpc: Callable[[Any], bool]) -> bool:
        """Lend this host's shares to the pool; return whether the charge is granted."""
        address = self._leader.first_reachable()
        if address is None:
            return False
        with self.lock:
            if not self.spending.lend(address, steady_seconds()):
                return False
        return bool(self._leader.call_control_host(address, ANSWER_SECONDS, rpc))
