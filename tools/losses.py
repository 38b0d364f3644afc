"""Say why requests of a play were late or not served, from the hosts' own log lines.

`python -m tools.losses FILE` reads what all hosts of a play wrote, each line behind the
time and the host, and prints how many attempts were lost by each cause, over spans of
some seconds. A client that was refused and came back is two attempts: its refusal is no
loss by itself where the second one is served.
"""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path

import click

LINE_PATTERN = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*\})\s*$")
# Spans of the table, in seconds.
SPAN_SECONDS = 10
# Of the target, for the prompt and the first event after the grant, in milliseconds.
START_MS = 250


class Cause(StrEnum):
    """Why an attempt was late or not served."""

    OWN_ERROR = "the endpoint's own answer was a failure"
    CUT = "the answer was cut, and could not go on"
    REPLACED = "an engine that is gone was asked"
    ENGINE_LOST = "the engine was lost or refused after the prompt was read"
    NO_CONFIGURATION = "late as no configuration was there"
    NO_ENDPOINT = "late as no endpoint had announced itself"
    CAME_BACK = "late as it was refused and came back"
    WAITED = "late as it waited for room"
    PAUSED = "late by a pause between events"
    NO_READER = "refused: no reader had time"
    NO_MEMORY = "refused: no engine had memory"
    MAY_NOT_READ = "refused: no engine that answers may read its prompt"
    NO_LEADER = "refused: no room by the host alone"
    ENDPOINT_SILENT = "no answer in the endpoint's time"
    SLOW_ANSWER = "late by the endpoint's answer"
    LEFT = "the client left"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Ended:
    """The line that a host wrote at the end of an attempt."""

    at: float
    outcome: str
    steps: tuple[str, ...]
    """What became of each send, in order."""
    target_ms: int
    duration_ms: int
    first_event_ms: int | None
    granted_ms: int | None
    came_back: bool
    longest_gap_ms: int
    maximum_gap_ms: int
    is_stream: bool
    waited_for_configuration: bool
    lacked: str
    waited_for_endpoints: bool = False

    def has_step(self, text: str) -> bool:
        """Say whether a send ended so."""
        return any(text in step for step in self.steps)

    @property
    def is_late(self) -> bool:
        """Say whether a whole answer came after its target."""
        if self.came_back:
            return True
        ready_ms = self.first_event_ms if self.is_stream else self.duration_ms
        return ready_ms is not None and ready_ms > self.target_ms

    @property
    def has_paused(self) -> bool:
        """Say whether two of its events were too far apart."""
        return 0 < self.maximum_gap_ms < self.longest_gap_ms


Test = Callable[[Ended], bool]

# The first cause whose test holds is taken.
SERVED: tuple[tuple[Test, Cause], ...] = (
    (lambda ended: ended.came_back, Cause.CAME_BACK),
    (lambda ended: ended.waited_for_configuration, Cause.NO_CONFIGURATION),
    (lambda ended: ended.waited_for_endpoints, Cause.NO_ENDPOINT),
    (lambda ended: not ended.is_late and ended.has_paused, Cause.PAUSED),
    (lambda ended: ended.has_step("endpoint_replaced"), Cause.REPLACED),
    (lambda ended: ended.has_step("ran=False"), Cause.ENGINE_LOST),
    (
        lambda ended: (ended.granted_ms or 0) > ended.target_ms - START_MS,
        Cause.WAITED,
    ),
    (lambda ended: ended.has_step("ran=True"), Cause.ENGINE_LOST),
    (lambda _: True, Cause.SLOW_ANSWER),
)
LOST: tuple[tuple[Test, Cause], ...] = (
    (lambda ended: ended.outcome in ("500", "504"), Cause.OWN_ERROR),
    (lambda ended: ended.outcome in ("left", "caller_gone"), Cause.LEFT),
    (lambda ended: ended.has_step("endpoint_replaced"), Cause.REPLACED),
    (lambda ended: ended.outcome in ("answer_cut", "answer_lost"), Cause.CUT),
    (lambda ended: ended.outcome == "no_answer_in_time", Cause.ENDPOINT_SILENT),
    (lambda ended: ended.has_step("ran=False"), Cause.ENGINE_LOST),
    (lambda ended: ended.lacked == "reader", Cause.NO_READER),
    (lambda ended: ended.lacked == "may read", Cause.MAY_NOT_READ),
    (lambda ended: ended.has_step("no room in time"), Cause.NO_LEADER),
    (lambda ended: ended.has_step("no grant in time"), Cause.NO_MEMORY),
    (lambda ended: ended.outcome == "no_configuration", Cause.NO_CONFIGURATION),
    (lambda ended: ended.outcome == "no_endpoint", Cause.NO_ENDPOINT),
    (lambda _: True, Cause.UNKNOWN),
)


