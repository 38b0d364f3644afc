"""Finds out that a replica will never answer again, since its disk is lost."""

from __future__ import annotations

import logging

from jujubeslip.control._receiver import WRONG_REPLICA
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import Member, PeerRefusal, ReplicaDescription

logger = logging.getLogger(__name__)


def suggests_lost_disk(error: Exception) -> bool:
    """Return whether another replica has answered at the address of the one asked."""
    return isinstance(error, PeerRefusal) and error.error_id == WRONG_REPLICA


def has_lost_disk(clients: ReplicaClients, member: Member, until: Deadline) -> bool:
    """Ask a replica's host for its disk id; return whether it is another one.

    Only one process of the host can listen at the replica's address, so a different
    disk id there shows that the replica's disk is no longer in use. Another host at
    the same address shows nothing.
    """
    try:
        found: ReplicaDescription = clients.to_member(member).call(
            lambda client: client.describe(), until.remaining()
        )
    except (PeerUnavailableError, PeerRefusal) as error:
        extra = {"member": member.replica_id, "why": str(error)}
        logger.debug("replica's host did not describe itself", extra=extra)
        return False
    if found.host_id != member.host_id or found.replica_id == member.replica_id:
        return False
    extra = {"member": member.replica_id, "answers_as": found.replica_id}
    logger.info("voter has lost its disk", extra=extra)
    return True
