"""How requests reach endpoints when a host has lost its links to them."""

from jujubeslip.relays._connection import RelayAccess
from jujubeslip.relays._directory import RelayDirectory
from jujubeslip.relays._pool import RelayingPool, out_of_reach_refusal
from jujubeslip.relays._reach import EndpointReach
from jujubeslip.relays._wire import (
    REFUSAL_STATUS,
    RELAY_HEADERS,
    RelayHeaders,
    RelayRefusal,
    without_relay_headers,
)

__all__ = [
    "REFUSAL_STATUS",
    "RELAY_HEADERS",
    "EndpointReach",
    "RelayDirectory",
    "RelayHeaders",
    "RelayAccess",
    "RelayRefusal",
    "RelayingPool",
    "out_of_reach_refusal",
    "without_relay_headers",
]
