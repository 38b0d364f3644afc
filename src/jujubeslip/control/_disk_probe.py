"""Ends a process whose disk had failed, once the disk takes writes again."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from jujubeslip.control._errors import StorageFailedError
from jujubeslip.control._records import sync_file, write_all
from jujubeslip.control._replica import Replica

logger = logging.getLogger(__name__)

PROBE_NAME = "probe"
# As much as the log and a snapshot need at once, so that the next write after the
# restart does not fail again.
PROBE_BYTES = 4 * 1024 * 1024
# How often a failed disk is tried, in seconds: soon, since until then the other
# replicas bear one loss less.
PROBE_SECONDS = 0.4


class DiskProbe:
    """Watches for a failed write or sync, and for the disk's return.

    After a failure it is unknown what is durable, so the replica promises nothing until
    it has read back what the disk holds. Its supervisor starts the process again, but
    only when it ends: two disks that were full for some seconds, one after the other,
    would leave three replicas without a majority for good.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def look(self) -> None:
        """End the process if its disk had failed and takes writes again."""
        if not self._replica.failure or not self._takes_writes():
            return
        self._replica.process.end_to_start_anew("the disk takes writes again")

    def _takes_writes(self) -> bool:
        path = self._replica.storage.folder / PROBE_NAME
        try:
            _write(path)
        except (StorageFailedError, OSError) as error:
            logger.debug("the disk still fails", extra={"error": str(error)})
            return False
        finally:
            path.unlink(missing_ok=True)
        return True


def _write(path: Path) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, bytes(PROBE_BYTES), path.name)
        sync_file(descriptor, path.name)
    finally:
        os.close(descriptor)
