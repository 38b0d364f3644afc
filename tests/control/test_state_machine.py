"""Tests of the replicated state machine and its snapshots."""

from __future__ import annotations

from pathlib import Path

import pytest

from jujubeslip.control import _claims
from jujubeslip.control._claims import ClaimsFull, ClaimTable
from jujubeslip.control._commands import Command, make_entry
from jujubeslip.control._configurations import ChangeIdReused
from jujubeslip.control._engine_table import ORDER_EXPIRY_MS
from jujubeslip.control._errors import StorageDamagedError
from jujubeslip.control._snapshots import (
    SnapshotReceiver,
    load_machine,
    newest_snapshot,
    write_snapshot,
)
from jujubeslip.control._state_machine import StateMachine
from jujubeslip.peers import (
    AbandonCommand,
    ApplyReply,
    ApplyRequest,
    EndpointRole,
    EngineLoad,
    EngineLoads,
    EngineOrder,
    FinishCommand,
    KeyClaim,
    KeyReply,
    KeyStatus,
    Membership,
    SnapshotHeader,
    SnapshotPiece,
)


class Applier:
    """Applies commands to a state machine as entries of a log."""

    def __init__(self, machine: StateMachine | None = None) -> None:
        self.machine = machine or StateMachine()
        self.index = 0

    def apply(self, command: Command, stamp_ms: int = 0) -> object:
        self.index += 1
        return self.machine.apply(make_entry(self.index, 1, stamp_ms, command))


def change(number: int, base: int, text: str = "") -> ApplyRequest:
    return ApplyRequest(f"change-{number}", base, text or f"# {number}", "operator")


def claim(key: str, request: str = "r1", fingerprint: str = "f") -> KeyClaim:
    return KeyClaim("client", key, request, "entry-1/1", fingerprint)


class TestConfigurations:
    """Each change gets one answer, and the revision never decreases."""

    def test_one_of_two_operators_with_equal_base_wins(self) -> None:
        applier = Applier()
        won = applier.apply(change(1, 0))
        lost = applier.apply(change(2, 0))
        assert won == ApplyReply(True, 1, "change-1", "operator", "")
        assert lost == ApplyReply(False, 1, "change-1", "operator", "# 1")

    def test_resend_after_500_changes_and_a_snapshot(self, tmp_path: Path) -> None:
        """An operator resends a change hours later, since its answer was lost.

        500 further changes were accepted, and the replica has restarted from a
        snapshot. The resend must neither be applied again nor be refused as a conflict
        with the first one.
        """
        applier = Applier()
        first = applier.apply(change(0, 0))
        lost = applier.apply(change(9999, 0))
        for number in range(1, 501):
            applier.apply(change(number, number))
        assert applier.apply(change(0, 0)) == first
        restored = Applier(restore(tmp_path, applier))
        assert restored.apply(change(0, 0)) == first
        assert restored.apply(change(9999, 0)) == lost
        assert restored.machine.configurations.current.revision == 501

    def test_change_id_of_another_change_is_refused(self) -> None:
        applier = Applier()
        applier.apply(change(1, 0))
        assert applier.apply(change(1, 1, "# other")) == ChangeIdReused("change-1")

    def test_history_is_newest_first(self) -> None:
        applier = Applier()
        for number in range(4):
            applier.apply(change(number, number))
        history = applier.machine.configurations.history(2)
        assert [item.revision for item in history] == [4, 3]


