"""What a replica does before its process ends: it gives up its lead and its vote."""

from __future__ import annotations

import logging

from jujubeslip.control._peers import ReplicaClients
from jujubeslip.control._replica import Replica
from jujubeslip.control._succession import is_spare
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import Member, NotLeader, PeerRefusal

logger = logging.getLogger(__name__)

HAND_OVER_SECONDS = 1.0
# How long a stop waits for the leader to remove this replica, in seconds: an election
# that was handed over and a change of the replicas take a tenth of it on an idle host.
LEAVE_SECONDS = 2.0
POLL_SECONDS = 0.05


def hand_over(replica: Replica, clients: ReplicaClients) -> None:
    """Give the lead to the follower that is furthest on, if this replica leads.

    The lease ends first: the follower campaigns at once, without waiting it out.
    """
    with replica.lock:
        leadership = replica.leadership
        if leadership is None:
            return
        progress_by_id = leadership.progress_by_id
        followers = [
            member
            for member in replica.membership.members
            if member.voter and member.replica_id in progress_by_id
        ]

        def match_index(member: Member) -> int:
            return progress_by_id[member.replica_id].match_index

        followers.sort(key=match_index, reverse=True)
        replica.step_down("the process stops")
    for member in followers:
        if _start_election(clients, member, leadership.term):
            return


def leave(replica: Replica, clients: ReplicaClients) -> None:
    """Have the leader count on this replica no more, if the others are enough.

    A host that is replaced for good stops like any other. Until the leader took it
    for gone, the loss of another one would leave no majority. A process that starts
    again joins anew.
    """
    deadline = Deadline.after(LEAVE_SECONDS)
    while not deadline.expired:
        with replica.lock:
            if not is_spare(replica.membership, replica.replica_id, replica.settings):
                return
            leader_address = replica.not_leader().leader_address
        if leader_address and _has_left(replica, clients, leader_address):
            logger.info("left the replicas", extra={"leader": leader_address})
            return
        with replica.lock:
            replica.role_changed.wait(POLL_SECONDS)
    logger.warning("not removed in time", extra={"replica": replica.replica_id})


def _has_left(replica: Replica, clients: ReplicaClients, address: str) -> bool:
    try:
        clients.to_address(address).call(
            lambda peer: peer.leave(replica.replica_id), LEAVE_SECONDS
        )
    except (NotLeader, PeerRefusal, PeerUnavailableError) as error:
        logger.debug("not removed yet", extra={"reason": str(error)})
        return False
    return True


def _start_election(clients: ReplicaClients, member: Member, term: int) -> bool:
    client = clients.to_member(member)
    try:
        client.call(
            lambda peer: peer.start_election(member.replica_id, term),
            HAND_OVER_SECONDS,
        )
    except (PeerUnavailableError, PeerRefusal):
        return False
    return True
