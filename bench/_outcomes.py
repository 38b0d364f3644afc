"""The outcome of each offered request, as its caller observed it."""

from __future__ import annotations

import enum
import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    COMPLETE = "whole"
    REFUSED = "refused"
    ERROR = "error"
    INTERRUPTED = "cut"
    ABANDONED = "gave_up"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class RequestOutcome:
    """The outcome of one request; times in seconds after its intended start.

    `request_id` is the id that the system assigned, if the caller received it, and
    otherwise the planned one. `entry_address` is the entry host of the last
    connection. For a plain service, `first_token` is the time of the complete answer.
    `probe` marks a request that was sent again after the Retry-After of a refusal.
    """

    planned_id: str
    request_id: str
    entry_address: str
    class_name: str
    outcome: Outcome
    status: int
    sent_late: float
    finished: float
    first_token: float | None = None
    gaps_ms: tuple[float, ...] = ()
    tokens: int = 0
    text: str = ""
    error_id: str = ""
    ran: str = ""
    retry_after: float | None = None
    out_of_order: bool = False
    probe: bool = False

    @property
    def begun(self) -> bool:
        """Return whether the caller received a first token."""
        return self.tokens > 0


def write_outcomes(path: Path, outcomes: Iterable[RequestOutcome]) -> None:
    """Write outcomes as JSON lines."""
    with path.open("w") as file:
        for item in outcomes:
            line = {**asdict(item), "outcome": item.outcome.value}
            file.write(json.dumps(line) + "\n")


def read_outcomes(path: Path) -> list[RequestOutcome]:
    """Read outcomes from a file that `write_outcomes` wrote."""
    outcomes = []
    for line in path.read_text().splitlines():
        values = json.loads(line)
        values["outcome"] = Outcome(values["outcome"])
        values["gaps_ms"] = tuple(values["gaps_ms"])
        outcomes.append(RequestOutcome(**values))
    return outcomes
