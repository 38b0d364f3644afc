"""A log line, and the end of a request as its last line records it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Line:
    """One log line of a host about a request."""

    time: str
    """Time in ISO 8601; sorts the lines of hosts whose clocks agree."""
    source: str
    """Name of the file that contains the line."""
    message: str
    fields: Mapping[str, Any]
    """All other fields of the line."""


@dataclass(frozen=True)
class RequestEnd:
    """The line that an entry host writes when a request ends."""

    outcome: str
    ran: str
    steps: tuple[str, ...]
    """The steps in order, each as "MILLISECONDS ms ENDPOINT: RESULT"."""
    first_event_ms: int | None
    target_ms: int
    """Target time of the answer, or of the first event of a stream."""
    longest_gap_ms: int
    maximum_gap_ms: int
    """Maximum allowed pause between two events; 0 if there is no such bound."""


def read_end(line: Line) -> RequestEnd:
    """Return the end of a request from its last line."""
    fields = line.fields
    return RequestEnd(
        str(fields.get("outcome", "")),
        str(fields.get("ran", "")),
        tuple(fields.get("sends", ())),
        fields.get("first_event_ms"),
        int(fields.get("target_ms", 0)),
        int(fields.get("longest_gap_ms", 0)),
        int(fields.get("maximum_gap_ms", 0)),
    )
