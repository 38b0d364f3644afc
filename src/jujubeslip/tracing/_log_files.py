"""Finds the lines about one request in the logs of several hosts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from jujubeslip.tracing._models import Line

STANDARD_FIELDS = ("time", "level", "logger", "message", "request_id")


def lines_about(request_id: str, paths: Iterable[Path]) -> list[Line]:
    """Return the lines that name the request, sorted by their times.

    Log collectors may have added a prefix before the JSON object of a line. Raises
    OSError if a file can't be read.
    """
    found = [line for path in paths for line in _lines_in(path, request_id)]
    return sorted(found, key=lambda line: line.time)


def _lines_in(path: Path, request_id: str) -> Iterator[Line]:
    with path.open(errors="replace") as file:
        for text in file:
            # Skips the lines about other requests unparsed: parsing all lines would
            # take minutes.
            if request_id not in text:
                continue
            fields = _parse_json_object(text)
            if fields is not None and fields.get("request_id") == request_id:
                yield _line(path, fields)


def _parse_json_object(text: str) -> dict[str, Any] | None:
    """Return a line's JSON object, None for a truncated line or another program's."""
    try:
        parsed = json.loads(text[text.find("{") :])
    except ValueError:
        return None
    return parsed if isinstance(parsed, dict) else None


def _line(path: Path, fields: dict[str, Any]) -> Line:
    other_fields = {
        key: value for key, value in fields.items() if key not in STANDARD_FIELDS
    }
    return Line(
        str(fields.get("time", "")),
        path.name,
        str(fields.get("message", "")),
        other_fields,
    )
