"""Routes, and the requests that are forwarded by them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from functools import cached_property

from jujubeslip.accounts import ClientAccounts
from jujubeslip.kernel import Deadline


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

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
    """Which requests go where, and what is promised to their clients."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: int
    """A client is answered by then at the latest."""
    target_ms: int
    """An answer, or the first event of one, is in time until then."""
    maximum_attempts: int
    """Endpoints that may run one request."""
    resumable: bool = False
    """Whether a stream may go on at another endpoint."""
    patience_ms: int = 0
    """How long a client waits for an event, the first one too, before it leaves."""
    maximum_gap_ms: int = 0
    """Longest pause between two events of a stream that is still in time."""
    public: bool = False
    """Whether requests need no client account's key."""

    @property
    def repeatable(self) -> bool:
        """Say whether a request may run at a second endpoint."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True)
class EngineService:
    """What the engines of a service can do."""

    slots: int
    """Requests that an engine works on at a time."""
    event_tokens: int = 1
    """Tokens that one event of an answer holds at most."""
    reservation_ms: int = 0
    """How long a slot and memory may be reserved at most; 0 if not at all."""


@dataclass(frozen=True)
class ForwardService:
    """A service that routes name."""

    name: str
    engine: EngineService | None = None
    """None for a plain service."""


@dataclass(frozen=True)
class RouteTable:
    """A configuration: its version, its routes, the services that they name."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, ForwardService]
    accounts: ClientAccounts | None = None
    """None where requests need no key."""

    @cached_property
    def routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        """Return the routes of each host as ordered rules, longest prefix first."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda item: -len(item.path_prefix)))
            for host, routes in routes_by_host.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the first route that matches: the longest prefix of this host."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class PromptShape:
    """How long a request's prompt and answer are, in tokens."""

    prompt_tokens: int
    maximum_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_output_tokens: int = 0
    """What the client expects, 0 where it doesn't say."""


@dataclass(frozen=True)
class ForwardedRequest:
    """A client's request, which is passed on as it came."""

    request_id: str
    method: str
    target: str
    """Path and query as they were sent."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """Those that concern more than the client's connection."""
    body: bytes
    client_deadline: Deadline | None
    """When the client gives up, if it said so."""
    last_event_id: str = ""
    """The event after which a resumed stream goes on, empty from its start."""
    prompt: PromptShape | None = None
    arrived: Deadline = field(default_factory=lambda: Deadline.after(0))
    authorization: str = field(default="", repr=False)
    """The header as the client sent it; passed on only where there are no accounts."""
    api_key: str = field(default="", repr=False)
    """The key in it, empty where it holds no single one."""
    account_name: str = ""
    """The client account that holds the key, which the endpoint is told."""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class RunningAnswer:
    """An answer that an engine is making."""

    memory_tokens: int
    """What its prompt and the answer so far take of the engine's memory."""
    events: int
    """Events made so far."""
    request_id: str = ""


@dataclass(frozen=True)
class EngineReport:
    """An engine's state, some hundred milliseconds ago."""

    capacity_tokens: int
    used_tokens: int
    """What running answers and reservations take."""
    waiting: int
    """Requests that it has taken and not begun."""
    running: tuple[RunningAnswer, ...]
    orders: int = 0
    """Orders that the engine has accepted since its start."""
    busy: bool = False
    """Whether it is carrying one out."""
    reads_prompts: bool = False
    """Whether it reads prompts for others now, and answers nobody."""
    started_at_ms: int = 0
    """The start of the engine that reports, 0 if it doesn't say."""


@dataclass(frozen=True)
class PrefilledPrompt:
    """A prompt that an engine has read and keeps for another one."""

    handle: str
    tokens: int