def cause_of(ended: Ended) -> Cause | None:
    """Return why an attempt was late or not served, None where it was in time."""
    if ended.outcome not in ("whole", "200"):
        return _first(LOST, ended)
    if ended.is_late or ended.has_paused:
        return _first(SERVED, ended)
    return None


def _first(tests: Iterable[tuple[Test, Cause]], ended: Ended) -> Cause:
    return next(cause for test, cause in tests if test(ended))


def read_ended(lines: Iterable[str]) -> Iterator[Ended]:
    """Yield the ends of attempts that the lines tell, in their order."""
    waited: set[str] = set()
    waited_for_endpoints: set[str] = set()
    lacked_by_id: dict[str, str] = {}
    for line in lines:
        found = LINE_PATTERN.match(line)
        if found is None:
            continue
        told = json.loads(found[3])
        request_id = str(told.get("request_id", ""))
        if told.get("message") == "request waited for the first configuration":
            waited.add(request_id)
        elif told.get("message") == "request waited for the first endpoints":
            waited_for_endpoints.add(request_id)
        elif told.get("message") == "no grant at an engine":
            lacked_by_id[request_id] = str(told.get("lacked") or "")
        elif told.get("message") == "request ended":
            is_waited = request_id in waited
            lacked = lacked_by_id.get(request_id, "")
            ended = _ended(float(found[1]), told, is_waited, lacked)
            yield replace(
                ended, waited_for_endpoints=request_id in waited_for_endpoints
            )


def _ended(at: float, told: Mapping[str, object], waited: bool, lacked: str) -> Ended:
    def number(name: str) -> int | None:
        value = told.get(name)
        return int(value) if isinstance(value, int | float) else None

    steps = told.get("sends")
    return Ended(
        at=at,
        outcome=str(told.get("outcome")),
        steps=tuple(str(step) for step in steps) if isinstance(steps, list) else (),
        target_ms=number("target_ms") or 0,
        duration_ms=number("duration_ms") or 0,
        first_event_ms=number("first_event_ms"),
        granted_ms=number("granted_ms"),
        came_back=bool(told.get("came_back")),
        longest_gap_ms=number("longest_gap_ms") or 0,
        maximum_gap_ms=number("maximum_gap_ms") or 0,
        is_stream=bool(number("maximum_gap_ms")),
        waited_for_configuration=waited,
        lacked=lacked,
    )


def table_of(ended: Iterable[Ended]) -> str:
    """Return a row for each cause, with all and with each span of the play."""
    counts: dict[Cause, Counter[int]] = defaultdict(Counter)
    for item in ended:
        cause = cause_of(item)
        if cause is not None:
            counts[cause][int(item.at // SPAN_SECONDS) * SPAN_SECONDS] += 1
    spans = sorted({span for counter in counts.values() for span in counter})
    head = ["cause", "streams and others", *(f"{span} s" for span in spans)]
    rows = [head, ["---"] * len(head)]
    for cause, counter in sorted(counts.items(), key=lambda item: -item[1].total()):
        cells = [str(counter[span] or "") for span in spans]
        rows.append([cause.value, str(counter.total()), *cells])
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


@click.command(help=__doc__)
@click.argument("file", type=click.Path(path_type=Path, exists=True))
@click.option("--streams", is_flag=True, help="Leave plain requests out.")
def main(file: Path, streams: bool) -> None:
    """Print the table."""
    with file.open() as lines:
        ended = list(read_ended(lines))
    click.echo(table_of(item for item in ended if item.is_stream or not streams))


if __name__ == "__main__":
    main()
