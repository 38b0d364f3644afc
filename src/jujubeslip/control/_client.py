"""The client of the control hosts: finds the leader, and gives up by a deadline."""

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

# A replica that does not answer in this time is left for the next one, in seconds,
# and is not asked again for the same request before the others had their turn.
ATTEMPT_SECONDS = 0.6
# How long a call that needs the leader asks one replica, over a pooled and a fresh
# connection, for the first time and later ones, in seconds: another may lead by now.
FIRST_SEARCH_SECONDS = 0.45
SEARCH_SECONDS = 1.2
# It takes no more than this share of the time left: other replicas need theirs.
SEARCH_SHARE = 1 / 3
# Of that, what a pooled connection gets; the leader may have to wait for its disk.
POOLED_SHARE = 2 / 3
# Between two rounds over all replicas, while an election goes on.
PAUSE_SECONDS = 0.05
READ_SECONDS = 3.0
MILLISECONDS = 1000
# How many hosts that were asked in vain are written to the log for one call.
MAXIMUM_LOGGED = 8
# A change of the replicas first waits for a majority of the next ones to answer.
CHANGE_SECONDS = 6.0
# Refusals that say nothing about the request: it may be accepted later, or elsewhere.
PASSING = frozenset({"storage_failed", "not_committed", "change_in_progress"})


