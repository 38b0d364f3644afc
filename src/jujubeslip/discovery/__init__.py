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
from jujubeslip.discovery._slow_endpoint_records import (
    to_answer_times_record,
    to_slow_endpoint_record,
    usable_reports,
    usable_slow_endpoints,
)
from jujubeslip.discovery._slow_endpoints import (
    MAXIMUM_LISTED,
    AnswerReport,
    SlowEndpoint,
    slow_endpoints,
)

__all__ = [
    "AnswerReport",
    "ControlFollowers",
    "Endpoint",
    "EndpointRegistry",
    "ControlUpdate",
    "MAXIMUM_LISTED",
    "RelayHost",
    "Removal",
    "SlowEndpoint",
    "Slots",
    "endpoint_from_record",
    "removal_from_record",
    "removal_problem",
    "slow_endpoints",
    "to_answer_times_record",
    "to_record",
    "to_removal_record",
    "to_slow_endpoint_record",
    "usable_endpoints",
    "usable_relays",
    "usable_removals",
    "usable_reports",
    "usable_slow_endpoints",
]
