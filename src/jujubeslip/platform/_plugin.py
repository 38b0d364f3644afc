"""The platform's protocol as a plug-in of the interface registry."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from returns.result import Result

from jujubeslip.gateway import ControlGateway
from jujubeslip.interfaces import (
    EncodedRefusal,
    EndpointCall,
    EndpointHead,
    Headers,
    InternalRequest,
    RoleOrder,
    WsgiApp,
    interfaces,
)
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.platform._configurations import read_routes
from jujubeslip.platform._control_app import ControlApp
from jujubeslip.platform._endpoint_answers import (
    read_prefilled,
    read_report,
    read_reservation,
)
from jujubeslip.platform._endpoint_calls import (
    ask_report,
    endpoint_headers,
    order_role,
    read_head,
    release,
    reserve,
)
from jujubeslip.platform._headers import SINGLE_IN_REQUESTS
from jujubeslip.platform._requests import (
    call_headers,
    encode_refusal,
    read_call,
    read_request,
)
from jujubeslip.routes import (
    EngineReport,
    ForwardedRequest,
    PrefilledPrompt,
    RouteTable,
)


class PlatformInterface:
    """Translates between the platform's protocol and the types of this program."""

    def control_app(self, gateway: ControlGateway) -> WsgiApp:
        """See Interface."""
        return ControlApp(gateway)

    def read_routes(self, content: str) -> Result[RouteTable, str]:
        """See Interface."""
        return read_routes(content)

    @property
    def single_request_headers(self) -> frozenset[str]:
        """See Interface."""
        return SINGLE_IN_REQUESTS

    def read_request(self, environ: dict[str, Any]) -> ForwardedRequest:
        """See Interface."""
        return read_request(environ)

    def read_call(self, environ: dict[str, Any]) -> ForwardedRequest:
        """See Interface."""
        return read_call(environ)

    def call_headers(self, request: ForwardedRequest) -> Headers:
        """See Interface."""
        return call_headers(request)

    def endpoint_headers(
        self, request: ForwardedRequest, call: EndpointCall
    ) -> Headers:
        """See Interface."""
        return endpoint_headers(request, call)

    def read_head(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> EndpointHead:
        """See Interface."""
        return read_head(status, headers)

    def read_prefilled(self, body: bytes) -> Result[PrefilledPrompt, str]:
        """See Interface."""
        return read_prefilled(body)

    def reserve(self, endpoint_id: str, tokens: int, ttl_ms: int) -> InternalRequest:
        """See Interface."""
        return reserve(endpoint_id, tokens, ttl_ms)

    def read_reservation(self, body: bytes) -> Result[str, str]:
        """See Interface."""
        return read_reservation(body)

    def ask_report(self, endpoint_id: str) -> InternalRequest:
        """See Interface."""
        return ask_report(endpoint_id)

    def read_report(self, body: bytes) -> Result[EngineReport, str]:
        """See Interface."""
        return read_report(body)

    def order_role(self, order: RoleOrder) -> InternalRequest:
        """See Interface."""
        return order_role(order)

    def release(self, endpoint_id: str, reservation: str) -> InternalRequest:
        """See Interface."""
        return release(endpoint_id, reservation)

    def refusal(self, refusal: RequestRefusedError, request_id: str) -> EncodedRefusal:
        """See Interface."""
        return encode_refusal(refusal, request_id)


interfaces.register("platform")(PlatformInterface())
