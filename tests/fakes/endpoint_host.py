"""The connections of an entry host to one endpoint, without the host's process."""

from __future__ import annotations

from dataclasses import replace
from typing import Protocol

from jujubeslip.endpoints import ConnectionPool, never_interrupted
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.interfaces import (
    EndpointCall,
    EndpointHead,
    interfaces,
    send_internal_request,
)
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.notices import EndpointNotices
from jujubeslip.routes import ForwardedRequest
from tests.fakes.engines import engine

WAIT_SECONDS = 2.0
CALL = EndpointCall("engine", 1000)


class Listening(Protocol):
    """An endpoint with an address."""

    @property
    def address(self) -> str:
        """Return where it listens."""


class EndpointHost:
    """Sends requests to one endpoint, and keeps the connections to it."""

    def __init__(self, endpoint: Listening) -> None:
        load_plugins()
        self.pool = ConnectionPool()
        self.notices = EndpointNotices()
        self._interface = interfaces.get("platform")
        self._endpoint = replace(engine("engine"), address=endpoint.address)

    def exchange(self, request_id: str) -> Exchange:
        """Return an exchange for a client's request."""
        request = ForwardedRequest(
            request_id=request_id,
            method="POST",
            target="/x",
            host="host",
            headers=(("Request-Id", request_id),),
            body=b"",
            client_deadline=None,
        )
        return Exchange(
            self.pool,
            self._interface,
            self._endpoint,
            request,
            never_interrupted,
            self.notices,
        )

    def send(self, request_id: str) -> EndpointHead:
        """Send a client's request and read its whole answer."""
        with self.exchange(request_id) as exchange:
            head = exchange.call(CALL, Deadline.after(WAIT_SECONDS))
            exchange.read_rest()
            return head

    def ask(self) -> int:
        """Send a request of the system itself; return the status of the answer."""
        status, _ = send_internal_request(
            self.pool,
            self._interface,
            self.notices,
            self._endpoint,
            self._interface.ask_report("engine"),
            Deadline.after(WAIT_SECONDS),
        )
        return status
