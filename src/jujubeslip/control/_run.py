"""The control process: puts the parts together and hands over on a planned stop."""

from __future__ import annotations

import logging

from jujubeslip.control._changes import MembershipChanges
from jujubeslip.control._election import Elections
from jujubeslip.control._handler import ControlHandler
from jujubeslip.control._joining import Joining
from jujubeslip.control._peers import ReplicaClients
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._replica import Replica
from jujubeslip.control._replication import Replication
from jujubeslip.control._storage import Storage
from jujubeslip.control._upkeep import Upkeep
from jujubeslip.kernel import ControlSettings, PeerUnavailableError, Process
from jujubeslip.peers import ControlPeer, Member, PeerRefusal, PeerServer

logger = logging.getLogger(__name__)

MEMBERSHIP_CHECK_SECONDS = 0.2
HAND_OVER_SECONDS = 1.0


def run_control(settings: ControlSettings) -> None:
    """Run a control host until SIGTERM; does not return.

    Raises StorageDamagedError, StorageFailedError or DataFolderInUseError when the
    data folder can't be used.
    """
    process = Process("control")
    storage = Storage(settings.data_folder, settings.host_id)
    replica = Replica(settings, storage, process)
    clients = ReplicaClients(settings)
    changes = MembershipChanges(replica)
    handler = ControlHandler(replica, Receiver(replica), changes)
    server = PeerServer(
        settings.peer_address,
        ControlPeer.Processor,
        handler,
        settings.peer_secret,
        process,
    )
    server.start()
    upkeep = Upkeep(replica)
    process.start_task(upkeep.run_writes)
    process.start_task(upkeep.run_snapshots)
    process.start_task(Replication(replica, clients).run)
    process.start_task(Elections(replica, clients).run)
    process.start_task(Joining(replica, clients).run)
    process.repeat(MEMBERSHIP_CHECK_SECONDS, changes.promote_learners)
    logger.info(
        "control host started",
        extra={"replica": replica.replica_id, "address": server.address},
    )
    process.run(lambda: hand_over(replica, clients))


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