class TestClaims:
    """A key is given to one request until its retention ends."""

    def test_statuses(self) -> None:
        applier = Applier()
        first = KeyReply(KeyStatus.FIRST, "r1", "entry-1/1", None)
        assert applier.apply(claim("k")) == first
        assert applier.apply(claim("k")) == first
        running = replace_status(first, KeyStatus.RUNNING)
        assert applier.apply(claim("k", "r2")) == running
        conflict = replace_status(first, KeyStatus.CONFLICT)
        assert applier.apply(claim("k", "r1", "other")) == conflict
        applier.apply(FinishCommand(claim("k", "r2"), b"not the holder"))
        applier.apply(FinishCommand(claim("k"), b"outcome"))
        applier.apply(FinishCommand(claim("k"), b"second outcome"))
        finished = KeyReply(KeyStatus.FINISHED, "r1", "entry-1/1", b"outcome")
        assert applier.apply(claim("k", "r2")) == finished

    def test_clients_do_not_share_keys(self) -> None:
        table = ClaimTable()
        table.claim(KeyClaim("a", "bc", "r1", "o", "f"), 0)
        other = table.claim(KeyClaim("ab", "c", "r2", "o", "f"), 0)
        assert isinstance(other, KeyReply)
        assert other.status == KeyStatus.FIRST

    def test_abandoned_key_goes_to_another_request(self) -> None:
        """A request is refused before it ran, and then sent again.

        The first request abandons its claim. A late copy of that claim, from an
        abandoned connection, arrives before the claim of the resend. If the copy
        claimed the key again, nothing would run it, and the resend would wait for an
        outcome that never comes.
        """
        applier = Applier()
        applier.apply(claim("k", "r1"))
        applier.apply(AbandonCommand(claim("k", "r2")))
        assert status_of(applier.apply(claim("k", "r2"))) == KeyStatus.RUNNING
        applier.apply(AbandonCommand(claim("k", "r1")))
        assert status_of(applier.apply(claim("k", "r1"))) == KeyStatus.RUNNING
        assert status_of(applier.apply(claim("k", "r2"))) == KeyStatus.FIRST
        assert status_of(applier.apply(claim("k", "r3"))) == KeyStatus.RUNNING

    def test_claims_expire_only_after_their_retention(self) -> None:
        table = ClaimTable(maximum_claims=2)
        table.claim(claim("a"), 0)
        table.claim(claim("b"), 10)
        retention = _claims.CLAIM_RETENTION_MS
        assert table.claim(claim("c"), retention - 1) == ClaimsFull(1)
        assert isinstance(table.claim(claim("c"), retention), KeyReply)
        assert len(table) == 2

    def test_outcomes_are_bounded_and_claims_stay(
        self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
    ) -> None:
        monkeypatch.setattr(_claims, "MAXIMUM_OUTCOME_BYTES", 10)
        monkeypatch.setattr(_claims, "MAXIMUM_TOTAL_OUTCOME_BYTES", 25)
        applier = Applier()
        for key in "abcd":
            applier.apply(claim(key))
        for key, size in (("d", 10), ("a", 11), ("b", 10), ("c", 10)):
            applier.apply(FinishCommand(claim(key), b"x" * size))
        restored = Applier(restore(tmp_path, applier))
        for machine in (applier, restored):
            replies = [machine.apply(claim(key, "r2")) for key in "abcd"]
            assert [len(getattr(r, "outcome", None) or b"") for r in replies] == [
                0,
                10,
                10,
                0,
            ]
            assert {getattr(r, "status", None) for r in replies} == {KeyStatus.FINISHED}
        applier.apply(claim("e"))
        applier.apply(FinishCommand(claim("e"), b"x" * 10))
        restored.apply(claim("e"))
        restored.apply(FinishCommand(claim("e"), b"x" * 10))
        assert state_of(restored) == state_of(applier)


