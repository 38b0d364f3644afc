"""Replication of the log: one task per follower sends it entries or a snapshot."""

from __future__ import annotations

import logging
from concurrent.futures import FIRST_COMPLETED, Future, wait
from functools import singledispatchmethod
from typing import Any

from jujubeslip.control._leadership import Leadership, Progress
from jujubeslip.control._lost_disks import has_lost_disk, suggests_lost_disk
from jujubeslip.control._replica import MILLISECONDS, Replica
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.control._snapshots import SnapshotReader
from jujubeslip.kernel import Deadline, PeerUnavailableError, steady_seconds
from jujubeslip.peers import (
    AppendReply,
    AppendRequest,
    Member,
    PeerRefusal,
    SnapshotPiece,
    SnapshotReply,
)

logger = logging.getLogger(__name__)

PIECE_BYTES = 256 * 1024
# How long to wait for a reply before the next append is sent over another connection,
# as a share of the election timeout.
APPEND_WAIT_SHARE = 0.5
# Timeout of an append, as a share of the election timeout: a reply over a new
# connection arrives only after a second exchange.
APPEND_TIMEOUT_SHARE = 2.0
# Limits on the unanswered appends per follower: all of them, and those with entries.
MAXIMUM_IN_FLIGHT = 4
MAXIMUM_ENTRY_APPENDS = 2
# Timeout for one piece of a snapshot, in seconds. On the last piece the follower loads
# the whole state before it replies.
PIECE_SECONDS = 5.0


