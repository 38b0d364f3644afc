"""Parses the announcements that endpoints send over HTTP."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pydantic import TypeAdapter, ValidationError

from jujubeslip.endpoints._status import ROLE_BY_NAME
from jujubeslip.kernel import Address, RequestRefusedError
from jujubeslip.peers import Announcement

MAXIMUM_INCARNATION = 2**63 - 1
MAXIMUM_SLOTS = 1_000_000
_ADDRESS = TypeAdapter(Address)


def announcement_from_json(message: Mapping[str, Any]) -> Announcement:
    """Return the announcement, or raise a refusal that names what is wrong."""
    try:
        announcement = Announcement(
            endpoint_id=str(message["endpoint_id"]),
            incarnation=int(message["incarnation"]),
            address=str(message["address"]),
            availability_zone=str(message["availability_zone"]),
            service_name=str(message["service"]),
            role=ROLE_BY_NAME[message["role"]],
            model=str(message.get("model", "")),
            slots=int(message.get("slots", 1)),
            leaving=_flag(message.get("leaving", False)),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise _invalid(f"A key is missing or has the wrong type: {error}.") from error
    _check_ranges(announcement)
    return announcement


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise TypeError("`leaving` is not true or false")
    return value


def _check_ranges(announcement: Announcement) -> None:
    if not 0 <= announcement.incarnation <= MAXIMUM_INCARNATION:
        raise _invalid("`incarnation` is not 0 to 2^63 - 1.")
    if not 1 <= announcement.slots <= MAXIMUM_SLOTS:
        raise _invalid(f"`slots` is not 1 to {MAXIMUM_SLOTS}.")
    try:
        _ADDRESS.validate_python(announcement.address)
    except ValidationError as error:
        raise _invalid("`address` is not IP:port.") from error


def _invalid(message: str) -> RequestRefusedError:
    return RequestRefusedError(
        "announcement_invalid",
        message,
        status=400,
        remedy="Send the keys that docs/reference/engine-interface.md lists.",
    )
