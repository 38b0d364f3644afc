"""Endpoint records of engines, as control hosts and entry hosts store them."""

from __future__ import annotations

from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole


def engine(
    endpoint_id: str,
    role: EndpointRole = EndpointRole.DECODE,
    availability_zone: str = "zone-1",
    started_at_ms: int = 0,
) -> Endpoint:
    """Return an engine of the service `model` that was announced just now."""
    return Endpoint(
        endpoint_id=endpoint_id,
        service_name="model",
        address="127.0.0.1:1",
        availability_zone=availability_zone,
        role=role,
        slots=64,
        sequence=1,
        leaving=False,
        heard_at=steady_seconds(),
        slow_until=Deadline.after(0),
        started_at_ms=started_at_ms,
    )
