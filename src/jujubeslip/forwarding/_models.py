"""What the parts of forwarding hand to one another."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cached_property
from secrets import token_hex

from jujubeslip.accounts import ClientAccount
from jujubeslip.endpoints import EndpointError, Interrupted
from jujubeslip.kernel import Deadline, Ran, RequestRefusedError
from jujubeslip.quarantine import fingerprint_of
from jujubeslip.routes import (
    EngineService,
    ForwardedRequest,
    PromptShape,
    Route,
    RouteTable,
)

# A client that has less time than its route's timeout by more than this share of it has
# asked before. Clients wait as long as they like, five sixths of the timeout and more;
# one that was refused is told to come back later than that explains.
CAME_BACK_SHARE = 0.2
CHARGE_ID_BYTES = 8


def _always_accepted() -> None:
    pass


@dataclass(frozen=True)
class ForwardContext:
    """A request with what its route decides."""

    request: ForwardedRequest
    table: RouteTable
    route: Route
    service_name: str
    end_by: Deadline
    """When the client is answered at the latest."""
    gone: Interrupted
    """Whether the client has closed its connection."""
    target_by: Deadline
    """Until when the answer, or its first event, is in time."""
    account: ClientAccount | None = None
    """The client account that asks, if it is known."""
    check_account: Callable[[], None] = _always_accepted
    """Raises RequestRefusedError once the account's key was taken away."""

    @property
    def cost(self) -> float:
        """Return what the request counts against its account's limit, 0 without one."""
        if self.account is None or self.account.limit is None:
            return 0.0
        prompt = self.request.prompt
        if prompt is None:
            return self.account.cost_of(None)
        return self.account.cost_of(prompt.prompt_tokens + prompt.maximum_output_tokens)

    @cached_property
    def fingerprint(self) -> str:
        """Return what the request has in common with others of the same content."""
        request = self.request
        return fingerprint_of(
            request.account_name,
            request.method,
            request.host,
            request.target,
            request.body,
        )

    @property
    def came_back(self) -> bool:
        """Say whether the client asks again after a refusal: it has waited before."""
        usual = self.request.arrived.instant + self.route.target_ms / 1000
        return self.target_by.instant < usual


@dataclass(frozen=True)
class WholeAnswer:
    """An endpoint's answer that was read whole."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class StreamedAnswer:
    """An endpoint's answer whose events are passed on as they come.

    Iterating ends with an exception when the stream ends before its end.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    events: Iterator[bytes]


Answer = WholeAnswer | StreamedAnswer


@dataclass
class Attempts:
    """The sends of one request, for the budget, its bounds, and its log line."""

    started: Deadline = field(default_factory=lambda: Deadline.after(0))
    sends: int = 0
    latest_sent_at: Deadline = field(default_factory=lambda: Deadline.after(0))
    """When the latest of them began."""
    answered_from: Deadline | None = None
    """When its endpoint began to answer, None before that."""
    runs: int = 0
    """Sends that may have run."""
    tried: set[str] = field(default_factory=set)
    """Starts of endpoints that are not to be asked again."""
    trail: list[str] = field(default_factory=list)
    """What became of each send, in order."""
    last_error: EndpointError | None = None
    events: int = 0
    """Pieces of a stream that were passed on."""
    longest_gap_ms: int = 0
    """Longest pause between two of them."""
    granted_ms: int | None = None
    """When it got its first grant at an engine, from its start."""
    first_event_ms: int | None = None
    """When its first event came, from its start."""
    wasted_prompt_tokens: int = 0
    """Tokens of prompts that were read for engines which refused it."""
    prompts_asked: int = 0
    """Calls to engines to read the prompt for another one."""
    prompt_error: EndpointError | None = None
    """Why the latest of them brought nothing."""
    charge_id: str = field(default_factory=lambda: token_hex(CHARGE_ID_BYTES))
    """Names its charge at the leader: clients may give several requests one id."""
    is_charged: bool = False
    """Whether its account's limit was charged, or it has none."""
    spent_here: float = 0.0
    """What this host let its account spend for it, without asking the leader."""
    grants_asked: int = 0
    """Grants that the leader was asked for."""
    found_no_room: bool = False
    """Whether engines were there and had no room while there was time."""
    no_room_forecast: float = 0.0
    """How long it was expected to wait for room then, in seconds."""

    @property
    def answered_seconds(self) -> float:
        """Return for how long the latest send has been answered."""
        return self.answered_from.overdue() if self.answered_from else 0.0

    @property
    def elapsed_ms(self) -> int:
        """Return the milliseconds since the request came."""
        return int(self.started.overdue() * 1000)

    def note(self, start_id: str, outcome: str) -> None:
        """Add a step to the trail, with the milliseconds since the request came."""
        self.trail.append(f"{self.elapsed_ms} ms {start_id}: {outcome}")

    def note_events(self, gap: float) -> None:
        """Note a piece of a stream that came this many seconds after the last."""
        self.events += 1
        self.longest_gap_ms = max(self.longest_gap_ms, int(gap * 1000))

    def note_no_room(self, outcome: str, forecast: float) -> None:
        """Note that engines are there and have no room in time."""
        self.note("-", f"{outcome}, forecast {forecast:.2f} s")
        self.found_no_room = True
        self.no_room_forecast = forecast

    def note_error(self, start_id: str, error: EndpointError) -> None:
        """Note a send that brought no answer."""
        self.tried.add(start_id)
        self.last_error = error
        self.runs += error.may_have_run
        self.note(start_id, f"{error.error_id} ran={error.may_have_run}")

    @property
    def may_have_run(self) -> bool:
        """Say whether any send may have run."""
        return self.runs > 0


@dataclass(frozen=True)
class RoomRequest:
    """A request that needs room at an engine."""

    context: ForwardContext
    attempts: Attempts
    engine: EngineService
    prompt: PromptShape
    limit: Deadline
    """Until when it waits for room."""
    reads_itself: bool
    """Whether the engine that answers has to read the prompt, too."""
    goes_first: bool = False
    """Whether its answer broke off: its client has part of it, and leaves after a
    pause, with which the engine's work so far would be lost."""
    check_backoff: Callable[[], None] = _always_accepted
    """Raises RequestRefusedError while all engines are in backoff."""


# When a client should come back, in seconds: after a moment in which an endpoint comes
# free, and after one in which endpoints that have just started announce themselves.
BUSY_RETRY_SECONDS = 0.3
MISSING_RETRY_SECONDS = 0.7


def refusal_of(attempts: Attempts, deadline: Deadline) -> RequestRefusedError:
    """Return the refusal that is true of what was tried."""
    error = attempts.last_error
    if not attempts.may_have_run:
        missing = error is None
        return RequestRefusedError(
            "no_endpoint" if missing else "endpoints_refused",
            "No endpoint of the service is usable."
            if missing
            else "No endpoint took the request.",
            status=503,
            retry_after=MISSING_RETRY_SECONDS if missing else BUSY_RETRY_SECONDS,
        )
    assert error is not None
    late = deadline.expired
    return RequestRefusedError(
        "no_answer_in_time" if late else "answer_lost",
        f"An endpoint may have run the request, but no answer came: {error.message}",
        status=504 if late else 502,
        ran=Ran.UNKNOWN,
        remedy="Send it again only if it may be repeated.",
    )
