"""How soon a leader is elected after a cold start of all control hosts."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from jujubeslip.control._election import Elections
from jujubeslip.control._leadership import KnownLeader
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import VoteReply, VoteRequest
from tests.control.cluster import BOUND_SECONDS, ControlCluster
from tests.control.test_votes import (
    CANDIDATE,
    ELECTION_SECONDS,
    SlowDisk,
    request,
    voter,
)
from tests.fakes.processes import wait_until

START = 4711


@pytest.fixture
def storage(tmp_path: Path) -> Iterator[SlowDisk]:
    found = SlowDisk(tmp_path / "data", "control-1")
    yield found
    found.close()


@pytest.fixture
def replica(tmp_path: Path, storage: SlowDisk) -> Replica:
    """Return a voter that has just started and gives no vote yet."""
    started = voter(tmp_path, storage)
    started.heard_leader_until = Deadline.after(ELECTION_SECONDS)
    return started


class TestVoterAfterColdStart:
    """Guards against a delayed election after all hosts lost power at once.

    A replica that has just started waits for the end of a possible leader's lease. The
    control hosts reached each other at 42.69 s, but elected no leader until 43.45 s,
    when the first election deadline passed; seventy requests for a configuration were
    late. The former leader had restarted with the others, so no lease was left.
    """

    def test_reports_its_start_number_and_does_not_vote(self, replica: Replica) -> None:
        reply = Receiver(replica).pre_vote(request(replica, 2))
        assert (reply.granted, reply.fresh_start) == (False, replica.start_number)
        assert not Receiver(replica).request_vote(request(replica, 2)).granted

    def test_votes_for_a_candidate_that_names_its_start_number(
        self, replica: Replica
    ) -> None:
        asked = request(replica, 2)
        asked.fresh_start = replica.start_number
        assert Receiver(replica).request_vote(asked).granted

    def test_does_not_vote_if_another_start_number_is_named(
        self, replica: Replica
    ) -> None:
        asked = request(replica, 2)
        asked.fresh_start = replica.start_number + 1
        assert not Receiver(replica).request_vote(asked).granted

    def test_does_not_vote_once_it_has_heard_a_leader(self, replica: Replica) -> None:
        with replica.disk_lock, replica.lock:
            replica.follow(1, KnownLeader(CANDIDATE, "127.0.0.1:2"))
        asked = request(replica, 2)
        asked.fresh_start = replica.start_number
        receiver = Receiver(replica)
        assert receiver.pre_vote(request(replica, 2)).fresh_start is None
        assert not receiver.request_vote(asked).granted

    def test_does_not_report_it_to_a_candidate_with_an_older_log(
        self, replica: Replica
    ) -> None:
        behind = request(replica, 2, last_index=0)
        assert Receiver(replica).pre_vote(behind).fresh_start is None


class StubVoter:
    """A stub of the other one of two voters."""

    def __init__(self, fresh_start: int | None, answers: bool = True) -> None:
        self._fresh_start = fresh_start
        self._answers = answers
        self.votes: list[VoteRequest] = []

    def to_member(self, member: object) -> StubVoter:
        return self

    def call(self, operation: Any, timeout: float) -> VoteReply:
        if not self._answers:
            raise PeerUnavailableError("It is down.")
        reply: VoteReply = operation(self)
        return reply

    def pre_vote(self, asked: VoteRequest) -> VoteReply:
        return VoteReply(asked.term - 1, False, self._fresh_start)

    def request_vote(self, asked: VoteRequest) -> VoteReply:
        self.votes.append(asked)
        return VoteReply(asked.term, asked.fresh_start == self._fresh_start)


class TestCandidateAfterColdStart:
    def elected(self, replica: Replica, other: StubVoter) -> bool:
        """Return whether the replica leads well before the first election deadline."""
        clients: Any = other
        replica.process.start_task(Elections(replica, clients).run)
        deadline = Deadline.after(0.5 * ELECTION_SECONDS)
        with replica.lock:
            replica.role_changed.wait_for(
                lambda: replica.leadership is not None, deadline.remaining()
            )
            leads = replica.leadership is not None
        replica.process.stopped.set()
        return leads

    def test_leads_at_once_if_all_have_just_started(self, replica: Replica) -> None:
        other = StubVoter(START)
        assert self.elected(replica, other)
        assert [asked.fresh_start for asked in other.votes] == [START]

    def test_waits_if_one_has_heard_a_leader(self, replica: Replica) -> None:
        other = StubVoter(None)
        assert not self.elected(replica, other)
        assert other.votes == []

    def test_waits_if_one_is_down(self, replica: Replica) -> None:
        """It may be a partitioned leader whose lease is still valid."""
        assert not self.elected(replica, StubVoter(START, answers=False))


class TestLeaderHeardDuringColdStart:
    """Guards against two leaders after concurrent campaigns by start numbers.

    Two replicas ask all voters, one is elected, and the other one acknowledges it but
    still holds the start numbers. If it then voted for itself and won with a third
    replica, the first leader's lease would still be valid, and for a moment two leaders
    would answer reads.
    """

    def test_cancels_the_campaign(self, replica: Replica) -> None:
        other = StubVoter(START)
        clients: Any = other
        elections = Elections(replica, clients)
        with replica.disk_lock, replica.lock:
            replica.follow(1, KnownLeader(CANDIDATE, "127.0.0.1:2"))
        elections.campaign_after_cold_start({CANDIDATE: START})
        assert other.votes == []
        assert (replica.term, replica.leadership) == (1, None)


class TestAllProcessesKilled:
    ELECTION_TIMEOUT_MS = 8_000

    def test_have_a_leader_before_the_election_timeout(self, tmp_path: Path) -> None:
        timeout_ms = self.ELECTION_TIMEOUT_MS
        with ControlCluster(tmp_path, 3, election_timeout_ms=timeout_ms) as cluster:
            cluster.leader()
            for host in cluster.hosts:
                host.kill()
            for host in cluster.hosts:
                host.start()
            cluster.leader()
            wait_until(
                lambda: any(
                    "all voters have just started" in host.output()
                    for host in cluster.hosts
                ),
                "the line of the election",
                BOUND_SECONDS,
            )
            logs = [host.output() for host in cluster.hosts]
        assert not any("no leader heard" in _after_restart(log) for log in logs)


def _after_restart(log: str) -> str:
    """Return the output of a process since its latest start."""
    return log.rpartition("control host started")[2]
