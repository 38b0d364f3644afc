"""Memberships: which replicas vote, and each change of one replica at a time."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from jujubeslip.control._commands import command_of
from jujubeslip.peers import EntryKind, LogEntry, Member, Membership

# Of two voters, one is no majority whatever became of the other.
LEAST_SPARING_VOTERS = 4

NO_MEMBERSHIP = Membership("", [], [])


def voters(membership: Membership) -> list[Member]:
    """Return the members that vote."""
    return [member for member in membership.members if member.voter]


def other_voters(membership: Membership, replica_id: str) -> tuple[Member, ...]:
    """Return the members that vote beside this replica."""
    return tuple(
        member for member in voters(membership) if member.replica_id != replica_id
    )


def quorum_size(membership: Membership) -> int:
    """Return how many voters make a majority."""
    return len(voters(membership)) // 2 + 1


@dataclass(frozen=True)
class VoteQuorum:
    """How many votes, the candidate's own among them, elect a leader."""

    voters: int
    spares_lost: bool
    """Whether voters whose disks are lost may count for nothing."""

    def votes_needed(self, lost: int) -> int:
        """Return the number of votes needed beside so many voters with lost disks.

        Of an even number of voters, one more than half has synced what is committed.
        Half of all, and a majority of those that are not lost, meets each such majority
        in a replica that still has it, and each other election in one that votes once.
        """
        majority = self.voters // 2 + 1
        if not self.spares_lost or lost == 0:
            return majority
        left = self.voters - lost
        half = self.voters // 2
        return max(half, left // 2 + 1)


def vote_quorum(memberships: MembershipLog) -> VoteQuorum:
    """Return the quorum of the newest membership.

    One that is not known to be committed may have been replaced by another, whose
    majorities it need not meet.
    """
    current = memberships.current
    spares_lost = memberships.is_confirmed and may_spare_lost(current)
    return VoteQuorum(len(voters(current)), spares_lost)


def may_spare_lost(membership: Membership) -> bool:
    """Say whether its voters elect a leader with a vote less beside lost disks."""
    count = len(voters(membership))
    return count >= LEAST_SPARING_VOTERS and count % 2 == 0


def find_member(membership: Membership, replica_id: str) -> Member | None:
    """Return the member with this replica id."""
    for member in membership.members:
        if member.replica_id == replica_id:
            return member
    return None


def is_voter(membership: Membership, replica_id: str) -> bool:
    """Say whether the replica votes."""
    member = find_member(membership, replica_id)
    return member is not None and member.voter


def members_of_host(membership: Membership, host_id: str) -> list[Member]:
    """Return the replicas of a host: a lost disk and its successor share one."""
    return [member for member in membership.members if member.host_id == host_id]


def with_learner(membership: Membership, learner: Member) -> Membership:
    """Return the membership with a learner, in place of an older one of its host."""
    kept = [
        member
        for member in membership.members
        if member.voter or member.host_id != learner.host_id
    ]
    return _replace(membership, [*kept, learner])


def with_promoted(membership: Membership, replica_id: str) -> Membership:
    """Return the membership in which the learner votes."""
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
    left = _replace(membership, kept)
    left.lost_replica_ids = sorted(lost_ids)
    return left


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
    """The memberships in the log; the newest counts, committed or not."""

    def __init__(self, index: int, membership: Membership) -> None:
        self._by_index: list[tuple[int, Membership]] = [(index, membership)]

    @property
    def current(self) -> Membership:
        """Return the newest membership."""
        return self._by_index[-1][1]

    @property
    def is_confirmed(self) -> bool:
        """Say whether the log tells that the newest membership is committed.

        What a snapshot holds is committed, and what an entry repeats.
        """
        if len(self._by_index) == 1:
            return True
        return self._by_index[-1][1] == self._by_index[-2][1]

    @property
    def needs_confirmation(self) -> bool:
        """Say whether the log has to tell that the newest membership is committed."""
        may_spare = map(may_spare_lost, (self.current, self.previous))
        return any(may_spare) and not self.is_confirmed

    @property
    def meets_previous(self) -> bool:
        """Say whether the newest membership commits by majorities of both.

        Voters that elect a leader without those whose disks are lost have to find it.
        A declared recovery begins anew.
        """
        previous = self.previous
        is_same_cluster = previous.cluster_id == self.current.cluster_id
        return may_spare_lost(previous) and is_same_cluster

    @property
    def previous(self) -> Membership:
        """Return the membership before the newest one."""
        return self._by_index[max(0, len(self._by_index) - 2)][1]

    @property
    def current_index(self) -> int:
        """Return the index of the entry that holds the newest membership."""
        return self._by_index[-1][0]

    def append(self, entry: LogEntry) -> bool:
        """Note a new entry of the log; say whether it changes the membership."""
        if entry.kind != EntryKind.MEMBERSHIP:
            return False
        membership = command_of(entry)
        assert isinstance(membership, Membership)
        self._by_index.append((entry.index, membership))
        return True

    def truncate_from(self, index: int) -> bool:
        """Forget entries that were removed; say whether the membership changed."""
        kept = [item for item in self._by_index if item[0] < index]
        changed = len(kept) != len(self._by_index)
        self._by_index = kept
        return changed

    def at(self, index: int) -> Membership:
        """Return the membership as of the index."""
        return next(item for at, item in reversed(self._by_index) if at <= index)

    def trim(self, index: int) -> None:
        """Forget memberships that a snapshot at the index has replaced."""
        newer = [item for item in self._by_index if item[0] > index]
        self._by_index = [(index, self.at(index)), *newer]

    def __iter__(self) -> Iterator[tuple[int, Membership]]:
        return iter(self._by_index)
