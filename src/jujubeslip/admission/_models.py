"""Data classes that the parts of admission share."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

from jujubeslip.admission._answer_lengths import AnswerLengths, lengths_of
from jujubeslip.admission._speed_measure import UNKNOWN_SPEED, EngineSpeed
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline
from jujubeslip.peers import AdmissionRequest

# Maximum age of the last report of an engine that is granted requests, in seconds: five
# times the interval between two reports, so that one lost report excludes no engine.
USABLE_SECONDS = 1.5


@dataclass(frozen=True)
class WaitingOptions:
    """How requests wait for grants."""

    bypass_seconds: float = 0.3
    """How long others may bypass a request that waits for memory, in seconds.

    Meanwhile small requests use the memory that is too little for it. Without a limit,
    a large request would never get enough memory.
    """
    prefill_wait_seconds: float = math.inf
    """How long a prompt waits for a prefill engine before a decode engine may take it.

    In seconds. The decode engine's other answers pause during the prefill.
    """
    lower_priority_share: float = 0.1
    """Share of the granted tokens that lower priorities keep while they wait."""
    sharing_weights: Callable[[], Mapping[str, float]] = dict
    """Weights of the client accounts that share engines; empty if none do."""


DEFAULT_WAITING = WaitingOptions()


@dataclass(frozen=True)
class EngineNeed:
    """The need of one request in each role, in seconds of a whole engine."""

    prefill_seconds: float
    decode_seconds: float
    """Duration of its answer, times the share of the engine's memory that it holds."""


@dataclass(frozen=True)
class EngineUse:
    """How many engines the granted requests keep busy, by role."""

    reading: float
    answering: float
    mean_need: EngineNeed | None = None
    """Mean expected need of a request, None before enough requests have arrived."""


class MissingResource(StrEnum):
    """What a waiting request lacks."""

    READER = "reader"
    MEMORY = "memory"
    MAY_READ = "may read"
    """No prefill engine is available, and no decode engine may prefill the prompt."""


@dataclass(frozen=True)
class GrantRequest:
    """A request that needs a grant at an engine."""

    request_id: str
    attempt: int
    """Number of the attempt, which increases with each grant that the request needs."""
    prompt_tokens: int
    event_tokens: int
    lengths: AnswerLengths
    slots: int
    """Requests that an engine processes at a time."""
    target_by: Deadline
    """Time until which its first event is in time."""
    limit: Deadline
    """Time until which it waits for a grant."""
    reads_itself: bool
    """Whether the decode engine has to prefill the prompt as well."""
    availability_zone: str = ""
    """Availability zone of its entry host."""
    maximum_gap: float = 0.0
    """Longest pause between two events of an answer that is in time, in seconds."""
    priority: int = 0
    """Priority among the requests of the service; 0 is the highest."""
    sharing_account: str = ""
    """The client account that uses the engine, empty if there is none."""

    @cached_property
    def expected_tokens(self) -> int:
        """Return the memory that its prompt and its expected answer use, in tokens."""
        return self.prompt_tokens + int(self.lengths.mean * self.event_tokens)


@dataclass(frozen=True)
class Grant:
    """A grant for a request at an engine."""

    endpoint: Endpoint
    """The decode engine."""
    fill: float
    """Share of the engine's memory that its answers use at the expected peak."""
    report_age_ms: int
    """Age of the engine's report at the time of the decision."""
    prefill_engine: Endpoint | None = None
    """The engine that prefills the prompt, None if the decode engine does."""
    prefill_seconds: float = 0.0
    """Expected time until the prompt is prefilled."""
    speed: EngineSpeed = UNKNOWN_SPEED
    """Measured speed of the decode engine at the time of the decision."""
    prefill_speed: EngineSpeed = UNKNOWN_SPEED
    """The same of the engine that prefills the prompt."""


@dataclass(frozen=True)
class MeasuredEngine:
    """An engine with its measured speed, in its role."""

    endpoint: Endpoint
    speed: EngineSpeed


@dataclass(frozen=True)
class GrantedRequest:
    """A request together with its grant."""

    grant_request: GrantRequest
    grant: Grant
    since: float
    """Time of the grant, by the steady clock in seconds."""


def grant_request_of(request: AdmissionRequest) -> GrantRequest:
    """Return the grant request of an entry host's admission call."""
    return GrantRequest(
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
        max(0, request.priority or 0),
        request.sharing_account or "",
    )
