"""The registry of endpoints on control and entry hosts, and how it is kept current."""

from jujubeslip.discovery._control_followers import ControlFollowers, ControlUpdate
from jujubeslip.discovery._models import (
    Endpoint,
    RelayHost,
    endpoint_from_record,
    to_record,
)
from jujubeslip.discovery._records import (
    Slots,
    removal_from_record,
    removal_problem,
    to_removal_record,
    usable_endpoints,
    usable_relays,
    usable_removals,
)
from jujubeslip.discovery._registry import EndpointRegistry
from jujubeslip.discovery._removals import Removal

__all__ = [
    "ControlFollowers",
    "Endpoint",
    "EndpointRegistry",
    "ControlUpdate",
    "RelayHost",
    "Removal",
    "Slots",
    "endpoint_from_record",
    "removal_from_record",
    "removal_problem",
    "to_record",
    "to_removal_record",
    "usable_endpoints",
    "usable_relays",
    "usable_removals",
]
