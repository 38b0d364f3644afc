"""Finds the lines about one request in the logs of several hosts."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from jujubeslip.tracing._models import Line

STANDARD_FIELDS = ("time", "level", "logger", "message", "request_id")


def lines_about(request_id: str, paths: Iterable[Path]) -> list[Line]:
    """Return the lines that name the request, in the order of their times.

    Raises OSError for a file that can't be read. A line may have something in front of
    its JSON object, as collectors add.
    """
    found = [line for path in paths for line in _lines_in(path, request_id)]
    return sorted(found, key=lambda line: line.time)


def _lines_in(path: Path, request_id: str) -> Iterator[Line]:
    with path.open(errors="replace") as file:
        for text in file:
            # Most lines are about other requests: parsing them would take minutes.
            if request_id not in text:
                continue
            fields = _object_in(text)
            if fields is not None and fields.get("request_id") == request_id:
                yield _line(path, fields)


def _object_in(text: str) -> dict[str, Any] | None:
    """Return a line's JSON object, None for a line of another program or a cut one."""
    try:
        read = json.loads(text[text.find("{") :])
    except ValueError:
        return None
    return read if isinstance(read, dict) else None


def _line(path: Path, fields: dict[str, Any]) -> Line:
    more = {key: value for key, value in fields.items() if key not in STANDARD_FIELDS}
    return Line(
        str(fields.get("time", "")), path.name, str(fields.get("message", "")), more
    )
