"""Shared foundations: errors, deadlines, plug-ins, tasks, settings, strict models."""

from jujubeslip.kernel._checks import (
    CheckLevel,
    CheckMessage,
    register_check,
    run_checks,
)
from jujubeslip.kernel._clock import steady_seconds
from jujubeslip.kernel._deadlines import Deadline
from jujubeslip.kernel._errors import (
    ConfigurationInvalidError,
    JujubeslipError,
    PeerUnavailableError,
    Ran,
    RequestRefusedError,
    StartFailedError,
)
from jujubeslip.kernel._lifecycle import RESTART_STATUS, Process, new_incarnation
from jujubeslip.kernel._registry import Registry, load_plugins
from jujubeslip.kernel._settings import (
    STRICT,
    Address,
    ControlSettings,
    EntrySettings,
    ForwardSettings,
    Name,
    PeerAddress,
    SettingsProblem,
    TelemetrySettings,
    load_control_settings,
    load_entry_settings,
    load_forward_settings,
    read_toml_as,
)
from jujubeslip.kernel._strict_models import (
    MAXIMUM_WHOLE,
    EndpointAddress,
    Id,
    NotNull,
    StrictModel,
    Text,
    Whole,
    read_fields,
    read_json,
)

__all__ = [
    "MAXIMUM_WHOLE",
    "RESTART_STATUS",
    "EndpointAddress",
    "Id",
    "NotNull",
    "StrictModel",
    "Text",
    "Whole",
    "read_fields",
    "read_json",
    "STRICT",
    "Address",
    "CheckLevel",
    "CheckMessage",
    "ConfigurationInvalidError",
    "ControlSettings",
    "Deadline",
    "ForwardSettings",
    "load_forward_settings",
    "EntrySettings",
    "JujubeslipError",
    "Name",
    "PeerAddress",
    "PeerUnavailableError",
    "Process",
    "Ran",
    "Registry",
    "RequestRefusedError",
    "SettingsProblem",
    "StartFailedError",
    "TelemetrySettings",
    "load_control_settings",
    "load_entry_settings",
    "load_plugins",
    "new_incarnation",
    "read_toml_as",
    "register_check",
    "run_checks",
    "steady_seconds",
]
