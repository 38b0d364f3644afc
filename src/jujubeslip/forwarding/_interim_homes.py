"""Finds the control host that keeps the queue for capacity while no host leads."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._leader_pauses import LeaderPauses

T = TypeVar("T")


class InterimHomes:
    """Chooses among the reachable control hosts, and calls the one that is chosen.

    Entry hosts that reach the same control hosts choose the same one, so that their
    requests wait in one queue. A control host that hears a leader refuses.
    """

    def __init__(self, leader: LeaderContact) -> None:
        self._leader = leader
        self._pauses = LeaderPauses()
        self._answering: set[str] = set()
        """Control hosts that have decided the latest request that they were asked."""
        self._lock = threading.Lock()

    def address(self) -> str | None:
        """Return the control host to ask, None if there is none or a leader answers.

        A silent leader is asked again by single requests; the others stay here.
        """
        if self._leader.is_answering:
            return None
        return self._first_usable()

    def is_answering(self) -> bool:
        """Return whether a request that waits elsewhere should be moved there.

        A host that may be silent is only asked by requests that arrive: each call costs
        the whole timeout, and a request that waits would lose that time twice.
        """
        address = self.address()
        return address is not None and self.has_decided(address)

    def has_decided(self, address: str) -> bool:
        """Return whether a control host has answered the latest call."""
        with self._lock:
            return address in self._answering

    def may_answer(self, address: str) -> bool:
        """Return whether a control host that has granted a request may be notified."""
        with self._lock:
            is_skipped = self._pauses.is_silent(address)
        return not is_skipped and self._leader.may_answer(address)

    def _first_usable(self) -> str | None:
        with self._lock:
            for address in self._leader.reachable_control_hosts():
                is_skipped = self._pauses.is_paused(address)
                if not is_skipped and not self._leader.is_silent(address):
                    return address
        return None

    def call(
        self,
        address: str,
        request_id: str,
        timeout: float,
        rpc: Callable[[Any], T],
    ) -> T | None:
        """Return the answer of a control host, None if it gave none or refused."""
        with self._lock:
            self._pauses.begin_call(address, timeout)
        answer = self._leader.call_interim(address, request_id, timeout, rpc)
        with self._lock:
            if answer is None:
                self._pauses.pause(address, is_unresponsive=True)
                self._answering.discard(address)
            else:
                self._pauses.forget(address)
                self._answering.add(address)
        return answer
