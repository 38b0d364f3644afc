"""Roles, and what a leader knows for one term: followers, lease, proposals."""

from __future__ import annotations

import enum
from collections.abc import Collection, Mapping, Sequence
from concurrent.futures import Future
from dataclasses import dataclass

from jujubeslip.control._errors import LeadershipLostError
from jujubeslip.control._machine import Outcome
from jujubeslip.control._members import quorum_size, voters
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import Member, Membership

NEVER = float("-inf")
MILLISECONDS = 1000


class Role(enum.Enum):
    """What a replica does in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class LeaderContact:
    """The leader that a follower last heard."""

    replica_id: str = ""
    address: str = ""
    term: int = 0
    """The term in which it leads; the replica's own may be higher."""


@dataclass
class Progress:
    """How far a follower is; `acknowledged_at` is when its last answer was asked for.

    For a lease the instant of asking counts, not that of the answer, `heard_at`: the
    follower may have answered at any time after it, and its promise not to vote began
    no earlier.
    """

    next_index: int
    match_index: int = 0
    acknowledged_at: float = NEVER
    heard_at: float = NEVER


@dataclass(frozen=True)
class Fence:
    """What an order carries: a number that grows with each leader, and its lease.

    An order whose answer could come after the lease must not be sent.
    """

    number: int
    lease: Deadline


class Leadership:
    """One term of this replica as leader; guarded by the replica's lock."""

    def __init__(
        self, term: int, replica_id: str, last_index: int, stamp_ms: int
    ) -> None:
        self.term = term
        self.first_index = last_index + 1
        self.started_at = steady_seconds()
        self.progress_by_id: dict[str, Progress] = {}
        self._replica_id = replica_id
        self._stamp_ms = stamp_ms
        self._waiter_by_index: dict[int, Future[Outcome]] = {}

    def stamp_ms(self) -> int:
        """Return log time: the last leader's, and the time since this one leads.

        Clocks of hosts are not compared, and time without a leader does not count,
        so that retention is never shorter than it says.
        """
        return self._stamp_ms + int((steady_seconds() - self.started_at) * 1000)

    def follow_members(self, members: Sequence[Member], last_index: int) -> None:
        """Begin to track new members and forget those that left."""
        for member in members:
            if member.replica_id != self._replica_id:
                self.progress_by_id.setdefault(
                    member.replica_id, Progress(last_index + 1)
                )
        kept = {member.replica_id for member in members}
        for replica_id in self.progress_by_id.keys() - kept:
            del self.progress_by_id[replica_id]

    def lease(self, membership: Membership, seconds: float) -> Deadline:
        """Return until when no other leader can have been elected."""
        return Deadline(self.quorum_instant(membership) + seconds)

    def quorum_deadline(self, membership: Membership, seconds: float) -> Deadline:
        """Return when the leader has gone without answers of a quorum for this long.

        Answers count when they come in: one that is late shows that its follower was
        there, and the lease alone says what the leader may promise.
        """
        heard_at_by_id = {
            replica_id: max(self.started_at, progress.heard_at)
            for replica_id, progress in self.progress_by_id.items()
        }
        return Deadline(self._quorum_instant(membership, heard_at_by_id) + seconds)

    def committable(
        self, membership: Membership, durable_index: int, lost_ids: Collection[str] = ()
    ) -> int:
        """Return the highest index that a majority of the voters has synced.

        Voters whose disks are lost are left out.
        """
        matches = []
        for member in voters(membership):
            if member.replica_id in lost_ids:
                continue
            if member.replica_id == self._replica_id:
                matches.append(durable_index)
            else:
                progress = self.progress_by_id.get(member.replica_id)
                matches.append(progress.match_index if progress else 0)
        matches.sort(reverse=True)
        return matches[len(matches) // 2]

    def add_waiter(self, index: int) -> Future[Outcome]:
        """Return the future that gets the outcome of the entry with this index."""
        future: Future[Outcome] = Future()
        self._waiter_by_index[index] = future
        return future

    def answer_waiter(self, index: int, outcome: Outcome) -> None:
        """Hand the outcome of an applied entry to who proposed it."""
        future = self._waiter_by_index.pop(index, None)
        if future is not None:
            future.set_result(outcome)

    def end(self) -> None:
        """Tell all who wait that this replica can't say what becomes of it."""
        error = LeadershipLostError("This replica no longer leads.")
        for future in self._waiter_by_index.values():
            future.set_exception(error)
        self._waiter_by_index.clear()

    def led_for_ms(self) -> int:
        """Return for how long this replica has led."""
        return int((steady_seconds() - self.started_at) * MILLISECONDS)

    def acknowledged_ago_ms(self) -> dict[str, int]:
        """Return when each follower was asked what it last answered, by its id."""
        now = steady_seconds()
        return {
            replica_id: int((now - progress.acknowledged_at) * MILLISECONDS)
            for replica_id, progress in self.progress_by_id.items()
            if progress.acknowledged_at > NEVER
        }

    def quorum_instant(self, membership: Membership) -> float:
        """Return the latest instant since which a majority has answered."""
        acknowledged_at_by_id = {
            replica_id: progress.acknowledged_at
            for replica_id, progress in self.progress_by_id.items()
        }
        return self._quorum_instant(membership, acknowledged_at_by_id)

    def _quorum_instant(
        self, membership: Membership, instant_by_id: Mapping[str, float]
    ) -> float:
        own = {self._replica_id: steady_seconds()}
        known = {**instant_by_id, **own}
        instants = [known[member.replica_id] for member in voters(membership)]
        instants.sort(reverse=True)
        return instants[quorum_size(membership) - 1]
