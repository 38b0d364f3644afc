"""Graceful stop of a replica: it transfers leadership and leaves the membership."""

from __future__ import annotations

import logging

from jujubeslip.control._membership_planner import is_surplus_voter
from jujubeslip.control._replica import Replica
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import Member, NotLeader, PeerRefusal

logger = logging.getLogger(__name__)

# Limit on the whole procedure, in seconds. A leadership transfer and a membership
# change take a tenth of it on an idle host, and the process has some seconds until it
# is killed.
STOP_SECONDS = 2.5
# Timeout for one host's answer, in seconds: short enough to try another host if the
# first one is frozen and does not answer.
ANSWER_SECONDS = 0.4
# Interval at which to check for a new leader, in seconds. An election takes some ten
# milliseconds, and most changes end the wait earlier.
POLL_SECONDS = 0.05


def prepare_to_stop(replica: Replica, clients: ReplicaClients) -> None:
    """Transfer leadership to another replica and leave the membership.

    A host that is permanently replaced stops like any other. If its replica stayed a
    voter until the leader finds it unresponsive, the loss of another one in the
    meantime would leave no majority. A process that starts again joins again.
    """
    deadline = Deadline.after(STOP_SECONDS)
    transfer_leadership(replica, clients, deadline)
    leave(replica, clients, deadline)


def transfer_leadership(
    replica: Replica, clients: ReplicaClients, deadline: Deadline
) -> None:
    """Transfer leadership to the most up-to-date follower, if this replica leads.

    The lease ends first, since the follower campaigns at once without waiting for its
    expiry. A follower that is stopping as well refuses, and the next one is asked.
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
        if deadline.expired or _start_election(clients, member, leadership.term):
            return


def leave(replica: Replica, clients: ReplicaClients, deadline: Deadline) -> None:
    """Ask the leader to remove this replica, if enough voters remain."""
    while not deadline.expired:
        # A late vote may have elected this replica before it began to stop.
        transfer_leadership(replica, clients, deadline)
        with replica.lock:
            if not is_surplus_voter(
                replica.membership, replica.replica_id, replica.settings
            ):
                return
            leader_address = replica.not_leader().leader_address
        if leader_address and _was_handled(replica, clients, leader_address):
            logger.info(
                "leader handled the request for removal",
                extra={"leader": leader_address},
            )
            return
        with replica.lock:
            replica.role_changed.wait(POLL_SECONDS)
    logger.warning(
        "replica not removed before the deadline", extra={"replica": replica.replica_id}
    )


def _was_handled(replica: Replica, clients: ReplicaClients, address: str) -> bool:
    """Return whether the leader removed this replica or decided to keep it."""
    try:
        clients.to_address(address).call(
            lambda peer: peer.leave(replica.replica_id), ANSWER_SECONDS
        )
    except (NotLeader, PeerRefusal, PeerUnavailableError) as error:
        logger.debug("request for removal failed", extra={"reason": str(error)})
        return False
    return True


def _start_election(clients: ReplicaClients, member: Member, term: int) -> bool:
    client = clients.to_member(member)
    try:
        client.call(
            lambda peer: peer.start_election(member.replica_id, term), ANSWER_SECONDS
        )
    except (PeerUnavailableError, PeerRefusal):
        return False
    return True
