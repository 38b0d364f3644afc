"""The replicated log on the hosts with a disk, and the state that it carries."""

from jujubeslip.control._errors import (
    DataFolderInUseError,
    StorageDamagedError,
    StorageFailedError,
)

__all__ = ["DataFolderInUseError", "StorageDamagedError", "StorageFailedError"]
