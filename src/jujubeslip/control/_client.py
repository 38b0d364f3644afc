"""The client of the control hosts, which finds the leader within a deadline."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

from jujubeslip.kernel import Deadline, PeerAddress, PeerUnavailableError
from jujubeslip.peers import (
    ApplyReply,
    ApplyRequest,
    Configuration,
    ControlPeer,
    ControlStatus,
    CrashRecord,
    EndpointRemoval,
    KeyClaim,
    KeyReply,
    NotLeader,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
    VersionedCommand,
)

logger = logging.getLogger(__name__)

T = TypeVar("T")

# Timeout of a call that any replica may answer, in seconds. The client then continues
# with the next replica, and tries this one again only after the others.
REPLICA_TIMEOUT_SECONDS = 0.6
# Timeouts of one attempt to reach the leader, over a pooled and a fresh connection, for
# the first attempt at a replica and for later ones, in seconds: another replica may
# lead by now.
FIRST_ATTEMPT_SECONDS = 0.45
LATER_ATTEMPT_SECONDS = 1.2
# An attempt takes at most this share of the remaining time, which leaves time for the
# other replicas.
ATTEMPT_SHARE = 1 / 3
# Share of the attempt for the pooled connection; the leader may wait for its disk.
POOLED_CONNECTION_SHARE = 2 / 3
# Pause before the next replica is tried, in seconds: an election may be in progress.
PAUSE_SECONDS = 0.05
READ_SECONDS = 3.0
MILLISECONDS = 1000
# Maximum number of failed attempts that are logged for one call.
MAXIMUM_LOGGED = 8
# Timeout of a change of the replicas, in seconds: it first waits until a majority of
# the new replicas responds.
CHANGE_SECONDS = 6.0
# Refusals that don't depend on the request: it may be accepted later, or by another
# replica.
TRANSIENT_REFUSALS = frozenset(
    {"storage_failed", "not_committed", "change_in_progress"}
)


class ControlClient:
    """Thread-safe client of the control hosts at these addresses.

    Each request is idempotent by its ids, so it is sent again, to the next replica and
    over a fresh connection, until a replica answers or the deadline passes. The call
    then raises PeerUnavailableError, since the outcome is unknown.
    """

    def __init__(
        self,
        addresses: Sequence[PeerAddress],
        identity: PeerIdentity,
        known_leader: Callable[[], str] = lambda: "",
    ) -> None:
        """Call the hosts at these addresses.

        `known_leader` returns the leader's peer address, or an empty string while this
        process does not know it. The last host that answered is then asked first.
        """
        self._identity = identity
        self._known_leader = known_leader
        self._clients = [
            PeerClient(ControlPeer.Client, peer.address, identity) for peer in addresses
        ]
        self._position_by_host = {
            peer.host_id: position for position, peer in enumerate(addresses)
        }
        self._position_by_address = {
            peer.address: position for position, peer in enumerate(addresses)
        }
        self._leader_position = 0
        self._any_position = 0
        self._lock = threading.Lock()

    def learn(self, addresses: Iterable[str]) -> None:
        """Add the control hosts at these peer addresses."""
        for address in addresses:
            self._position_at(address)

    def _position_at(self, address: str) -> int:
        """Return the position of the client for this address, adding one if needed."""
        with self._lock:
            position = self._position_by_address.get(address)
            if position is None:
                position = len(self._clients)
                client = PeerClient(ControlPeer.Client, address, self._identity)
                self._clients.append(client)
                self._position_by_address[address] = position
            return position

    def put_version(self, command: VersionedCommand, deadline: Deadline) -> int:
        """Commit a numbered configuration; return the version in force then.

        Raises PeerUnavailableError when it is unknown whether it was committed.
        """
        return self._call_leader(
            lambda peer: peer.put_version(command, deadline.remaining_ms()), deadline
        )

    def record_removal(self, removal: EndpointRemoval, deadline: Deadline) -> None:
        """Record that an endpoint has left.

        Raises PeerUnavailableError when it is unknown whether a majority has it.
        """
        self._call_leader(
            lambda peer: peer.record_removal(removal, deadline.remaining_ms()), deadline
        )

    def newest_configuration(self, deadline: Deadline) -> Configuration:
        """Return the leader's configuration in force, or raise PeerUnavailableError."""
        return self._call_leader(lambda peer: peer.get_configuration(-1, 0), deadline)

    def get_configuration(self, known_revision: int, wait_ms: int) -> Configuration:
        """Return some replica's configuration in force, waiting for a newer revision.

        With a negative known_revision, return the newest one from the leader.
        """
        if known_revision < 0:
            return self.newest_configuration(Deadline.after(READ_SECONDS))
        found: Configuration = self._call_any(
            lambda peer: peer.get_configuration(known_revision, wait_ms),
            wait_ms / MILLISECONDS,
        )
        if found.revision <= known_revision:
            # A replica that is cut off from the leader never gets a newer revision, so
            # the next poll asks another one.
            self._any_position = (self._any_position + 1) % len(self._clients)
        return found

    def apply_configuration(
        self, request: ApplyRequest, deadline: Deadline
    ) -> ApplyReply:
        """Propose a change; the same change id always gets the same reply.

        Raises PeerRefusal when the declaration is invalid.
        """
        return self._call_leader(
            lambda peer: peer.apply_configuration(request), deadline
        )

    def claim_key(self, claim: KeyClaim, deadline: Deadline) -> KeyReply:
        """Claim (client, key); FIRST means that this request may run it.

        Raises PeerRefusal with error_id claims_full when the table of claims is full.
        """
        return self._call_leader(
            lambda peer: peer.claim_key(claim, deadline.remaining_ms()), deadline
        )

    def finish_key(self, claim: KeyClaim, outcome: bytes, deadline: Deadline) -> None:
        """Record the outcome of a claimed request, for its resends."""
        self._call_leader(
            lambda peer: peer.finish_key(claim, outcome, deadline.remaining_ms()),
            deadline,
        )

    def abandon_key(self, claim: KeyClaim, deadline: Deadline) -> None:
        """Release a claim whose request certainly did not run, so that a resend may."""
        self._call_leader(
            lambda peer: peer.abandon_key(claim, deadline.remaining_ms()), deadline
        )

    def history(self, limit: int) -> list[Configuration]:
        """Return the newest configurations first, like `status` from the leader."""
        return self._call_leader_or_any(lambda peer: peer.history(limit))

    def status(self) -> ControlStatus:
        """Return the cluster as its leader sees it, or else some replica."""
        return self._call_leader_or_any(lambda peer: peer.status())

    def quarantined(self) -> list[CrashRecord]:
        """Return the contents of requests that some control host has quarantined."""
        return self._call_any(lambda peer: peer.quarantined(), 0)

    def lift_quarantine(self, fingerprint: str) -> bool:
        """Let a content run again; return False if no crash of it is known."""
        return self._call_any(lambda peer: peer.lift_quarantine(fingerprint), 0)

    def add_replica(self, host_id: str, deadline: Deadline) -> None:
        """Let a new host join; then start its process with an empty data folder."""
        self._call_leader(
            lambda peer: peer.add_replica(host_id, deadline.remaining_ms()),
            deadline,
            CHANGE_SECONDS,
        )

    def remove_replica(self, host_id: str, deadline: Deadline) -> None:
        """Remove a host from the replicas."""
        self._call_leader(
            lambda peer: peer.remove_replica(host_id, deadline.remaining_ms()),
            deadline,
            CHANGE_SECONDS,
        )

    def _call_leader(
        self,
        operation: Callable[[Any], T],
        deadline: Deadline,
        change_seconds: float | None = None,
    ) -> T:
        known = self._known_position()
        first = self._leader_position if known is None else known
        search = _LeaderSearch(first, known, len(self._clients))
        failure = "no replica was asked"
        failures: list[str] = []
        while not deadline.expired:
            attempt = search.attempt_seconds(deadline)
            search.mark_asked()
            client = self._clients[search.position]
            address = client.address
            try:
                if change_seconds is None:
                    answer = client.call_within(
                        operation, attempt, POOLED_CONNECTION_SHARE
                    )
                else:
                    # The change waits for a majority of the replicas.
                    longest = min(change_seconds, deadline.remaining() / 2)
                    answer = client.call(operation, longest)
                self._leader_position = search.position
                if failures:
                    _log_search(address, failures, deadline)
                return answer
            except NotLeader as error:
                failure = "no replica leads"
                leader = self._leader_position_of(error.leader_id, error.leader_address)
                search.follow_hint(leader, deadline)
            except PeerUnavailableError as error:
                failure = error.message
                search.mark_unanswered()
                search.advance(deadline)
            except PeerRefusal as error:
                if error.error_id not in TRANSIENT_REFUSALS:
                    raise
                failure = error.message
                search.advance(deadline)
            failures.append(f"{address}: {failure}")
            search.use_known_leader(self._known_position())
        _log_search("", failures, deadline)
        raise PeerUnavailableError(
            f"No leader of the control hosts responded in time: {failure}",
            "Check that a majority of the control hosts is running and reachable.",
        )

    def _known_position(self) -> int | None:
        """Return the position of the leader that this process knows, None without one.

        It is preferred over the last replica that answered, which may have been
        suspended since.
        """
        address = self._known_leader()
        return self._position_at(address) if address else None

    def _leader_position_of(self, leader_id: str, leader_address: str) -> int | None:
        """Return the position of the leader, by its address or else by its host.

        The leader's own address may differ from the one that this client uses.
        """
        position = self._position_by_address.get(leader_address)
        if position is None:
            host_id = leader_id.rpartition("/")[0]
            position = self._position_by_host.get(host_id)
        if position is None and leader_address:
            # A host that joined after this client was created.
            position = self._position_at(leader_address)
        return position

    def _call_leader_or_any(self, operation: Callable[[Any], T]) -> T:
        """Call the leader that some replica names, or else any replica."""
        status: ControlStatus = self._call_any(lambda peer: peer.status(), 0)
        addresses = {item.replica_id: item.address for item in status.replicas}
        address = addresses.get(status.leader_id, "")
        position = self._leader_position_of(status.leader_id, address)
        if position is not None:
            try:
                return self._clients[position].call(operation, REPLICA_TIMEOUT_SECONDS)
            except (PeerUnavailableError, PeerRefusal):
                pass
        return self._call_any(operation, 0)

    def _call_any(self, operation: Callable[[Any], T], wait_seconds: float) -> T:
        """Call the replicas in turn, starting with the last one that answered."""
        start = self._any_position
        failure = ""
        for step in range(len(self._clients)):
            position = (start + step) % len(self._clients)
            try:
                answer = self._clients[position].call(
                    operation, wait_seconds + REPLICA_TIMEOUT_SECONDS
                )
                self._any_position = position
                return answer
            except (PeerUnavailableError, PeerRefusal) as error:
                failure = error.message
        raise PeerUnavailableError(
            f"No control host responded: {failure}",
            "Check that the control hosts are running and reachable.",
        )


