"""Background tasks of the log: group commit, snapshots, and trimming."""

from __future__ import annotations

import logging

from jujubeslip.control._replica import Replica
from jujubeslip.control._snapshots import remove_older_snapshots, write_snapshot
from jujubeslip.peers import PeerRefusal, SnapshotHeader

logger = logging.getLogger(__name__)

# Limit on the bytes of entries that the log keeps although a snapshot covers them.
KEPT_BYTES = 2 * 1024 * 1024


class LogMaintenance:
    """Writes proposed entries to disk and replaces old entries by snapshots."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def run_writes(self) -> None:
        """Write and sync pending proposals in batches until the process stops."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            with replica.lock:
                if not self._has_pending():
                    replica.work.wait()
                    continue
            try:
                with replica.disk_lock, replica.requiring_working_disk():
                    replica.write_pending()
            except PeerRefusal:
                return

    def _has_pending(self) -> bool:
        replica = self._replica
        return not replica.failure and replica.written_index < replica.log.last_index

    def run_snapshots(self) -> None:
        """Take a snapshot whenever enough entries were applied since the last one."""
        replica = self._replica
        while not replica.process.stopped.is_set():
            with replica.lock:
                replica.snapshot_due.wait_for(lambda: replica.needs_snapshot)
            try:
                with replica.requiring_working_disk():
                    self._take_snapshot()
            except PeerRefusal:
                return

    def _take_snapshot(self) -> None:
        """Write a snapshot, then remove the entries that it covers from the log.

        Some of the covered entries are kept, so that a follower that lags slightly
        does not need the whole snapshot.
        """
        replica = self._replica
        with replica.lock:
            index = replica.applied_index
            header = SnapshotHeader(
                index,
                replica.log.term_at(index),
                replica.machine.stamp_ms,
                replica.memberships.at(index),
            )
            parts = replica.machine.parts()
            replica.applied_bytes = 0
        snapshot = write_snapshot(replica.storage.folder, header, parts)
        with replica.disk_lock:
            if replica.commit_index < index or replica.failure:
                return
            with replica.lock:
                superseded = replica.snapshot
                if superseded and superseded.header.last_index > index:
                    return
                replica.snapshot = snapshot
            remove_older_snapshots(snapshot)
            first_kept = replica.log.first_index_within(
                index, replica.settings.snapshot_every, KEPT_BYTES
            )
            replica.storage.log.roll()
            replica.storage.log.drop_before(first_kept)
            with replica.lock:
                replica.log.trim_before(first_kept)
                replica.memberships.trim(index)
        logger.info("snapshot taken", extra={"index": index})
