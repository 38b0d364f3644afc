"""Tests of endpoint removals in the replicated state and its snapshots."""

from __future__ import annotations

import pytest

from jujubeslip.control import _removal_table
from jujubeslip.control._commands import make_entry
from jujubeslip.control._state_machine import StateMachine
from jujubeslip.peers import EndpointRemoval, RemovalScope

START = 1_700_000_000_000


def removal(
    endpoint_id: str = "e",
    start: int = START,
    scope: RemovalScope = RemovalScope.NAMED_START,
) -> EndpointRemoval:
    return EndpointRemoval(endpoint_id, start, 0, scope)


def applied(*removals: tuple[int, EndpointRemoval]) -> StateMachine:
    """Return the state after removals at these log times."""
    machine = StateMachine()
    for index, (stamp_ms, command) in enumerate(removals, 1):
        machine.apply(make_entry(index, 1, stamp_ms, command))
    return machine


def starts(machine: StateMachine) -> list[tuple[str, int]]:
    return [
        (record.removal.endpoint_id, record.removal.started_at_ms)
        for record in machine.removals.records()
    ]


class TestRecordedRemovals:
    """Guards against a removal that is lost, or kept forever."""

    def test_are_kept_by_start(self) -> None:
        later = removal(start=START + 1)
        machine = applied((0, removal()), (1, later), (2, removal()))
        assert sorted(starts(machine)) == [("e", START), ("e", START + 1)]

    def test_are_in_a_snapshot(self) -> None:
        count = 2 * 100 + 1
        machine = applied(*((n, removal(f"e-{n}")) for n in range(count)))
        loaded = StateMachine()
        for part in machine.parts():
            loaded.load_part(part)
        assert starts(loaded) == starts(machine)
        assert len(starts(loaded)) == count

    def test_expire_by_log_time(self) -> None:
        retention_ms = _removal_table.RETENTION_MS
        machine = applied((0, removal("a")), (retention_ms, removal("b")))
        assert starts(machine) == [("a", START), ("b", START)]
        machine = applied((0, removal("a")), (retention_ms + 1, removal("b")))
        assert starts(machine) == [("b", START)]

    def test_are_limited_in_number(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_removal_table, "MAXIMUM_REMOVALS", 2)
        machine = applied(*((n, removal(f"e-{n}")) for n in range(3)))
        assert starts(machine) == [("e-1", START), ("e-2", START)]

    def test_a_certain_one_is_not_replaced_by_an_uncertain_one(self) -> None:
        uncertain = removal(scope=RemovalScope.LATEST_START)
        machine = applied((0, removal()), (1, uncertain))
        [record] = machine.removals.records()
        assert record.removal.scope == RemovalScope.NAMED_START

    def test_added_since_a_version_are_returned(self) -> None:
        machine = applied((0, removal("a")))
        version = machine.removals.version
        machine.apply(make_entry(2, 1, 1, removal("b")))
        assert [
            record.removal.endpoint_id for record in machine.removals.since(version)
        ] == ["b"]


class TestRepeatedRemoval:
    """Guards against a disk write for each announcement of a leaving endpoint."""

    @pytest.mark.parametrize(
        ("scope", "after_ms", "is_held"),
        [
            (RemovalScope.NAMED_START, 100_000, True),
            (RemovalScope.ONLY_START, 100_000, True),
            (RemovalScope.LATEST_START, 500, True),
            (RemovalScope.LATEST_START, 100_000, False),
            (RemovalScope.ANY_START, 100_000, False),
        ],
    )
    def test_is_held_while_it_adds_nothing(
        self, scope: RemovalScope, after_ms: int, is_held: bool
    ) -> None:
        machine = applied((0, removal(scope=scope)))
        assert machine.removals.holds(removal(scope=scope), after_ms) is is_held

    def test_is_not_held_where_it_is_more_certain(self) -> None:
        machine = applied((0, removal(scope=RemovalScope.ONLY_START)))
        assert not machine.removals.holds(removal(), 1)
