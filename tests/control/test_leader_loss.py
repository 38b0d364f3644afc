"""Tests of leaders that crash, freeze, or are partitioned, with real processes."""

from __future__ import annotations

import signal
import time
from pathlib import Path

from jujubeslip.kernel import Deadline
from jujubeslip.peers import KeyStatus
from tests.control.cluster import (
    ControlCluster,
    ControlHost,
    ask_directly,
    make_change,
    make_claim,
)
from tests.fakes.fault_proxy import Direction
from tests.fakes.processes import wait_until

# How long a caller waits for an answer of a control host before it tries another one.
ANSWER_SECONDS = 0.85
# Deadline of a claim, retries included.
CLAIM_SECONDS = 4.0


class TestKilledLeader:
    """Acknowledged changes and claims survive the loss of the leader."""

    def test_kill_right_after_the_answer(self, tmp_path: Path) -> None:
        """Guards against the loss of a change that has just been confirmed.

        The leader is killed right after its answer, before the next heartbeat can
        report to the followers that the change is committed.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            for revision in range(3):
                leader = cluster.leader()
                reply = cluster.apply(revision, revision)
                claim = cluster.claim(f"key-{revision}")
                leader.signal(signal.SIGKILL)
                assert (reply.accepted, reply.revision) == (True, revision + 1)
                assert claim.status == KeyStatus.FIRST
                leader.kill()
                assert cluster.apply(revision, revision) == reply
                again = cluster.claim(f"key-{revision}", "r2")
                assert again.status == KeyStatus.RUNNING
                leader.start()
                cluster.wait_applied(leader, revision + 1)

    def test_planned_stop_hands_over(self, tmp_path: Path) -> None:
        """Requests pause for less than an election timeout at a planned stop."""
        with ControlCluster(tmp_path, 3, election_timeout_ms=5000) as cluster:
            cluster.apply(1, 0)
            leader = cluster.leader()
            leader.signal(signal.SIGTERM)
            assert leader.process is not None
            deadline = Deadline.after(4.0)
            claim = cluster.client.claim_key(make_claim("key"), deadline)
            assert claim.status == KeyStatus.FIRST
            assert leader.process.wait(10) == 0


class TestFrozenLeader:
    """A leader that resumes after a freeze serves no stale data."""

    def test_wakes_after_a_successor_was_elected(self, tmp_path: Path) -> None:
        """Guards against a doubly confirmed claim and a read of an old revision.

        The leader's process is frozen for longer than its lease, and another leader is
        elected and answers. The old one resumes and still assumes that it leads.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            frozen = cluster.leader()
            frozen.freeze()
            cluster.leader(cluster.others(frozen))
            assert cluster.apply(2, 1).revision == 2
            assert cluster.claim("key", "r1").status == KeyStatus.FIRST
            frozen.signal(signal.SIGCONT)
            read = ask_directly(frozen, lambda peer: peer.get_configuration(-1, 0))
            assert read is None or read.revision == 2
            claim = ask_directly(
                frozen, lambda peer: peer.claim_key(make_claim("key", "r2"), 500)
            )
            assert claim is None or claim.status == KeyStatus.RUNNING
            cluster.wait_applied(frozen, 2)


class TestClaimAfterAFrozenLeader:
    """Guards against claims and commands that wait for a leader that was replaced."""

    def test_goes_to_the_next_one(self, tmp_path: Path) -> None:
        with ControlCluster(tmp_path, 3) as cluster:
            client = cluster.client
            asked = [
                lambda number: client.claim_key(
                    make_claim(f"key-{number}"), Deadline.after(CLAIM_SECONDS)
                ),
                lambda _: client.newest_configuration(Deadline.after(CLAIM_SECONDS)),
            ]
            for number, ask in enumerate(asked):
                cluster.leader()
                ask(number)
                frozen = cluster.leader()
                frozen.freeze()
                cluster.leader(cluster.others(frozen))
                began = time.monotonic()
                ask(10 + number)
                assert time.monotonic() - began < ANSWER_SECONDS
                frozen.signal(signal.SIGCONT)


class TestCutOffLeader:
    """A leader without a quorum acknowledges nothing and steps down by itself."""

    def test_cut_in_both_directions(self, tmp_path: Path) -> None:
        """A leader is partitioned from the others while entry hosts still reach it."""
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            old = cluster.leader()
            cluster.cut(old)
            lost = ask_directly(
                old, lambda peer: peer.claim_key(make_claim("key", "r2"), 300)
            )
            assert lost is None
            assert cluster.claim("key", "r1").status == KeyStatus.FIRST
            assert cluster.apply(2, 1).revision == 2
            wait_until(
                lambda: "no longer leading" in old.output(), "the old leader steps down"
            )
            assert leader_of(old) == ""
            cluster.heal()
            cluster.wait_applied(old, 2)
            assert cluster.claim("key", "r2").status == KeyStatus.RUNNING

    def test_cut_in_one_direction(self, tmp_path: Path) -> None:
        """Only one direction of the leader's connections works, each in turn.

        If heartbeats arrive but none of the replies does, the heartbeats delay an
        election for as long as the open connections last.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            for revision, direction in enumerate(Direction, 1):
                old = cluster.leader()
                for (source, _), proxy in cluster.proxy_by_pair.items():
                    if source == old.host_id:
                        proxy.cut(direction)
                assert cluster.apply(revision + 1, revision).revision == revision + 1
                cluster.heal()
                cluster.wait_applied(old, revision + 1)

    def test_cut_off_follower_does_not_depose_the_leader(self, tmp_path: Path) -> None:
        """Guards against an election that a host causes on its return.

        Without the pre-vote its term would grow with each campaign during the
        partition, and the higher term would make the leader step down.
        """
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            leader = cluster.leader()
            follower = cluster.others(leader)[0]
            before = leader.status()
            cluster.cut(follower)
            wait_until(
                lambda: follower.output().count("no leader heard") >= 3,
                "the partitioned follower tries three times",
            )
            campaigns = follower.output().count("campaigning")
            cluster.apply(2, 1)
            cluster.heal()
            cluster.wait_applied(follower, 2)
            after = leader.status()
            assert before is not None and after is not None
            assert after.term == before.term
            assert follower.output().count("campaigning") == campaigns

    def test_open_connections_go_silent(self, tmp_path: Path) -> None:
        """Open connections drop all data without an error; new ones work."""
        with ControlCluster(tmp_path, 3) as cluster:
            cluster.apply(1, 0)
            for proxy in cluster.proxy_by_pair.values():
                proxy.freeze()
            change = make_change(2, 1)
            deadline = Deadline.after(10.0)
            assert cluster.client.apply_configuration(change, deadline).accepted


def leader_of(host: ControlHost) -> str | None:
    status = host.status()
    return None if status is None else status.leader_id
