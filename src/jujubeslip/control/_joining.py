"""How a replica finds, founds, or comes back to its cluster."""

from __future__ import annotations

import logging
import secrets

from jujubeslip.control._commands import make_entry
from jujubeslip.control._peers import ReplicaClients
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import Deadline, PeerUnavailableError
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
# A member that has heard no leader for this many election timeouts asks to be taken
# in: it may have been replaced while it was away.
UNHEARD_TIMEOUTS = 2.0
CLUSTER_ID_BYTES = 8


class Joining:
    """Runs as long as the process: a member can be removed while it is away.

    A cluster is founded only when all hosts of the settings answer that their folders
    are empty. A majority would not do: two hosts that lost their disks could found a
    new one while the third, cut off, holds everything that was accepted.
    """

    def __init__(self, replica: Replica, clients: ReplicaClients) -> None:
        self._replica = replica
        self._clients = clients

    def run(self) -> None:
        """Run until the process stops."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            if self._is_outside():
                self._try_once()
            with replica.lock:
                replica.role_changed.wait(RETRY_SECONDS)

    def _is_outside(self) -> bool:
        """Say whether this replica has no cluster, or none that still knows it."""
        replica = self._replica
        with replica.lock:
            if not replica.membership.members:
                return True
            unheard = replica.heard_leader_until.overdue()
            limit = UNHEARD_TIMEOUTS * replica.election_seconds
            return replica.leadership is None and unheard > limit

    def _try_once(self) -> None:
        others = self._clients.others()
        if self._replica.cluster_id:
            self._join([*others, *self._member_addresses()])
            return
        known: list[ReplicaDescription] = []
        missing: list[str] = []
        for address in others:
            item = self._describe(address)
            if item is None:
                missing.append(address)
            elif item.cluster_id:
                # Asked first, and no other is described before: each seed that is
                # gone for good would hold the successor up for CALL_SECONDS.
                self._join([address, *others])
                return
            else:
                known.append(item)
        if missing:
            logger.info("waiting to found the cluster", extra={"missing": missing})
        elif self._founds(known):
            self._found(known)

    def _member_addresses(self) -> list[str]:
        replica = self._replica
        with replica.lock:
            return [
                member.address
                for member in replica.membership.members
                if member.replica_id != replica.replica_id
            ]

    def _describe(self, address: str) -> ReplicaDescription | None:
        client = self._clients.to_address(address)
        try:
            return client.call(lambda replica: replica.describe(), CALL_SECONDS)
        except (PeerUnavailableError, PeerRefusal):
            return None

    def _founds(self, others: list[ReplicaDescription]) -> bool:
        """Say whether this is the one host that writes the first entry.

        A host that its settings' seeds don't name waits for the seeds to found.
        """
        settings = self._replica.settings
        if not settings.may_found:
            return False
        if settings.seeds and settings.peer_address not in settings.seed_addresses:
            return False
        return all(settings.host_id < item.host_id for item in others)

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

    def _join(self, addresses: list[str]) -> None:
        """Ask for the leader until one takes this replica in.

        The leader may be a host that no seed names: a replica that is asked names it.
        """
        left = list(dict.fromkeys(addresses))
        asked: set[str] = set()
        while left:
            address = left.pop(0)
            if address in asked:
                continue
            asked.add(address)
            leader = self._ask_to_join(address)
            if leader is None:
                return
            if leader:
                left.insert(0, leader)

    def _ask_to_join(self, address: str) -> str | None:
        """Return None once taken in, else the leader's address or nothing."""
        description = own_description(self._replica)
        client = self._clients.to_address(address)
        try:
            client.call(lambda replica: replica.join(description), CALL_SECONDS)
            return None
        except NotLeader as error:
            return str(error.leader_address)
        except PeerUnavailableError:
            return ""
        except PeerRefusal as refusal:
            extra = {"error_id": refusal.error_id, "reason": refusal.message}
            logger.warning("not taken in yet", extra=extra)
            return ""


def own_description(replica: Replica) -> ReplicaDescription:
    """Return what this replica tells one that has no cluster yet."""
    return ReplicaDescription(
        replica.replica_id,
        replica.settings.host_id,
        replica.settings.peer_address,
        replica.cluster_id,
    )
