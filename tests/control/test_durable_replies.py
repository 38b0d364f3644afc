"""Tests of the state that is durable before a replica answers."""

from __future__ import annotations

import os
import shutil
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from jujubeslip.control._commands import NoOp, make_entry
from jujubeslip.control._membership import is_voter, with_learner
from jujubeslip.control._membership_changes import MembershipChanges
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Deadline, Process
from jujubeslip.peers import (
    AppendReply,
    AppendRequest,
    LogEntry,
    Member,
    Membership,
    PeerRefusal,
    ReplicaMetadata,
    VoteRequest,
)

CLUSTER = "cluster"
LEADER = "control-2/disk"
OTHER = "control-3/disk"


@dataclass
class Subject:
    """A replica without background tasks; a test makes each call itself."""

    folder: Path
    replica: Replica
    receiver: Receiver

    def vote(self, term: int, candidate: str = LEADER, transfer: bool = False) -> bool:
        request = VoteRequest(
            CLUSTER, self.replica.replica_id, candidate, term, 99, 99, transfer
        )
        return bool(self.receiver.request_vote(request).granted)

    def append(
        self, term: int, previous: tuple[int, int], entries: list[LogEntry], commit: int
    ) -> AppendReply:
        request = AppendRequest(
            CLUSTER,
            self.replica.replica_id,
            LEADER,
            "127.0.0.1:1",
            term,
            *previous,
            entries,
            commit,
        )
        return self.receiver.append_entries(request)

    def on_disk(self) -> Subject:
        """Return a replica that is started from a copy of the data folder."""
        copy = self.folder.with_name(f"{self.folder.name}-copy")
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(self.folder, copy)
        return open_subject(copy)


def open_subject(folder: Path) -> Subject:
    settings = ControlSettings(
        host_id="control-1",
        availability_zone="zone",
        region="region",
        peer_address="127.0.0.1:1",
        peer_secret="secret-of-tests",
        data_folder=folder,
        election_timeout_ms=60_000,
    )
    storage = Storage(folder, "control-1")
    replica = Replica(settings, storage, Process("test"))
    return Subject(folder, replica, Receiver(replica))


def noop(index: int, term: int) -> LogEntry:
    return make_entry(index, term, 0, NoOp())


@pytest.fixture
def subject(tmp_path: Path) -> Iterator[Subject]:
    subject = open_subject(tmp_path / "data")
    yield subject
    subject.replica.storage.close()


