"""Charges against limits that all hosts share: at the leader, or without one."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from jujubeslip.accounts import HostSpending
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.kernel import steady_seconds

T = TypeVar("T")

# How long the leader may take to answer, in seconds; it needs a few milliseconds.
ANSWER_SECONDS = 0.25
# How often a host that has no leader to ask joins the pool of those without one, in
# seconds: all have joined before most requests come.
JOIN_SECONDS = 0.25


class SharedCharges:
    """Asks the leader for a charge, or the control host that hosts without it share.

    `spending` is what this host has spent; it is used under `lock` alone.
    """

    def __init__(self, leader: LeaderContact, spending: HostSpending) -> None:
        self._leader = leader
        self.spending = spending
        self.lock = threading.Lock()

    @property
    def has_leader(self) -> bool:
        """Say whether there may be a leader to ask."""
        return self._leader.address() is not None

    def at_leader(self, request_id: str, ask: Callable[[Any], T]) -> T | None:
        """Return the answer of a leader, None where none is found."""
        while (address := self._leader.address()) is not None:
            answer = self._leader.call(address, request_id, ANSWER_SECONDS, ask)
            if answer is not None:
                return answer
        return None

    def at_pool(self, ask: Callable[[Any], bool]) -> bool:
        """Lend this host's parts to the pool that it reaches; say whether it grants."""
        address = self._leader.first_reachable()
        if address is None:
            return False
        with self.lock:
            if not self.spending.lend(address, steady_seconds()):
                return False
        return bool(self._leader.call_control_host(address, ANSWER_SECONDS, ask))
