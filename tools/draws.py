"""Say which engines a play took away.

`python -m tools.draws FILE...` reads what all hosts of a play wrote, each line behind
the time and the host, and prints when each engine came, left, was lost or was ordered
to another role, and how many read and answered after that. The same day and seed takes
away other engines from play to play: only plays that lost the same ones are compared.
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
BACK = "engine reports again"
ORDERED = "engine ordered"


@dataclass(frozen=True)
class EngineEvent:
    """What became of an engine."""

    at: float
    """Seconds from the start of traffic."""
    endpoint_id: str
    what: str
    reading: int
    answering: int


@dataclass(frozen=True)
class _Known:
    role: str
    address: str


class _Engines:
    """The engines that are there, by what control hosts wrote so far."""

    def __init__(self) -> None:
        self._known_by_id: dict[str, _Known] = {}
        self._lost_by_id: dict[str, _Known] = {}
        self._seen: set[tuple[str, str, bool, int]] = set()

    def take(self, at: float, told: Mapping[str, Any]) -> EngineEvent | None:
        """Take over a line; return what it tells that was not told before."""
        message = told.get("message")
        endpoint_id = str(told.get("endpoint_id", ""))
        if message == ORDERED:
            return self._event(at, endpoint_id, f"ordered to {told['role']}")
        if message == LOST:
            return self._lost(at, endpoint_id)
        if message == BACK:
            return self._back(at, endpoint_id)
        if message == "endpoint changed" and told.get("role") in ROLES:
            return self._changed(at, endpoint_id, told)
        return None

    def _changed(
        self, at: float, endpoint_id: str, told: Mapping[str, Any]
    ) -> EngineEvent | None:
        role, leaving = str(told["role"]), bool(told["leaving"])
        key = (endpoint_id, role, leaving, int(told["started_at_ms"]))
        if key in self._seen:
            return None
        self._seen.add(key)
        known = self._known_by_id.pop(endpoint_id, None)
        if leaving:
            return self._event(at, endpoint_id, f"leaves, {role}")
        self._forget_address(str(told["address"]))
        self._known_by_id[endpoint_id] = _Known(role, str(told["address"]))
        what = f"changed to {role}" if known else f"came, {role}"
        return self._event(at, endpoint_id, what)

    def _lost(self, at: float, endpoint_id: str) -> EngineEvent | None:
        known = self._known_by_id.pop(endpoint_id, None)
        if known is None:
            return None
        self._lost_by_id[endpoint_id] = known
        return self._event(at, endpoint_id, f"lost, {known.role}")

    def _back(self, at: float, endpoint_id: str) -> EngineEvent | None:
        """Take one for back, unless another one has its address."""
        known = self._lost_by_id.pop(endpoint_id, None)
        taken = {other.address for other in self._known_by_id.values()}
        if known is None or known.address in taken:
            return None
        self._known_by_id[endpoint_id] = known
        return self._event(at, endpoint_id, f"back, {known.role}")

    def _forget_address(self, address: str) -> None:
        for endpoint_id, known in list(self._known_by_id.items()):
            if known.address == address:
                del self._known_by_id[endpoint_id]

    def _event(self, at: float, endpoint_id: str, what: str) -> EngineEvent:
        roles = [known.role for known in self._known_by_id.values()]
        return EngineEvent(
            at, endpoint_id, what, roles.count("PREFILL"), roles.count("DECODE")
        )


def engine_events(lines: Iterable[str]) -> Iterator[EngineEvent]:
    """Yield what became of engines, in the order of the lines."""
    engines = _Engines()
    for line in lines:
        found = LINE_PATTERN.match(line)
        if found is None:
            continue
        event = engines.take(float(found[1]), json.loads(found[3]))
        if event is not None:
            yield event


@click.command(help=__doc__)
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
def main(files: tuple[str, ...]) -> None:
    """Print a table for each file."""
    for name in files:
        click.echo(f"{Path(name).name}\n")
        click.echo("| second | engine | what | reading | answering |")
        click.echo("| --- | --- | --- | --- | --- |")
        lines = Path(name).read_text(errors="replace").splitlines()
        for event in engine_events(lines):
            click.echo(
                f"| {event.at:.2f} | {event.endpoint_id} | {event.what} |"
                f" {event.reading} | {event.answering} |"
            )
        click.echo("")


if __name__ == "__main__":
    main()
