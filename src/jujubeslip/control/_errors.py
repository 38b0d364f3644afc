"""Errors of a control host: its disk, its data folder, and its proposals."""

from __future__ import annotations

from jujubeslip.kernel import JujubeslipError


class StorageDamagedError(JujubeslipError):
    """A file of the data folder does not hold the data that was synced to it."""

    error_id = "storage_damaged"
    default_remedy = (
        "Move the data folder away and start the replica with an empty one: it joins "
        "as a learner. docs/how-to/replace-a-lost-disk.md describes it."
    )


class StorageFailedError(JujubeslipError):
    """A write or sync failed; the replica may acknowledge nothing after it."""

    error_id = "storage_failed"
    default_remedy = "Free space on the disk or replace it, then restart the process."


class DataFolderInUseError(JujubeslipError):
    """Another process holds the data folder."""

    error_id = "data_folder_in_use"
    default_remedy = "Stop the other process, or give this one its own data_folder."


class LeadershipLostError(JujubeslipError):
    """The outcome of a proposal is unknown, since this replica no longer leads."""

    error_id = "leadership_lost"
    default_remedy = "Send the same request again to the new leader; it is idempotent."
