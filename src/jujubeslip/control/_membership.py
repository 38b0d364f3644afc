"""Memberships: which replicas vote, and functions that change one of the replicas."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Self

from jujubeslip.control._commands import command_of
from jujubeslip.peers import EntryKind, LogEntry, Member, Membership

# With two voters, one of them must not elect itself when the other's disk is lost.
MINIMUM_VOTERS_EXCLUDING_LOST = 4

NO_MEMBERSHIP = Membership("", [], [])

NEVER = float("-inf")


def voters(membership: Membership) -> list[Member]:
    """Return the members that vote."""
    return [member for member in membership.members if member.voter]


def other_voters(membership: Membership, replica_id: str) -> tuple[Member, ...]:
    """Return the other members that vote."""
    return tuple(
        member for member in voters(membership) if member.replica_id != replica_id
    )


def _have_same_voters(first: Membership, second: Membership) -> bool:
    ids = [{item.replica_id for item in voters(each)} for each in (first, second)]
    return ids[0] == ids[1] and first.cluster_id == second.cluster_id


def quorum_size(membership: Membership) -> int:
    """Return how many voters make a majority."""
    return len(voters(membership)) // 2 + 1


@dataclass(frozen=True)
class VoteQuorum:
    """The number of votes, the candidate's own included, that elect a leader."""

    voters: int
    excludes_lost: bool
    """Whether voters with lost disks may be left out of the majority."""

    def votes_needed(self, lost: int) -> int:
        """Return the number of votes needed if so many voters have lost their disks.

        With an even number of voters, a committed entry is synced on one more than half
        of them. Half of all voters that is also a majority of those with their disks
        intersects each such majority in a replica that still holds the entry, and each
        other electing quorum in a replica that votes only once.
        """
        majority = self.voters // 2 + 1
        if not self.excludes_lost or lost == 0:
            return majority
        remaining = self.voters - lost
        half = self.voters // 2
        return max(half, remaining // 2 + 1)


@dataclass(frozen=True)
class Electorate:
    """The voters of one membership, and how many of their votes elect a leader."""

    voter_ids: frozenset[str]
    quorum: VoteQuorum

    @classmethod
    def of(cls, membership: Membership, excludes_lost: bool) -> Self:
        """Return the electorate of a membership."""
        voter_ids = frozenset(item.replica_id for item in voters(membership))
        return cls(voter_ids, VoteQuorum(len(voter_ids), excludes_lost))

    def is_won(self, vote_ids: Collection[str], lost_ids: Collection[str]) -> bool:
        """Return whether the votes suffice while these replicas' disks are lost."""
        lost = len(self.voter_ids.intersection(lost_ids))
        votes = len(self.voter_ids.intersection(vote_ids))
        return votes >= self.quorum.votes_needed(lost)


@dataclass(frozen=True)
class AckQuorum:
    """Voters of which a majority has to acknowledge an entry or a heartbeat.

    Voters with lost disks may be left out. The others then count by acknowledgements of
    requests that were sent after the losses were noted: a lost voter may have voted for
    another candidate before, which those that still acknowledge have not.
    """

    voter_ids: frozenset[str]
    lost_ids: frozenset[str] = frozenset()
    lost_noted_at: float = NEVER
    """When the last loss was noted, on the steady clock in seconds."""

    @classmethod
    def of(
        cls,
        membership: Membership,
        lost_ids: Collection[str] = (),
        lost_noted_at: float = NEVER,
    ) -> Self:
        """Return the quorum of the membership's voters."""
        voter_ids = frozenset(item.replica_id for item in voters(membership))
        return cls(voter_ids, voter_ids.intersection(lost_ids), lost_noted_at)

    def reached(
        self,
        value_by_id: Mapping[str, float],
        acknowledged_at_by_id: Mapping[str, float],
        default: float,
    ) -> float:
        """Return the highest value that a majority has reached.

        `acknowledged_at_by_id` is when each voter's last answered request was sent,
        `default` the value of a voter without one.
        """
        of_all = _majority_value(self.voter_ids, value_by_id, default)
        if not self.lost_ids:
            return of_all
        current = {
            replica_id: value
            for replica_id, value in value_by_id.items()
            if acknowledged_at_by_id.get(replica_id, NEVER) >= self.lost_noted_at
        }
        remaining = self.voter_ids - self.lost_ids
        return max(of_all, _majority_value(remaining, current, default))


def _majority_value(
    replica_ids: Collection[str], value_by_id: Mapping[str, float], default: float
) -> float:
    """Return the highest value that a majority of the replicas has reached."""
    values = [value_by_id.get(item, default) for item in replica_ids]
    values.sort(reverse=True)
    return values[len(values) // 2] if values else default


def vote_quorum(memberships: MembershipLog) -> VoteQuorum:
    """Return the quorum of the newest membership.

    Lost voters are left out only if its voters are known to be committed. Otherwise
    other voters may have replaced them, with majorities that don't intersect the
    smaller quorum.
    """
    current = memberships.current
    excludes_lost = memberships.is_confirmed and may_exclude_lost(current)
    return VoteQuorum(len(voters(current)), excludes_lost)


def electorates(memberships: MembershipLog, commit_index: int) -> list[Electorate]:
    """Return the electorates that all have to elect a leader.

    While a change is not known to be committed, the previous voters may still elect a
    leader without those with lost disks. Their vote is needed as well, so that they
    don't elect another leader in the same term.
    """
    quorum = vote_quorum(memberships)
    found = [Electorate.of(memberships.current, quorum.excludes_lost)]
    if memberships.needs_previous_quorum(commit_index):
        # The previous voters were committed before the change began.
        found.append(Electorate.of(memberships.previous, excludes_lost=True))
    return found


def all_voters(memberships: MembershipLog, commit_index: int) -> list[Member]:
    """Return the voters of all electorates."""
    found = voters(memberships.current)
    if memberships.needs_previous_quorum(commit_index):
        known_ids = {item.replica_id for item in found}
        previous = voters(memberships.previous)
        found += [item for item in previous if item.replica_id not in known_ids]
    return found


def may_exclude_lost(membership: Membership) -> bool:
    """Return whether its voters may elect a leader without those with lost disks."""
    count = len(voters(membership))
    return count >= MINIMUM_VOTERS_EXCLUDING_LOST and count % 2 == 0


def find_member(membership: Membership, replica_id: str) -> Member | None:
    """Return the member with this replica id."""
    for member in membership.members:
        if member.replica_id == replica_id:
            return member
    return None


def is_voter(membership: Membership, replica_id: str) -> bool:
    """Return whether the replica votes."""
    member = find_member(membership, replica_id)
    return member is not None and member.voter


def members_of_host(membership: Membership, host_id: str) -> list[Member]:
    """Return the replicas of a host: two while the successor of a lost disk joins."""
    return [member for member in membership.members if member.host_id == host_id]


def with_learner(membership: Membership, learner: Member) -> Membership:
    """Return the membership with a learner, which replaces older ones of its host."""
    kept = [
        member
        for member in membership.members
        if member.voter or member.host_id != learner.host_id
    ]
    return _replace(membership, [*kept, learner])


def with_promoted(membership: Membership, replica_id: str) -> Membership:
    """Return the membership in which the learner is a voter."""
    members = [
        Member(member.replica_id, member.host_id, member.address, True)
        if member.replica_id == replica_id
        else member
        for member in membership.members
    ]
    return _replace(membership, members)


def without_replica(membership: Membership, replica_id: str) -> Membership:
    """Return the membership without one replica."""
    kept = [item for item in membership.members if item.replica_id != replica_id]
    return _replace(membership, kept)


def without_lost(membership: Membership, lost_ids: Collection[str]) -> Membership:
    """Return the membership without the replicas whose disks are lost."""
    kept = [item for item in membership.members if item.replica_id not in lost_ids]
    remaining = _replace(membership, kept)
    remaining.lost_replica_ids = sorted(lost_ids)
    return remaining


def with_admitted(membership: Membership, host_id: str) -> Membership:
    """Return the membership in which a new host may join."""
    admitted = sorted({*membership.admitted_host_ids, host_id})
    return Membership(membership.cluster_id, membership.members, admitted)


def without_host(membership: Membership, host_id: str) -> Membership:
    """Return the membership without a host and its admission."""
    kept = [member for member in membership.members if member.host_id != host_id]
    admitted = [item for item in membership.admitted_host_ids if item != host_id]
    return Membership(membership.cluster_id, kept, admitted)


def _replace(membership: Membership, members: list[Member]) -> Membership:
    joined = {member.host_id for member in members}
    admitted = [item for item in membership.admitted_host_ids if item not in joined]
    return Membership(membership.cluster_id, members, admitted)


class MembershipLog:
    """The memberships in the log; the newest is in effect, committed or not."""

    def __init__(self, index: int, membership: Membership) -> None:
        self._by_index: list[tuple[int, Membership]] = [(index, membership)]

    @property
    def current(self) -> Membership:
        """Return the newest membership."""
        return self._by_index[-1][1]

    @property
    def is_confirmed(self) -> bool:
        """Return whether the log shows that the newest voters are committed.

        It does if they come from a snapshot, or if a second entry has the same voters:
        a leader adds no membership before the previous one is committed, except to
        remove voters.
        """
        if len(self._by_index) == 1:
            return True
        return _have_same_voters(self.current, self.previous)

    @property
    def needs_confirmation(self) -> bool:
        """Return whether the leader has to repeat the newest membership in the log."""
        may_exclude = map(may_exclude_lost, (self.current, self.previous))
        return any(may_exclude) and not self.is_confirmed

    def needs_previous_quorum(self, commit_index: int) -> bool:
        """Return whether a quorum of the previous membership is needed, too.

        This is so until the newest membership is committed, if the previous voters may
        elect a leader without those with lost disks: their quorum has to include a
        replica with the newest membership. It does not apply after a declared recovery,
        which starts a new cluster.
        """
        previous = self.previous
        is_same_cluster = previous.cluster_id == self.current.cluster_id
        is_uncommitted = self.current_index > commit_index
        return is_uncommitted and is_same_cluster and may_exclude_lost(previous)

    @property
    def previous(self) -> Membership:
        """Return the membership before the newest one."""
        return self._by_index[max(0, len(self._by_index) - 2)][1]

    @property
    def current_index(self) -> int:
        """Return the index of the entry that holds the newest membership."""
        return self._by_index[-1][0]

    def append(self, entry: LogEntry) -> bool:
        """Add a new entry of the log; return whether it changes the membership."""
        if entry.kind != EntryKind.MEMBERSHIP:
            return False
        membership = command_of(entry)
        assert isinstance(membership, Membership)
        self._by_index.append((entry.index, membership))
        return True

    def truncate_from(self, index: int) -> bool:
        """Drop entries removed from the log; return whether the membership changed."""
        kept = [item for item in self._by_index if item[0] < index]
        changed = len(kept) != len(self._by_index)
        self._by_index = kept
        return changed

    def at(self, index: int) -> Membership:
        """Return the membership as of the index."""
        return next(item for at, item in reversed(self._by_index) if at <= index)

    def trim(self, index: int) -> None:
        """Drop the memberships that a snapshot at the index covers."""
        newer = [item for item in self._by_index if item[0] > index]
        self._by_index = [(index, self.at(index)), *newer]

    def __iter__(self) -> Iterator[tuple[int, Membership]]:
        return iter(self._by_index)
