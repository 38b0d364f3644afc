"""Lines of a log, and the end of a request as one of them tells it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Line:
    """One line that a host wrote about a request."""

    time: str
    """Time of day in ISO 8601, which orders lines of hosts with like clocks."""
    source: str
    """The file that it was read from."""
    message: str
    fields: Mapping[str, Any]
    """What else the line says."""


@dataclass(frozen=True)
class RequestEnd:
    """What an entry host wrote when a request ended."""

    outcome: str
    ran: str
    steps: tuple[str, ...]
    """What was done, in order: "MILLISECONDS ms ENDPOINT: what came of it"."""
    first_event_ms: int | None
    target_ms: int
    """Until when an answer, or its first event, is in time."""
    longest_gap_ms: int
    maximum_gap_ms: int
    """Longest pause between two events that is in time; 0 without such a bound."""


def read_end(line: Line) -> RequestEnd:
    """Return what the last line of a request says."""
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
