"""Tests of engine orders in the log of a host that was recovered as single voter."""

from __future__ import annotations

from pathlib import Path

from jujubeslip.control._commands import Command, NoOp, make_entry
from jujubeslip.control._engine_log import EngineLog
from jujubeslip.control._engine_table import ORDER_EXPIRY_SECONDS
from jujubeslip.control._recovery import recover
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Process
from jujubeslip.peers import (
    EndpointRole,
    EngineOrder,
    Member,
    Membership,
    ReplicaMetadata,
)

HOUR_MS = 3_600_000


def settings_in(folder: Path) -> ControlSettings:
    return ControlSettings(
        host_id="control-1",
        availability_zone="zone",
        region="region",
        peer_address="127.0.0.1:1",
        peer_secret="secret-of-tests",
        data_folder=folder,
    )


def write_log(settings: ControlSettings) -> None:
    """Write the log of one of two voters, with an order after an hour of log time."""
    storage = Storage(settings.data_folder, settings.host_id)
    replica = Replica(settings, storage, Process("test"))
    members = [
        Member(replica.replica_id, "control-1", "", True),
        Member("control-2/disk", "control-2", "", True),
    ]
    commands: list[tuple[int, Command]] = [
        (0, Membership("cluster", members, [])),
        (HOUR_MS, EngineOrder("engine", EndpointRole.PREFILL)),
        (HOUR_MS + 1, NoOp()),
    ]
    with replica.disk_lock, replica.lock:
        replica.save_metadata(ReplicaMetadata("cluster", 1, ""))
        for index, (stamp_ms, command) in enumerate(commands, start=1):
            replica.append_entry(make_entry(index, 1, stamp_ms, command))
        replica.write_pending()
    storage.close()


class TestOrderBeforeARecovery:
    """Guards against an engine that gets no order for the duration of the old log.

    The log time of the order is then ahead of the time of the recovered log.
    """

    def test_expires_as_soon_as_any_other(self, tmp_path: Path) -> None:
        settings = settings_in(tmp_path / "data")
        write_log(settings)
        recover(settings, confirmed=True)
        storage = Storage(settings.data_folder, settings.host_id)
        try:
            replica = Replica(settings, storage, Process("test"))
            with replica.disk_lock, replica.lock:
                replica.lead()
                replica.write_pending()
            assert replica.fence() is not None
            (pending,) = EngineLog(replica).pending_orders()
            assert pending.until.remaining() <= ORDER_EXPIRY_SECONDS
        finally:
            storage.close()
