"""One replica of the log: its role, its log, and the rules that both obey.

Two locks guard it. `disk_lock` serializes everything that writes to the data folder,
`lock` guards the fields. Whoever needs both takes `disk_lock` first. A leader syncs
its entries with `disk_lock` alone, so that a slow disk delays no heartbeat.
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
from jujubeslip.control._leadership import Fence, LeaderContact, Leadership, Role
from jujubeslip.control._loading import load_state
from jujubeslip.control._machine import Outcome
from jujubeslip.control._members import is_voter, voters, without_lost
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Deadline, Process, new_incarnation
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

# A lease ends this share before followers may elect another leader, which bounds how
# much two clocks may differ in rate.
LEASE_SHARE = 0.9
# How far apart replicas campaign, as a share of the election timeout: a campaign takes
# ten milliseconds, and after a restart of all hosts nothing is served before one wins.
ELECTION_SPREAD = 0.4
MILLISECONDS = 1000
RETRY_AFTER_MS = 200
# A snapshot is taken after this many bytes, too: entries are kept in memory until then.
SNAPSHOT_BYTES = 4 * 1024 * 1024


class Replica:
    """The shared state of one replica; tasks and handlers work on it."""

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
        # Notified when enough was applied since the last snapshot.
        self.snapshot_due = threading.Condition(self.lock)
        self.role = Role.FOLLOWER
        self.leader = LeaderContact()
        self.leadership: Leadership | None = None
        self.failure = ""
        self.transferring = False
        state = load_state(storage)
        self.snapshot = state.snapshot
        self.machine = state.machine
        self.log = state.log
        self.memberships = state.memberships
        self.commit_index = self.applied_index = state.applied_index
        # Since the last snapshot.
        self.applied_bytes = 0
        self.written_index = self.log.last_index
        self.start_number = new_incarnation()
        """Tells this start of the process from others."""
        self.is_fresh = True
        """Whether no leader was heard since the start, this replica among them."""
        self.heard_leader_until = self._first_vote_deadline()
        self.election_deadline = self._first_election_deadline()

    # What the rules ask.

    @property
    def term(self) -> int:
        """Return the current term, which is durable."""
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
        """Say whether a leader lives: then no vote is given to another replica."""
        return self.role is Role.LEADER or not self.heard_leader_until.expired

    @property
    def may_campaign(self) -> bool:
        """Say whether this replica may become leader.

        One that stops may not: it would take its lead and its vote along.
        """
        if self.failure or self.process.stopping.is_set():
            return False
        return is_voter(self.membership, self.replica_id)

    @property
    def needs_snapshot(self) -> bool:
        """Say whether enough was applied since the last snapshot."""
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

    def lease(self) -> Deadline:
        """Return until when this leader's reads and orders are the only ones."""
        assert self.leadership is not None
        seconds = self.election_seconds * LEASE_SHARE
        return self.leadership.lease(self.membership, seconds)

    def reads_are_current(self) -> bool:
        """Say whether what is applied here is the newest that was ever answered.

        A frozen leader that wakes finds its lease expired and serves no stale read.
        A new one first applies an entry of its own term, and with it all earlier ones.
        """
        leadership = self.leadership
        if leadership is None or self.applied_index < leadership.first_index:
            return False
        return not self.lease().expired

    def fence(self) -> Fence | None:
        """Return the number and lease for orders, None when not leading for sure."""
        with self.lock:
            if not self.reads_are_current():
                return None
            return Fence(self.term, self.lease())

    # Roles.

    def adopt_term(self, term: int, voted_for: str = "") -> None:
        """Move on to a higher term, with a vote in it if one is given.

        Needs both locks. Term and vote are saved together: each save waits for the
        disk, and on a busy one the candidate would stop listening before the second.
        """
        is_later = term > self.term
        if is_later or voted_for:
            self.save_metadata(ReplicaMetadata(self.cluster_id, term, voted_for))
        if is_later:
            self.step_down("another replica has a higher term")

    def observe_term(self, term: int) -> None:
        """Move on to a term that an answer carried, if it is higher."""
        if term <= self.term:
            return
        with self.disk_lock, self.lock, self.promising():
            self.adopt_term(term)

    def step_down(self, reason: str) -> None:
        """Stop leading or campaigning; needs `lock`."""
        if self.role is Role.LEADER:
            led = self.leadership
            extra = {
                "reason": reason,
                "term": self.term,
                "led_for_ms": led.led_for_ms() if led else None,
                "acknowledged_ago_ms": led.acknowledged_ago_ms() if led else None,
            }
            logger.warning("no longer leading", extra=extra)
            self.leader = LeaderContact()
        self.role = Role.FOLLOWER
        if self.leadership is not None:
            self.leadership.end()
            self.leadership = None
        self.election_deadline = self.random_election_deadline()
        self.role_changed.notify_all()
        self.work.notify_all()

    def follow(self, term: int, leader: LeaderContact) -> None:
        """Follow the leader of this term, which was just heard; needs both locks."""
        self.adopt_term(term)
        if self.role is not Role.FOLLOWER:
            self.step_down("another replica leads")
        leader = replace(leader, term=term)
        is_news = leader != self.leader or not self.hears_leader
        if leader != self.leader:
            logger.info("following", extra={"leader": leader.replica_id, "term": term})
        self.leader = leader
        self.is_fresh = False
        self.heard_leader_until = Deadline.after(self.election_seconds)
        if is_news:
            self.role_changed.notify_all()
        self.election_deadline = self.random_election_deadline()

    def lead(self, lost_ids: Collection[str] = ()) -> None:
        """Begin to lead the current term; needs `lock`.

        Voters whose disks are lost, and without whom this replica was elected, are
        removed with its first entry: the others alone may be no majority with them.
        """
        last_index = self.log.last_index
        self.is_fresh = False
        self.role = Role.LEADER
        self.leader = LeaderContact(
            self.replica_id, self.settings.peer_address, self.term
        )
        self.leadership = Leadership(
            self.term, self.replica_id, last_index, self.newest_stamp_ms
        )
        self.leadership.follow_members(self.members_to_reach(), last_index)
        logger.info("leading", extra={"term": self.term, "lost_ids": sorted(lost_ids)})
        without = without_lost(self.membership, lost_ids)
        self.append_command(without if lost_ids else NoOp())
        self.role_changed.notify_all()

    def vote_request(self, target_id: str, term: int, transfer: bool) -> VoteRequest:
        """Return what asks a voter for this term; needs `lock`."""
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
        """Return when to campaign unless a leader is heard; differs by replica."""
        spread = random.uniform(1.0, 1.0 + ELECTION_SPREAD)
        return Deadline.after(self.election_seconds * spread)

    def _first_vote_deadline(self) -> Deadline:
        """Return until when a fresh process gives no vote.

        Before its restart it may have answered a leader, whose lease lasts on: a vote
        at once could elect a second leader within that lease.
        """
        alone = len(voters(self.membership)) <= 1
        return Deadline.after(0 if self.term == 0 or alone else self.election_seconds)

    def _first_election_deadline(self) -> Deadline:
        if len(voters(self.membership)) == 1:
            return Deadline.after(0)
        return self.random_election_deadline()

    # The log.

    def propose(self, command: Command, deadline: Deadline) -> Outcome:
        """Commit a command and return its outcome.

        Raises NotLeader when this replica does not lead (any more), and PeerRefusal
        when the deadline passes first: then the outcome is unknown, and the same
        command may be sent again.
        """
        return self.wait_for(self.submit(command), deadline)

    def submit(self, command: Command) -> Future[Outcome]:
        """Add a command to the leader's log, and return the future of its outcome."""
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
                "No quorum has confirmed the request in time; it may still come.",
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
        """Add an entry in memory; needs `lock`."""
        self.log.append(entry)
        if self.memberships.append(entry):
            self.membership_changed()
        self.work.notify_all()

    def truncate_from(self, index: int) -> None:
        """Remove entries that the leader does not have; needs both locks."""
        assert index > self.commit_index, "a committed entry would be lost"
        if index <= self.written_index:
            self.storage.log.truncate_from(index)
            self.written_index = index - 1
        self.log.truncate_from(index)
        if self.memberships.truncate_from(index):
            self.membership_changed()

    def write_pending(self) -> None:
        """Write and sync the entries that are only in memory; needs `disk_lock`.

        All that were proposed during the last sync share one sync.
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
        """Commit what a majority has synced; needs `lock`.

        Only an entry of the leader's own term counts: an older one that a majority
        holds could still be overwritten by another leader.
        """
        leadership = self.leadership
        if leadership is None:
            return
        index = leadership.committable(self.membership, self.written_index)
        if self._has_open_change and self.memberships.meets_previous:
            before = self.memberships.previous
            lost_ids = self.membership.lost_replica_ids or ()
            earlier = leadership.committable(before, self.written_index, lost_ids)
            index = min(index, earlier)
        if index >= leadership.first_index:
            self.commit_to(index)

    def commit_to(self, index: int) -> None:
        """Apply everything up to the index; needs `lock`."""
        if index <= self.commit_index:
            return
        was_settled = self.is_settled
        self.commit_index = index
        revision = self.machine.configurations.current.revision
        removals = self.machine.removals.version
        while self.applied_index < index:
            entry = self.log.entry(self.applied_index + 1)
            outcome = self.machine.apply(entry)
            self.applied_index = entry.index
            self.applied_bytes += len(entry.payload)
            if self.leadership is not None:
                self.leadership.answer_waiter(entry.index, outcome)
        if self.machine.configurations.current.revision != revision:
            self.configuration_changed.notify_all()
        if self.machine.removals.version != removals:
            self.removals_changed.notify_all()
        if self.needs_snapshot:
            self.snapshot_due.notify_all()
        if self.is_settled and not was_settled:
            self.role_changed.notify_all()
        if self.role is Role.LEADER:
            self._follow_own_change()

    def _follow_own_change(self) -> None:
        """Have the log tell that a change is committed, and obey it."""
        if not self._has_open_change and self.memberships.needs_confirmation:
            self.append_command(self.membership)
        elif self._is_removed():
            self.step_down("this replica was removed")

    def _is_removed(self) -> bool:
        committed = self.memberships.current_index <= self.commit_index
        return committed and not is_voter(self.membership, self.replica_id)

    @property
    def is_settled(self) -> bool:
        """Say whether the log tells that the newest membership is committed."""
        return not (self._has_open_change or self.memberships.needs_confirmation)

    @property
    def _has_open_change(self) -> bool:
        """Say whether the newest membership is not committed yet."""
        return self.memberships.current_index > self.commit_index

    def members_to_reach(self) -> list[Member]:
        """Return the members that get the log; needs `lock`.

        One that a change removes gets that change.
        """
        members = {member.replica_id: member for member in self.membership.members}
        if self._has_open_change:
            for member in self.memberships.previous.members:
                members.setdefault(member.replica_id, member)
        return list(members.values())

    def is_reached(self, replica_id: str) -> bool:
        """Say whether a replica gets the log; needs `lock`."""
        return any(item.replica_id == replica_id for item in self.members_to_reach())

    def membership_changed(self) -> None:
        """Let tasks and progress follow a new membership; needs `lock`."""
        if self.leadership is not None:
            self.leadership.follow_members(self.members_to_reach(), self.log.last_index)
        self.role_changed.notify_all()

    # Refusals.

    def require_leader(self) -> Leadership:
        """Return the leadership, or raise NotLeader."""
        if self.leadership is None:
            raise self.not_leader()
        return self.leadership

    def not_leader(self) -> NotLeader:
        """Return the refusal that names the leader, if one was heard lately."""
        with self.lock:
            if self.role is not Role.LEADER and self.hears_leader:
                leader = self.leader
                return NotLeader(leader.replica_id, leader.address, leader.term)
            return NotLeader("", "")

    def known_leader_address(self) -> str:
        """Return where the leader is, this replica itself if it leads, else nothing."""
        with self.lock:
            return self.leader.address if self.hears_leader else ""

    @contextmanager
    def promising(self) -> Iterator[None]:
        """Refuse to promise anything once a write or sync has failed.

        After a full disk or a sync error it is unknown what is durable. The process
        keeps answering reads, but votes, acknowledges and leads no more until it is
        restarted and has read back what the disk holds; see DiskProbe.
        """
        if self.failure:
            raise _storage_refusal(self.failure)
        try:
            yield
        except StorageFailedError as error:
            self.fail(error)
            raise _storage_refusal(self.failure) from error

    def fail(self, error: StorageFailedError) -> None:
        """Stop promising for good."""
        with self.lock:
            self.failure = str(error)
            self.step_down("the disk failed")
        logger.critical("promises nothing any more", extra={"failure": str(error)})

    def save_metadata(self, metadata: ReplicaMetadata) -> None:
        """Make metadata durable; needs both locks."""
        self.storage.save_metadata(metadata)


def _storage_refusal(failure: str) -> PeerRefusal:
    return PeerRefusal("storage_failed", failure, "See the replica's log.", 0)