@pytest.fixture
def disk_calls(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record writes and syncs in their order."""
    calls: list[str] = []

    def recorded(name: str) -> Callable[..., object]:
        original = getattr(os, name)

        def call(*arguments: object) -> object:
            calls.append(name)
            return original(*arguments)

        return call

    for name in ("write", "fdatasync"):
        monkeypatch.setattr(os, name, recorded(name))
    return calls


class TestAcknowledgement:
    """An acknowledged entry is durable and never reverted."""

    def test_entry_is_synced_before_the_answer(
        self, subject: Subject, disk_calls: list[str]
    ) -> None:
        """A majority acknowledges a change and loses power a moment later.

        If a follower answered before its sync, the operator would get a confirmation of
        a change that is on no disk.
        """
        reply = subject.append(1, (0, 0), [noop(1, 1), noop(2, 1)], 0)
        assert (reply.accepted, reply.match_index) == (True, 2)
        assert disk_calls[-1] == "fdatasync"
        assert subject.on_disk().replica.log.last_index == 2

    def test_conflicting_entries_are_replaced(self, subject: Subject) -> None:
        subject.append(1, (0, 0), [noop(1, 1), noop(2, 1), noop(3, 1)], 1)
        refused = subject.append(2, (4, 2), [], 1)
        assert (refused.accepted, refused.match_index) == (False, 3)
        accepted = subject.append(2, (1, 1), [noop(2, 2)], 2)
        assert (accepted.accepted, accepted.match_index) == (True, 2)
        found = subject.on_disk().replica.log
        assert [found.term_at(index) for index in (1, 2, 3)] == [1, 2, None]

    def test_repeated_request_changes_nothing(self, subject: Subject) -> None:
        entries = [noop(1, 1), noop(2, 1)]
        subject.append(1, (0, 0), entries, 2)
        late = subject.append(1, (0, 0), entries[:1], 0)
        assert late.accepted
        assert subject.replica.log.last_index == 2
        assert subject.replica.commit_index == 2

    def test_old_leader_is_refused(self, subject: Subject) -> None:
        subject.append(3, (0, 0), [], 0)
        assert not subject.append(2, (0, 0), [noop(1, 2)], 1).accepted
        assert subject.replica.log.last_index == 0

    def test_message_for_another_disk_is_refused(self, subject: Subject) -> None:
        request = VoteRequest(CLUSTER, "control-1/old", LEADER, 1, 9, 9, False)
        with pytest.raises(PeerRefusal) as refused:
            subject.receiver.request_vote(request)
        assert refused.value.error_id == "wrong_replica"

    def test_message_of_another_cluster_is_refused(self, subject: Subject) -> None:
        subject.append(1, (0, 0), [], 0)
        request = VoteRequest("other", subject.replica.replica_id, LEADER, 9, 9, 9)
        with pytest.raises(PeerRefusal) as refused:
            subject.receiver.request_vote(request)
        assert refused.value.error_id == "wrong_cluster"


class TestVote:
    """A replica votes once in each term, and never while a leader is alive."""

    def test_vote_survives_a_restart(self, subject: Subject) -> None:
        """Guards against two leaders in one term, with different configurations."""
        assert subject.vote(1)
        restarted = subject.on_disk()
        assert not restarted.vote(1, OTHER)
        assert restarted.vote(1, LEADER)

    def test_no_vote_while_a_leader_is_heard(self, subject: Subject) -> None:
        subject.append(1, (0, 0), [], 0)
        assert not subject.vote(2, OTHER)
        assert subject.replica.term == 1
        assert subject.vote(2, OTHER, transfer=True)

    def test_no_vote_right_after_a_restart(self, subject: Subject) -> None:
        """A follower restarts while its leader's lease is still valid.

        The follower no longer knows that it acknowledged the leader. An immediate vote
        could elect another one within the lease, and both would answer reads.
        """
        ids = (subject.replica.replica_id, LEADER, OTHER)
        members = [Member(item, item.split("/")[0], "", True) for item in ids]
        membership = make_entry(1, 1, 0, Membership(CLUSTER, members, []))
        subject.append(1, (0, 0), [membership], 1)
        assert not subject.on_disk().vote(2, OTHER)

    def test_no_vote_for_an_older_log(self, subject: Subject) -> None:
        subject.append(1, (0, 0), [noop(1, 1)], 0)
        subject.replica.heard_leader_until = Deadline.after(0)
        request = VoteRequest(CLUSTER, subject.replica.replica_id, OTHER, 2, 0, 0)
        assert not subject.receiver.request_vote(request).granted


class TestLeader:
    """A leader counts itself or a learner only after it has synced or caught up."""

    def test_commits_after_its_own_sync(self, subject: Subject) -> None:
        replica = lead_single_replica(subject)
        waiting = replica.submit(NoOp())
        replica.advance_commit()
        assert not waiting.done()
        replica.write_pending()
        assert waiting.done()
        assert subject.on_disk().replica.log.last_index == 3

    def test_learner_votes_once_it_has_caught_up(self, subject: Subject) -> None:
        """Guards against the loss of an accepted change through a new disk.

        If a host with a new disk voted before it holds every committed entry, it could
        elect a leader that lacks some, together with another host that lags.
        """
        replica = lead_single_replica(subject)
        learner = Member(OTHER, "control-3", "", False)
        replica.submit(with_learner(replica.membership, learner))
        replica.write_pending()
        assert replica.leadership is not None
        progress = replica.leadership.progress_by_id[OTHER]
        progress.acknowledged_at = time.monotonic() + 60
        changes = MembershipChanges(replica)
        progress.match_index = replica.commit_index - 1
        changes.promote_learners()
        assert not is_voter(replica.membership, OTHER)
        progress.match_index = replica.commit_index
        changes.promote_learners()
        assert is_voter(replica.membership, OTHER)


def lead_single_replica(subject: Subject) -> Replica:
    replica = subject.replica
    own = Member(replica.replica_id, "control-1", "", True)
    with replica.disk_lock, replica.lock:
        replica.save_metadata(ReplicaMetadata(CLUSTER, 1, ""))
        replica.append_entry(make_entry(1, 1, 0, Membership(CLUSTER, [own], [])))
        replica.write_pending()
        replica.lead()
        replica.write_pending()
    return replica
