"""How a replica with an empty data folder finds, or founds, its cluster."""

from __future__ import annotations

import logging
import secrets

from jujubeslip.control._commands import make_entry
from jujubeslip.control._peers import ReplicaClients
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import Deadline, PeerAddress, PeerUnavailableError
from jujubeslip.peers import (
    Member,
    Membership,
    NotLeader,
    PeerRefusal,
    ReplicaDescription,
    ReplicaMetadata,
)

logger = logging.getLogger(__name__)

RETRY_SECONDS = 0.3
CALL_SECONDS = 1.0
CLUSTER_ID_BYTES = 8


class Joining:
    """Runs while the replica has no membership.

    A cluster is founded only when all hosts of the settings answer that their folders
    are empty. A majority would not do: two hosts that lost their disks could found a
    new one while the third, cut off, holds everything that was accepted.
    """

    def __init__(self, replica: Replica, clients: ReplicaClients) -> None:
        self._replica = replica
        self._clients = clients

    def run(self) -> None:
        """Run until the replica has a membership or the process stops."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            with replica.lock:
                if replica.membership.members:
                    return
            self._try_once()
            with replica.lock:
                if not replica.membership.members:
                    replica.role_changed.wait(RETRY_SECONDS)

    def _try_once(self) -> None:
        others = list(self._clients.others())
        descriptions = [self._describe(peer) for peer in others]
        known = [item for item in descriptions if item is not None]
        if any(item.cluster_id for item in known) or self._replica.cluster_id:
            self._join(others)
        elif len(known) == len(others) and self._founds(known):
            self._found(known)
        elif len(known) < len(others):
            missing = [
                peer.host_id
                for peer, item in zip(others, descriptions, strict=True)
                if item is None
            ]
            logger.info("waiting to found the cluster", extra={"missing": missing})

    def _describe(self, peer: PeerAddress) -> ReplicaDescription | None:
        client = self._clients.to_address(peer.address)
        try:
            return client.call(lambda replica: replica.describe(), CALL_SECONDS)
        except (PeerUnavailableError, PeerRefusal):
            return None

    def _founds(self, others: list[ReplicaDescription]) -> bool:
        """Say whether this is the one host that writes the first entry."""
        host_ids = [item.host_id for item in others]
        return all(self._replica.settings.host_id < host_id for host_id in host_ids)

    def _found(self, others: list[ReplicaDescription]) -> None:
        replica = self._replica
        cluster_id = secrets.token_hex(CLUSTER_ID_BYTES)
        members = [
            Member(item.replica_id, item.host_id, item.address, True)
            for item in (own_description(replica), *others)
        ]
        membership = Membership(cluster_id, members, [])
        with replica.disk_lock, replica.lock:
            if replica.cluster_id or replica.membership.members:
                return
            try:
                with replica.promising():
                    replica.save_metadata(ReplicaMetadata(cluster_id, 1, ""))
                    replica.append_entry(make_entry(1, 1, 0, membership))
                    replica.write_pending()
            except PeerRefusal:
                return
            replica.election_deadline = Deadline.after(0)
            replica.role_changed.notify_all()
        logger.info("cluster founded", extra={"members": len(members)})

    def _join(self, others: list[PeerAddress]) -> None:
        """Ask for the leader until one takes this replica in."""
        description = own_description(self._replica)
        for peer in others:
            client = self._clients.to_address(peer.address)
            try:
                client.call(lambda replica: replica.join(description), CALL_SECONDS)
                return
            except NotLeader:
                continue
            except PeerUnavailableError:
                continue
            except PeerRefusal as refusal:
                logger.warning(
                    "not taken in yet",
                    extra={"error_id": refusal.error_id, "reason": refusal.message},
                )


def own_description(replica: Replica) -> ReplicaDescription:
    """Return what this replica tells one that has no cluster yet."""
    return ReplicaDescription(
        replica.replica_id,
        replica.settings.host_id,
        replica.settings.peer_address,
        replica.cluster_id,
    )
