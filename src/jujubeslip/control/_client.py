"""The client of the control hosts: finds the leader, and gives up by a deadline."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from jujubeslip.kernel import Deadline, PeerAddress, PeerUnavailableError
from jujubeslip.peers import (
    ApplyReply,
    ApplyRequest,
    Configuration,
    ControlPeer,
    ControlStatus,
    KeyClaim,
    KeyReply,
    NotLeader,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
)

T = TypeVar("T")

# A replica that does not answer in this time is left for the next one, in seconds.
ATTEMPT_SECONDS = 1.5
# Between two rounds over all replicas, while an election goes on.
PAUSE_SECONDS = 0.05
READ_SECONDS = 3.0
# Refusals that say nothing about the request: another replica may accept it.
OF_REPLICA = frozenset({"storage_failed", "not_committed"})


class ControlClient:
    """Calls to the control hosts at these addresses; may be used by many threads.

    Each request is idempotent by its ids, so it is sent again, to the next replica
    and over a fresh connection, until one answers or the deadline passes. Then
    PeerUnavailableError says that the outcome is unknown.
    """

    def __init__(
        self, addresses: Sequence[PeerAddress], identity: PeerIdentity
    ) -> None:
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

    def get_configuration(self, known_revision: int, wait_ms: int) -> Configuration:
        """Return what some replica has in force, waiting for more than is known.

        With a negative known_revision, return the newest from the leader.
        """
        if known_revision < 0:
            deadline = Deadline.after(READ_SECONDS)
            return self._call_leader(
                lambda peer: peer.get_configuration(known_revision, 0), deadline
            )
        return self._call_any(
            lambda peer: peer.get_configuration(known_revision, wait_ms),
            wait_ms / 1000,
        )

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
        """Return the newest configurations, newest first, from some replica."""
        return self._call_any(lambda peer: peer.history(limit), 0)

    def status(self) -> ControlStatus:
        """Return the cluster as its leader sees it, or else some replica."""
        first: ControlStatus = self._call_any(lambda peer: peer.status(), 0)
        position = self._position_of(first.leader_id, "")
        if position is None or first.leader_id == first.replica_id:
            return first
        try:
            return self._clients[position].call(
                lambda peer: peer.status(), ATTEMPT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal):
            return first

    def add_replica(self, host_id: str, deadline: Deadline) -> None:
        """Let a new host join; start its process with an empty data folder then."""
        self._call_leader(
            lambda peer: peer.add_replica(host_id, deadline.remaining_ms()), deadline
        )

    def remove_replica(self, host_id: str, deadline: Deadline) -> None:
        """Remove a host from the replicas."""
        self._call_leader(
            lambda peer: peer.remove_replica(host_id, deadline.remaining_ms()), deadline
        )

    def _call_leader(self, operation: Callable[[Any], T], deadline: Deadline) -> T:
        position = self._leader_position
        failure = "no replica has been asked"
        while not deadline.expired:
            # Half of what is left: a client tries twice, the second time over a
            # fresh connection.
            attempt = min(ATTEMPT_SECONDS, deadline.remaining() / 2)
            try:
                answer = self._clients[position].call(operation, attempt)
                self._leader_position = position
                return answer
            except NotLeader as error:
                failure = "no replica leads"
                leader = self._position_of(error.leader_id, error.leader_address)
                position = self._after(position, deadline, leader)
            except PeerUnavailableError as error:
                failure = error.message
                position = self._after(position, deadline)
            except PeerRefusal as error:
                if error.error_id not in OF_REPLICA:
                    raise
                failure = error.message
                position = self._after(position, deadline)
        raise PeerUnavailableError(
            f"No leader of the control hosts answered in time: {failure}",
            "Check that a majority of the control hosts runs and can be reached.",
        )

    def _after(
        self, position: int, deadline: Deadline, leader: int | None = None
    ) -> int:
        """Return the replica to ask next, after a pause unless the leader is known."""
        if leader is not None and leader != position:
            return leader
        time.sleep(min(PAUSE_SECONDS, deadline.remaining()))
        return (position + 1) % len(self._clients)

    def _position_of(self, leader_id: str, leader_address: str) -> int | None:
        """Return which client reaches the leader; a host's own address goes first."""
        host_id = leader_id.rpartition("/")[0]
        position = self._position_by_host.get(host_id)
        if position is None:
            position = self._position_by_address.get(leader_address)
        return position

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
