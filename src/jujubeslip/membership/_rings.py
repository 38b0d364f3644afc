"""The hosts that a host probes: its successors on rings that all hosts agree on."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from functools import lru_cache

from jujubeslip.peers import HostState

# Rings over all hosts, and over the hosts of this host's availability zone.
SYSTEM_RINGS = ("system-a", "system-b")
ZONE_RINGS = ("zone-a", "zone-b", "zone-c")
RINGS = SYSTEM_RINGS + ZONE_RINGS


def successors(own: HostState, others: Collection[HostState]) -> dict[str, HostState]:
    """Return the next host on each ring, without rings that have no other host.

    On the first ring exactly one host probes each host, so all are probed, while the
    work, connections and tasks of a host don't grow with the number of hosts. In a
    small system the other rings skip hosts that are probed already, so that the loss
    of one host doesn't silence all rings.
    """
    in_zone = [s for s in others if s.availability_zone == own.availability_zone]
    found: dict[str, HostState] = {}
    for ring in RINGS:
        members = in_zone if ring in ZONE_RINGS else others
        probed = {state.host_id for state in found.values()}
        unprobed = [state for state in members if state.host_id not in probed]
        if unprobed or members:
            found[ring] = _next_on(ring, own, unprobed or members)
    return found


def _next_on(ring: str, own: HostState, members: Iterable[HostState]) -> HostState:
    position = _position(ring, own.host_id)
    return min(members, key=lambda state: _distance(ring, position, state.host_id))


def _distance(ring: str, position: int, host_id: str) -> int:
    return (_position(ring, host_id) - position) % (1 << 64)


@lru_cache(maxsize=8192)
def _position(ring: str, host_id: str) -> int:
    digest = hashlib.blake2b(f"{ring}/{host_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
