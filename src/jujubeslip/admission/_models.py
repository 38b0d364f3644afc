"""What the parts of admission hand to one another."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from jujubeslip.admission._lengths import AnswerLengths, lengths_of
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline
from jujubeslip.peers import AdmissionRequest

# How old an engine's report may be, in seconds, for it to be given anything: five times
# as long as between two of them, so that one lost report takes no engine away.
USABLE_SECONDS = 1.5


@dataclass(frozen=True)
class WaitingOptions:
    """How requests wait for grants."""

    bypass_seconds: float = 0.3
    """How long one that waits for memory may be passed by others, in seconds.

    Small ones use the room that it can't meanwhile; passed for good, a large one would
    never find room.
    """
    reader_seconds: float = math.inf
    """How long one waits for a reader before an engine that answers reads its prompt.

    In seconds. Other answers of that engine pause meanwhile.
    """


DEFAULT_WAITING = WaitingOptions()


@dataclass(frozen=True)
class EngineNeed:
    """What one request takes of engines in either role, in seconds of a whole one."""

    reading_seconds: float
    answering_seconds: float
    """How long its answer takes, times the share of the memory that it holds."""


@dataclass(frozen=True)
class EngineUse:
    """How many engines granted requests keep busy, by role."""

    reading: float
    answering: float
    usual_need: EngineNeed | None = None
    """What requests are expected to take, None before enough have come."""


class MissingResource(StrEnum):
    """What a request that waits has not found."""

    READER = "reader"
    MEMORY = "memory"
    MAY_READ = "may read"
    """No engine reads for others, and none that answers may read this prompt now."""


@dataclass(frozen=True)
class Applicant:
    """A request that needs a grant at an engine."""

    request_id: str
    attempt: int
    """Grows with each grant that the request needs."""
    prompt_tokens: int
    event_tokens: int
    lengths: AnswerLengths
    slots: int
    """Requests that an engine works on at a time."""
    target_by: Deadline
    """Until when its first event is in time."""
    limit: Deadline
    """Until when it waits for a grant."""
    reads_itself: bool
    """Whether the engine that answers has to read the prompt, too."""
    availability_zone: str = ""
    """Where its entry host is."""
    maximum_gap: float = 0.0
    """Longest pause between two events of an answer that is in time, in seconds."""


@dataclass(frozen=True)
class Grant:
    """A grant at an engine that a request was given."""

    endpoint: Endpoint
    """The engine that answers."""
    fill: float
    """Share of the engine's memory that its answers are expected to need at most."""
    report_age_ms: int
    """How old the engine's report is that this was decided by."""
    reader: Endpoint | None = None
    """The engine that reads the prompt, None where the answering one does."""
    read_seconds: float = 0.0
    """How long that should take."""


@dataclass(frozen=True)
class GrantedRequest:
    """A request that has a grant at an engine."""

    grant_request: Applicant
    grant: Grant
    since: float
    """When it got the grant, by the steady clock in seconds."""


def grant_request_of(request: AdmissionRequest) -> Applicant:
    """Return the request that an entry host asks for."""
    return Applicant(
        request.request_id,
        request.attempt,
        request.prompt_tokens,
        max(1, request.event_tokens),
        lengths_of(request.maximum_events, request.expected_events),
        request.slots,
        Deadline.from_remaining_ms(request.target_remaining_ms),
        Deadline.from_remaining_ms(request.limit_remaining_ms),
        bool(request.reads_itself),
        request.availability_zone or "",
        (request.maximum_gap_ms or 0) / 1000,
    )
