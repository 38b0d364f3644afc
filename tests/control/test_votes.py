"""Writes to disk that a vote needs, and how long a candidate waits for votes."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from jujubeslip.control._commands import make_entry
from jujubeslip.control._election import Elections
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Deadline, Process
from jujubeslip.peers import Member, Membership, ReplicaMetadata, VoteReply, VoteRequest

ELECTION_SECONDS = 2.0
CANDIDATE = "control-2/disk"


class SlowDisk(Storage):
    """Counts the saves of metadata; each takes as long as a test sets."""

    save_seconds = 0.0
    saves = 0

    def save_metadata(self, metadata: ReplicaMetadata) -> None:
        self.saves += 1
        time.sleep(self.save_seconds)
        super().save_metadata(metadata)


class SlowVoter:
    """Answers a pre-vote at once and a vote request after a delay."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds

    def to_member(self, member: Member) -> SlowVoter:
        return self

    def call(self, operation: object, timeout: float) -> VoteReply:
        assert callable(operation)
        return operation(self)

    def pre_vote(self, request: VoteRequest) -> VoteReply:
        return VoteReply(request.term - 1, True)

    def request_vote(self, request: VoteRequest) -> VoteReply:
        time.sleep(self._seconds)
        return VoteReply(request.term, True)


@pytest.fixture
def storage(tmp_path: Path) -> Iterator[SlowDisk]:
    found = SlowDisk(tmp_path / "data", "control-1")
    yield found
    found.close()


def voter(folder: Path, storage: Storage) -> Replica:
    """Return one of two voters, in term 1, which has heard no leader."""
    settings = ControlSettings(
        host_id="control-1",
        availability_zone="zone",
        region="region",
        peer_address="127.0.0.1:1",
        peer_secret="secret-of-tests",
        data_folder=folder / "data",
        election_timeout_ms=int(ELECTION_SECONDS * 1000),
    )
    replica = Replica(settings, storage, Process("test"))
    members = [
        Member(replica.replica_id, "control-1", "", True),
        Member(CANDIDATE, "control-2", "", True),
    ]
    with replica.disk_lock, replica.lock:
        replica.save_metadata(ReplicaMetadata("cluster", 1, ""))
        membership = Membership("cluster", members, [])
        replica.append_entry(make_entry(1, 1, 0, membership))
        replica.write_pending()
    replica.heard_leader_until = Deadline.after(0)
    return replica


def request(replica: Replica, term: int, last_index: int = 1) -> VoteRequest:
    return VoteRequest(
        "cluster", replica.replica_id, CANDIDATE, term, last_index, 1, False
    )


class TestVoteInALaterTerm:
    """Guards against elections that never succeed while a voter's disk is busy.

    If a voter saves the new term and then its vote, each with two syncs, its reply
    misses a candidate that waits for half an election timeout. Pre-votes, which save
    nothing, all succeeded then, and `campaigning` was logged for four terms in a row
    without `leading`.
    """

    def test_is_saved_once(self, tmp_path: Path, storage: SlowDisk) -> None:
        replica = voter(tmp_path, storage)
        before = storage.saves
        reply = Receiver(replica).request_vote(request(replica, 2))
        assert reply.granted
        assert storage.saves - before == 1
        assert storage.metadata == ReplicaMetadata("cluster", 2, CANDIDATE)

    def test_is_given_once_in_a_term(self, tmp_path: Path, storage: SlowDisk) -> None:
        replica = voter(tmp_path, storage)
        receiver = Receiver(replica)
        assert receiver.request_vote(request(replica, 2)).granted
        other = request(replica, 2)
        other.candidate_id = "control-3/disk"
        assert not receiver.request_vote(other).granted
        assert storage.metadata.voted_for == CANDIDATE

    def test_refusal_saves_only_the_term(
        self, tmp_path: Path, storage: SlowDisk
    ) -> None:
        replica = voter(tmp_path, storage)
        behind = request(replica, 3, last_index=0)
        assert not Receiver(replica).request_vote(behind).granted
        assert storage.metadata == ReplicaMetadata("cluster", 3, "")


class TestLateVote:
    """Guards against votes that are ignored since they took long to save.

    The candidate does nothing else until its next campaign, which makes the same voters
    save another term. If it stopped waiting earlier, no campaign would be won while
    disks are busy.
    """

    def test_counts_until_the_next_campaign(
        self, tmp_path: Path, storage: SlowDisk
    ) -> None:
        replica = voter(tmp_path, storage)
        clients = SlowVoter(seconds=0.6 * ELECTION_SECONDS)
        elections = Elections(replica, clients)  # type: ignore[arg-type]
        replica.election_deadline = Deadline.after(0)
        task = threading.Thread(target=elections.run, daemon=True)
        task.start()
        deadline = Deadline.after(0.95 * ELECTION_SECONDS)
        with replica.lock:
            replica.role_changed.wait_for(
                lambda: replica.leadership is not None, deadline.remaining()
            )
            assert replica.leadership is not None
            assert replica.term == 2
        replica.process.stopped.set()