class TestSnapshotFiles:
    """A snapshot is read back completely or not at all."""

    def test_damage_anywhere_is_refused_at_start(self, tmp_path: Path) -> None:
        """A byte of a snapshot changes or its tail is lost, and the start has to fail.

        A start with the remaining data would revert configurations and lose claims.
        """
        applier = Applier()
        applier.apply(change(1, 0))
        applier.apply(claim("k"))
        path = write_snapshot(tmp_path, header(applier), applier.machine.parts()).path
        whole = path.read_bytes()
        for position in range(len(whole)):
            flipped = bytearray(whole)
            flipped[position] ^= 0x11
            for damaged in (bytes(flipped), whole[:position]):
                path.write_bytes(damaged)
                with pytest.raises(StorageDamagedError):
                    read_newest(tmp_path)

    def test_interrupted_transfer_is_resumed(self, tmp_path: Path) -> None:
        applier = Applier()
        for number in range(30):
            applier.apply(change(number, number))
        source, target = tmp_path / "source", tmp_path / "target"
        source.mkdir()
        target.mkdir()
        snapshot = write_snapshot(source, header(applier), applier.machine.parts())
        data = snapshot.path.read_bytes()

        def piece(start: int, end: int, flip: int = 0) -> SnapshotPiece:
            content = bytearray(data[start:end])
            if content:
                content[0] ^= flip
            return SnapshotPiece(
                last_index=30,
                checksum=snapshot.checksum,
                total_bytes=len(data),
                offset=start,
                data=bytes(content),
            )

        receiver = SnapshotReceiver(target)
        assert receiver.receive(piece(0, 100)) == 100
        assert receiver.receive(piece(200, 300)) == 100
        receiver = SnapshotReceiver(target)
        assert receiver.receive(piece(0, 0)) == 100
        assert receiver.receive(piece(100, len(data), flip=1)) == len(data)
        assert receiver.finish(piece(0, 0)) is None
        assert receiver.receive(piece(0, len(data))) == len(data)
        assert receiver.finish(piece(0, 0)) is not None
        restored = read_newest(target)
        assert restored.configurations.current.revision == 30


def status_of(outcome: object) -> KeyStatus:
    assert isinstance(outcome, KeyReply)
    return KeyStatus(outcome.status)


def replace_status(reply: KeyReply, status: KeyStatus) -> KeyReply:
    return KeyReply(status, reply.request_id, reply.owner, None)


def header(applier: Applier) -> SnapshotHeader:
    membership = Membership("cluster", [], [])
    return SnapshotHeader(applier.index, 1, applier.machine.stamp_ms, membership)


def read_newest(folder: Path) -> StateMachine:
    snapshot = newest_snapshot(folder)
    assert snapshot is not None
    return load_machine(snapshot)


def restore(folder: Path, applier: Applier) -> StateMachine:
    write_snapshot(folder, header(applier), applier.machine.parts())
    return read_newest(folder)


def state_of(applier: Applier) -> list[object]:
    return list(applier.machine.parts())


class TestEngines:
    """Guards against orders and loads that are missing at the next leader."""

    def test_orders_are_kept_until_they_expire(self) -> None:
        applier = Applier()
        applier.apply(EngineOrder("e-1", EndpointRole.DECODE), 1000)
        table = applier.machine.engines
        [record] = table.orders_at(1000 + ORDER_EXPIRY_MS - 1)
        assert record.order.start_id == "e-1"
        assert not table.orders_at(1000 + ORDER_EXPIRY_MS)

    def test_expired_orders_are_removed(self) -> None:
        applier = Applier()
        for number in range(100):
            order = EngineOrder(f"e-{number}", EndpointRole.DECODE)
            applier.apply(order, number * ORDER_EXPIRY_MS)
        [part] = [part for part in applier.machine.parts() if part.orders or part.loads]
        assert [record.order.start_id for record in part.orders] == ["e-99"]

    def test_loads_replace_earlier_ones(self) -> None:
        applier = Applier()
        applier.apply(EngineLoads([EngineLoad("a", 1, 1, 2)]))
        applier.apply(EngineLoads([EngineLoad("b", 2, 1, 2)]))
        assert applier.machine.engines.load_of("a") is None
        load = applier.machine.engines.load_of("b")
        assert load is not None and load.busiest_readers == 2

    def test_snapshots_hold_both(self, tmp_path: Path) -> None:
        applier = Applier()
        applier.apply(EngineOrder("e-1", EndpointRole.DECODE), 1000)
        applier.apply(EngineLoads([EngineLoad("a", 0.5, 1, 2)]), 1000)
        header = SnapshotHeader(2, 1, 1000, Membership("cluster", [], []))
        loaded = load_machine(write_snapshot(tmp_path, header, applier.machine.parts()))
        assert loaded.engines.orders_at(1000) == applier.machine.engines.orders_at(1000)
        assert loaded.engines.load_of("a") == EngineLoad("a", 0.5, 1, 2)
