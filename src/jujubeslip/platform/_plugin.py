"""The platform's interface, as the rest of the program sees it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from returns.result import Result

from jujubeslip.control import ControlGateway
from jujubeslip.interfaces import (
    EncodedRefusal,
    EndpointCall,
    EndpointHead,
    Headers,
    WsgiApp,
    interfaces,
)
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.platform._configurations import read_routes
from jujubeslip.platform._control_app import ControlApp
from jujubeslip.platform._endpoint_calls import (
    endpoint_headers,
    read_head,
    read_prefilled,
)
from jujubeslip.platform._requests import encode_refusal, read_request
from jujubeslip.routes import ForwardedRequest, PrefilledPrompt, RouteTable


class PlatformInterface:
    """Translates between the platform's calls and the product's types."""

    def control_app(self, gateway: ControlGateway) -> WsgiApp:
        """See Interface."""
        return ControlApp(gateway)

    def read_routes(self, content: str) -> Result[RouteTable, str]:
        """See Interface."""
        return read_routes(content)

    def read_request(self, environ: dict[str, Any]) -> ForwardedRequest:
        """See Interface."""
        return read_request(environ)

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

    def read_prefilled(self, body: bytes) -> PrefilledPrompt | None:
        """See Interface."""
        return read_prefilled(body)

    def refusal(self, refusal: RequestRefusedError, request_id: str) -> EncodedRefusal:
        """See Interface."""
        return encode_refusal(refusal, request_id)


interfaces.register("platform")(PlatformInterface())
