"""Data classes shared by the modules of forwarding, and common refusals."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cached_property
from secrets import token_hex

from jujubeslip.accounts import ClientAccount
from jujubeslip.endpoints import (
    EndpointError,
    EndpointOnHoldError,
    EndpointsOutOfReachError,
    EndpointUnreachableError,
    Interrupted,
)
from jujubeslip.kernel import Deadline, Ran, RequestRefusedError
from jujubeslip.quarantine import fingerprint_of, part_fingerprints_of
from jujubeslip.routes import (
    EngineService,
    ForwardedRequest,
    PromptShape,
    Route,
    RouteTable,
    rank_of,
)

# A client whose deadline is shorter than its route's timeout by more than this share of
# the timeout is retrying. Clients choose their own timeouts, of five sixths of the
# route's and more; the Retry-After of a refusal is longer than that difference.
CLIENT_RETRY_SHARE = 0.2
CHARGE_ID_BYTES = 8


# Errors of calls of which no byte was sent.
NOT_SENT = (
    EndpointUnreachableError,
    EndpointOnHoldError,
    EndpointsOutOfReachError,
)


def _always_accepted() -> None:
    pass


@dataclass(frozen=True)
class ForwardContext:
    """A request with its route and everything derived from it."""

    request: ForwardedRequest
    table: RouteTable
    route: Route
    service_name: str
    end_by: Deadline
    """The latest time at which the client is answered."""
    client_disconnected: Interrupted
    """Whether the client has closed its connection."""
    target_by: Deadline
    """When the answer, or its first event, is due."""
    account: ClientAccount | None = None
    """The client account of the request, if it is known."""
    check_account: Callable[[], None] = _always_accepted
    """Raises RequestRefusedError once the account's key was revoked."""

    @property
    def cost(self) -> float:
        """Return the cost charged to the account's limit, 0 without a limit."""
        if self.account is None or self.account.limit is None:
            return 0.0
        prompt = self.request.prompt
        if prompt is None:
            return self.account.cost_of(None)
        return self.account.cost_of(prompt.prompt_tokens + prompt.maximum_output_tokens)

    @property
    def rank(self) -> int:
        """Return the priority among the requests of the service; 0 is the highest."""
        return rank_of(self.route, self.account)

    @property
    def endpoint_priority(self) -> int | None:
        """Return the priority sent to endpoints, None if all requests have the same."""
        ranks = self.table.ranks_by_service.get(self.service_name, ())
        return self.rank if len(ranks) > 1 else None

    @cached_property
    def fingerprint(self) -> str:
        """Return the fingerprint that requests of the same content share."""
        request = self.request
        return fingerprint_of(
            request.account_name,
            request.method,
            request.host,
            request.target,
            request.body,
            self._part_ids,
        )

    @cached_property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints of the parts that other prompts may share."""
        return part_fingerprints_of(self._part_ids)

    @property
    def _part_ids(self) -> tuple[str, ...]:
        prompt = self.request.prompt
        return tuple(part.part_id for part in prompt.parts) if prompt else ()

    @property
    def is_client_retry(self) -> bool:
        """Return whether the client is retrying after a refusal."""
        first_try_target = self.request.arrived.timestamp + self.route.target_ms / 1000
        return self.target_by.timestamp < first_try_target


@dataclass(frozen=True)
class WholeAnswer:
    """An endpoint's answer that was read whole."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class StreamedAnswer:
    """An endpoint's answer whose events are relayed as they arrive.

    Iterating raises an exception if the stream breaks off before its regular end.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    events: Iterator[bytes]


Answer = WholeAnswer | StreamedAnswer


@dataclass
class Attempts:
    """The sends of one request, for the retry budget, the limits, and its log line."""

    started: Deadline = field(default_factory=lambda: Deadline.after(0))
    sends: int = 0
    latest_sent_at: Deadline = field(default_factory=lambda: Deadline.after(0))
    """When the latest send began."""
    unsent: int = 0
    """Sends that failed before a byte was sent."""
    unsent_seconds: float = 0.0
    """The time that these took."""
    answer_started: Deadline | None = None
    """When the endpoint of the latest send began to answer, None before that."""
    has_second_send: bool = False
    """Whether it was sent to a second endpoint while the first one had it."""
    runs: int = 0
    """Sends whose endpoint may have run the request."""
    has_arrived: bool = False
    """Whether a send may have reached an endpoint, which may have refused it."""
    has_spent_retry: bool = False
    """Whether the latest send has spent a retry, and may not have reached any."""
    tried: set[str] = field(default_factory=set)
    """Starts of endpoints that must not be asked again."""
    steps: list[str] = field(default_factory=list)
    """The outcome of each send and other steps, in order."""
    last_error: EndpointError | None = None
    events: int = 0
    """Relayed pieces of a stream, each of one or more events."""
    longest_gap_ms: int = 0
    """Longest pause between two of these pieces."""
    granted_ms: int | None = None
    """Time from the start of the request to its first grant at an engine."""
    first_event_ms: int | None = None
    """Time from the start of the request to its first event."""
    wasted_prompt_tokens: int = 0
    """Prompt tokens prefilled for engines that then refused the request."""
    prefill_calls: int = 0
    """Calls to prefill engines for the prompt."""
    prefill_error: EndpointError | None = None
    """Why the latest of these calls failed, None if it did not."""
    charge_id: str = field(default_factory=lambda: token_hex(CHARGE_ID_BYTES))
    """Identifies its charge at the leader; request ids are not unique among clients."""
    is_charged: bool = False
    """Whether the account's limit was charged, or the account has none."""
    charged_locally: float = 0.0
    """Cost that this host charged to the account without asking the leader."""
    grant_requests: int = 0
    """Number of grants requested from the leader."""
    found_no_capacity: bool = False
    """Whether engines were usable but had no free capacity in time."""
    capacity_wait_forecast: float = 0.0
    """The forecast wait for capacity at that time, in seconds."""

    @property
    def answered_seconds(self) -> float:
        """Return for how long the endpoint has been answering the latest send."""
        return self.answer_started.overdue() if self.answer_started else 0.0

    @property
    def elapsed_ms(self) -> int:
        """Return the milliseconds since the request arrived."""
        return int(self.started.overdue() * 1000)

    def note(self, start_id: str, outcome: str) -> None:
        """Add a step, with the milliseconds since the request arrived."""
        self.steps.append(f"{self.elapsed_ms} ms {start_id}: {outcome}")

    def note_events(self, gap: float) -> None:
        """Record a piece of a stream that came this many seconds after the last."""
        self.events += 1
        self.longest_gap_ms = max(self.longest_gap_ms, int(gap * 1000))

    def note_no_capacity(self, outcome: str, forecast: float) -> None:
        """Record that engines are usable but have no free capacity in time."""
        self.note("-", f"{outcome}, forecast {forecast:.2f} s")
        self.found_no_capacity = True
        self.capacity_wait_forecast = forecast

    def note_error(self, start_id: str, error: EndpointError) -> None:
        """Record a send that brought no answer."""
        self.tried.add(start_id)
        self.last_error = error
        self.runs += error.may_have_run
        if isinstance(error, NOT_SENT):
            self.unsent += 1
            self.unsent_seconds += self.latest_sent_at.overdue()
        else:
            self.has_arrived = True
        self.note(start_id, f"{error.error_id} ran={error.may_have_run}")

    @property
    def may_have_run(self) -> bool:
        """Return whether an endpoint may have run the request."""
        return self.runs > 0


