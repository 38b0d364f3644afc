"""Declared recovery: one survivor continues after a majority is lost permanently."""

from __future__ import annotations

import logging
import secrets
from dataclasses import dataclass

from jujubeslip.control._commands import make_entry
from jujubeslip.control._errors import StorageDamagedError
from jujubeslip.control._joining import CLUSTER_ID_BYTES
from jujubeslip.control._replica import Replica
from jujubeslip.control._storage import Storage
from jujubeslip.kernel import ControlSettings, Process
from jujubeslip.peers import Member, Membership, ReplicaMetadata

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class RecoveryReport:
    """The contents of a data folder, and whether it was made a new cluster.

    Of several survivors, the one with the highest last_term, then the highest
    last_index, has lost the least.
    """

    replica_id: str
    last_term: int
    last_index: int
    former_host_ids: tuple[str, ...]
    recovered: bool


def recover(settings: ControlSettings, *, confirmed: bool) -> RecoveryReport:
    """Make a stopped replica the only member of a new cluster, if confirmed.

    Changes that only the lost hosts had accepted are lost, which may revert
    configurations and drop claims. A lost host that returns with its old data folder
    would continue the old cluster, so those folders have to be emptied first. The
    former hosts may join again.

    Raises DataFolderInUseError while the replica runs, and StorageDamagedError when
    the folder is damaged or was never part of a cluster.
    """
    storage = Storage(settings.data_folder, settings.host_id)
    try:
        replica = Replica(settings, storage, Process("recovery"))
        if not replica.membership.members:
            raise StorageDamagedError(
                "The data folder holds no state to recover.",
                "Choose a host whose replica was part of the cluster.",
            )
        report = _report(replica, confirmed)
        if confirmed:
            _form_single_member_cluster(replica)
        return report
    finally:
        storage.close()


def _report(replica: Replica, confirmed: bool) -> RecoveryReport:
    host_ids = {member.host_id for member in replica.membership.members}
    return RecoveryReport(
        replica.replica_id,
        replica.log.last_term,
        replica.log.last_index,
        tuple(sorted(host_ids - {replica.settings.host_id})),
        confirmed,
    )


def _form_single_member_cluster(replica: Replica) -> None:
    """Write a membership of one replica under a new cluster id.

    The new id isolates the former replicas: they refuse this replica's entries, and it
    refuses theirs, until their data folders are emptied.
    """
    settings = replica.settings
    host_ids = {member.host_id for member in replica.membership.members}
    host_ids.update(peer.host_id for peer in settings.replicas)
    cluster_id = secrets.token_hex(CLUSTER_ID_BYTES)
    own = Member(replica.replica_id, settings.host_id, settings.peer_address, True)
    admitted = sorted(host_ids - {settings.host_id})
    membership = Membership(cluster_id, [own], admitted)
    with replica.disk_lock, replica.lock:
        term = replica.term + 1
        replica.save_metadata(ReplicaMetadata(cluster_id, term, ""))
        entry = make_entry(
            replica.log.last_index + 1, term, replica.newest_stamp_ms, membership
        )
        replica.append_entry(entry)
        replica.write_pending()
    logger.warning("recovered as a single replica", extra={"former": admitted})
