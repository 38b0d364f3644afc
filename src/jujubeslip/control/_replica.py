"""One replica of the log: its role, its entries, and the rules for changing both.

Two locks guard it. `disk_lock` serializes everything that writes to the data folder,
`lock` guards the fields. Code that needs both takes `disk_lock` first. A leader syncs
its entries while it holds `disk_lock` alone, so that a slow disk delays no heartbeat.
"""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Collection, Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import contextmanager
from dataclasses import replace

from jujubeslip.control._commands import Command, NoOp, make_entry
from jujubeslip.control._errors import LeadershipLostError, StorageFailedError
from jujubeslip.control._leadership import Fence, KnownLeader, Leadership, Role
from jujubeslip.control._loading import load_state
from jujubeslip.control._membership import (
    NEVER,
    AckQuorum,
    is_voter,
    may_exclude_lost,
    quorum_size,
    voters,
    without_lost,
)
from jujubeslip.control._state_machine import Outcome
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import (
    ControlSettings,
    Deadline,
    Process,
    new_incarnation,
    steady_seconds,
)
from jujubeslip.peers import (
    LogEntry,
    Member,
    Membership,
    NotLeader,
    PeerRefusal,
    ReplicaMetadata,
    VoteRequest,
)

logger = logging.getLogger(__name__)

# Length of a leader's lease as a share of the election timeout. The remainder is the
# safety margin for clocks of two hosts that run at different rates.
LEASE_SHARE = 0.9
# Range over which replicas spread their campaigns, as a share of the election timeout.
# A campaign takes ten milliseconds, and after a restart of all hosts no request is
# served before one succeeds.
ELECTION_SPREAD = 0.4
MILLISECONDS = 1000
RETRY_AFTER_MS = 200
# A snapshot is also taken after this many bytes of applied entries, since entries stay
# in memory until a snapshot covers them.
SNAPSHOT_BYTES = 4 * 1024 * 1024


