"""Roles, and a leader's state for one term: followers, lease, pending proposals."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from concurrent.futures import Future
from dataclasses import dataclass

from jujubeslip.control._errors import LeadershipLostError
from jujubeslip.control._lease_clock import LeaseClock
from jujubeslip.control._membership import NEVER, AckQuorum
from jujubeslip.control._state_machine import Outcome
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import Member

MILLISECONDS = 1000


class Role(enum.Enum):
    """What a replica does in the current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class KnownLeader:
    """The leader from which a follower last received a message."""

    replica_id: str = ""
    address: str = ""
    term: int = 0
    """The term in which it leads; the follower's own term may be higher."""


@dataclass
class Progress:
    """Replication progress of a follower.

    `acknowledged_at` is when the last answered request was sent, `heard_at` when its
    reply arrived. A lease counts from the send time: the follower's promise not to
    vote began at an unknown time between the two.
    """

    next_index: int
    match_index: int = 0
    acknowledged_at: float = NEVER
    heard_at: float = NEVER


@dataclass(frozen=True)
class Fence:
    """A leader's fencing number, which grows with each leader, and its lease.

    An order whose reply could arrive after the end of the lease must not be sent.
    """

    number: int
    lease: Deadline


class Leadership:
    """One term of this replica as leader; the replica's lock guards it."""

    def __init__(
        self, term: int, replica_id: str, last_index: int, stamp_ms: int
    ) -> None:
        self.term = term
        self.first_index = last_index + 1
        self.started_at = steady_seconds()
        self.lease_clock = LeaseClock(self.started_at)
        self.progress_by_id: dict[str, Progress] = {}
        self.lost_ids: set[str] = set()
        """Replicas whose hosts have answered with another disk."""
        self.lost_noted_at = self.started_at
        """When the last of them was noted, on the steady clock in seconds."""
        self._replica_id = replica_id
        self._stamp_ms = stamp_ms
        self._waiter_by_index: dict[int, Future[Outcome]] = {}

    def stamp_ms(self) -> int:
        """Return the log time: the previous leader's plus the time of this leadership.

        Clocks of hosts are not compared, and time without a leader does not count,
        so that data is never kept for less than its retention.
        """
        return self._stamp_ms + int((steady_seconds() - self.started_at) * 1000)

    def track_members(self, members: Sequence[Member], last_index: int) -> None:
        """Start tracking new members and stop tracking removed ones."""
        for member in members:
            if member.replica_id != self._replica_id:
                self.progress_by_id.setdefault(
                    member.replica_id, Progress(last_index + 1)
                )
        kept = {member.replica_id for member in members}
        for replica_id in self.progress_by_id.keys() - kept:
            del self.progress_by_id[replica_id]

    def lease(self, quorums: Sequence[AckQuorum], seconds: float) -> Deadline:
        """Return the deadline until which no other leader can be elected."""
        return Deadline(self.quorum_acknowledged_at(quorums) + seconds)

    def quorum_deadline(self, quorums: Sequence[AckQuorum], seconds: float) -> Deadline:
        """Return when the leader will have had no replies of a quorum for this long.

        Replies count from their arrival: a late one still shows that its follower is
        alive. What the leader may acknowledge depends on the lease alone.
        """
        heard_at_by_id = {
            replica_id: max(self.started_at, progress.heard_at)
            for replica_id, progress in self.progress_by_id.items()
        }
        heard_at_by_id[self._replica_id] = steady_seconds()
        # A reply shows that its follower is alive, whenever the request was sent.
        reached_at = self._reached_at(quorums, heard_at_by_id, heard_at_by_id)
        return Deadline(reached_at + seconds)

    def committable(self, quorums: Sequence[AckQuorum], durable_index: int) -> int:
        """Return the highest index that a majority of each quorum has synced."""
        index_by_id: dict[str, float] = {
            replica_id: progress.match_index
            for replica_id, progress in self.progress_by_id.items()
        }
        index_by_id[self._replica_id] = durable_index
        acknowledged_at_by_id = self._acknowledged_at_by_id()
        return int(
            min(item.reached(index_by_id, acknowledged_at_by_id, 0) for item in quorums)
        )

    def note_lost(self, replica_id: str) -> None:
        """Record that a replica's host has answered with another disk."""
        self.lost_ids.add(replica_id)
        self.lost_noted_at = steady_seconds()

    def add_waiter(self, index: int) -> Future[Outcome]:
        """Return the future that gets the outcome of the entry with this index."""
        future: Future[Outcome] = Future()
        self._waiter_by_index[index] = future
        return future

    def resolve_waiter(self, index: int, outcome: Outcome) -> None:
        """Set the outcome of an applied entry on the future of its proposal."""
        future = self._waiter_by_index.pop(index, None)
        if future is not None:
            future.set_result(outcome)

    def fail_waiters(self) -> None:
        """Fail all pending proposals, since their outcome is unknown from now on."""
        error = LeadershipLostError("This replica no longer leads.")
        for future in self._waiter_by_index.values():
            future.set_exception(error)
        self._waiter_by_index.clear()

    def led_for_ms(self) -> int:
        """Return for how long this replica has led, in milliseconds."""
        return int((steady_seconds() - self.started_at) * MILLISECONDS)

    def acknowledged_ago_ms(self) -> dict[str, int]:
        """Return the age of each follower's last answered request, by replica id."""
        now = steady_seconds()
        return {
            replica_id: int((now - progress.acknowledged_at) * MILLISECONDS)
            for replica_id, progress in self.progress_by_id.items()
            if progress.acknowledged_at > NEVER
        }

    def quorum_acknowledged_at(self, quorums: Sequence[AckQuorum]) -> float:
        """Return the latest time such that all quorums answered requests sent since."""
        acknowledged_at_by_id = self._acknowledged_at_by_id()
        return self._reached_at(quorums, acknowledged_at_by_id, acknowledged_at_by_id)

    def _acknowledged_at_by_id(self) -> dict[str, float]:
        """Return when the last answered request to each replica was sent."""
        acknowledged_at_by_id = {
            replica_id: progress.acknowledged_at
            for replica_id, progress in self.progress_by_id.items()
        }
        acknowledged_at_by_id[self._replica_id] = steady_seconds()
        return acknowledged_at_by_id

    def _reached_at(
        self,
        quorums: Sequence[AckQuorum],
        timestamp_by_id: Mapping[str, float],
        acknowledged_at_by_id: Mapping[str, float],
    ) -> float:
        return min(
            quorum.reached(timestamp_by_id, acknowledged_at_by_id, NEVER)
            for quorum in quorums
        )
