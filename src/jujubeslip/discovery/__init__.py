"""Endpoints and control hosts, as control hosts and entry hosts know them."""

from jujubeslip.discovery._book import EarlyRemoval, EndpointBook
from jujubeslip.discovery._follower import ControlFollowers, News
from jujubeslip.discovery._models import Endpoint, endpoint_from_record, to_record
from jujubeslip.discovery._records import (
    Slots,
    to_removal_record,
    usable_endpoints,
    usable_removals,
)

__all__ = [
    "ControlFollowers",
    "EarlyRemoval",
    "Endpoint",
    "EndpointBook",
    "News",
    "Slots",
    "endpoint_from_record",
    "to_record",
    "to_removal_record",
    "usable_endpoints",
    "usable_removals",
]
