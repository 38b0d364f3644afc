"""Show why requests of a play were late or not served, from the hosts' log lines.

`python -m tools.losses FILE` reads the log lines of all hosts of a play, each prefixed
by the time and the host, and prints how many attempts were lost by each cause, in
intervals of some seconds. A client that retries after a refusal makes two attempts: the
refusal is no loss by itself if the second attempt is served.
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
# Length of the intervals of the table, in seconds.
INTERVAL_SECONDS = 10
# Part of the target time that the prefill and the first event need after the grant, in
# milliseconds.
PREFILL_AND_FIRST_EVENT_MS = 250


class Cause(StrEnum):
    """Why an attempt was late or not served."""

    ENDPOINT_ERROR = "the endpoint answered with an error"
    ANSWER_CUT = "the answer was cut off and could not be resumed"
    ENGINE_REPLACED = "the request was sent to an engine that was replaced"
    ENGINE_LOST = "the engine was lost or refused the request after the prefill"
    NO_CONFIGURATION = "late: the host had no configuration yet"
    NO_ENDPOINT = "late: no endpoint had announced itself yet"
    CLIENT_RETRIED = "late: the client retried after a refusal"
    WAITED_FOR_CAPACITY = "late: the request waited for free capacity"
    LONG_PAUSE = "late: a pause between events was too long"
    NO_PREFILL_ENGINE = "refused: no prefill engine had time"
    NO_MEMORY = "refused: no engine had enough free memory"
    NO_OWN_PREFILL = "refused: no decode engine may prefill the prompt itself"
    NO_LEADER = "refused: the host without a leader found no free capacity"
    ENDPOINT_SILENT = "the endpoint sent no answer in time"
    SLOW_ANSWER = "late: the endpoint answered too late"
    CLIENT_LEFT = "the client closed the connection"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class AttemptEnd:
    """The end of an attempt, from the line that its host wrote."""

    at: float
    outcome: str
    steps: tuple[str, ...]
    """The result of each send, in order."""
    target_ms: int
    duration_ms: int
    first_event_ms: int | None
    granted_ms: int | None
    is_client_retry: bool
    longest_gap_ms: int
    maximum_gap_ms: int
    is_stream: bool
    waited_for_configuration: bool
    missing_resource: str
    waited_for_endpoints: bool = False

    def has_step(self, text: str) -> bool:
        """Return whether the result of any send contains the text."""
        return any(text in step for step in self.steps)

    @property
    def is_late(self) -> bool:
        """Return whether the answer came after its target time, or after a retry."""
        if self.is_client_retry:
            return True
        ready_ms = self.first_event_ms if self.is_stream else self.duration_ms
        return ready_ms is not None and ready_ms > self.target_ms

    @property
    def has_long_pause(self) -> bool:
        """Return whether a pause between two events was too long."""
        return 0 < self.maximum_gap_ms < self.longest_gap_ms


Predicate = Callable[[AttemptEnd], bool]

# The first cause whose predicate is true applies.
LATE_CAUSES: tuple[tuple[Predicate, Cause], ...] = (
    (lambda attempt: attempt.is_client_retry, Cause.CLIENT_RETRIED),
    (lambda attempt: attempt.waited_for_configuration, Cause.NO_CONFIGURATION),
    (lambda attempt: attempt.waited_for_endpoints, Cause.NO_ENDPOINT),
    (lambda attempt: not attempt.is_late and attempt.has_long_pause, Cause.LONG_PAUSE),
    (lambda attempt: attempt.has_step("endpoint_replaced"), Cause.ENGINE_REPLACED),
    (lambda attempt: attempt.has_step("ran=False"), Cause.ENGINE_LOST),
    (
        lambda attempt: (
            (attempt.granted_ms or 0) > attempt.target_ms - PREFILL_AND_FIRST_EVENT_MS
        ),
        Cause.WAITED_FOR_CAPACITY,
    ),
    (lambda attempt: attempt.has_step("ran=True"), Cause.ENGINE_LOST),
    (lambda _: True, Cause.SLOW_ANSWER),
)
UNSERVED_CAUSES: tuple[tuple[Predicate, Cause], ...] = (
    (lambda attempt: attempt.outcome in ("500", "504"), Cause.ENDPOINT_ERROR),
    (lambda attempt: attempt.outcome in ("left", "caller_gone"), Cause.CLIENT_LEFT),
    (lambda attempt: attempt.has_step("endpoint_replaced"), Cause.ENGINE_REPLACED),
    (
        lambda attempt: attempt.outcome in ("answer_cut", "answer_lost"),
        Cause.ANSWER_CUT,
    ),
    (lambda attempt: attempt.outcome == "no_answer_in_time", Cause.ENDPOINT_SILENT),
    (lambda attempt: attempt.has_step("ran=False"), Cause.ENGINE_LOST),
    (lambda attempt: attempt.missing_resource == "reader", Cause.NO_PREFILL_ENGINE),
    (lambda attempt: attempt.missing_resource == "may read", Cause.NO_OWN_PREFILL),
    (lambda attempt: attempt.has_step("no room in time"), Cause.NO_LEADER),
    (lambda attempt: attempt.has_step("no grant in time"), Cause.NO_MEMORY),
    (lambda attempt: attempt.outcome == "no_configuration", Cause.NO_CONFIGURATION),
    (lambda attempt: attempt.outcome == "no_endpoint", Cause.NO_ENDPOINT),
    (lambda _: True, Cause.UNKNOWN),
)


def cause_of(attempt: AttemptEnd) -> Cause | None:
    """Return why an attempt was late or not served, None if it was in time."""
    if attempt.outcome not in ("whole", "200"):
        return _first(UNSERVED_CAUSES, attempt)
    if attempt.is_late or attempt.has_long_pause:
        return _first(LATE_CAUSES, attempt)
    return None


def _first(causes: Iterable[tuple[Predicate, Cause]], attempt: AttemptEnd) -> Cause:
    return next(cause for predicate, cause in causes if predicate(attempt))


def read_attempt_ends(lines: Iterable[str]) -> Iterator[AttemptEnd]:
    """Yield the ends of attempts from the lines, in their order."""
    waited_for_configuration: set[str] = set()
    waited_for_endpoints: set[str] = set()
    missing_resource_by_id: dict[str, str] = {}
    for line in lines:
        match = LINE_PATTERN.match(line)
        if match is None:
            continue
        fields = json.loads(match[3])
        request_id = str(fields.get("request_id", ""))
        if fields.get("message") == "request waited for the first configuration":
            waited_for_configuration.add(request_id)
        elif fields.get("message") == "request waited for the first endpoints":
            waited_for_endpoints.add(request_id)
        elif fields.get("message") == "no grant at an engine":
            missing_resource_by_id[request_id] = str(fields.get("lacked") or "")
        elif fields.get("message") == "request ended":
            has_waited = request_id in waited_for_configuration
            missing_resource = missing_resource_by_id.get(request_id, "")
            attempt = _attempt_end(
                float(match[1]), fields, has_waited, missing_resource
            )
            yield replace(
                attempt, waited_for_endpoints=request_id in waited_for_endpoints
            )


def _attempt_end(
    at: float,
    fields: Mapping[str, object],
    waited_for_configuration: bool,
    missing_resource: str,
) -> AttemptEnd:
    def number(name: str) -> int | None:
        value = fields.get(name)
        return int(value) if isinstance(value, int | float) else None

    steps = fields.get("sends")
    return AttemptEnd(
        at=at,
        outcome=str(fields.get("outcome")),
        steps=tuple(str(step) for step in steps) if isinstance(steps, list) else (),
        target_ms=number("target_ms") or 0,
        duration_ms=number("duration_ms") or 0,
        first_event_ms=number("first_event_ms"),
        granted_ms=number("granted_ms"),
        is_client_retry=bool(fields.get("came_back")),
        longest_gap_ms=number("longest_gap_ms") or 0,
        maximum_gap_ms=number("maximum_gap_ms") or 0,
        is_stream=bool(number("maximum_gap_ms")),
        waited_for_configuration=waited_for_configuration,
        missing_resource=missing_resource,
    )


def table_of(attempts: Iterable[AttemptEnd]) -> str:
    """Return a row for each cause, with counts for the whole play and each interval."""
    counts: dict[Cause, Counter[int]] = defaultdict(Counter)
    for attempt in attempts:
        cause = cause_of(attempt)
        if cause is not None:
            counts[cause][int(attempt.at // INTERVAL_SECONDS) * INTERVAL_SECONDS] += 1
    intervals = sorted(
        {interval for counter in counts.values() for interval in counter}
    )
    head = ["cause", "all attempts", *(f"{interval} s" for interval in intervals)]
    rows = [head, ["---"] * len(head)]
    for cause, counter in sorted(counts.items(), key=lambda item: -item[1].total()):
        cells = [str(counter[interval] or "") for interval in intervals]
        rows.append([cause.value, str(counter.total()), *cells])
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


@click.command(help=__doc__)
@click.argument("file", type=click.Path(path_type=Path, exists=True))
@click.option("--streams", is_flag=True, help="Count streams only.")
def main(file: Path, streams: bool) -> None:
    """Print the table."""
    with file.open() as lines:
        attempts = list(read_attempt_ends(lines))
    click.echo(table_of(item for item in attempts if item.is_stream or not streams))


if __name__ == "__main__":
    main()
