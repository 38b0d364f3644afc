"""Errors of the control host: its disk, its folder, and its proposals."""

from __future__ import annotations

from jujubeslip.kernel import JujubeslipError


class StorageDamagedError(JujubeslipError):
    """A file of the data folder does not hold what was synced to it."""

    error_id = "storage_damaged"
    default_remedy = (
        "Move the data folder away and start the replica with an empty one: it comes "
        "back as a learner. docs/how-to/replace-a-lost-disk.md describes it."
    )


class StorageFailedError(JujubeslipError):
    """A write or sync that failed; nothing may be promised after it."""

    error_id = "storage_failed"
    default_remedy = "Free space on the disk or replace it, then restart the process."


class DataFolderInUseError(JujubeslipError):
    """Another process holds the data folder."""

    error_id = "data_folder_in_use"
    default_remedy = "Stop the other process, or give this one its own data_folder."


class LeadershipLostError(JujubeslipError):
    """A proposal whose outcome this replica can't tell, since it leads no more."""

    error_id = "leadership_lost"
    default_remedy = "Send the same request again to the new leader; it is idempotent."