@dataclass(frozen=True)
class CapacityRequest:
    """A request that needs capacity at an engine."""

    context: ForwardContext
    attempts: Attempts
    engine: EngineService
    prompt: PromptShape
    limit: Deadline
    """Until when it waits for capacity."""
    reads_itself: bool
    """Whether the decode engine has to prefill the prompt, too."""
    goes_first: bool = False
    """Whether its answer broke off: the client has a part of it and leaves after a
    pause, so that the engines' work so far would be lost."""
    check_backoff: Callable[[], None] = _always_accepted
    """Raises RequestRefusedError while all engines are in backoff."""


# Retry-After in seconds if endpoints refused the request, within which an endpoint
# becomes free, and if none is known, within which newly started ones announce
# themselves.
BUSY_RETRY_SECONDS = 0.3
MISSING_RETRY_SECONDS = 0.7


def refusal_of(attempts: Attempts, deadline: Deadline) -> RequestRefusedError:
    """Return the refusal that applies to the attempts made so far."""
    error = attempts.last_error
    if not attempts.may_have_run:
        none_known = error is None
        return RequestRefusedError(
            "no_endpoint" if none_known else "endpoints_refused",
            "No endpoint of the service is usable."
            if none_known
            else "No endpoint accepted the request.",
            status=503,
            retry_after=MISSING_RETRY_SECONDS if none_known else BUSY_RETRY_SECONDS,
        )
    assert error is not None
    late = deadline.expired
    return RequestRefusedError(
        "no_answer_in_time" if late else "answer_lost",
        f"An endpoint may have run the request; there is no answer: {error.message}",
        status=504 if late else 502,
        ran=Ran.UNKNOWN,
        remedy="Send it again only if it may be repeated.",
    )
