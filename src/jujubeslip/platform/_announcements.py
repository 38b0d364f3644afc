"""Decodes the announcements and removals that endpoints send."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field
from returns.result import Failure, Result, Success

from jujubeslip.discovery import Endpoint, Slots
from jujubeslip.kernel import (
    Deadline,
    EndpointAddress,
    Id,
    NotNull,
    StrictModel,
    Text,
    Whole,
    read_fields,
    read_json,
    steady_seconds,
)
from jujubeslip.peers import EndpointRole

# A plain endpoint sends no stage.
ROLE_BY_STAGE = {
    "prefill": EndpointRole.PREFILL,
    "decode": EndpointRole.DECODE,
    None: EndpointRole.PLAIN,
}
LEAVING_STATE = "draining"
# Longest body that is read, in bytes; an announcement with one model takes about 300.
MAXIMUM_BYTES = 65_536
# Longest remaining slow start that an endpoint may announce, in milliseconds: a day.
# The remainder is sent to the other hosts and must be within the bounds they accept.
MAXIMUM_COLD_MS = 24 * 3600 * 1000


class _WireModel(StrictModel):
    name: Text
    version: Whole
    adapters: list[Any]


class _WireAnnouncement(StrictModel):
    id: Annotated[Id | None, NotNull] = None
    """Its id again; if given, it must equal the id in the path."""
    service: Text
    address: EndpointAddress
    zone: Text
    version: Text
    """Version of its software."""
    slots: Slots
    state: Literal["ready", "draining"]
    cold_left_ms: int = Field(alias="coldLeftMs", ge=0, le=MAXIMUM_COLD_MS)
    """How much longer it stays slow after its start."""
    stage: Annotated[Literal["prefill", "decode"] | None, NotNull] = None
    models: Annotated[tuple[_WireModel, ...] | None, NotNull] = None
    born: Annotated[Whole | None, NotNull] = None
    """When it started, in milliseconds of Unix time."""
    seq: Whole


class _WireRemoval(StrictModel):
    born: Annotated[Whole | None, NotNull] = None
    """When the removed start of the endpoint began, in milliseconds of Unix time."""


class _WirePath(StrictModel):
    id: Id


def read_endpoint_id(text: str) -> Result[str, str]:
    """Return the endpoint id in a request's path, or what is wrong with it."""
    return read_fields(_WirePath, {"id": text}).map(lambda path: path.id)


def read_announcement(endpoint_id: str, body: bytes) -> Result[Endpoint, str]:
    """Return the announced endpoint, or which fields are wrong."""
    return read_json(_WireAnnouncement, body).bind(
        lambda announcement: _endpoint(endpoint_id, announcement)
    )


def _endpoint(
    endpoint_id: str, announcement: _WireAnnouncement
) -> Result[Endpoint, str]:
    if announcement.id not in (None, endpoint_id):
        return Failure(
            "'id': it differs from the id in the path; send that one, or none."
        )
    return Success(
        Endpoint(
            endpoint_id=endpoint_id,
            service_name=announcement.service,
            address=announcement.address,
            availability_zone=announcement.zone,
            sequence=announcement.seq,
            leaving=announcement.state == LEAVING_STATE,
            slots=announcement.slots,
            role=ROLE_BY_STAGE[announcement.stage],
            heard_at=steady_seconds(),
            slow_until=Deadline.from_remaining_ms(announcement.cold_left_ms),
            started_at_ms=announcement.born or 0,
        )
    )


def read_removal(body: bytes) -> Result[int, str]:
    """Return the removed start, or 0 if the removal names none."""
    if not body:
        return Success(0)
    return read_json(_WireRemoval, body).map(lambda removal: removal.born or 0)
