"""Routes, forwarded requests, and the state of engines."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property

from jujubeslip.accounts import ClientAccount, ClientAccounts
from jujubeslip.kernel import Deadline


class RouteKind(enum.Enum):
    """Whether the requests of a route may be repeated."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """Runs at most once."""
    STREAM = "stream"
    """Answered by a series of events; repeated only where it is resumable."""


@dataclass(frozen=True)
class ServiceShare:
    """A service that a route sends requests to, and its share of them."""

    service_name: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Which requests go to which services, with their timeouts and targets."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    """Latest time by which a client gets an answer."""
    target_ms: int
    """Target time for the answer, or for its first event."""
    maximum_attempts: int
    """Largest number of endpoints that may run one request."""
    resumable: bool = False
    """Whether a stream may resume at another endpoint."""
    client_timeout_ms: int = 0
    """How long a client waits for the first or the next event before it leaves."""
    maximum_gap_ms: int = 0
    """Target for the pause between two events of a stream."""
    public: bool = False
    """Whether requests need no key of a client account."""
    priority: int = 0
    """Priority of its requests at a service; 0 is the highest."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run at a second endpoint."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True)
class EngineService:
    """Limits of the engines of a service."""

    slots: int
    """Requests that an engine runs at a time."""
    event_tokens: int = 1
    """Tokens that one event of an answer holds at most."""
    reservation_ms: int = 0
    """Longest reservation of a slot and memory; 0 if engines take no reservations."""


@dataclass(frozen=True)
class ForwardService:
    """A service that routes refer to."""

    name: str
    engine: EngineService | None = None
    """None for a plain service."""


@dataclass(frozen=True)
class RouteTable:
    """A configuration: its version, routes, services and client accounts."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ForwardService]
    accounts: ClientAccounts | None = None
    """None where requests need no key."""

    @cached_property
    def routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        """Return the routes of each host, the longest path prefix first."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda item: -len(item.path_prefix)))
            for host, routes in routes_by_host.items()
        }

    @cached_property
    def ranks_by_service(self) -> dict[str, tuple[int, ...]]:
        """Return the ranks that requests of each service may have, the highest first.

        An account's priority overrides that of every route.
        """
        of_accounts = {
            account.priority
            for account in (self.accounts.accounts if self.accounts else ())
            if account.priority is not None
        }
        ranks_by_service: dict[str, set[int]] = {}
        for route in self.routes:
            for share in route.shares:
                ranks = ranks_by_service.setdefault(share.service_name, set())
                ranks.update(of_accounts, (route.priority,))
        return {name: tuple(sorted(ranks)) for name, ranks in ranks_by_service.items()}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of this host with the longest matching prefix, if any."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def rank_of(route: Route, account: ClientAccount | None) -> int:
    """Return the priority of a request; the account's one overrides the route's."""
    if account is not None and account.priority is not None:
        return account.priority
    return route.priority


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may have in common."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """How long a request's prompt and answer are, in tokens."""

    prompt_tokens: int
    maximum_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int = 0
    """The length that the client expects, or 0 if it gives none."""


@dataclass(frozen=True)
class ForwardedRequest:
    """A client's request, which is forwarded unchanged."""

    request_id: str
    method: str
    target: str
    """Path and query as they were sent."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """The end-to-end headers."""
    body: bytes
    client_deadline: Deadline | None
    """When the client gives up, if it sent a deadline."""
    last_event_id: str = ""
    """The event after which a stream resumes; empty from the start of the stream."""
    prompt: PromptShape | None = None
    arrived: Deadline = field(default_factory=lambda: Deadline.after(0))
    authorization: str = field(default="", repr=False)
    """The header as the client sent it; only forwarded if there are no accounts."""
    api_key: str = field(default="", repr=False)
    """The key in that header; empty unless it has exactly one."""
    account_name: str = ""
    """The client account that the key belongs to, which is sent to the endpoint."""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class RunningAnswer:
    """An answer that an engine is generating."""

    memory_tokens: int
    """Engine memory that its prompt and the answer so far use."""
    events: int
    """Events generated so far."""
    request_id: str = ""


@dataclass(frozen=True)
class EngineReport:
    """An engine's state, typically some hundred milliseconds old."""

    capacity_tokens: int
    used_tokens: int
    """Memory that running answers and reservations use."""
    waiting: int
    """Requests that it has accepted and not started."""
    running: tuple[RunningAnswer, ...]
    orders: int = 0
    """Orders that the engine has accepted since its start."""
    busy: bool = False
    """Whether it is executing one."""
    is_prefill_engine: bool = False
    """Whether it only prefills now, and generates no answers."""
    started_at_ms: int = 0
    """When the reporting start of the engine began, or 0 if unknown."""


@dataclass(frozen=True)
class PrefilledPrompt:
    """A prompt that an engine has prefilled and holds for a decode engine."""

    handle: str
    tokens: int