def _log_search(found: str, failures: Sequence[str], deadline: Deadline) -> None:
    """Log the failed attempts of a search for the leader, in order."""
    extra = {
        "found": found,
        "asked_in_vain": list(failures[:MAXIMUM_LOGGED]),
        "attempts": len(failures),
        "left_ms": deadline.remaining_ms(),
    }
    logger.info("search for the leader ended after failed attempts", extra=extra)


class _LeaderSearch:
    """Decides which replica a request asks next.

    The followers of a frozen leader name it until they elect another. A replica that
    did not respond is therefore skipped until all others were asked, or the request
    would wait for it repeatedly. It is then asked again, since it may have been
    unreachable only for a moment.
    """

    def __init__(self, position: int, known: int | None, count: int) -> None:
        self.position = position
        self._known = known
        self._count = count
        self._asked: set[int] = set()
        self._unasked_by_unanswered: dict[int, set[int]] = {}
        """For each replica that did not respond, those that were not asked since."""

    def attempt_seconds(self, deadline: Deadline) -> float:
        """Return how long the next attempt may take, over all connections."""
        is_first = self.position not in self._asked
        longest = FIRST_ATTEMPT_SECONDS if is_first else LATER_ATTEMPT_SECONDS
        return min(longest, deadline.remaining() * ATTEMPT_SHARE)

    def mark_asked(self) -> None:
        """Mark the replica at the current position as asked."""
        self._asked.add(self.position)
        for unasked in self._unasked_by_unanswered.values():
            unasked.discard(self.position)

    def use_known_leader(self, known: int | None) -> None:
        """Switch to the leader that this process learned of since the last attempt."""
        if known == self._known:
            return
        self._known = known
        if known is not None:
            self._unasked_by_unanswered.pop(known, None)
            self.position = known

    def follow_hint(self, leader: int | None, deadline: Deadline) -> None:
        """Switch to the leader that a replica named, or else to the next replica."""
        if leader is None or leader == self.position or self._is_skipped(leader):
            self.advance(deadline)
            return
        self.position = leader

    def mark_unanswered(self) -> None:
        """Skip the replica that did not respond until all others were asked.

        Others that did not respond either don't need to be asked again first, since
        each of them may cost another attempt.
        """
        others = set(range(self._count)) - {self.position}
        others.difference_update(self._unasked_by_unanswered)
        self._unasked_by_unanswered[self.position] = others

    def advance(self, deadline: Deadline) -> None:
        """Switch to the next replica, after a pause that allows an election."""
        time.sleep(min(PAUSE_SECONDS, deadline.remaining()))
        order = [(self.position + step) % self._count for step in range(1, self._count)]
        preferred = [position for position in order if not self._is_skipped(position)]
        self.position = next(iter([*preferred, *order]), self.position)

    def _is_skipped(self, position: int) -> bool:
        return bool(self._unasked_by_unanswered.get(position))
