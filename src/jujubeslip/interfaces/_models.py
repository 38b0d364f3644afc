"""The protocol that interface plug-ins implement, and their registry."""

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
StartResponse = Callable[..., Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]
Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class EndpointCall:
    """The parameters of a call to an endpoint beside the client's request."""

    endpoint_id: str
    """The only endpoint that may answer, in any of its starts."""
    remaining_ms: int
    """Time left for the endpoint to answer."""
    prefill_only: bool = False
    """Whether to prefill the prompt and keep its KV cache for another endpoint."""
    prefilled_at: str = ""
    """Address and handle of the endpoint that has prefilled the prompt."""
    reservation: str = ""
    """Id of the slot and memory that are reserved for the request."""
    resume_after: str = ""
    """Id of the last event that the client received; the answer continues after it."""
    priority: int | None = None
    """Priority at the endpoint, 0 is the highest; None where all have the same."""


@dataclass(frozen=True)
class EndpointHead:
    """The status and headers of an endpoint's answer."""

    status: int
    request_id: str
    """The request that it answers, empty if not reported."""
    not_run: bool
    """Whether the endpoint reports that it did not run the request."""
    answered_by: str
    """The endpoint that answered, empty if not reported."""
    misdirected: bool
    """Whether the call was for another endpoint, or for a role that it doesn't have."""
    proves_origin: bool
    """Whether it has the header that only endpoints set."""
    is_ambiguous: bool
    """Whether it repeats a header that answers have once, as two joined heads do."""
    idle_seconds: float | None
    """How long the connection may be idle, None if not reported."""
    headers: tuple[tuple[str, str], ...]
    """The headers that are forwarded to the client."""
    reads_as_not_run: bool = False
    """Whether clients take the status for a promise that the request has not run."""
    limit_per_second: float | None = None
    """Limit on the requests from all hosts together, None if there is none."""
    backoff_seconds: float = 0.0
    """For how long it accepts no requests from this host, 0 if not reported."""
    is_leaving: bool = False
    """Whether the endpoint reports that it is shutting down."""

    @property
    def has_notice(self) -> bool:
        """Return whether it has a notice that applies to further requests."""
        return (
            self.limit_per_second is not None
            or self.backoff_seconds > 0
            or self.is_leaving
        )


@dataclass(frozen=True)
class InternalRequest:
    """A request to an endpoint that doesn't come from a client."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class RoleOrder:
    """An order to an engine to change its role."""

    endpoint_id: str
    role: EndpointRole
    holder: str
    """The host that sends orders."""
    fencing_number: int
    """Increases with each host that takes over sending orders."""
    known_orders: int
    """Number of orders accepted by the engine, which refuses if this differs."""


@dataclass(frozen=True)
class EncodedRefusal:
    """A refusal in the form that is sent to the client."""

    status: int
    headers: Headers
    body: bytes


class Interface(Protocol):
    """Translates between one HTTP interface and the project's types, without policy."""

    def control_app(self, gateway: ControlGateway) -> WsgiApp:
        """Return the app that a control host serves to operators and endpoints."""

    def read_routes(self, content: str) -> Result[RouteTable, str]:
        """Parse the routes of a configuration, or return what is wrong with it."""

    @property
    def single_request_headers(self) -> frozenset[str]:
        """Return the headers, in lower case, of which one value decides something.

        A request that repeats one of them is refused.
        """

    def read_request(self, environ: Environ) -> ForwardedRequest:
        """Parse a client's request, or raise RequestRefusedError."""

    def read_call(self, environ: Environ) -> ForwardedRequest:
        """Parse a call to an endpoint that another host has encoded."""

    def call_headers(self, request: ForwardedRequest) -> Headers:
        """Return the headers of such a call, with the time that is left by now."""

    def endpoint_headers(
        self, request: ForwardedRequest, call: EndpointCall
    ) -> Headers:
        """Return the headers of a call to an endpoint."""

    def read_head(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> EndpointHead:
        """Parse the status and headers of an endpoint's answer."""

    def read_prefilled(self, body: bytes) -> Result[PrefilledPrompt, str]:
        """Parse an endpoint's answer to a prefill, or return what is wrong with it."""

    def reserve(self, endpoint_id: str, tokens: int, ttl_ms: int) -> InternalRequest:
        """Return the request that reserves a slot and memory for `tokens` tokens."""

    def read_reservation(self, body: bytes) -> Result[str, str]:
        """Parse the id of a reservation, or return what is wrong with the answer."""

    def ask_report(self, endpoint_id: str) -> InternalRequest:
        """Return the request for an engine's state."""

    def read_report(self, body: bytes) -> Result[EngineReport, str]:
        """Parse an engine's report of its state, or return what is wrong with it."""

    def order_role(self, order: RoleOrder) -> InternalRequest:
        """Return the request that orders an engine to change its role."""

    def release(self, endpoint_id: str, reservation: str) -> InternalRequest:
        """Return the request that releases a reservation."""

    def refusal(self, refusal: RequestRefusedError, request_id: str) -> EncodedRefusal:
        """Encode a refusal for the client."""


interfaces: Registry[Interface] = Registry("interface")
