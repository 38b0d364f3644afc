"""Announcements of endpoints, as they arrive over HTTP."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from jujubeslip.endpoints._status import ROLE_BY_NAME
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.peers import Announcement

_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


def announcement_from_json(message: Mapping[str, Any]) -> Announcement:
    """Return the announcement, or refuse it with what is wrong."""
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
            leaving=bool(message.get("leaving", False)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _invalid(f"A key is missing or has the wrong type: {error}.") from error
    if not _ADDRESS.match(announcement.address):
        raise _invalid("`address` is not IP:port.")
    return announcement


def _invalid(message: str) -> RequestRefusedError:
    return RequestRefusedError(
        "announcement_invalid",
        message,
        status=400,
        remedy="Send the keys that docs/reference/engine-interface.md lists.",
    )