class ControlClient:
    """Calls to the control hosts at these addresses; may be used by many threads.

    Each request is idempotent by its ids, so it is sent again, to the next replica
    and over a fresh connection, until one answers or the deadline passes. Then
    PeerUnavailableError says that the outcome is unknown.
    """

    def __init__(
        self,
        addresses: Sequence[PeerAddress],
        identity: PeerIdentity,
        known_leader: Callable[[], str] = lambda: "",
    ) -> None:
        """Call the hosts at these addresses.

        `known_leader` returns the peer address of the leader where this process knows
        it, else nothing: then the host that answered last is asked first.
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
        """Ask the control hosts at these peer addresses, too, from now on."""
        for address in addresses:
            self._position_at(address)

    def _position_at(self, address: str) -> int:
        """Return the position of the client for this address, a new one if needed."""
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
        """Return what the leader has in force, or raise PeerUnavailableError."""
        return self._call_leader(lambda peer: peer.get_configuration(-1, 0), deadline)

    def get_configuration(self, known_revision: int, wait_ms: int) -> Configuration:
        """Return what some replica has in force, waiting for more than is known.

        With a negative known_revision, return the newest from the leader.
        """
        if known_revision < 0:
            return self.newest_configuration(Deadline.after(READ_SECONDS))
        found: Configuration = self._call_any(
            lambda peer: peer.get_configuration(known_revision, wait_ms),
            wait_ms / MILLISECONDS,
        )
        if found.revision <= known_revision:
            # A replica that is cut off from the leader never has news: ask another.
            self._any_position = (self._any_position + 1) % len(self._clients)
        return found

    def apply_configuration(
        self, request: ApplyRequest, deadline: Deadline
    ) -> ApplyReply:
        """Propose a change; the same change id always gets the same answer.

        Raises PeerRefusal when the declaration is invalid.
        """
        return self._call_leader(
            lambda peer: peer.apply_configuration(request), deadline
        )

    def claim_key(self, claim: KeyClaim, deadline: Deadline) -> KeyReply:
        """Claim (client, key); FIRST means that this request may run it.

        Raises PeerRefusal with error_id claims_full when there is no room.
        """
        return self._call_leader(
            lambda peer: peer.claim_key(claim, deadline.remaining_ms()), deadline
        )

    def finish_key(self, claim: KeyClaim, outcome: bytes, deadline: Deadline) -> None:
        """Record what a claimed request came to, for its resends."""
        self._call_leader(
            lambda peer: peer.finish_key(claim, outcome, deadline.remaining_ms()),
            deadline,
        )

    def abandon_key(self, claim: KeyClaim, deadline: Deadline) -> None:
        """Free a claim whose request surely did not run, so that a resend may run."""
        self._call_leader(
            lambda peer: peer.abandon_key(claim, deadline.remaining_ms()), deadline
        )

    def history(self, limit: int) -> list[Configuration]:
        """Return the newest configurations, newest first, as `status` is asked."""
        return self._call_leader_or_any(lambda peer: peer.history(limit))

    def status(self) -> ControlStatus:
        """Return the cluster as its leader sees it, or else some replica."""
        return self._call_leader_or_any(lambda peer: peer.status())

    def quarantined(self) -> list[CrashRecord]:
        """Return the contents of requests that some control host holds back."""
        return self._call_any(lambda peer: peer.quarantined(), 0)

    def lift_quarantine(self, fingerprint: str) -> bool:
        """Let a content run again; return False where no crash of it is known."""
        return self._call_any(lambda peer: peer.lift_quarantine(fingerprint), 0)

    def add_replica(self, host_id: str, deadline: Deadline) -> None:
        """Let a new host join; start its process with an empty data folder then."""
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
        failure = "no replica has been asked"
        failures: list[str] = []
        while not deadline.expired:
            attempt = search.attempt_seconds(deadline)
            search.note_asked()
            client = self._clients[search.position]
            address = client.address
            try:
                if change_seconds is None:
                    answer = client.call_within(operation, attempt, POOLED_SHARE)
                else:
                    # It waits for a majority of the replicas.
                    longest = min(change_seconds, deadline.remaining() / 2)
                    answer = client.call(operation, longest)
                self._leader_position = search.position
                if failures:
                    _log_search(address, failures, deadline)
                return answer
            except NotLeader as error:
                failure = "no replica leads"
                leader = self._position_of(error.leader_id, error.leader_address)
                search.follow(leader, deadline)
            except PeerUnavailableError as error:
                failure = error.message
                search.note_unanswered()
                search.go_on(deadline)
            except PeerRefusal as error:
                if error.error_id not in PASSING:
                    raise
                failure = error.message
                search.go_on(deadline)
            failures.append(f"{address}: {failure}")
            search.take_known(self._known_position())
        _log_search("", failures, deadline)
        raise PeerUnavailableError(
            f"No leader of the control hosts answered in time: {failure}",
            "Check that a majority of the control hosts runs and can be reached.",
        )

    def _known_position(self) -> int | None:
        """Return where the leader is, None where this process knows none.

        Whoever answered last may have been suspended since.
        """
        address = self._known_leader()
        return self._position_at(address) if address else None

    def _position_of(self, leader_id: str, leader_address: str) -> int | None:
        """Return which client reaches the leader: by its address, else by its host.

        Its own address may not be the one at which this client reaches it.
        """
        position = self._position_by_address.get(leader_address)
        if position is None:
            host_id = leader_id.rpartition("/")[0]
            position = self._position_by_host.get(host_id)
        if position is None and leader_address:
            # A host that joined after this client was made.
            position = self._position_at(leader_address)
        return position

    def _call_leader_or_any(self, operation: Callable[[Any], T]) -> T:
        """Ask the leader that some replica names, else whichever answers."""
        status: ControlStatus = self._call_any(lambda peer: peer.status(), 0)
        addresses = {item.replica_id: item.address for item in status.replicas}
        address = addresses.get(status.leader_id, "")
        position = self._position_of(status.leader_id, address)
        if position is not None:
            try:
                return self._clients[position].call(operation, ATTEMPT_SECONDS)
            except (PeerUnavailableError, PeerRefusal):
                pass
        return self._call_any(operation, 0)

    def _call_any(self, operation: Callable[[Any], T], wait_seconds: float) -> T:
        """Ask the replicas in turn, from the one on that answered last."""
        start = self._any_position
        failure = ""
        for step in range(len(self._clients)):
            position = (start + step) % len(self._clients)
            try:
                answer = self._clients[position].call(
                    operation, wait_seconds + ATTEMPT_SECONDS
                )
                self._any_position = position
                return answer
            except (PeerUnavailableError, PeerRefusal) as error:
                failure = error.message
        raise PeerUnavailableError(
            f"No control host answered: {failure}",
            "Check that the control hosts run and can be reached.",
        )


def _log_search(found: str, failures: Sequence[str], deadline: Deadline) -> None:
    """Write which hosts were asked in vain, one after the other."""
    extra = {
        "found": found,
        "asked_in_vain": list(failures[:MAXIMUM_LOGGED]),
        "attempts": len(failures),
        "left_ms": deadline.remaining_ms(),
    }
    logger.info("leader searched", extra=extra)


class _LeaderSearch:
    """Which replica one request asks next.

    A frozen leader is still named by its followers until they elect another: it is
    passed over until all others were asked, or the request would wait for it again and
    again. One that was out of reach for a moment is asked again then.
    """

    def __init__(self, position: int, known: int | None, count: int) -> None:
        self.position = position
        self._known = known
        self._count = count
        self._asked: set[int] = set()
        self._unasked_by_unanswered: dict[int, set[int]] = {}
        """For each replica that did not answer, who was not asked since."""

    def attempt_seconds(self, deadline: Deadline) -> float:
        """Return how long the next attempt may take, over all connections."""
        is_first = self.position not in self._asked
        longest = FIRST_SEARCH_SECONDS if is_first else SEARCH_SECONDS
        return min(longest, deadline.remaining() * SEARCH_SHARE)

    def note_asked(self) -> None:
        """Note that the replica at this position is asked."""
        self._asked.add(self.position)
        for unasked in self._unasked_by_unanswered.values():
            unasked.discard(self.position)

    def take_known(self, known: int | None) -> None:
        """Go to the leader that this process has heard of since the last attempt."""
        if known == self._known:
            return
        self._known = known
        if known is not None:
            self._unasked_by_unanswered.pop(known, None)
            self.position = known

    def follow(self, leader: int | None, deadline: Deadline) -> None:
        """Go to the named leader, or on to the next replica."""
        if leader is None or leader == self.position or self._is_passed_over(leader):
            self.go_on(deadline)
            return
        self.position = leader

    def note_unanswered(self) -> None:
        """Pass over the replica that did not answer, until all others were asked.

        Not until those that did not answer either: each may cost an attempt again.
        """
        others = set(range(self._count)) - {self.position}
        others.difference_update(self._unasked_by_unanswered)
        self._unasked_by_unanswered[self.position] = others

    def go_on(self, deadline: Deadline) -> None:
        """Go on to the next replica, after a pause in which one may be elected."""
        time.sleep(min(PAUSE_SECONDS, deadline.remaining()))
        order = [(self.position + step) % self._count for step in range(1, self._count)]
        fresh = [position for position in order if not self._is_passed_over(position)]
        self.position = next(iter([*fresh, *order]), self.position)

    def _is_passed_over(self, position: int) -> bool:
        return bool(self._unasked_by_unanswered.get(position))
