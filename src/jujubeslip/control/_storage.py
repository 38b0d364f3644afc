"""The data folder of a replica: identity, metadata, log segments, and snapshots."""

from __future__ import annotations

import fcntl
import logging
import os
import secrets
from pathlib import Path

from jujubeslip.control._errors import (
    DataFolderInUseError,
    StorageDamagedError,
    StorageFailedError,
)
from jujubeslip.control._log_files import SEGMENT_PREFIX, LogFiles
from jujubeslip.control._records import (
    read_file,
    storage_failed,
    sync_folder,
    write_file_atomically,
)
from jujubeslip.control._snapshots import SnapshotFile, newest_snapshot
from jujubeslip.peers import LogEntry, ReplicaIdentity, ReplicaMetadata

logger = logging.getLogger(__name__)

LOCK_NAME = "lock"
IDENTITY_NAME = "identity"
METADATA_NAME = "metadata"
DISK_ID_BYTES = 6


class Storage:
    """Opens and locks a data folder; the caller serializes all calls.

    Raises StorageDamagedError when the folder does not hold what was synced to it,
    and DataFolderInUseError when another process holds it.
    """

    def __init__(self, folder: Path, host_id: str) -> None:
        self.folder = folder
        _make_folder(folder)
        self._lock = _lock_folder(folder)
        try:
            self.identity = self._load_identity(host_id)
            self.metadata = self._load_metadata()
            self.log = LogFiles(folder)
        except BaseException:
            os.close(self._lock)
            raise
        self.replica_id = f"{self.identity.host_id}/{self.identity.disk_id}"

    def load_snapshot(self) -> SnapshotFile | None:
        """Return the newest snapshot, None without one; see newest_snapshot."""
        return newest_snapshot(self.folder)

    def load_entries(self, snapshot_index: int, snapshot_term: int) -> list[LogEntry]:
        """Return the entries of the log that continue or overlap the snapshot.

        Raises StorageDamagedError when entries between the two are lost.
        """
        entries = self.log.load()
        if not entries:
            return []
        first, last = entries[0].index, entries[-1].index
        if first > snapshot_index + 1:
            raise StorageDamagedError(
                "Entries between the end of the snapshot and the log are lost."
            )
        if last < snapshot_index:
            return self._drop_log()
        at_snapshot = snapshot_index - first
        if at_snapshot >= 0 and entries[at_snapshot].term != snapshot_term:
            return self._drop_log()
        return entries

    def _drop_log(self) -> list[LogEntry]:
        """Complete the installation of a snapshot that a crash has interrupted."""
        self.log.drop_all()
        return []

    def save_metadata(self, metadata: ReplicaMetadata) -> None:
        """Make term, vote and cluster id durable before they take effect."""
        write_file_atomically(self.folder / METADATA_NAME, metadata)
        self.metadata = metadata

    def close(self) -> None:
        """Close the files and unlock the folder."""
        self.log.close()
        os.close(self._lock)

    def _load_identity(self, host_id: str) -> ReplicaIdentity:
        """Read the folder's identity, or create one for an empty folder.

        The random disk id guards against a replica that votes again after it lost its
        disk, and with it the votes and entries that it had acknowledged: two leaders
        could be elected in one term. With a new disk id it is a different replica,
        which the cluster first adds as a learner.
        """
        path = self.folder / IDENTITY_NAME
        identity = read_file(path, ReplicaIdentity)
        if identity is None:
            return self._new_identity(path, host_id)
        if identity.host_id != host_id:
            raise StorageDamagedError(
                f"The data folder belongs to host {identity.host_id!r}, "
                f"not to {host_id!r}.",
                "Correct host_id or data_folder in the settings.",
            )
        return identity

    def _new_identity(self, path: Path, host_id: str) -> ReplicaIdentity:
        leftovers = [METADATA_NAME, f"{SEGMENT_PREFIX}*", "snapshot-*"]
        if any(True for name in leftovers for _ in self.folder.glob(name)):
            raise StorageDamagedError("The data folder lacks its identity file.")
        identity = ReplicaIdentity(host_id, secrets.token_hex(DISK_ID_BYTES))
        write_file_atomically(path, identity)
        logger.info("replica identity created", extra={"disk_id": identity.disk_id})
        return identity

    def _load_metadata(self) -> ReplicaMetadata:
        metadata = read_file(self.folder / METADATA_NAME, ReplicaMetadata)
        if metadata is not None:
            return metadata
        if any(True for _ in self.folder.glob(f"{SEGMENT_PREFIX}*")):
            raise StorageDamagedError("The data folder lacks its metadata file.")
        return ReplicaMetadata("", 0, "")


def _make_folder(folder: Path) -> None:
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise StorageFailedError(
            f"The data folder can't be created: {error}.",
            "Set data_folder to a folder that this process may write to.",
        ) from error
    sync_folder(folder.parent)


def _lock_folder(folder: Path) -> int:
    try:
        descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise storage_failed(LOCK_NAME, error) from error
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        raise DataFolderInUseError(
            f"Another process uses the data folder of host {folder.name!r}."
        ) from error
    return descriptor
