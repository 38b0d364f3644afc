"""Which change of the voters is due, by who has been silent for how long."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from jujubeslip.control._commands import make_entry
from jujubeslip.control._members import find_member, voters
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.control._succession import (
    GRACE_SECONDS,
    MembershipPlanner,
    is_surplus_voter,
)
from jujubeslip.kernel import ControlSettings, Process, steady_seconds
from jujubeslip.peers import Member, Membership, ReplicaMetadata

ELECTION_SECONDS = 60.0
# Beyond two election timeouts.
GONE = 2.5 * ELECTION_SECONDS
# Silent, and not yet gone.
QUIET = 1.5 * ELECTION_SECONDS
LEARNER = "control-9/disk"


class Subject:
    """A leader of some replicas, which were heard as long ago as a test says."""

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
        """Lead this many voters, and perhaps a learner that has caught up."""
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
        """Let a replica have been silent for so long."""
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
    """A replica that is gone for good counts for each majority until it is removed."""

    def test_goes_at_once_from_an_even_number(self, subject: Subject) -> None:
        """Of four voters, one of them gone, no other may be lost.

        A host was replaced for good and its successor voted beside it. Until the old
        one was removed, after 8 s, a disk that was lost left two of four for ever.
        """
        subject.lead(4)
        subject.silence("control-4/disk", GONE)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-4/disk"}

    def test_stays_while_it_is_quiet_for_a_moment(self, subject: Subject) -> None:
        subject.lead(4)
        subject.silence("control-4/disk", QUIET)
        assert subject.next_voter_ids() == subject.voter_ids()

    def test_stays_where_all_others_are_needed(self, subject: Subject) -> None:
        """Two voters would bear no loss of a disk, even while both work."""
        subject.lead(3)
        subject.silence("control-3/disk", 10 * GONE + GRACE_SECONDS)
        assert subject.next_voter_ids() == subject.voter_ids()

    def test_stays_longer_in_an_odd_number(self, tmp_path: Path) -> None:
        """Without it an even number would be left, whose majority is as large."""
        subject = Subject(tmp_path / "data", election_seconds=1.0)
        subject.lead(5)
        subject.silence("control-5/disk", GRACE_SECONDS - 2)
        assert subject.next_voter_ids() == subject.voter_ids()
        subject.silence("control-5/disk", GRACE_SECONDS + 2)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-5/disk"}
        subject.replica.storage.close()

    def test_goes_at_once_where_another_is_gone_too(self, tmp_path: Path) -> None:
        """Five vote, two are switched off, a disk is lost: no change is accepted.

        Old hosts were switched off one after the other, beside successors that had
        voted for long. The first one gone is kept for 8 s, since five is odd, and the
        second one with it. Three are left, which is a majority; the disk that is lost
        meanwhile leaves two of five for good.
        """
        subject = Subject(tmp_path / "data", election_seconds=1.0)
        subject.lead(5)
        subject.silence("control-4/disk", GRACE_SECONDS - 3)
        subject.silence("control-5/disk", 2.5)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-4/disk"}
        subject.replica.storage.close()

    def test_is_left_to_operators_who_admit_each_host(self, tmp_path: Path) -> None:
        subject = Subject(tmp_path / "data", admits_any_host=False)
        subject.lead(4)
        subject.silence("control-4/disk", GONE)
        assert subject.next_voter_ids() == subject.voter_ids()
        subject.replica.storage.close()


class TestSuccessor:
    """A learner that has caught up, and the voters that it finds."""

    def test_votes_beside_voters_that_all_answer(self, subject: Subject) -> None:
        subject.lead(3, learners=1)
        assert subject.next_voter_ids() == subject.voter_ids() | {LEARNER}

    def test_waits_while_a_voter_is_silent(self, subject: Subject) -> None:
        """It would make four voters, of which one is about to be found gone."""
        subject.lead(3, learners=1)
        subject.silence("control-3/disk", QUIET)
        assert subject.next_voter_ids() == subject.voter_ids()

    def test_takes_the_place_of_one_that_is_gone(self, subject: Subject) -> None:
        subject.lead(3, learners=1)
        subject.silence("control-3/disk", GONE)
        assert subject.next_voter_ids() == subject.voter_ids() - {"control-3/disk"}

    def test_votes_beside_a_silent_one_where_too_few_vote(
        self, subject: Subject
    ) -> None:
        subject.lead(2, learners=1)
        subject.silence("control-2/disk", QUIET)
        assert LEARNER in subject.next_voter_ids()


class TestVoterThatStops:
    """Whether a replica that is about to stop may be removed."""

    def test_is_spare_beside_enough_others(self, subject: Subject) -> None:
        subject.lead(4)
        membership, settings = subject.replica.membership, subject.replica.settings
        assert is_surplus_voter(membership, "control-4/disk", settings)

    def test_is_needed_by_as_many_as_bear_the_losses(self, subject: Subject) -> None:
        subject.lead(3, learners=1)
        membership, settings = subject.replica.membership, subject.replica.settings
        assert not is_surplus_voter(membership, "control-3/disk", settings)
        assert not is_surplus_voter(membership, LEARNER, settings)
        assert find_member(membership, LEARNER) is not None
