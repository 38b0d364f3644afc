"""Announcements of endpoints."""

from __future__ import annotations

import json
from typing import Any

from returns.result import Failure, Result, Success

from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole

# A plain endpoint names no stage.
ROLE_BY_STAGE = {
    "prefill": EndpointRole.PREFILL,
    "decode": EndpointRole.DECODE,
    "": EndpointRole.PLAIN,
}
LEAVING_STATE = "draining"
STARTED_AT_FIELD = "born"
# Hosts tell each other a start in 64 bits. A larger number, once taken, could not be
# told, nor could any other endpoint in the same answer.
STARTED_AT_BITS = 63


def read_announcement(endpoint_id: str, body: bytes) -> Result[Endpoint, str]:
    """Return what an endpoint says of itself, or what is wrong with it."""
    try:
        return Success(_endpoint(endpoint_id, json.loads(body)))
    except KeyError as error:
        return Failure(f"The field {error} is missing or not known; correct it.")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(f"The announcement can't be read: {error}.")


def _endpoint(endpoint_id: str, fields: dict[str, Any]) -> Endpoint:
    host, _, port = fields["address"].rpartition(":")
    if not host or not port.isdigit():
        raise ValueError("the address is not IP:port")
    return Endpoint(
        endpoint_id=endpoint_id,
        service_name=str(fields["service"]),
        address=fields["address"],
        availability_zone=str(fields["zone"]),
        sequence=int(fields["seq"]),
        leaving=fields["state"] == LEAVING_STATE,
        slots=int(fields.get("slots", 1)),
        role=ROLE_BY_STAGE[fields.get("stage") or ""],
        heard_at=steady_seconds(),
        slow_until=Deadline.from_remaining_ms(int(fields.get("coldLeftMs", 0))),
        started_at_ms=read_started_at(fields),
    )


def read_started_at(fields: dict[str, Any]) -> int:
    """Return the start that an endpoint tells of itself, 0 where it tells none.

    Raises ValueError for what is no whole number of milliseconds.
    """
    started_at_ms = fields.get(STARTED_AT_FIELD, 0)
    if type(started_at_ms) is not int or not 0 <= started_at_ms < 2**STARTED_AT_BITS:
        raise ValueError(f"{STARTED_AT_FIELD} is no whole number of milliseconds")
    return started_at_ms


def read_removal(body: bytes) -> Result[int, str]:
    """Return the start that is removed, 0 where the removal names none."""
    if not body:
        return Success(0)
    try:
        fields = json.loads(body)
        return Success(read_started_at(fields) if isinstance(fields, dict) else 0)
    except ValueError as error:
        return Failure(f"The removal can't be read: {error}.")
