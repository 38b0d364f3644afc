"""The replicated log of the control hosts and the state machine built from it."""

from jujubeslip.control._client import ControlClient
from jujubeslip.control._errors import (
    DataFolderInUseError,
    LeadershipLostError,
    StorageDamagedError,
    StorageFailedError,
)
from jujubeslip.control._leadership import Fence
from jujubeslip.control._recovery import RecoveryReport, recover
from jujubeslip.control._run import run_control

__all__ = [
    "ControlClient",
    "DataFolderInUseError",
    "Fence",
    "LeadershipLostError",
    "RecoveryReport",
    "StorageDamagedError",
    "StorageFailedError",
    "recover",
    "run_control",
]
