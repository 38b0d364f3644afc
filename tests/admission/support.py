"""Engines for the tests of admission."""

from __future__ import annotations

from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole


def engine(endpoint_id: str, availability_zone: str = "zone-1") -> Endpoint:
    """Return an engine as control hosts know it."""
    return Endpoint(
        endpoint_id=endpoint_id,
        service_name="model",
        address="127.0.0.1:1",
        availability_zone=availability_zone,
        role=EndpointRole.DECODE,
        slots=64,
        sequence=1,
        leaving=False,
        heard_at=steady_seconds(),
        slow_until=Deadline.after(0),
    )
