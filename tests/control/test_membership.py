"""Tests of adding and removing replicas, with real processes."""

from __future__ import annotations

from pathlib import Path

import pytest

from jujubeslip.kernel import Deadline
from jujubeslip.peers import PeerRefusal
from tests.control.cluster import BOUND_SECONDS, ControlCluster, ControlHost
from tests.fakes.processes import wait_until


class TestReplicas:
    def test_one_is_added_and_another_removed(self, tmp_path: Path) -> None:
        """An operator moves a control host to other hardware."""
        with ControlCluster(tmp_path, 3, snapshot_every=10) as cluster:
            for number in range(25):
                cluster.apply(number, number)
            added = cluster.create_host("control-4")
            cluster.link()
            added.start()
            wait_until(
                lambda: "join request refused" in added.output(),
                "the unknown host is refused",
                BOUND_SECONDS,
            )
            assert len(cluster.voter_ids()) == 3
            deadline = Deadline.after(BOUND_SECONDS)
            cluster.client.add_replica("control-4", deadline)
            wait_until(
                lambda: len(cluster.voter_ids()) == 4, "four voters", BOUND_SECONDS
            )
            removed = cluster.leader()
            cluster.client.remove_replica(removed.host_id, deadline)
            staying = cluster.others(removed)
            leader = cluster.leader(staying)
            removed.kill()
            assert cluster.apply(25, 25).revision == 26
            cluster.others(removed, leader)[0].kill()
            assert cluster.apply(26, 26).revision == 27

    def test_last_quorum_is_not_removed(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            down, removed = cluster.others(cluster.leader())
            down.kill()

            def refused() -> bool:
                try:
                    cluster.client.remove_replica(removed.host_id, Deadline.after(2.0))
                except PeerRefusal as refusal:
                    return refusal.error_id == "quorum_would_be_lost"
                raise AssertionError("the quorum was removed")

            wait_until(refused, "the refusal", BOUND_SECONDS)
            assert cluster.apply(2, 1).revision == 2

    def test_second_process_of_a_host_is_refused(self, tmp_path: Path) -> None:
        """A host is started twice by mistake, the second time with an empty folder.

        The second process must not replace the first one, which works.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            before = cluster.voter_ids()
            first = cluster.others(cluster.leader())[0]
            folder = tmp_path / "second"
            folder.mkdir()
            second = ControlHost(folder, first.host_id, cluster.secret)
            cluster.link_unknown_host(second)
            second.start()
            try:
                wait_until(
                    lambda: second.output().count("join request refused") >= 3,
                    "three refusals",
                    BOUND_SECONDS,
                )
                with pytest.raises(PeerRefusal) as refused:
                    join_as(cluster, second)
                assert refused.value.error_id == "replica_still_answers"
                assert cluster.voter_ids() == before
            finally:
                second.kill()


def join_as(cluster: ControlCluster, host: ControlHost) -> None:
    description = host.call(lambda peer: peer.describe())
    cluster.leader().call(lambda peer: peer.join(description), 5.0)
