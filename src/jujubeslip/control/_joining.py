"""How a replica bootstraps its cluster, joins it, or joins it again."""

from __future__ import annotations

import logging
import secrets

from jujubeslip.control._commands import make_entry
from jujubeslip.control._replica import Replica
from jujubeslip.control._replica_clients import ReplicaClients
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
# A member that has heard from no leader for this many election timeouts asks to join,
# since it may have been removed while it was not reachable.
LEADERLESS_TIMEOUTS = 2.0
CLUSTER_ID_BYTES = 8


class Joining:
    """Bootstraps or joins the cluster; runs until the process stops.

    It does not end with the first join, since a member can be removed while it is not
    reachable. A cluster is bootstrapped only when all hosts of the settings answer that
    their folders are empty. A majority is not enough: two hosts that lost their disks
    could bootstrap a new cluster while the third, partitioned from them, holds all
    accepted changes.
    """

    def __init__(self, replica: Replica, clients: ReplicaClients) -> None:
        self._replica = replica
        self._clients = clients

    def run(self) -> None:
        """Run until the process stops."""
        replica = self._replica
        # Joining again while the process stops would leave a voter without a process.
        while not replica.process.stopping.is_set():
            if self._needs_to_join():
                self._try_once()
            with replica.lock:
                replica.role_changed.wait(RETRY_SECONDS)

    def _needs_to_join(self) -> bool:
        """Return whether this replica is in no cluster or may have been removed.

        A replica that has heard from no leader since its start may have been removed
        before. The request of one that is still a member has no effect.
        """
        replica = self._replica
        with replica.lock:
            if not replica.membership.members:
                return True
            if replica.leadership is None and not replica.leader.replica_id:
                return True
            leaderless_seconds = replica.heard_leader_until.overdue()
            limit = LEADERLESS_TIMEOUTS * replica.election_seconds
            return replica.leadership is None and leaderless_seconds > limit

    def _try_once(self) -> None:
        others = self._clients.other_addresses()
        if self._replica.cluster_id:
            # Members first: seeds may no longer exist, and each then costs a timeout.
            self._join([*self._member_addresses(), *others])
            return
        empty_hosts: list[ReplicaDescription] = []
        missing: list[str] = []
        for address in others:
            item = self._describe(address)
            if item is None:
                missing.append(address)
            elif item.cluster_id:
                # It is asked first, before the remaining seeds are described: each seed
                # that no longer exists would delay the join by CALL_SECONDS.
                self._join([address, *others])
                return
            else:
                empty_hosts.append(item)
        if missing:
            logger.info(
                "waiting for hosts to bootstrap the cluster", extra={"missing": missing}
            )
        elif self._should_bootstrap(empty_hosts):
            self._bootstrap(empty_hosts)

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

    def _should_bootstrap(self, others: list[ReplicaDescription]) -> bool:
        """Return whether this is the one host that writes the first entry.

        A host that is not among the seeds of its settings leaves it to the seeds.
        """
        settings = self._replica.settings
        if not settings.may_found:
            return False
        if settings.seeds and settings.peer_address not in settings.seed_addresses:
            return False
        return all(settings.host_id < item.host_id for item in others)

    def _bootstrap(self, others: list[ReplicaDescription]) -> None:
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
                with replica.requiring_working_disk():
                    replica.save_metadata(ReplicaMetadata(cluster_id, 1, ""))
                    replica.append_entry(make_entry(1, 1, 0, membership))
                    replica.write_pending()
            except PeerRefusal:
                return
            replica.election_deadline = Deadline.after(0)
            replica.role_changed.notify_all()
        logger.info("cluster bootstrapped", extra={"members": len(members)})

    def _join(self, addresses: list[str]) -> None:
        """Ask the addresses in turn until the leader adds this replica.

        The leader may be a host that is no seed; a replica that is asked names it.
        """
        pending = list(dict.fromkeys(addresses))
        asked: set[str] = set()
        while pending:
            address = pending.pop(0)
            if address in asked:
                continue
            asked.add(address)
            leader = self._ask_to_join(address)
            if leader is None:
                return
            if leader:
                pending.insert(0, leader)

    def _ask_to_join(self, address: str) -> str | None:
        """Return None if this replica joined, else the leader's address or ''."""
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
            logger.warning("join request refused", extra=extra)
            return ""


def own_description(replica: Replica) -> ReplicaDescription:
    """Return this replica's description for a bootstrap or a join."""
    return ReplicaDescription(
        replica.replica_id,
        replica.settings.host_id,
        replica.settings.peer_address,
        replica.cluster_id,
    )
