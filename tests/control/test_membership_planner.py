"""Planned membership changes, depending on how long each replica has been silent."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from jujubeslip.control._commands import make_entry
from jujubeslip.control._membership import find_member, voters
from jujubeslip.control._membership_planner import (
    GRACE_SECONDS,
    MembershipPlanner,
    is_surplus_voter,
)
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Process, steady_seconds
from jujubeslip.peers import Member, Membership, ReplicaMetadata

ELECTION_SECONDS = 60.0
# Silence of more than two election timeouts, after which a replica is unresponsive.
UNRESPONSIVE = 2.5 * ELECTION_SECONDS
# Silence of a replica that is not yet unresponsive.
SILENT = 1.5 * ELECTION_SECONDS
LEARNER = "control-9/disk"


class Subject:
    """A leader whose followers last answered as long ago as a test sets."""

    def __init__(
        self,
        folder: Path,
        admits_any_host: bool = True,
        election_seconds: float = ELECTION_SECONDS,
    ) -> None:
        storage = Storage(folder, "control-1")
        settings = ControlSettings(
            host_id="control-1",
            availability_zone="zone",
            region="region",
            peer_address="127.0.0.1:1",
            peer_secret="secret-of-tests",
            data_folder=folder,
            election_timeout_ms=int(election_seconds * 1000),
            admits_any_host=admits_any_host,
            tolerated_losses=1,
        )
        self.replica = Replica(settings, storage, Process("test"))
        self.planner = MembershipPlanner(self.replica)

    def lead(self, voter_count: int, learners: int = 0) -> None:
        """Lead this many voters, and optionally a learner that has caught up."""
        replica = self.replica
        members = [Member(replica.replica_id, "control-1", "", True)]
        for number in range(2, voter_count + 1):
            host_id = f"control-{number}"
            members.append(Member(f"{host_id}/disk", host_id, "", True))
        if learners:
            members.append(Member(LEARNER, "control-9", "", False))
        with replica.disk_lock, replica.lock:
            replica.save_metadata(ReplicaMetadata("cluster", 1, ""))
            membership = Membership("cluster", members, [])
            replica.append_entry(make_entry(1, 1, 0, membership))
            replica.write_pending()
            replica.lead()
        leadership = replica.leadership
        assert leadership is not None
        leadership.started_at = steady_seconds() - 100 * ELECTION_SECONDS
        for progress in leadership.progress_by_id.values():
            progress.acknowledged_at = steady_seconds()
            progress.match_index = replica.log.last_index

    def silence(self, replica_id: str, seconds: float) -> None:
        """Make a replica silent for this long."""
        leadership = self.replica.leadership
        assert leadership is not None
        progress = leadership.progress_by_id[replica_id]
        progress.acknowledged_at = steady_seconds() - seconds

    def next_voter_ids(self) -> set[str]:
        with self.replica.lock:
            following = self.planner.next_step(self.replica.membership)
        return {member.replica_id for member in voters(following)}

    def voter_ids(self) -> set[str]:
        return {member.replica_id for member in voters(self.replica.membership)}


@pytest.fixture
def subject(tmp_path: Path) -> Iterator[Subject]:
    subject = Subject(tmp_path / "data")
    yield subject
    subject.replica.storage.close()


class TestSilentVoter:
    """An unresponsive replica counts for each majority until it is removed."""

    def test_is_removed_at_once_from_an_even_number(self, subject: Subject) -> None:
        """Guards against a lost majority after the replacement of a host.

        The successor of a permanently replaced host votes in addition to it. If the old
        host stays a voter for 8 s, a disk that is lost meanwhile leaves two of four
        voters, permanently without a majority.
        """
        subject.lead(4)
        subject.silence("control-4/disk", UNRESPONSIVE)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-4/disk"}

    def test_stays_while_it_is_silent_for_a_short_time(self, subject: Subject) -> None:
        subject.lead(4)
        subject.silence("control-4/disk", SILENT)
        assert subject.next_voter_ids() == subject.voter_ids()

    def test_stays_where_all_others_are_needed(self, subject: Subject) -> None:
        """Two remaining voters would tolerate no lost disk, even while both work."""
        subject.lead(3)
        subject.silence("control-3/disk", 10 * UNRESPONSIVE + GRACE_SECONDS)
        assert subject.next_voter_ids() == subject.voter_ids()

    def test_stays_longer_in_an_odd_number(self, tmp_path: Path) -> None:
        """Without it an even number would remain, whose majority is as large."""
        subject = Subject(tmp_path / "data", election_seconds=1.0)
        subject.lead(5)
        subject.silence("control-5/disk", GRACE_SECONDS - 2)
        assert subject.next_voter_ids() == subject.voter_ids()
        subject.silence("control-5/disk", GRACE_SECONDS + 2)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-5/disk"}
        subject.replica.storage.close()

    def test_is_removed_at_once_if_another_is_unresponsive(
        self, tmp_path: Path
    ) -> None:
        """Guards against a lost majority after two of five voters are switched off.

        Two old hosts are switched off one after the other while their successors vote.
        If both stay voters for 8 s, since five is an odd number, three voters remain as
        a majority, and a disk that is lost meanwhile leaves two of five, permanently
        without a majority.
        """
        subject = Subject(tmp_path / "data", election_seconds=1.0)
        subject.lead(5)
        subject.silence("control-4/disk", GRACE_SECONDS - 3)
        subject.silence("control-5/disk", 2.5)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-4/disk"}
        subject.replica.storage.close()

    def test_is_not_removed_where_operators_admit_hosts(self, tmp_path: Path) -> None:
        subject = Subject(tmp_path / "data", admits_any_host=False)
        subject.lead(4)
        subject.silence("control-4/disk", UNRESPONSIVE)
        assert subject.next_voter_ids() == subject.voter_ids()
        subject.replica.storage.close()


class TestSuccessor:
    """A learner that has caught up, with responsive, silent or unresponsive voters."""

    def test_is_promoted_while_all_voters_answer(self, subject: Subject) -> None:
        subject.lead(3, learners=1)
        assert subject.next_voter_ids() == subject.voter_ids() | {LEARNER}

    def test_is_not_promoted_while_a_voter_is_silent(self, subject: Subject) -> None:
        """With it there would be four voters, of which one may be unresponsive soon."""
        subject.lead(3, learners=1)
        subject.silence("control-3/disk", SILENT)
        assert subject.next_voter_ids() == subject.voter_ids()

    def test_replaces_an_unresponsive_voter(self, subject: Subject) -> None:
        subject.lead(3, learners=1)
        subject.silence("control-3/disk", UNRESPONSIVE)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-3/disk"}

    def test_is_promoted_despite_a_silent_voter_if_too_few_vote(
        self, subject: Subject
    ) -> None:
        subject.lead(2, learners=1)
        subject.silence("control-2/disk", SILENT)
        assert LEARNER in subject.next_voter_ids()


class TestStoppingVoter:
    """Whether a replica may be removed before its process stops."""

    def test_is_surplus_if_enough_others_vote(self, subject: Subject) -> None:
        subject.lead(4)
        membership, settings = subject.replica.membership, subject.replica.settings
        assert is_surplus_voter(membership, "control-4/disk", settings)

    def test_is_no_surplus_if_the_tolerated_losses_need_it(
        self, subject: Subject
    ) -> None:
        subject.lead(3, learners=1)
        membership, settings = subject.replica.membership, subject.replica.settings
        assert not is_surplus_voter(membership, "control-3/disk", settings)
        assert not is_surplus_voter(membership, LEARNER, settings)
        assert find_member(membership, LEARNER) is not None
