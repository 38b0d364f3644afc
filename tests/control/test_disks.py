"""Tests of disks that are full, damaged or lost, with real processes."""

from __future__ import annotations

import resource
import signal
from pathlib import Path

import pytest

from jujubeslip.control import (
    DataFolderInUseError,
    StorageDamagedError,
    recover,
)
from jujubeslip.kernel import RESTART_STATUS, load_control_settings
from jujubeslip.peers import (
    ApplyReply,
    ControlStatus,
    KeyStatus,
    PeerRefusal,
    ReplicaDescription,
    VoteRequest,
)
from tests.control.cluster import (
    BOUND_SECONDS,
    ControlCluster,
    ControlHost,
)
from tests.fakes.processes import wait_until


class TestFullDisk:
    def test_acknowledges_nothing_after_a_failed_write(self, tmp_path: Path) -> None:
        """The leader's disk is full, and changes are still accepted by other hosts.

        Its next write fails half-way. From then on it must neither acknowledge, lead
        nor vote, since it is unknown which data is durable, and it reports the failure
        in its status until it is restarted.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            full = cluster.leader()
            limit_file_size(full)
            assert cluster.apply(2, 1).revision == 2
            status = wait_for_failed_write(full)
            assert "log-" in status.failure
            assert status.leader_id != status.replica_id
            with pytest.raises(PeerRefusal) as refused:
                full.call(lambda peer: peer.request_vote(vote_request(full)))
            assert refused.value.error_id == "storage_failed"
            full.kill()
            full.start()
            cluster.wait_applied(full, 2)


class TestDisksFullInTurn:
    """Guards against a majority that is lost through two disks full for a few seconds.

    A host acknowledges nothing after a failed write until it is restarted. If nothing
    restarts it, the second such host permanently leaves no majority, although both
    disks have had free space again for hours. The line of the failed disk is the last
    one in the log then.
    """

    def test_hosts_restart_once_they_have_free_space(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            for revision in (2, 3):
                full = cluster.leader()
                limit_file_size(full)
                assert cluster.apply(revision, revision - 1).revision == revision
                wait_for_failed_write(full)
                set_file_size(full, resource.RLIM_INFINITY)
                assert full.process is not None
                assert full.process.wait() == RESTART_STATUS
                # As the supervisor of the process does.
                full.start()
                cluster.wait_applied(full, revision)
            assert cluster.apply(4, 3).revision == 4


class TestDamagedDisk:
    def test_is_refused_at_start_with_a_remedy(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 1) as cluster:
            for revision in range(3):
                cluster.apply(revision, revision)
            host = cluster.hosts[0]
            host.kill()
            path = max(host.data_folder.glob("log-*"))
            content = bytearray(path.read_bytes())
            content[len(content) // 2] ^= 0xFF
            path.write_bytes(content)
            host.start()
            assert host.process is not None
            assert host.process.wait() == 1
            assert "storage_damaged" in host.output()
            assert "replace-a-lost-disk" in host.output()


class TestLostDisk:
    def test_returns_as_a_learner_and_a_second_loss_loses_nothing(
        self, tmp_path: Path
    ) -> None:
        """A host's disk is replaced, and right after the repair another host is lost.

        Only the lost disk and one other host held some of the changes. The host with
        the new disk must hold all of them before it votes, and its old identity must
        be removed from the membership.
        """
        with ControlCluster(tmp_path, 3, snapshot_every=20) as cluster:
            leader = cluster.leader()
            lagging, lost = cluster.others(leader)
            lagging.freeze()
            replies = [cluster.apply(number, number) for number in range(30)]
            assert cluster.claim("key", "r1").status == KeyStatus.FIRST
            old_ids = cluster.voter_ids()
            lost.kill()
            lost.lose_disk()
            lagging.signal(signal.SIGCONT)
            lost.start()
            wait_until(
                lambda: is_repaired(cluster, old_ids), "the repair", BOUND_SECONDS
            )
            destroyed = cluster.leader()
            destroyed.kill()
            destroyed.lose_disk()
            for number in (0, 17, 29):
                assert cluster.apply(number, number) == replies[number]
            assert cluster.claim("key", "r2").status == KeyStatus.RUNNING
            assert cluster.apply(30, 30).revision == 31

    def test_has_no_vote_under_its_old_identity(self, tmp_path: Path) -> None:
        """Two hosts restart, one of them with an empty disk, while the third is down.

        If the one with the empty disk voted under its old identity, the two could elect
        a leader that lacks entries which it and the third host had accepted.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            down, lost, kept = cluster.hosts
            for host in cluster.hosts:
                host.kill()
            lost.lose_disk()
            lost.start()
            kept.start()
            wait_until(
                lambda: kept.output().count("no leader heard") >= 4,
                "some tries to be elected",
                BOUND_SECONDS,
            )
            assert [host.leads() for host in (lost, kept)] == [False, False]
            down.start()
            assert cluster.apply(2, 1).revision == 2


