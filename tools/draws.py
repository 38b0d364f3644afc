"""Show which engines joined and were lost in a play.

`python -m tools.draws FILE...` reads the log lines of all hosts of a play, each with
the time and the host as a prefix, and prints when each engine joined, left, was lost or
was ordered to another role, and the number of prefill and decode engines after that.
Plays of the same day and seed may lose different engines: compare only plays that lost
the same ones.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from tools.losses import LINE_PATTERN

ROLES = ("PREFILL", "DECODE")
LOST = "engine lost, no requests granted until it returns"
RETURNED = "engine reports again"
ORDERED = "engine ordered"


@dataclass(frozen=True)
class EngineEvent:
    """A change of an engine's state."""

    at: float
    """Seconds from the start of traffic."""
    endpoint_id: str
    description: str
    prefill_count: int
    decode_count: int


@dataclass(frozen=True)
class _Engine:
    role: str
    address: str


class _EngineTracker:
    """The available engines, according to the lines of control hosts so far."""

    def __init__(self) -> None:
        self._engine_by_id: dict[str, _Engine] = {}
        self._lost_by_id: dict[str, _Engine] = {}
        self._seen: set[tuple[str, str, bool, int]] = set()

    def apply_line(self, at: float, fields: Mapping[str, Any]) -> EngineEvent | None:
        """Apply a line; return the event, None if the line reports no new change."""
        message = fields.get("message")
        endpoint_id = str(fields.get("endpoint_id", ""))
        if message == ORDERED:
            return self._event(at, endpoint_id, f"ordered to {fields['role']}")
        if message == LOST:
            return self._lost(at, endpoint_id)
        if message == RETURNED:
            return self._returned(at, endpoint_id)
        if message == "endpoint changed" and fields.get("role") in ROLES:
            return self._changed(at, endpoint_id, fields)
        return None

    def _changed(
        self, at: float, endpoint_id: str, fields: Mapping[str, Any]
    ) -> EngineEvent | None:
        role, leaving = str(fields["role"]), bool(fields["leaving"])
        key = (endpoint_id, role, leaving, int(fields["started_at_ms"]))
        if key in self._seen:
            return None
        self._seen.add(key)
        engine = self._engine_by_id.pop(endpoint_id, None)
        if leaving:
            return self._event(at, endpoint_id, f"leaves, {role}")
        self._forget_address(str(fields["address"]))
        self._engine_by_id[endpoint_id] = _Engine(role, str(fields["address"]))
        description = f"changed to {role}" if engine else f"joined, {role}"
        return self._event(at, endpoint_id, description)

    def _lost(self, at: float, endpoint_id: str) -> EngineEvent | None:
        engine = self._engine_by_id.pop(endpoint_id, None)
        if engine is None:
            return None
        self._lost_by_id[endpoint_id] = engine
        return self._event(at, endpoint_id, f"lost, {engine.role}")

    def _returned(self, at: float, endpoint_id: str) -> EngineEvent | None:
        """Restore an engine that reports again, unless another one has its address."""
        engine = self._lost_by_id.pop(endpoint_id, None)
        used_addresses = {other.address for other in self._engine_by_id.values()}
        if engine is None or engine.address in used_addresses:
            return None
        self._engine_by_id[endpoint_id] = engine
        return self._event(at, endpoint_id, f"returned, {engine.role}")

    def _forget_address(self, address: str) -> None:
        for endpoint_id, engine in list(self._engine_by_id.items()):
            if engine.address == address:
                del self._engine_by_id[endpoint_id]

    def _event(self, at: float, endpoint_id: str, description: str) -> EngineEvent:
        roles = [engine.role for engine in self._engine_by_id.values()]
        return EngineEvent(
            at, endpoint_id, description, roles.count("PREFILL"), roles.count("DECODE")
        )


def engine_events(lines: Iterable[str]) -> Iterator[EngineEvent]:
    """Yield the changes of engines, in the order of the lines."""
    engines = _EngineTracker()
    for line in lines:
        match = LINE_PATTERN.match(line)
        if match is None:
            continue
        event = engines.apply_line(float(match[1]), json.loads(match[3]))
        if event is not None:
            yield event


@click.command(help=__doc__)
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
def main(files: tuple[str, ...]) -> None:
    """Print a table for each file."""
    for name in files:
        click.echo(f"{Path(name).name}\n")
        click.echo("| second | engine | event | prefill | decode |")
        click.echo("| --- | --- | --- | --- | --- |")
        lines = Path(name).read_text(errors="replace").splitlines()
        for event in engine_events(lines):
            click.echo(
                f"| {event.at:.2f} | {event.endpoint_id} | {event.description} |"
                f" {event.prefill_count} | {event.decode_count} |"
            )
        click.echo("")


if __name__ == "__main__":
    main()
