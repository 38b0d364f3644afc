"""Elections and membership changes while some voters have lost their disks."""

from __future__ import annotations

import random
from itertools import chain, combinations
from pathlib import Path
from typing import Any

import pytest

from jujubeslip.control._commands import make_entry
from jujubeslip.control._election import Elections, VoteTally
from jujubeslip.control._leadership import Leadership
from jujubeslip.control._membership import (
    AckQuorum,
    MembershipLog,
    VoteQuorum,
    electorates,
    vote_quorum,
    with_learner,
    without_lost,
    without_replica,
)
from jujubeslip.control._membership_changes import MembershipChanges
from jujubeslip.control._replica import Replica
from jujubeslip.control._replication import Replicator
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Deadline, Process, steady_seconds
from jujubeslip.peers import (
    AppendReply,
    EntryKind,
    Member,
    Membership,
    PeerRefusal,
    ReplicaDescription,
    ReplicaMetadata,
    VoteReply,
)

VOTERS = 4


def members(count: int = VOTERS) -> list[Member]:
    return [
        Member(f"control-{number}/disk", f"control-{number}", f"h:{number}", True)
        for number in range(count)
    ]


def membership(count: int = VOTERS) -> Membership:
    return Membership("cluster", members(count), [])


def log_with(*memberships: Membership) -> MembershipLog:
    """Return a log that bootstraps with the first membership and adds the others."""
    found = MembershipLog(0, Membership("", [], []))
    for index, item in enumerate(memberships, 1):
        found.append(make_entry(index, 1, 0, item))
    return found


