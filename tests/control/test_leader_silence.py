"""What control hosts say about leaders that they hear from, with real processes."""

from __future__ import annotations

from pathlib import Path

from tests.control.cluster import ControlCluster, ControlHost
from tests.fakes.processes import wait_until

ELECTION_MS = 1000


def silent_ms(host: ControlHost) -> int | None:
    """Return for how long a host has acknowledged no leader, None if it may have."""
    answer: int | None = host.call(lambda peer: peer.leader_silence()).silent_ms
    return answer


def names_leader(host: ControlHost) -> bool:
    status = host.status()
    return status is not None and status.leader_id != ""


class TestVoters:
    """Guards against an account's rate that a pool and a leader both grant."""

    def test_are_silent_only_without_a_leader(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 3) as cluster:
            leader = cluster.leader()
            # The leader has its lease before the last host has heard from it.
            wait_until(lambda: all(map(names_leader, cluster.hosts)), "a known leader")
            assert [silent_ms(host) for host in cluster.hosts] == [None] * 3
            one, other = cluster.others(leader)
            leader.kill()
            other.kill()
            wait_until(lambda: (silent_ms(one) or 0) > ELECTION_MS, "the silence")
            leader.start()
            wait_until(lambda: silent_ms(one) is None, "the next leader")

    def test_include_a_leader_that_has_stepped_down(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 3) as cluster:
            leader = cluster.leader()
            for other in cluster.others(leader):
                other.kill()
            wait_until(lambda: silent_ms(leader) is not None, "the step down")
            assert (silent_ms(leader) or 0) < ELECTION_MS
