"""Which control host keeps the queue of a host whose leader is silent."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from jujubeslip.forwarding._interim_homes import InterimHomes

SILENT, FIRST, SECOND = "10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"


class Leader:
    """Contact to a leader that is silent, and to other control hosts."""

    def __init__(self) -> None:
        self.is_answering = False
        self.decides = {FIRST: True, SECOND: True}

    def address(self) -> str:
        # Its pause has ended, so that the next request finds out if it answers.
        return SILENT

    def reachable_control_hosts(self) -> list[str]:
        return [SILENT, FIRST, SECOND]

    def is_silent(self, address: str) -> bool:
        return address == SILENT

    def may_answer(self, address: str) -> bool:
        return address != SILENT

    def call_interim(self, address: str, *_: object) -> str | None:
        return "granted" if self.decides[address] else None


def homes_of(leader: Leader) -> InterimHomes:
    contact: Any = leader
    return InterimHomes(contact)


def call(homes: InterimHomes, address: str) -> str | None:
    return homes.call(address, "r-1", 0.1, lambda peer: SimpleNamespace())  # type: ignore[return-value]


class TestSilentLeader:
    """Guards against requests of a partitioned zone that leave the interim queue."""

    def test_does_not_end_the_interim_queue(self) -> None:
        assert homes_of(Leader()).address() == FIRST

    def test_that_answers_ends_it(self) -> None:
        leader = Leader()
        leader.is_answering = True
        assert homes_of(leader).address() is None

    def test_interim_home_is_notified_of_ended_requests(self) -> None:
        homes = homes_of(Leader())
        assert homes.may_answer(FIRST) and not homes.may_answer(SILENT)


class TestInterimHomeThatDoesNotDecide:
    """Guards against requests that all wait for a silent control host."""

    def test_is_skipped(self) -> None:
        leader = Leader()
        homes = homes_of(leader)
        leader.decides[FIRST] = False
        assert call(homes, FIRST) is None
        assert homes.address() == SECOND
        assert not homes.is_answering()

    def test_requests_join_the_next_once_it_has_decided(self) -> None:
        leader = Leader()
        homes = homes_of(leader)
        leader.decides[FIRST] = False
        call(homes, FIRST)
        assert call(homes, SECOND) == "granted"
        assert homes.is_answering()