class Replica:
    """The shared state of one replica, used by its tasks and its request handlers."""

    def __init__(
        self, settings: ControlSettings, storage: Storage, process: Process
    ) -> None:
        self.settings = settings
        self.storage = storage
        self.process = process
        self.replica_id = storage.replica_id
        self.election_seconds = settings.election_timeout_ms / MILLISECONDS
        self.disk_lock = threading.RLock()
        self.lock = threading.RLock()
        # Notified when there is something to write or to send.
        self.work = threading.Condition(self.lock)
        # Notified when the role, the leader or the membership changes.
        self.role_changed = threading.Condition(self.lock)
        # Notified when a newer configuration is applied.
        self.configuration_changed = threading.Condition(self.lock)
        # Notified when a removal of an endpoint is applied.
        self.removals_changed = threading.Condition(self.lock)
        # Notified when enough entries were applied since the last snapshot.
        self.snapshot_due = threading.Condition(self.lock)
        self.role = Role.FOLLOWER
        self.leader = KnownLeader()
        self.leadership: Leadership | None = None
        self.failure = ""
        self.transferring = False
        state = load_state(storage)
        self.snapshot = state.snapshot
        self.machine = state.machine
        self.log = state.log
        self.memberships = state.memberships
        self.commit_index = self.applied_index = state.applied_index
        # Bytes of the entries that were applied since the last snapshot.
        self.applied_bytes = 0
        self.written_index = self.log.last_index
        self.start_number = new_incarnation()
        """Identifies this run of the process."""
        self.no_leader_since_start = True
        """Whether this replica has neither led nor heard from a leader since start."""
        self.heard_leader_until = self._first_vote_deadline()
        self._led_until = Deadline(0.0)
        self.election_deadline = self._first_election_deadline()

    # Properties that the election and replication rules depend on.
    @property
    def term(self) -> int:
        """Return the current term, which is always durable on disk."""
        return self.storage.metadata.term

    @property
    def cluster_id(self) -> str:
        """Return the cluster that this replica belongs to, empty before it joins."""
        return self.storage.metadata.cluster_id

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log."""
        return self.memberships.current

    @property
    def hears_leader(self) -> bool:
        """Return whether a leader is known to be alive.

        As long as it is, this replica votes for no other.
        """
        return self.role is Role.LEADER or not self.heard_leader_until.expired

    @property
    def may_campaign(self) -> bool:
        """Return whether this replica may become leader.

        A stopping replica may not: the leadership would end again with its process.
        """
        if self.failure or self.process.stopping.is_set():
            return False
        return is_voter(self.membership, self.replica_id)

    @property
    def needs_snapshot(self) -> bool:
        """Return whether enough entries were applied since the last snapshot."""
        taken = self.snapshot.header.last_index if self.snapshot else 0
        applied = self.applied_index - taken
        return (
            applied >= self.settings.snapshot_every
            or self.applied_bytes >= SNAPSHOT_BYTES
        )

    @property
    def newest_stamp_ms(self) -> int:
        """Return the log time of the newest entry, applied or not."""
        if self.log.last_index == self.log.base_index:
            return self.machine.stamp_ms
        newest = self.log.entry(self.log.last_index)
        return max(self.machine.stamp_ms, newest.stamp_ms)

    @property
    def ack_quorums(self) -> list[AckQuorum]:
        """Return the quorums that a leader's entries and lease need.

        Both the newest and the previous voters have to acknowledge while a membership
        change is not committed and the previous ones may still elect a leader.
        """
        if not self.memberships.needs_previous_quorum(self.commit_index):
            return [AckQuorum.of(self.membership)]
        return self._joint_quorums(self.memberships.previous, self.membership)

    def ack_quorums_with(self, following: Membership) -> list[AckQuorum]:
        """Return the quorums that will be needed to commit the next membership."""
        if not may_exclude_lost(self.membership):
            return [AckQuorum.of(following)]
        return self._joint_quorums(self.membership, following)

    def _joint_quorums(
        self, previous: Membership, following: Membership
    ) -> list[AckQuorum]:
        """Return the quorums of both; of the previous one without the lost disks.

        A voter that loses its disk never acknowledges again, and would make a change
        that has begun impossible to commit.
        """
        lost_ids, noted_at = set(following.lost_replica_ids or ()), NEVER
        if self.leadership is not None:
            lost_ids |= self.leadership.lost_ids
            noted_at = self.leadership.lost_noted_at
        previous_quorum = AckQuorum.of(previous, lost_ids, noted_at)
        return [AckQuorum.of(following), previous_quorum]

    def note_lost_disk(self, leadership: Leadership, replica_id: str) -> None:
        """Record that a replica's host has answered with another disk."""
        with self.lock:
            if self.leadership is leadership:
                leadership.note_lost(replica_id)

    def lease(self) -> Deadline:
        """Return the deadline until which no other replica can lead."""
        assert self.leadership is not None
        seconds = self.election_seconds * LEASE_SHARE
        return self.leadership.lease(self.ack_quorums, seconds)

    def reads_are_current(self) -> bool:
        """Return whether the applied state covers every change that was acknowledged.

        A leader that resumes after a freeze finds its lease expired and serves no
        stale read. A new leader first applies an entry of its own term, and with it
        all earlier ones.
        """
        leadership = self.leadership
        if leadership is None or self.applied_index < leadership.first_index:
            return False
        return not self.lease().expired

    def fence(self) -> Fence | None:
        """Return the fencing number and lease, None unless leadership is certain."""
        with self.lock:
            if not self.reads_are_current():
                return None
            return Fence(self.term, self.lease())

    def renew_lease_clock(self) -> None:
        """Record the lease after an answer of a follower; needs `lock`."""
        if self.leadership is not None:
            self.leadership.lease_clock.renew(self.lease().timestamp, steady_seconds())

    def leased_time(self) -> float:
        """Return the time, which stands still while this leader has no valid lease."""
        # Without the lock: callers hold locks of their own.
        now, leadership = steady_seconds(), self.leadership
        if leadership is None or quorum_size(self.membership) == 1:
            return now
        return leadership.lease_clock.time(now)

    def silent_seconds(self) -> float | None:
        """Return for how long this replica has acknowledged no leader's lease.

        None while it leads, or while a leader may have a lease by its acknowledgement:
        a lease is shorter than the time for which a leader counts as heard.
        """
        with self.lock:
            if self.hears_leader:
                return None
            return min(self.heard_leader_until.overdue(), self._led_until.overdue())

    # Roles.

    def adopt_term(self, term: int, voted_for: str = "") -> None:
        """Move to a higher term, with a vote in it if one is given.

        Needs both locks. Term and vote are saved together: each save waits for the
        disk, and on a busy disk the candidate would time out before the second save.
        """
        is_later = term > self.term
        has_new_vote = voted_for not in ("", self.storage.metadata.voted_for)
        if is_later or has_new_vote:
            self.save_metadata(ReplicaMetadata(self.cluster_id, term, voted_for))
        if is_later:
            self.step_down("another replica has a higher term")

    def observe_term(self, term: int) -> None:
        """Move to the term of a reply, if it is higher than the current one."""
        if term <= self.term:
            return
        with self.disk_lock, self.lock, self.requiring_working_disk():
            self.adopt_term(term)

    def step_down(self, reason: str) -> None:
        """Become a follower; needs `lock`."""
        if self.role is Role.LEADER:
            led = self.leadership
            extra = {
                "reason": reason,
                "term": self.term,
                "led_for_ms": led.led_for_ms() if led else None,
                "acknowledged_ago_ms": led.acknowledged_ago_ms() if led else None,
            }
            logger.warning("no longer leading", extra=extra)
            self._led_until = Deadline.after(0)
            self.leader = KnownLeader()
        self.role = Role.FOLLOWER
        if self.leadership is not None:
            self.leadership.fail_waiters()
            self.leadership = None
        self.election_deadline = self.random_election_deadline()
        self.role_changed.notify_all()
        self.work.notify_all()

    def follow(self, term: int, leader: KnownLeader) -> None:
        """Follow the leader of this term after a message from it; needs both locks."""
        self.adopt_term(term)
        if self.role is not Role.FOLLOWER:
            self.step_down("another replica leads")
        leader = replace(leader, term=term)
        has_changed = leader != self.leader or not self.hears_leader
        if leader != self.leader:
            logger.info("following", extra={"leader": leader.replica_id, "term": term})
        self.leader = leader
        self.no_leader_since_start = False
        self.heard_leader_until = Deadline.after(self.election_seconds)
        if has_changed:
            self.role_changed.notify_all()
        self.election_deadline = self.random_election_deadline()

    def lead(self, lost_ids: Collection[str] = ()) -> None:
        """Begin to lead the current term; needs `lock`.

        `lost_ids` are voters with lost disks that the election did not count. The
        first entry removes them from the membership: as long as they count, the
        remaining voters may not be a majority.
        """
        last_index = self.log.last_index
        self.no_leader_since_start = False
        self.role = Role.LEADER
        self.leader = KnownLeader(
            self.replica_id, self.settings.peer_address, self.term
        )
        self.leadership = Leadership(
            self.term, self.replica_id, last_index, self.newest_stamp_ms
        )
        self.leadership.track_members(self.replication_targets(), last_index)
        logger.info("leading", extra={"term": self.term, "lost_ids": sorted(lost_ids)})
        without = without_lost(self.membership, lost_ids)
        self.append_command(without if lost_ids else NoOp())
        self.role_changed.notify_all()

    def vote_request(self, target_id: str, term: int, transfer: bool) -> VoteRequest:
        """Return the request for a voter's vote in this term; needs `lock`."""
        return VoteRequest(
            self.cluster_id,
            target_id,
            self.replica_id,
            term,
            self.log.last_index,
            self.log.last_term,
            transfer,
        )

    def random_election_deadline(self) -> Deadline:
        """Return a random deadline after which to campaign if no leader is heard."""
        spread = random.uniform(1.0, 1.0 + ELECTION_SPREAD)
        return Deadline.after(self.election_seconds * spread)

    def _first_vote_deadline(self) -> Deadline:
        """Return the deadline until which a newly started process gives no vote.

        Before the restart it may have acknowledged a leader whose lease is still
        valid. An immediate vote could elect a second leader within that lease.
        """
        is_single_voter = len(voters(self.membership)) <= 1
        return Deadline.after(
            0 if self.term == 0 or is_single_voter else self.election_seconds
        )

    def _first_election_deadline(self) -> Deadline:
        if len(voters(self.membership)) == 1:
            return Deadline.after(0)
        return self.random_election_deadline()

    # The log.

    def propose(self, command: Command, deadline: Deadline) -> Outcome:
        """Commit a command and return its outcome.

        Raises NotLeader when this replica does not lead or no longer leads, and
        PeerRefusal when the deadline passes first. The outcome is unknown then, and
        the same command may be sent again.
        """
        return self.wait_for(self.submit(command), deadline)

    def submit(self, command: Command) -> Future[Outcome]:
        """Add a command to the leader's log and return the future of its outcome."""
        with self.lock:
            leadership = self.require_leader()
            return leadership.add_waiter(self.append_command(command).index)

    def wait_for(self, waiter: Future[Outcome], deadline: Deadline) -> Outcome:
        """Return the outcome of a submitted command; raises as `propose` does."""
        try:
            return waiter.result(deadline.remaining())
        except LeadershipLostError as error:
            raise self.not_leader() from error
        except FutureTimeoutError as error:
            raise PeerRefusal(
                "not_committed",
                "No quorum confirmed the request in time; it may still be committed.",
                "Send the same request again; it is idempotent.",
                RETRY_AFTER_MS,
            ) from error

    def append_command(self, command: Command) -> LogEntry:
        """Add a command to the leader's log; needs `lock`."""
        leadership = self.leadership
        assert leadership is not None
        entry = make_entry(
            self.log.last_index + 1, self.term, leadership.stamp_ms(), command
        )
        self.append_entry(entry)
        return entry

    def append_entry(self, entry: LogEntry) -> None:
        """Add an entry to the log in memory; needs `lock`."""
        self.log.append(entry)
        if self.memberships.append(entry):
            self.membership_changed()
        self.work.notify_all()

    def truncate_from(self, index: int) -> None:
        """Remove entries that the leader does not have; needs both locks."""
        assert index > self.commit_index, "truncation would remove committed entries"
        if index <= self.written_index:
            self.storage.log.truncate_from(index)
            self.written_index = index - 1
        self.log.truncate_from(index)
        if self.memberships.truncate_from(index):
            self.membership_changed()

    def write_pending(self) -> None:
        """Write and sync the entries that are only in memory; needs `disk_lock`.

        All entries that were proposed during the last sync share one sync.
        """
        with self.lock:
            pending = self.log.entries_from(self.written_index + 1)
        if not pending:
            return
        self.storage.log.append(pending)
        self.storage.log.sync()
        with self.lock:
            self.written_index = pending[-1].index
            self.advance_commit()

    def advance_commit(self) -> None:
        """Commit the entries that a majority has synced; needs `lock`.

        Only an entry of the leader's own term is committed by counting replicas: an
        older one could still be overwritten by another leader although a majority
        holds it.
        """
        leadership = self.leadership
        if leadership is None:
            return
        index = leadership.committable(self.ack_quorums, self.written_index)
        if index >= leadership.first_index:
            self.commit_to(index)

    def commit_to(self, index: int) -> None:
        """Apply everything up to the index; needs `lock`."""
        if index <= self.commit_index:
            return
        was_settled = self.is_membership_settled
        self.commit_index = index
        revision = self.machine.configurations.current.revision
        removals = self.machine.removals.version
        while self.applied_index < index:
            entry = self.log.entry(self.applied_index + 1)
            outcome = self.machine.apply(entry)
            self.applied_index = entry.index
            self.applied_bytes += len(entry.payload)
            if self.leadership is not None:
                self.leadership.resolve_waiter(entry.index, outcome)
        if self.machine.configurations.current.revision != revision:
            self.configuration_changed.notify_all()
        if self.machine.removals.version != removals:
            self.removals_changed.notify_all()
        if self.needs_snapshot:
            self.snapshot_due.notify_all()
        if self.is_membership_settled and not was_settled:
            self.role_changed.notify_all()
        if self.role is Role.LEADER:
            self._confirm_membership_or_step_down()

    def _confirm_membership_or_step_down(self) -> None:
        """Confirm a committed membership in the log, or step down once removed.

        The confirmation is a second entry with the same membership.
        """
        if not self._has_uncommitted_membership and self.memberships.needs_confirmation:
            self.append_command(self.membership)
        elif self._is_removed():
            self.step_down("this replica was removed")

    def _is_removed(self) -> bool:
        committed = self.memberships.current_index <= self.commit_index
        return committed and not is_voter(self.membership, self.replica_id)

    @property
    def is_membership_settled(self) -> bool:
        """Return whether the newest membership is committed, confirmed if needed."""
        return not (
            self._has_uncommitted_membership or self.memberships.needs_confirmation
        )

    @property
    def _has_uncommitted_membership(self) -> bool:
        """Return whether the newest membership is not committed yet."""
        return self.memberships.current_index > self.commit_index

    def replication_targets(self) -> list[Member]:
        """Return the members that entries are replicated to; needs `lock`.

        A member that an uncommitted change removes is included, so that it receives
        that change.
        """
        members = {member.replica_id: member for member in self.membership.members}
        if self._has_uncommitted_membership:
            for member in self.memberships.previous.members:
                members.setdefault(member.replica_id, member)
        return list(members.values())

    def is_replication_target(self, replica_id: str) -> bool:
        """Return whether entries are replicated to a replica; needs `lock`."""
        return any(item.replica_id == replica_id for item in self.replication_targets())

    def membership_changed(self) -> None:
        """Update the leader's progress table and wake tasks; needs `lock`."""
        if self.leadership is not None:
            self.leadership.track_members(
                self.replication_targets(), self.log.last_index
            )
        self.role_changed.notify_all()

    # Refusals.

    def require_leader(self) -> Leadership:
        """Return the leadership, or raise NotLeader."""
        if self.leadership is None:
            raise self.not_leader()
        return self.leadership

    def not_leader(self) -> NotLeader:
        """Return the NotLeader error, which names the leader if one was heard.

        Without a leader it has the newest term in which this replica will not lead any
        more, and no term from a leader whose lease may become valid again.
        """
        with self.lock:
            if self.role is Role.LEADER:
                return NotLeader("", "")
            leader = self.leader
            if self.hears_leader and leader.address:
                return NotLeader(leader.replica_id, leader.address, leader.term)
            is_candidate = self.role is Role.CANDIDATE
            return NotLeader("", "", self.term - is_candidate)

    def known_leader_address(self) -> str:
        """Return the leader's address, this replica's own if it leads, else ''."""
        with self.lock:
            return self.leader.address if self.hears_leader else ""

    @contextmanager
    def requiring_working_disk(self) -> Iterator[None]:
        """Raise PeerRefusal if the disk has failed or fails within the block.

        After a full disk or a sync error it is unknown which data is durable. The
        process keeps answering reads, but does not vote, acknowledge or lead until it
        has been restarted and has read back the data folder; see DiskProbe.
        """
        if self.failure:
            raise _storage_refusal(self.failure)
        try:
            yield
        except StorageFailedError as error:
            self.fail(error)
            raise _storage_refusal(self.failure) from error

    def fail(self, error: StorageFailedError) -> None:
        """Record a failed write or sync, after which no acknowledgement is given."""
        with self.lock:
            self.failure = str(error)
            self.step_down("the disk failed")
        logger.critical(
            "disk failed; replica neither votes nor acknowledges",
            extra={"failure": str(error)},
        )

    def save_metadata(self, metadata: ReplicaMetadata) -> None:
        """Make metadata durable; needs both locks."""
        self.storage.save_metadata(metadata)


def _storage_refusal(failure: str) -> PeerRefusal:
    return PeerRefusal("storage_failed", failure, "See the replica's log.", 0)
