"""Endpoints and control hosts, as control hosts and entry hosts know them."""

from jujubeslip.discovery._book import EndpointBook
from jujubeslip.discovery._follower import ControlFollowers, News
from jujubeslip.discovery._models import Endpoint, endpoint_from_record, to_record
from jujubeslip.discovery._records import Slots, usable_endpoints

__all__ = [
    "ControlFollowers",
    "Endpoint",
    "EndpointBook",
    "News",
    "Slots",
    "endpoint_from_record",
    "to_record",
    "usable_endpoints",
]
