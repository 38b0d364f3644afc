"""Announcements of endpoints."""

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

# A plain endpoint names no stage.
ROLE_BY_STAGE = {
    "prefill": EndpointRole.PREFILL,
    "decode": EndpointRole.DECODE,
    None: EndpointRole.PLAIN,
}
LEAVING_STATE = "draining"
# Longest body that is read, in bytes; an announcement with one model has some 300.
MAXIMUM_BYTES = 65_536
# How long an endpoint may say that it stays slow, in milliseconds: a day. The other
# hosts are told what is left, which must stay in the bounds of what they take.
MAXIMUM_COLD_MS = 24 * 3600 * 1000


class _WireModel(StrictModel):
    name: Text
    version: Whole
    adapters: list[Any]


class _WireAnnouncement(StrictModel):
    id: Annotated[Id | None, NotNull] = None
    """Its id once more; the path's is the one that counts."""
    service: Text
    address: EndpointAddress
    zone: Text
    version: Text
    """Of its software."""
    slots: Slots
    state: Literal["ready", "draining"]
    cold_left_ms: int = Field(alias="coldLeftMs", ge=0, le=MAXIMUM_COLD_MS)
    """For how much longer it is slow after its start."""
    stage: Annotated[Literal["prefill", "decode"] | None, NotNull] = None
    models: Annotated[tuple[_WireModel, ...] | None, NotNull] = None
    born: Annotated[Whole | None, NotNull] = None
    """When it started, in milliseconds of Unix time."""
    seq: Whole


class _WirePath(StrictModel):
    id: Id


def read_endpoint_id(text: str) -> Result[str, str]:
    """Return the id in the path of an endpoint's call, or what is wrong with it."""
    return read_fields(_WirePath, {"id": text}).map(lambda path: path.id)


def read_announcement(endpoint_id: str, body: bytes) -> Result[Endpoint, str]:
    """Return what an endpoint says of itself, or which fields are wrong."""
    return read_json(_WireAnnouncement, body).bind(
        lambda told: _endpoint(endpoint_id, told)
    )


def _endpoint(endpoint_id: str, told: _WireAnnouncement) -> Result[Endpoint, str]:
    if told.id not in (None, endpoint_id):
        return Failure("'id': it is not the path's; send the path's, or none.")
    return Success(
        Endpoint(
            endpoint_id=endpoint_id,
            service_name=told.service,
            address=told.address,
            availability_zone=told.zone,
            sequence=told.seq,
            leaving=told.state == LEAVING_STATE,
            slots=told.slots,
            role=ROLE_BY_STAGE[told.stage],
            heard_at=steady_seconds(),
            slow_until=Deadline.from_remaining_ms(told.cold_left_ms),
        )
    )