class Replicator:
    """Brings one follower up to date while this replica leads."""

    def __init__(
        self, replica: Replica, clients: ReplicaClients, member: Member
    ) -> None:
        self._replica = replica
        self._member = member
        self._clients = clients
        self._client = clients.to_member(member)
        self._heartbeat_seconds = replica.settings.heartbeat_ms / MILLISECONDS
        self._next_contact = Deadline.after(0)
        self._reachable = True
        self._is_late = False
        self._in_flight: set[Future[None]] = set()
        self._entries_in_flight: set[Future[None]] = set()
        self._is_prompt = True
        """Whether the last message was answered before the next one was sent."""
        self._reader: SnapshotReader | None = None
        self._offset = 0

    def run(self) -> None:
        """Run until the member leaves the membership or the process stops."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            with replica.lock:
                if not replica.is_replication_target(self._member.replica_id):
                    break
                leadership = self._wait_for_work()
                if leadership is None:
                    continue
                message = self._next_message(leadership)
            self._start_exchange(leadership, message)
        self._drop_reader()

    def _start_exchange(
        self, leadership: Leadership, message: AppendRequest | SnapshotPiece
    ) -> None:
        """Send a message and wait until the next one may be sent.

        An append without a reply stays in flight: either its connection has stopped
        carrying data, which the next append over another one reveals, or the
        follower's disk is slow.
        """
        # The wait would end at once with a reply that came since the last append.
        self._in_flight = {item for item in self._in_flight if not item.done()}
        start_task = self._replica.process.start_task
        exchange = start_task(self._exchange, leadership, message)
        self._in_flight.add(exchange)
        is_append = isinstance(message, AppendRequest)
        if is_append and message.entries:
            self._entries_in_flight.add(exchange)
        if is_append and self._reachable:
            # The connection of an earlier append is free again once its reply arrives;
            # a new one takes another exchange before it carries an append.
            timeout = self._replica.election_seconds * APPEND_WAIT_SHARE
            wait(self._in_flight, timeout, FIRST_COMPLETED)
        else:
            wait([exchange])
        self._is_prompt = exchange.done()
        if len(self._in_flight) >= MAXIMUM_IN_FLIGHT and not self._is_prompt:
            wait(self._in_flight, return_when=FIRST_COMPLETED)
        self._in_flight = {item for item in self._in_flight if not item.done()}
        self._entries_in_flight &= self._in_flight
        self._set_late(bool(self._in_flight))

    def _may_send_entries(self) -> bool:
        """Return whether the next append carries entries or is only a heartbeat.

        Unacknowledged entries are sent a second time, over another connection, if the
        follower answers other messages in the meantime.
        """
        if not self._entries_in_flight:
            return True
        return self._is_prompt and len(self._entries_in_flight) < MAXIMUM_ENTRY_APPENDS

    def _set_late(self, is_late: bool) -> None:
        if is_late != self._is_late:
            extra = {"replica": self._member.replica_id}
            message = "replica replies late" if is_late else "replica replies in time"
            logger.info(message, extra=extra)
        self._is_late = is_late

    def _wait_for_work(self) -> Leadership | None:
        """Wait for entries to send or the next heartbeat; None if neither is due."""
        replica = self._replica
        leadership = replica.leadership
        if leadership is None:
            self._drop_reader()
            self._next_contact = Deadline.after(0)
            replica.work.wait(1.0)
            return None
        may_send = self._reachable and self._may_send_entries()
        if self._next_contact.expired or (may_send and self._has_entries()):
            self._next_contact = Deadline.after(self._heartbeat_seconds)
            return leadership
        replica.work.wait(self._next_contact.remaining())
        return None

    def _has_entries(self) -> bool:
        progress = self._progress()
        return progress.next_index <= self._replica.log.last_index

    def _progress(self) -> Progress:
        assert self._replica.leadership is not None
        return self._replica.leadership.progress_by_id[self._member.replica_id]

    def _next_message(self, leadership: Leadership) -> AppendRequest | SnapshotPiece:
        replica = self._replica
        previous_index = self._progress().next_index - 1
        previous_term = replica.log.term_at(previous_index)
        if previous_term is None and replica.snapshot is not None:
            return self._next_piece(leadership)
        self._drop_reader()
        return AppendRequest(
            replica.cluster_id,
            self._member.replica_id,
            replica.replica_id,
            replica.settings.peer_address,
            leadership.term,
            previous_index,
            previous_term or 0,
            replica.log.batch_from(previous_index + 1)
            if self._may_send_entries()
            else [],
            replica.commit_index,
        )

    def _next_piece(self, leadership: Leadership) -> SnapshotPiece:
        """Return the next piece of the newest snapshot; the first piece is empty.

        The follower replies to the empty piece with the number of bytes that it
        already holds.
        """
        replica = self._replica
        snapshot = replica.snapshot
        assert snapshot is not None
        if self._reader is None:
            self._reader = SnapshotReader(snapshot)
            self._offset = -1
        snapshot = self._reader.snapshot
        start = max(0, self._offset)
        data = b"" if self._offset < 0 else self._reader.read(start, PIECE_BYTES)
        return SnapshotPiece(
            replica.cluster_id,
            self._member.replica_id,
            replica.replica_id,
            replica.settings.peer_address,
            leadership.term,
            snapshot.header.last_index,
            snapshot.header.last_term,
            snapshot.checksum,
            snapshot.length,
            start,
            data,
        )

    def _exchange(self, leadership: Leadership, message: Any) -> None:
        sent_at = steady_seconds()
        try:
            reply = self._send(message)
            self._replica.observe_term(reply.term)
        except (PeerUnavailableError, PeerRefusal) as error:
            self._set_reachable(False, sent_at, error)
            self._note_if_lost(leadership, error)
            return
        self._set_reachable(True, sent_at)
        with self._replica.lock:
            current = self._replica.leadership is leadership
            if current and reply.term == leadership.term:
                self._handle_reply(reply, message, sent_at)

    def _note_if_lost(self, leadership: Leadership, error: Exception) -> None:
        """Record that the member's disk is lost, if its host says so."""
        member, replica = self._member, self._replica
        is_known = member.replica_id in leadership.lost_ids
        if is_known or not suggests_lost_disk(error):
            return
        until = Deadline.after(replica.election_seconds * APPEND_WAIT_SHARE)
        if has_lost_disk(self._clients, member, until):
            replica.note_lost_disk(leadership, member.replica_id)

    @singledispatchmethod
    def _send(self, message: Any) -> Any:
        raise TypeError(f"{type(message).__name__} can't be sent to a follower")

    @_send.register(AppendRequest)
    def _(self, message: AppendRequest) -> AppendReply:
        share = APPEND_TIMEOUT_SHARE if self._reachable else APPEND_WAIT_SHARE
        timeout = self._replica.election_seconds * share
        return self._client.call(lambda peer: peer.append_entries(message), timeout)

    @_send.register(SnapshotPiece)
    def _(self, message: SnapshotPiece) -> SnapshotReply:
        return self._client.call(
            lambda peer: peer.install_snapshot(message), PIECE_SECONDS
        )

    def _handle_reply(self, reply: Any, message: Any, sent_at: float) -> None:
        progress = self._replica.leadership and (
            self._replica.leadership.progress_by_id.get(self._member.replica_id)
        )
        if not progress:
            return
        progress.acknowledged_at = max(progress.acknowledged_at, sent_at)
        progress.heard_at = steady_seconds()
        self._replica.renew_lease_clock()
        if isinstance(message, SnapshotPiece):
            self._handle_piece_reply(progress, reply, message)
        else:
            self._handle_append_reply(progress, reply, message)
        # The follower's new match index may complete a majority.
        self._replica.advance_commit()

    def _handle_append_reply(
        self, progress: Progress, reply: AppendReply, message: AppendRequest
    ) -> None:
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = progress.match_index + 1
            return
        # The follower lacks the preceding entry: retry from an earlier index, but
        # never from one that it has already acknowledged.
        tried = min(message.previous_index - 1, reply.match_index)
        progress.next_index = max(progress.match_index, tried) + 1
        self._next_contact = Deadline.after(0)

    def _handle_piece_reply(
        self, progress: Progress, reply: SnapshotReply, message: SnapshotPiece
    ) -> None:
        self._next_contact = Deadline.after(0)
        self._offset = reply.next_offset
        if not reply.installed:
            return
        progress.match_index = max(progress.match_index, message.last_index)
        progress.next_index = progress.match_index + 1
        self._drop_reader()

    def _set_reachable(
        self, reachable: bool, sent_at: float, error: Exception | None = None
    ) -> None:
        if reachable != self._reachable:
            extra = {
                "replica": self._member.replica_id,
                "error": str(error or ""),
                "took_ms": int((steady_seconds() - sent_at) * MILLISECONDS),
            }
            message = "replica reachable" if reachable else "replica unreachable"
            logger.info(message, extra=extra)
        self._reachable = reachable

    def _drop_reader(self) -> None:
        if self._reader is not None:
            self._reader.close()
            self._reader = None


class Replication:
    """Runs one replicator for each other member of the membership."""

    def __init__(self, replica: Replica, clients: ReplicaClients) -> None:
        self._replica = replica
        self._clients = clients
        self._running_ids: set[str] = set()

    def run(self) -> None:
        """Run until the process stops."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            with replica.lock:
                self._start_missing()
                replica.role_changed.wait()

    def _start_missing(self) -> None:
        replica = self._replica
        for member in replica.replication_targets():
            is_self = member.replica_id == replica.replica_id
            if not is_self and member.replica_id not in self._running_ids:
                self._running_ids.add(member.replica_id)
                replica.process.start_task(self._replicate, member)

    def _replicate(self, member: Member) -> None:
        try:
            Replicator(self._replica, self._clients, member).run()
        finally:
            with self._replica.lock:
                self._running_ids.discard(member.replica_id)
                self._replica.role_changed.notify_all()
