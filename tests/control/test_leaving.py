"""Control hosts that stop at the same time, or that are elected while they stop."""

from __future__ import annotations

import signal
from pathlib import Path

from jujubeslip.control._commands import make_entry
from jujubeslip.control._replica import Replica
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.control._stopping import leave
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Deadline, Process
from jujubeslip.peers import ControlStatus, Member, Membership, ReplicaMetadata
from tests.control.test_replacement import lose_disk
from tests.control.test_seeds import ROUTES, join, status, voters
from tests.fakes.platform_system import PLAIN, Host, PlatformSystem, configuration
from tests.fakes.processes import wait_until

SUCCESSORS = ("control-8", "control-9")
OLD = ("control-0", "control-1", "control-2")


def leader_status(system: PlatformSystem) -> ControlStatus | None:
    """Return the status of the host that leads."""
    for seed in system.seeds:
        leading = status(seed)
        if leading is not None and leading.leader_id == leading.replica_id:
            return leading
    return None


def leader_and_another(leading: ControlStatus) -> list[str]:
    """Return the host that leads and the first of the others in its status."""
    leader = leading.leader_id.partition("/")[0]
    names = [item.replica_id.partition("/")[0] for item in leading.replicas]
    return [leader, next(name for name in names if name != leader)]


class TestTwoHostsThatStopAtOnce:
    """Guards against a lost majority after two old hosts are switched off together.

    Two successors vote, and the leader and another old host get SIGTERM. The leader
    transfers leadership to the other one, which has already passed its own transfer and
    waits to be removed. As a leader does not remove itself, it exits after 2 s while
    it still leads and votes. One of four voters is missing then, and the disk that is
    lost next permanently leaves no majority.
    """

    def test_tolerates_a_disk_lost_right_after(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, 3, 0) as system:
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            for name in SUCCESSORS:
                join(system, name)
                wait_until(
                    lambda name=name: name in voters(system.seeds[0]),  # type: ignore[misc]
                    f"{name} votes",
                )
            leading = wait_until(lambda: leader_status(system), "an old host leads")
            assert leading is not None
            host_by_name = {host.name: host for host in system.controls}
            stopping: list[Host] = [
                host_by_name[name] for name in leader_and_another(leading)
            ]
            for host in stopping:
                host.signal(signal.SIGTERM)
            for host in stopping:
                assert host.process is not None
                wait_until(lambda host=host: not host.process.running, "it has exited")  # type: ignore[misc]
            stopped = {host.name for host in stopping}
            remaining = next(name for name in OLD if name not in stopped)
            lose_disk(system, OLD.index(remaining))
            successor = system.controls.index(host_by_name[SUCCESSORS[0]])
            wait_until(
                lambda: (
                    system.put(configuration(2, ROUTES, [PLAIN]), control=successor)
                    == 200
                ),
                "a change is accepted",
            )


class TestLeaderElectedWhileItStops:
    """Guards against a stopping host that is elected and exits as leader.

    Its first transfer of leadership went to a host that was stopping as well or was not
    elected. If it is elected itself while it waits to be removed, it knows no other
    leader to ask, and would exit 2 s later while it still leads and votes.
    """

    def test_transfers_leadership_before_it_leaves(self, tmp_path: Path) -> None:
        settings = ControlSettings(
            host_id="control-1",
            availability_zone="zone",
            region="region",
            peer_address="127.0.0.1:1",
            peer_secret="secret-of-tests",
            data_folder=tmp_path / "data",
            election_timeout_ms=1000,
            admits_any_host=True,
            tolerated_losses=1,
        )
        storage = Storage(tmp_path / "data", "control-1")
        replica = Replica(settings, storage, Process("test"))
        members = [Member(replica.replica_id, "control-1", "", True)]
        members += [
            Member(f"control-{number}/disk", f"control-{number}", "127.0.0.1:1", True)
            for number in (2, 3, 4)
        ]
        with replica.disk_lock, replica.lock:
            replica.save_metadata(ReplicaMetadata("cluster", 1, ""))
            membership = Membership("cluster", members, [])
            replica.append_entry(make_entry(1, 1, 0, membership))
            replica.write_pending()
            replica.lead()
        leave(replica, ReplicaClients(settings), Deadline.after(2.0))
        assert replica.leadership is None
        storage.close()
