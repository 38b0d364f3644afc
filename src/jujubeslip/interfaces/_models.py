"""The protocol of interfaces, and their registry."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Result

from jujubeslip.gateway import ControlGateway
from jujubeslip.kernel import Registry, RequestRefusedError
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import (
    EngineReport,
    ForwardedRequest,
    PrefilledPrompt,
    RouteTable,
)

Environ = dict[str, Any]
WsgiApp = Callable[[Environ, Callable[..., Any]], Iterable[bytes]]
Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class EndpointCall:
    """What a call to an endpoint says beside the client's own request."""

    endpoint_id: str
    """The endpoint that alone may answer; any start of it will."""
    remaining_ms: int
    """How long the endpoint may take."""
    reads_prompt_only: bool = False
    """Read the prompt and keep it, for another endpoint to take."""
    prompt_at: str = ""
    """Address and handle of the endpoint that has read the prompt."""
    reservation: str = ""
    """The slot and memory that were reserved for the request."""
    resume_after: str = ""
    """The last event that the client has; the answer goes on behind it."""


@dataclass(frozen=True)
class EndpointHead:
    """What the head of an endpoint's answer says."""

    status: int
    request_id: str
    """The request that it answers, empty if it doesn't say."""
    not_run: bool
    """Whether the endpoint says that it did not run the request."""
    answered_by: str
    """The endpoint that answered, empty if it doesn't say."""
    misdirected: bool
    """Whether the call was not for the endpoint, or not for the role it has now."""
    proves_origin: bool
    """Whether it bears the mark that only endpoints give."""
    idle_seconds: float | None
    """How long the connection may be idle, None if it doesn't say."""
    headers: tuple[tuple[str, str], ...]
    """Those that the client gets."""
    limit_per_second: float | None = None
    """Requests that the endpoint takes from all hosts together, None without limit."""
    backoff_seconds: float = 0.0
    """For how long it wants no requests from this host, 0 if it doesn't say."""
    is_leaving: bool = False
    """Whether it says that it is shutting down."""

    @property
    def says_of_itself(self) -> bool:
        """Say whether it tells anything that holds for further requests."""
        return (
            self.limit_per_second is not None
            or self.backoff_seconds > 0
            or self.is_leaving
        )


@dataclass(frozen=True)
class EndpointQuestion:
    """A call to an endpoint that is no request of a client."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class RoleOrder:
    """An order to an engine to take another role."""

    endpoint_id: str
    role: EndpointRole
    holder: str
    """The host that gives orders."""
    fencing_number: int
    """Grows with each host that gives orders."""
    known_orders: int
    """How many orders the engine has accepted; with another number it refuses."""


@dataclass(frozen=True)
class EncodedRefusal:
    """A refusal as the client gets it."""

    status: int
    headers: Headers
    body: bytes


class Interface(Protocol):
    """Translates between one interface and the product; decides nothing."""

    def control_app(self, gateway: ControlGateway) -> WsgiApp:
        """Return what a control host serves to operators and endpoints."""

    def read_routes(self, content: str) -> Result[RouteTable, str]:
        """Return the routes of a configuration, or what is wrong with it."""

    def read_request(self, environ: Environ) -> ForwardedRequest:
        """Return a client's request, or raise RequestRefusedError."""

    def endpoint_headers(
        self, request: ForwardedRequest, call: EndpointCall
    ) -> Headers:
        """Return the headers of a call to an endpoint."""

    def read_head(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> EndpointHead:
        """Return what the head of an endpoint's answer says."""

    def read_prefilled(self, body: bytes) -> Result[PrefilledPrompt, str]:
        """Return what an endpoint says of a prompt it has read, or what is wrong."""

    def reserve(self, endpoint_id: str, tokens: int, ttl_ms: int) -> EndpointQuestion:
        """Return the question for a slot and this much memory of an endpoint."""

    def read_reservation(self, body: bytes) -> Result[str, str]:
        """Return the id of what was reserved, or what is wrong with the answer."""

    def ask_report(self, endpoint_id: str) -> EndpointQuestion:
        """Return the question for an engine's state."""

    def read_report(self, body: bytes) -> Result[EngineReport, str]:
        """Return an engine's state, or what is wrong with its report."""

    def order_role(self, order: RoleOrder) -> EndpointQuestion:
        """Return the order that gives an engine another role."""

    def release(self, endpoint_id: str, reservation: str) -> EndpointQuestion:
        """Return the call that gives back what was reserved."""

    def refusal(self, refusal: RequestRefusedError, request_id: str) -> EncodedRefusal:
        """Return a refusal as the client gets it."""


interfaces: Registry[Interface] = Registry("interface")
