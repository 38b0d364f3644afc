"""What a replica does before its process ends: it gives up its lead and its vote."""

from __future__ import annotations

import logging

from jujubeslip.control._peers import ReplicaClients
from jujubeslip.control._replica import Replica
from jujubeslip.control._succession import is_spare
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import Member, NotLeader, PeerRefusal

logger = logging.getLogger(__name__)

# How long a stop takes over the lead and the vote, in seconds: an election that is
# handed over and a change of the replicas take a tenth of it on an idle host, and the
# process has some seconds until it is killed.
STOP_SECONDS = 2.5
# How long it waits for one host's answer, in seconds. A host that is frozen doesn't
# answer; there is time for another one then.
ANSWER_SECONDS = 0.4
# How often it looks for the new leader, in seconds: an election takes some ten
# milliseconds, and most changes wake it earlier.
POLL_SECONDS = 0.05


def step_aside(replica: Replica, clients: ReplicaClients) -> None:
    """Give the lead to another replica, and have this one counted on no more.

    A host that is replaced for good stops like any other. Until the leader took it
    for gone, the loss of another one would leave no majority. A process that starts
    again joins anew.
    """
    deadline = Deadline.after(STOP_SECONDS)
    hand_over(replica, clients, deadline)
    leave(replica, clients, deadline)


def hand_over(replica: Replica, clients: ReplicaClients, deadline: Deadline) -> None:
    """Give the lead to the follower that is furthest on, if this replica leads.

    The lease ends first: the follower campaigns at once, without waiting it out. One
    that is stopping, too, refuses, and the next one is asked.
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
    """Have the leader remove this replica, if the others are enough."""
    while not deadline.expired:
        # It may have been elected before it began to stop, by a vote that came late.
        hand_over(replica, clients, deadline)
        with replica.lock:
            if not is_spare(replica.membership, replica.replica_id, replica.settings):
                return
            leader_address = replica.not_leader().leader_address
        if leader_address and _was_heard(replica, clients, leader_address):
            logger.info("asked to be removed", extra={"leader": leader_address})
            return
        with replica.lock:
            replica.role_changed.wait(POLL_SECONDS)
    logger.warning("not removed in time", extra={"replica": replica.replica_id})


def _was_heard(replica: Replica, clients: ReplicaClients, address: str) -> bool:
    """Say whether the leader removed this replica, or needs it too much for that."""
    try:
        clients.to_address(address).call(
            lambda peer: peer.leave(replica.replica_id), ANSWER_SECONDS
        )
    except (NotLeader, PeerRefusal, PeerUnavailableError) as error:
        logger.debug("not removed yet", extra={"reason": str(error)})
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
