"""Handles the requests that a replica receives from candidates and its leader."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from jujubeslip.control._leadership import KnownLeader, Role
from jujubeslip.control._membership import MembershipLog
from jujubeslip.control._replica import Replica
from jujubeslip.control._snapshots import (
    SnapshotFile,
    SnapshotReceiver,
    remove_older_snapshots,
)
from jujubeslip.control._state_machine import StateMachine
from jujubeslip.kernel import Deadline
from jujubeslip.peers import (
    AppendReply,
    AppendRequest,
    PeerRefusal,
    ReplicaMetadata,
    SnapshotPiece,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)

logger = logging.getLogger(__name__)

# Error id of the reply to a message for a replica that this host no longer has.
WRONG_REPLICA = "wrong_replica"


class Receiver:
    """Handles calls between replicas; what a reply confirms is durable before it."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._snapshots = SnapshotReceiver(replica.storage.folder)

    def pre_vote(self, request: VoteRequest) -> VoteReply:
        """Return whether this replica would vote for the candidate; changes nothing."""
        replica = self._replica
        with self._addressed(request):
            would_vote = request.term > replica.term and self._is_up_to_date(request)
            granted = would_vote and not self._lease_forbids_vote(request)
            fresh_start = (
                replica.start_number if replica.no_leader_since_start else None
            )
            return VoteReply(replica.term, granted, fresh_start if would_vote else None)

    def request_vote(self, request: VoteRequest) -> VoteReply:
        """Vote at most once in each term, for a candidate with an up-to-date log."""
        replica = self._replica
        with self._addressed(request):
            if self._lease_forbids_vote(request):
                return VoteReply(replica.term, False)
            granted = self._may_vote_for(request)
            replica.adopt_term(request.term, request.candidate_id if granted else "")
            if granted:
                replica.election_deadline = replica.random_election_deadline()
            return VoteReply(replica.term, granted)

    def append_entries(self, request: AppendRequest) -> AppendReply:
        """Store the leader's entries and sync them before the reply.

        A request without entries does not wait for the disk, so that a leader does not
        lose its leadership while its followers' disks are slow.
        """
        replica = self._replica
        with replica.lock, replica.requiring_working_disk():
            if self._is_heartbeat(request):
                return self._answer_heartbeat(request)
        with replica.disk_lock:
            with replica.lock, replica.requiring_working_disk():
                self._check_addressed(request)
                if request.term < replica.term:
                    return AppendReply(replica.term, False, 0)
                leader = KnownLeader(request.leader_id, request.leader_address)
                replica.follow(request.term, leader)
                if not self._matches_log(request):
                    return AppendReply(
                        replica.term, False, self._last_possible_match(request)
                    )
                last_index = self._store(request)
            with replica.requiring_working_disk():
                replica.write_pending()
            with replica.lock:
                replica.commit_to(min(request.commit_index, last_index))
                return AppendReply(replica.term, True, last_index)

    def _is_heartbeat(self, request: AppendRequest) -> bool:
        """Return whether a message can be answered without a write to disk."""
        replica = self._replica
        is_addressed = request.target_id == replica.replica_id
        is_in_cluster = request.cluster_id == replica.cluster_id
        if not (is_addressed and is_in_cluster) or request.entries:
            return False
        is_followed = replica.role is Role.FOLLOWER and request.term == replica.term
        previous_term = replica.log.term_at(request.previous_index)
        fits = previous_term is not None and previous_term == request.previous_term
        return is_followed and fits

    def _answer_heartbeat(self, request: AppendRequest) -> AppendReply:
        """Acknowledge the entries that are synced; others are still being written."""
        replica = self._replica
        leader = KnownLeader(request.leader_id, request.leader_address)
        replica.follow(request.term, leader)
        synced_index = min(request.previous_index, replica.written_index)
        replica.commit_to(min(request.commit_index, synced_index))
        return AppendReply(replica.term, True, synced_index)

    def install_snapshot(self, piece: SnapshotPiece) -> SnapshotReply:
        """Store a piece of the leader's snapshot; the last piece installs it."""
        replica = self._replica
        with self._addressed(piece):
            if piece.term < replica.term:
                return SnapshotReply(replica.term, 0, False)
            leader = KnownLeader(piece.leader_id, piece.leader_address)
            replica.follow(piece.term, leader)
            if replica.log.term_at(piece.last_index) == piece.last_term:
                # The log holds all entries of the snapshot, and possibly acknowledged
                # entries after them.
                replica.commit_to(piece.last_index)
            if piece.last_index <= replica.commit_index:
                return SnapshotReply(replica.term, piece.total_bytes, True)
            offset = self._snapshots.receive(piece)
            if offset < piece.total_bytes:
                return SnapshotReply(replica.term, offset, False)
            received = self._snapshots.finish(piece)
            if received is None:
                return SnapshotReply(replica.term, 0, False)
            self._install(*received)
            return SnapshotReply(replica.term, offset, True)

    def start_election(self, target_id: str, term: int) -> None:
        """Campaign at once, since the leader has ended its lease for this replica.

        Raises PeerRefusal if this replica may not lead.
        """
        replica = self._replica
        if not replica.may_campaign:
            raise PeerRefusal(
                "may_not_lead",
                f"{replica.replica_id} stops, has a failed disk, or does not vote.",
                "Transfer leadership to another replica.",
                0,
            )
        with replica.lock:
            if target_id == replica.replica_id and term == replica.term:
                replica.transferring = True
                replica.election_deadline = Deadline.after(0)
                replica.role_changed.notify_all()

    @contextmanager
    def _addressed(
        self, message: VoteRequest | AppendRequest | SnapshotPiece
    ) -> Iterator[None]:
        """Hold both locks for a message that is meant for this replica."""
        replica = self._replica
        with replica.disk_lock, replica.lock, replica.requiring_working_disk():
            self._check_addressed(message)
            yield

    def _check_addressed(
        self, message: VoteRequest | AppendRequest | SnapshotPiece
    ) -> None:
        """Raise PeerRefusal for a message that is meant for another replica.

        A replica with a new disk is not the one that the leader knew at this address,
        and must neither vote nor acknowledge on behalf of that one.
        """
        replica = self._replica
        if message.target_id != replica.replica_id:
            raise PeerRefusal(
                WRONG_REPLICA,
                f"This is {replica.replica_id}, not {message.target_id}.",
                "A replica whose disk was lost joins again by itself.",
                0,
            )
        if not replica.cluster_id:
            replica.save_metadata(ReplicaMetadata(message.cluster_id, replica.term, ""))
        if message.cluster_id != replica.cluster_id:
            raise PeerRefusal(
                "wrong_cluster",
                f"{replica.replica_id} belongs to another cluster.",
                "Empty the data folder of the host that should join the other.",
                0,
            )

    def _lease_forbids_vote(self, request: VoteRequest) -> bool:
        """Return whether the lease of a possibly live leader forbids any vote.

        After a cold start of all replicas no lease is left. The vote request must then
        name the current start number of this process: an earlier run of the process
        may have acknowledged a new leader in the meantime.
        """
        replica = self._replica
        is_same_start = request.fresh_start == replica.start_number
        if replica.no_leader_since_start and is_same_start:
            return False
        return replica.hears_leader and not request.transfer

    def _may_vote_for(self, request: VoteRequest) -> bool:
        metadata = self._replica.storage.metadata
        if request.term < metadata.term or not self._is_up_to_date(request):
            return False
        is_new_term = request.term > metadata.term
        return is_new_term or metadata.voted_for in ("", request.candidate_id)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self._replica.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)

    def _matches_log(self, request: AppendRequest) -> bool:
        """Return whether the log holds the entry before the leader's first one."""
        replica = self._replica
        if request.previous_index <= replica.commit_index:
            return True
        return replica.log.term_at(request.previous_index) == request.previous_term

    def _last_possible_match(self, request: AppendRequest) -> int:
        """Return the last index that may match, before the whole conflicting term."""
        replica = self._replica
        if request.previous_index > replica.log.last_index:
            return replica.log.last_index
        first = replica.log.first_of_term(request.previous_index)
        return max(first - 1, replica.commit_index)

    def _store(self, request: AppendRequest) -> int:
        """Add new entries in memory after removing conflicting ones.

        Returns the index of the request's last entry.
        """
        replica = self._replica
        for entry in request.entries:
            if entry.index <= replica.commit_index:
                continue
            if replica.log.term_at(entry.index) == entry.term:
                continue
            if entry.index <= replica.log.last_index:
                replica.truncate_from(entry.index)
            replica.append_entry(entry)
        return int(request.previous_index + len(request.entries))

    def _install(self, snapshot: SnapshotFile, machine: StateMachine) -> None:
        replica = self._replica
        header = snapshot.header
        replica.storage.log.drop_all()
        replica.log.reset(header.last_index, header.last_term)
        replica.written_index = header.last_index
        replica.commit_index = replica.applied_index = header.last_index
        replica.applied_bytes = 0
        replica.memberships = MembershipLog(header.last_index, header.membership)
        replica.machine = machine
        replica.snapshot = snapshot
        remove_older_snapshots(snapshot)
        replica.membership_changed()
        replica.configuration_changed.notify_all()
        replica.removals_changed.notify_all()
        logger.info("snapshot installed", extra={"index": header.last_index})
