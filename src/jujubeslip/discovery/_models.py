"""What a host knows of one start of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRecord, EndpointRole

MILLISECONDS = 1000


@dataclass(frozen=True)
class Endpoint:
    """One start of an endpoint, as it announced itself.

    A process that starts again has a new `endpoint_id`, also at the same address.
    """

    endpoint_id: str
    service_name: str
    address: str
    """IP:port at which it serves."""
    availability_zone: str
    sequence: int
    """Grows with each announcement; tells a late one from a newer one."""
    leaving: bool
    """Takes no new work; never false again once it is true."""
    slots: int
    """Requests that it works on at a time."""
    role: EndpointRole
    heard_at: float
    """When its announcement reached the host that took it, by this host's clock."""
    slow_until: Deadline
    """Until when it says that it is slow after its start."""


def endpoint_from_record(record: EndpointRecord) -> Endpoint:
    """Return what another host tells, in instants of this host's clock."""
    return Endpoint(
        endpoint_id=record.endpoint_id,
        service_name=record.service_name,
        address=record.address,
        availability_zone=record.availability_zone,
        sequence=record.sequence,
        leaving=record.leaving,
        slots=record.slots,
        role=EndpointRole(record.role),
        heard_at=steady_seconds() - record.silent_ms / MILLISECONDS,
        slow_until=Deadline.from_remaining_ms(record.cold_remaining_ms),
    )


def to_record(endpoint: Endpoint) -> EndpointRecord:
    """Return what this host tells others of the endpoint."""
    silent = steady_seconds() - endpoint.heard_at
    return EndpointRecord(
        endpoint.endpoint_id,
        endpoint.service_name,
        endpoint.address,
        endpoint.availability_zone,
        endpoint.sequence,
        endpoint.leaving,
        endpoint.slots,
        endpoint.role,
        int(silent * MILLISECONDS),
        endpoint.slow_until.remaining_ms(),
    )