class TestQuorumWithLostDisks:
    """Guards against two leaders, and a leader that lacks acknowledged entries."""

    @pytest.mark.parametrize("voters", range(3, 9))
    @pytest.mark.parametrize("lost_count", [1, 2, 3])
    def test_intersects_each_majority_and_each_other_quorum(
        self, voters: int, lost_count: int
    ) -> None:
        everyone = range(voters)
        remaining = set(range(lost_count, voters))
        found = membership(voters)
        quorum = vote_quorum(log_with(found, found))
        needed = quorum.votes_needed(lost_count)
        elections = [set(item) for item in combinations(remaining, needed)]
        majorities = [set(item) for item in combinations(everyone, voters // 2 + 1)]
        for election in elections:
            assert all(election & other for other in elections)
            assert all(election & majority & remaining for majority in majorities)

    def test_is_half_of_an_even_number(self) -> None:
        assert VoteQuorum(4, True).votes_needed(1) == 2
        assert VoteQuorum(4, True).votes_needed(0) == 3

    def test_is_a_majority_if_the_voters_may_have_changed(self) -> None:
        """The newest membership in the log may have been replaced on other replicas."""
        earlier, newest = membership(3), membership(4)
        open_change = vote_quorum(log_with(earlier, earlier, newest))
        assert open_change.votes_needed(1) == 3
        confirmed = vote_quorum(log_with(earlier, earlier, newest, newest))
        assert confirmed.votes_needed(1) == 2

    def test_of_two_voters_is_both(self) -> None:
        two = membership(2)
        assert vote_quorum(log_with(two, two)).votes_needed(1) == 2


class OtherVoters:
    """The other voters: one has lost its disk, one votes, one is switched off.

    `votes` is how often the one that votes does so before it loses its disk as well.
    """

    def __init__(self, answers_as: str, votes: int | None = None) -> None:
        self.answers_as = answers_as
        self.votes = votes

    def to_member(self, member: Member) -> StubVoter:
        return StubVoter(member, self)


class StubVoter:
    def __init__(self, member: Member, voters: OtherVoters) -> None:
        self._member = member
        self._voters = voters

    def call(self, operation: Any, timeout: float) -> Any:
        return operation(self)

    def pre_vote(self, request: Any) -> VoteReply:
        return self._vote(request, request.term - 1)

    def request_vote(self, request: Any) -> VoteReply:
        reply = self._vote(request, request.term)
        if self._voters.votes is not None:
            self._voters.votes -= 1
            if self._voters.votes < 0:
                raise PeerRefusal("wrong_replica", "Another disk.", "", 0)
        return reply

    def append_entries(self, request: Any) -> AppendReply:
        self._check_disk()
        return AppendReply(request.term, True, request.previous_index)

    def describe(self) -> ReplicaDescription:
        answers_as = self._voters.answers_as
        return ReplicaDescription(answers_as, answers_as.partition("/")[0], "h:1", "")

    def _vote(self, request: Any, term: int) -> VoteReply:
        self._check_disk()
        return VoteReply(term, True)

    def _check_disk(self) -> None:
        if self._member.host_id == "control-1":
            raise PeerRefusal("wrong_replica", "Another disk.", "", 0)
        if self._member.host_id == "control-2":
            raise PeerRefusal("gone", "It is switched off.", "", 0)


@pytest.fixture
def replica(tmp_path: Path) -> Any:
    folder = tmp_path / "data"
    storage = Storage(folder, "control-0")
    found = Replica(
        ControlSettings(
            host_id="control-0",
            availability_zone="zone-1",
            region="region",
            peer_address="127.0.0.1:1",
            peer_secret="x" * 16,
            data_folder=folder,
            seeds=("127.0.0.1:1",),
            election_timeout_ms=200,
            heartbeat_ms=40,
        ),
        storage,
        Process("test"),
    )
    own = Member(found.replica_id, "control-0", "127.0.0.1:1", True)
    voters = Membership("cluster", [own, *members()[1:]], [])
    with found.disk_lock, found.lock:
        found.save_metadata(ReplicaMetadata("cluster", 1, ""))
        for index in (1, 2):
            found.append_entry(make_entry(index, 1, 0, voters))
        found.write_pending()
    yield found
    storage.close()


class TestElectionWithALostDisk:
    """Guards against two remaining voters of four that never elect a leader."""

    def test_removes_the_lost_replica_first(self, replica: Replica) -> None:
        Elections(replica, OtherVoters("control-1/new"))._campaign()  # type: ignore[arg-type]
        assert replica.leadership is not None
        first = replica.log.entry(replica.leadership.first_index)
        assert first.kind == EntryKind.MEMBERSHIP
        assert [item.host_id for item in replica.membership.members] == [
            "control-0",
            "control-2",
            "control-3",
        ]

    @pytest.mark.parametrize("answers_as", ["control-1/disk", "other/new"])
    def test_needs_the_answer_of_the_voters_own_host(
        self, replica: Replica, answers_as: str
    ) -> None:
        Elections(replica, OtherVoters(answers_as))._campaign()  # type: ignore[arg-type]
        assert replica.leadership is None

    @pytest.mark.parametrize(("votes", "leads"), [(1, False), (2, True)])
    def test_needs_votes_given_since_the_loss_was_noted(
        self, replica: Replica, votes: int, leads: bool
    ) -> None:
        """A leader may commit without the one that votes and then loses its disk."""
        voters: Any = OtherVoters("control-1/new", votes)
        Elections(replica, voters)._campaign()
        assert (replica.leadership is not None) == leads


class TestCommitOfAChange:
    """Guards against removed voters that elect a leader without that change."""

    def lead(self, replica: Replica, change: Membership, lost: tuple[str, ...]) -> int:
        """Append a change as leader and let one follower answer; return its index."""
        with replica.disk_lock, replica.lock:
            replica.lead(lost)
            if not lost:
                replica.append_command(change)
            replica.write_pending()
        self.answer(replica, "control-3/disk")
        return replica.memberships.current_index

    def answer(self, replica: Replica, replica_id: str) -> None:
        """Let a follower acknowledge all entries in the log."""
        with replica.lock:
            assert replica.leadership is not None
            progress = replica.leadership.progress_by_id[replica_id]
            progress.match_index = replica.log.last_index
            progress.acknowledged_at = steady_seconds()
            replica.advance_commit()

    def test_needs_a_majority_of_the_previous_voters(self, replica: Replica) -> None:
        removed = without_replica(replica.membership, "control-2/disk")
        index = self.lead(replica, removed, ())
        assert replica.commit_index < index
        # The removed replica receives the change as well and counts for its commit.
        self.answer(replica, "control-2/disk")
        assert replica.commit_index >= index

    def test_does_not_need_the_lost_voters(self, replica: Replica) -> None:
        lost = ("control-1/disk",)
        self.lead(replica, without_lost(replica.membership, lost), lost)
        [first] = [item.kind for item in replica.log.entries_from(3) if item.index == 3]
        assert first == EntryKind.MEMBERSHIP
        assert replica.commit_index >= 3

    def test_is_repeated_once_it_is_committed(self, replica: Replica) -> None:
        lost = ("control-1/disk",)
        self.lead(replica, without_lost(replica.membership, lost), lost)
        assert not replica.is_membership_settled
        replica.write_pending()
        self.answer(replica, "control-3/disk")
        assert replica.is_membership_settled
        kinds = [item.kind for item in replica.log.entries_from(3)]
        assert kinds == [EntryKind.MEMBERSHIP, EntryKind.MEMBERSHIP]


LEARNER = Member("control-9/disk", "control-9", "h:9", False)


def let_answer(replica: Replica, replica_id: str) -> None:
    """Let a follower acknowledge all entries in the log."""
    with replica.disk_lock, replica.lock:
        replica.write_pending()
        assert replica.leadership is not None
        progress = replica.leadership.progress_by_id[replica_id]
        progress.match_index = replica.log.last_index
        progress.acknowledged_at = steady_seconds()
        replica.advance_commit()


def find_lost_disk(replica: Replica, answers_as: str) -> None:
    """Let the leader send to control-1, whose host answers with this disk."""
    [lost] = [
        item for item in replica.replication_targets() if item.host_id == "control-1"
    ]
    others: Any = OtherVoters(answers_as)
    leadership = replica.require_leader()
    replicator = Replicator(replica, others, lost)
    with replica.lock:
        message = replicator._next_message(leadership)
    replicator._exchange(leadership, message)


class TestDiskLostDuringAChange:
    """Guards against a change that begins but can never be committed."""

    def begin_removal(self, replica: Replica) -> int:
        """Lead, and begin to remove the voter that is switched off."""
        with replica.disk_lock, replica.lock:
            replica.lead()
            replica.append_command(
                without_replica(replica.membership, "control-2/disk")
            )
        let_answer(replica, "control-3/disk")
        return replica.memberships.current_index

    def test_is_committed_without_the_lost_disk(self, replica: Replica) -> None:
        index = self.begin_removal(replica)
        assert replica.commit_index < index
        find_lost_disk(replica, "control-1/new")
        let_answer(replica, "control-3/disk")
        assert replica.commit_index >= index

    def test_needs_acknowledgements_given_since_the_loss_was_noted(
        self, replica: Replica
    ) -> None:
        """The lost disk and one lost later may both have voted for a new leader."""
        index = self.begin_removal(replica)
        find_lost_disk(replica, "control-1/new")
        with replica.lock:
            replica.advance_commit()
        assert replica.commit_index < index

    @pytest.mark.parametrize("answers_as", ["control-1/disk", "other/new"])
    def test_needs_the_answer_of_the_voters_own_host(
        self, replica: Replica, answers_as: str
    ) -> None:
        index = self.begin_removal(replica)
        find_lost_disk(replica, answers_as)
        let_answer(replica, "control-3/disk")
        assert replica.commit_index < index

    def test_is_committed_by_the_next_leader(self, replica: Replica) -> None:
        index = self.begin_removal(replica)
        with replica.lock:
            replica.step_down("test")
        Elections(replica, OtherVoters("control-1/new"))._campaign()  # type: ignore[arg-type]
        find_lost_disk(replica, "control-1/new")
        let_answer(replica, "control-3/disk")
        assert replica.commit_index > index

    def test_leaves_it_out_of_an_election_after_a_host_was_admitted(
        self, replica: Replica
    ) -> None:
        with replica.disk_lock, replica.lock:
            admission = with_learner(replica.membership, LEARNER)
            replica.append_entry(make_entry(3, 1, 0, admission))
            replica.write_pending()
        Elections(replica, OtherVoters("control-1/new"))._campaign()  # type: ignore[arg-type]
        let_answer(replica, "control-3/disk")
        assert replica.commit_index >= replica.require_leader().first_index

    def test_is_not_begun_while_too_few_previous_voters_answer(
        self, replica: Replica
    ) -> None:
        with replica.disk_lock, replica.lock:
            replica.lead()
            replica.write_pending()
        for host_id in ("control-2", "control-3"):
            let_answer(replica, f"{host_id}/disk")
        with replica.lock:
            leadership = replica.require_leader()
            leadership.progress_by_id["control-2/disk"].acknowledged_at = 0.0
            answering = leadership.progress_by_id["control-3/disk"]
            answering.acknowledged_at = steady_seconds() + 60
        before = replica.membership
        with pytest.raises(PeerRefusal) as refused:
            MembershipChanges(replica).remove_host("control-2", Deadline.after(0.2))
        assert refused.value.error_id == "quorum_would_be_lost"
        assert replica.membership == before


class TestElectionDuringAChange:
    """Guards against a second leader of the previous voters in the same term."""

    @pytest.mark.parametrize("count", [4, 6])
    @pytest.mark.parametrize("change", ["removal", "promotion"])
    @pytest.mark.parametrize("lost_count", [0, 1, 2])
    def test_needs_votes_of_each_electing_set_of_the_previous_voters(
        self, count: int, change: str, lost_count: int
    ) -> None:
        previous = membership(count)
        following = membership(count + (1 if change == "promotion" else -1))
        before = log_with(previous, previous)
        during = log_with(previous, previous, following)
        everyone = [item.replica_id for item in membership(count + 1).members]
        # The last of the remaining voters have lost their disks since the first vote.
        lost = set(everyone[1 : 1 + lost_count])
        first = winning_sets(during, 2, everyone, set())
        second = winning_sets(before, 2, set(everyone) - lost, lost)
        assert first and second
        assert all(one & other for one in first for other in second)


def winning_sets(
    log: MembershipLog, commit_index: int, candidates: Any, lost: set[str]
) -> list[set[str]]:
    """Return all sets of votes that elect a leader while these disks are lost."""
    sizes = range(1, len(candidates) + 1)
    subsets = chain.from_iterable(combinations(sorted(candidates), n) for n in sizes)
    needed = electorates(log, commit_index)
    return [
        set(item)
        for item in subsets
        if all(electorate.is_won(item, lost) for electorate in needed)
    ]


class TestCommitBesideAnElection:
    """Guards against an acknowledged change that the next leader does not have.

    A leader commits a removal, and a candidate without it asks for votes, while disks
    are lost, noted and answered for in any order.
    """

    @pytest.mark.parametrize("count", [4, 6])
    @pytest.mark.parametrize("seed", range(4))
    def test_never_both_succeed(self, count: int, seed: int) -> None:
        chance = random.Random(seed)
        outcomes = [VotersInAnyOrder(count, chance).run() for _ in range(400)]
        assert {"committed", "elected"} <= set(outcomes)
        assert "both" not in outcomes


class VotersInAnyOrder:
    """Voters that acknowledge to the first, vote for the last, and lose their disks."""

    def __init__(self, count: int, chance: random.Random) -> None:
        self._chance = chance
        previous = membership(count)
        self._ids = [item.replica_id for item in previous.members]
        self._leader_id, *self._others, self._candidate_id = self._ids
        self._following = without_replica(previous, self._ids[1])
        self._previous = previous
        self._electorates = electorates(log_with(previous, previous), 2)
        self._leadership = Leadership(1, self._leader_id, 2, 0)
        self._leadership.track_members(previous.members, 2)
        self._lost: set[str] = set()
        # Those that have the change don't vote, and those that vote don't get it.
        self._voters = set(chance.sample(self._others, count // 2 - 1))
        self._tally = VoteTally(self._electorates, self._candidate_id)
        self._now = 0

    def run(self) -> str:
        """Let events happen in random order; return what succeeded."""
        events = [self._lose_disk, self._note_by_leader, self._note_by_candidate]
        events += 3 * [self._acknowledge, self._vote]
        committed = elected = False
        for self._now in range(60):
            self._chance.choice(events)(self._chance.choice(self._others))
            committed = committed or self._is_committed()
            elected = elected or self._is_elected()
        if committed and elected:
            return "both"
        return "committed" if committed else "elected" if elected else "neither"

    def _lose_disk(self, voter_id: str) -> None:
        if len(self._lost) < len(self._ids) // 2 - 1:
            self._lost.add(voter_id)

    def _acknowledge(self, voter_id: str) -> None:
        if voter_id not in self._lost | self._voters:
            progress = self._leadership.progress_by_id[voter_id]
            progress.match_index, progress.acknowledged_at = 3, self._now

    def _note_by_leader(self, voter_id: str) -> None:
        if voter_id in self._lost - self._leadership.lost_ids:
            self._leadership.note_lost(voter_id)
            self._leadership.lost_noted_at = self._now

    def _vote(self, voter_id: str) -> None:
        if voter_id in self._voters - self._lost:
            self._tally.grant(voter_id)

    def _note_by_candidate(self, voter_id: str) -> None:
        if voter_id in self._lost:
            self._tally.add_lost(voter_id)

    def _is_committed(self) -> bool:
        leadership = self._leadership
        previous = AckQuorum.of(
            self._previous, leadership.lost_ids, leadership.lost_noted_at
        )
        quorums = [AckQuorum.of(self._following), previous]
        return leadership.committable(quorums, 3) == 3

    def _is_elected(self) -> bool:
        if self._tally.is_won():
            return True
        if self._tally.wait_until_decided(Deadline.after(0)):
            lost_ids = self._tally.all_lost_ids()
            self._tally = VoteTally(self._electorates, self._candidate_id, lost_ids)
        return False
