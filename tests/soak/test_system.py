"""Tests of when the soak may disturb another control host."""

from __future__ import annotations

import threading
from types import SimpleNamespace
from typing import Any

import pytest

from soak._schedule import CONTROLS
from soak._system import SoakSystem

VOTERS = ("control-0/a", "control-1/b", "control-2/c")


def is_ready(*replica_ids: str | None, failure: str = "") -> bool:
    """Return whether the soak finds these replicas ready; None gives no response."""

    def status(slot: str) -> Any:
        replica_id = replica_ids[CONTROLS.index(slot)]
        if replica_id is None:
            return None
        return SimpleNamespace(
            replica_id=replica_id,
            leader_id="control-0/a",
            replicas=[SimpleNamespace(replica_id=item, voter=True) for item in VOTERS],
            failure=failure,
        )

    hosts = {
        slot: SimpleNamespace(host=SimpleNamespace(name=slot)) for slot in CONTROLS
    }
    system: Any = SimpleNamespace(
        status=status, stopping=threading.Event(), host_by_slot=hosts
    )
    return SoakSystem._is_ready(system)


class TestReadyCluster:
    """The soak must not remove a second disk before the first replica is replaced."""

    def test_all_replicas_vote(self) -> None:
        assert is_ready(*VOTERS)

    def test_lost_disk_whose_former_replica_is_still_a_voter(self) -> None:
        assert not is_ready("control-0/a", "control-1/new", "control-2/c")

    @pytest.mark.parametrize("lost", range(1, 3))
    def test_host_that_does_not_answer(self, lost: int) -> None:
        answers = [None if slot == lost else VOTERS[slot] for slot in range(3)]
        assert not is_ready(*answers)

    def test_leader_that_has_failed(self) -> None:
        assert not is_ready(*VOTERS, failure="disk")