class TestRestart:
    def test_all_hosts_killed_after_500_changes(self, tmp_path: Path) -> None:
        """All control hosts lose power, and an operator resends an old change.

        500 further changes were accepted in the meantime, and the entry of the old one
        has been replaced by a snapshot.
        """
        with ControlCluster(tmp_path, 3, snapshot_every=100) as cluster:
            first = cluster.apply(0, 0)
            lost = cluster.apply(9999, 0)
            assert lost == ApplyReply(False, 1, "change-0", "operator", "# change 0")
            for number in range(1, 501):
                cluster.apply(number, number)
            assert cluster.claim("key", "r1").status == KeyStatus.FIRST
            for host in cluster.hosts:
                host.kill()
            for host in cluster.hosts:
                host.start()
            assert cluster.apply(0, 0) == first
            assert cluster.apply(9999, 0) == lost
            assert cluster.claim("key", "r2").status == KeyStatus.RUNNING
            status = cluster.leader().status()
            assert status is not None
            assert status.configuration_revision == 501
            assert status.snapshot_index >= 300

    def test_follower_behind_the_trim_gets_the_snapshot(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 3, snapshot_every=10) as cluster:
            cluster.apply(0, 0)
            behind = cluster.others(cluster.leader())[0]
            behind.kill()
            for number in range(1, 80):
                cluster.apply(number, number)
            wait_until(lambda: trimmed(cluster) > 10, "the trim", BOUND_SECONDS)
            behind.start()
            cluster.wait_applied(behind, 80)
            wait_until(
                lambda: "snapshot installed" in behind.output(),
                "the log line of the snapshot",
                BOUND_SECONDS,
            )
            others = cluster.others(behind)
            others[0].kill()
            assert cluster.apply(80, 80).revision == 81


class TestDeclaredRecovery:
    def test_one_survivor_forms_a_new_cluster(self, tmp_path: Path) -> None:
        """Two of three hosts lose their disks, so that no quorum remains.

        An operator declares the recovery on the survivor; the others return with empty
        disks and join.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            reply = cluster.apply(1, 0)
            survivor, *lost = cluster.hosts
            cluster.wait_applied(survivor, 1)
            settings = load_control_settings(survivor.settings_path).unwrap()
            with pytest.raises(DataFolderInUseError):
                recover(settings, confirmed=True)
            for host in cluster.hosts:
                host.kill()
            for host in lost:
                host.lose_disk()
            assert not recover(settings, confirmed=False).recovered
            report = recover(settings, confirmed=True)
            assert report.former_host_ids == ("control-2", "control-3")
            for host in cluster.hosts:
                host.start()
            wait_until(
                lambda: len(cluster.voter_ids()) == 3, "three voters", BOUND_SECONDS
            )
            assert cluster.apply(1, 0) == reply
            cluster.leader().kill()
            assert cluster.apply(2, 1).revision == 2

    def test_empty_folder_is_not_recovered(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 1) as cluster:
            host = cluster.hosts[0]
            cluster.apply(1, 0)
            host.kill()
            host.lose_disk()
            settings = load_control_settings(host.settings_path).unwrap()
            with pytest.raises(StorageDamagedError, match="no state"):
                recover(settings, confirmed=True)


def limit_file_size(host: ControlHost) -> None:
    """Make the next append to the host's log fail, as on a full disk."""
    size = max(host.data_folder.glob("log-*")).stat().st_size
    set_file_size(host, size + 10)


def set_file_size(host: ControlHost, limit: int) -> None:
    assert host.process is not None
    limits = (limit, resource.RLIM_INFINITY)
    resource.prlimit(host.process.pid, resource.RLIMIT_FSIZE, limits)


def vote_request(host: ControlHost) -> VoteRequest:
    described: ReplicaDescription = host.call(lambda peer: peer.describe())
    return VoteRequest(
        described.cluster_id, described.replica_id, "any", 99, 999, 99, True
    )


def wait_for_failed_write(host: ControlHost) -> ControlStatus:
    """Wait until a write has failed; return the host's status.

    Another leader may have committed the change before the host tries to write it.
    """

    def failed() -> ControlStatus | None:
        status = host.status()
        return status if status is not None and status.failure else None

    status = wait_until(failed, "a failed write", BOUND_SECONDS)
    assert status is not None
    return status


def is_repaired(cluster: ControlCluster, old_ids: set[str]) -> bool:
    ids = cluster.voter_ids()
    return len(ids) == 3 and len(ids & old_ids) == 2


def trimmed(cluster: ControlCluster) -> int:
    status = cluster.leader().status()
    return 0 if status is None else status.first_index
