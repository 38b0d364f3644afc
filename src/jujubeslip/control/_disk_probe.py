"""Ends a process whose disk had failed, once the disk accepts writes again."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from jujubeslip.control._errors import StorageFailedError
from jujubeslip.control._records import sync_file, write_all
from jujubeslip.control._replica import Replica

logger = logging.getLogger(__name__)

PROBE_NAME = "probe"
# Size of the test write: as much as the log and a snapshot need at once, so that the
# next write after the restart does not fail again.
PROBE_BYTES = 4 * 1024 * 1024
# Interval of the test writes to a failed disk, in seconds. It is short, since until the
# restart the cluster tolerates one loss less.
PROBE_SECONDS = 0.4


class DiskProbe:
    """After a failed write or sync, detects that the disk works again.

    After a failure it is unknown which data is durable, so the replica acknowledges
    nothing until it has read back the data folder. The process has to end for that, as
    its supervisor starts it again only then. If it kept running, two disks that were
    full for some seconds, one after the other, would permanently leave three replicas
    without a majority.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def run_once(self) -> None:
        """End the process if its disk had failed and accepts writes again."""
        if not self._replica.failure or not self._takes_writes():
            return
        self._replica.process.exit_for_restart("the disk accepts writes again")

    def _takes_writes(self) -> bool:
        path = self._replica.storage.folder / PROBE_NAME
        try:
            _write(path)
        except (StorageFailedError, OSError) as error:
            logger.debug("disk still refuses writes", extra={"error": str(error)})
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
