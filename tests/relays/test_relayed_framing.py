"""Answers of an endpoint, as a host sees them that has them from a relay."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import suppress
from dataclasses import replace
from unittest.mock import Mock

import pytest
from waitress import wasyncore

from jujubeslip.discovery import ControlUpdate, Endpoint, EndpointRegistry, RelayHost
from jujubeslip.endpoints import (
    ConnectionPool,
    EndpointAnswerError,
    EndpointError,
    never_interrupted,
)
from jujubeslip.forwarding import _relay_app
from jujubeslip.forwarding._app import OpenRequests
from jujubeslip.forwarding._relay_app import RelayApp, RelayServices
from jujubeslip.http_server import HttpServer, HttpServerOptions
from jujubeslip.interfaces import Headers, interfaces, send_internal_request
from jujubeslip.kernel import Deadline, Process, load_plugins
from jujubeslip.notices import EndpointNotices
from jujubeslip.relays import EndpointReach, RelayAccess, RelayDirectory
from jujubeslip.relays._connection import RelayedConnection
from tests.endpoints.test_partial_answers import (
    BODY,
    CHUNKED,
    HEAD,
    SIZED,
    UNFRAMED,
    answered_by,
    reset_after,
)
from tests.fakes.copying_engine import copying_engine
from tests.fakes.engines import engine
from tests.fakes.processes import free_address

SECONDS = 5.0
SECRET = "secret"
HEADERS = [("Host", "host"), ("Request-Id", "9c41"), ("Deadline-Ms", "5000")]


class Relay:
    """An entry host that relays calls to one endpoint at a time."""

    def __init__(self) -> None:
        self.registry = EndpointRegistry()
        self.has_ended = False
        self.connections = ConnectionPool()
        self.address = free_address()
        services = RelayServices(
            interfaces.get("platform"),
            self.connections,
            self.registry,
            EndpointReach(self.registry),
            EndpointNotices(),
            OpenRequests(4),
            lambda: True,
            lambda endpoint: self.has_ended,
            SECRET,
        )
        app = RelayApp(services)
        self.server = HttpServer(HttpServerOptions(self.address, 4), app)
        self.process = Process("relay")
        self.server.start(self.process)
        self._starts = 0

    def close(self) -> None:
        """End the server's task, which otherwise runs until the process exits."""
        self.process.stopped.set()
        inner = self.server._server
        inner.trigger.pull_trigger(lambda: wasyncore.close_all(inner._map, True))

    def ask(self, address: str, method: str = "GET") -> tuple[int, bytes]:
        """Return the whole answer of a new endpoint at an address, by the relay."""
        self._starts += 1
        endpoint = replace(engine(f"e-{self._starts}"), address=address)
        self.registry.merge([endpoint])
        return self.call(endpoint, method, "/", HEADERS)

    def call(
        self, endpoint: Endpoint, method: str, target: str, headers: Headers
    ) -> tuple[int, bytes]:
        """Return the whole answer of a known endpoint, by the relay."""
        directory = RelayDirectory("zone-1", lambda _: True)
        host = RelayHost("relay", self.address, "zone-1")
        directory.apply_update(ControlUpdate("control", 1, 1, relays=(host,)))
        access = RelayAccess(directory, ConnectionPool(), "host", SECRET)
        connection = RelayedConnection(access, endpoint.start_id, endpoint.address)
        try:
            connection.watch(Deadline.after(SECONDS), never_interrupted)
            connection.send(method, target, headers, b"")
            head = connection.read_head()
            return head.status, connection.read_rest(head)
        finally:
            connection.close()


@pytest.fixture(scope="module")
def running() -> Iterator[Relay]:
    load_plugins()
    relay = Relay()
    yield relay
    relay.close()


@pytest.fixture
def relay(running: Relay) -> Relay:
    running.has_ended = False
    return running


class TestAnswerThatIsCutOff:
    """Guards against relays that give the beginning of an answer an end of its own."""

    @pytest.mark.parametrize("whole", [SIZED, CHUNKED], ids=["length", "chunks"])
    def test_is_not_complete_wherever_it_ends(self, relay: Relay, whole: bytes) -> None:
        for size in range(len(whole)):
            with pytest.raises(EndpointError) as caught:
                relay.ask(answered_by(whole[:size]))
            assert caught.value.may_have_run

    def test_is_not_complete_if_only_its_endpoint_has_ended(self, relay: Relay) -> None:
        relay.has_ended = True
        with pytest.raises(EndpointError):
            relay.ask(answered_by(UNFRAMED))

    def test_is_not_complete_if_its_connection_is_reset(self, relay: Relay) -> None:
        with pytest.raises(EndpointError):
            relay.ask(reset_after(UNFRAMED))


class TestRelayThatFails:
    """Guards against answers of a relay's server that pass for the endpoint's."""

    @pytest.mark.parametrize("body", [BODY, b""], ids=["after bytes", "before any"])
    def test_gives_no_complete_answer(
        self, relay: Relay, body: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fails = Mock(side_effect=RuntimeError("a fault of the relay"))
        monkeypatch.setattr(_relay_app, "check_end", fails)
        with pytest.raises(EndpointError) as caught:
            relay.ask(answered_by(UNFRAMED.replace(BODY, body)))
        assert caught.value.may_have_run

    def test_refuses_nothing_by_its_server(self, relay: Relay) -> None:
        with pytest.raises(EndpointAnswerError):
            relay.ask("127.0.0.1:1", "GET / HTTP/9 ")


class TestWholeAnswer:
    """Guards against whole answers that a relay cuts off."""

    @pytest.mark.parametrize("sent", [SIZED, CHUNKED, UNFRAMED])
    def test_is_whole(self, relay: Relay, sent: bytes) -> None:
        assert relay.ask(answered_by(sent)) == (200, BODY)

    def test_may_be_without_a_body(self, relay: Relay) -> None:
        empty = HEAD + b"Content-Length: 0\r\n\r\n"
        assert relay.ask(answered_by(empty)) == (200, b"")
        none = HEAD.replace(b"200 OK", b"204 No Content") + b"\r\n"
        assert relay.ask(answered_by(none)) == (204, b"")
        only_head = SIZED.removesuffix(BODY)
        assert relay.ask(answered_by(only_head), "HEAD") == (200, b"")


class TestRelayedReport:
    """Guards against a report that fails because the relay has asked for another."""

    def test_is_answered_each_time(self, relay: Relay) -> None:
        with copying_engine() as running:
            endpoint = replace(engine("reporting"), address=running.address)
            relay.registry.merge([endpoint])
            ask = (endpoint, "GET", "/report", [("Host", "host")])
            found = []
            for _ in range(3):
                with suppress(EndpointError):
                    found.append(relay.call(*ask)[0])
        assert found == [200] * 3

    def test_is_answered_after_a_report_to_the_relay_itself(self, relay: Relay) -> None:
        with copying_engine() as running:
            endpoint = replace(engine("asked"), address=running.address)
            relay.registry.merge([endpoint])
            interface = interfaces.get("platform")
            send_internal_request(
                relay.connections,
                interface,
                EndpointNotices(),
                endpoint,
                interface.ask_report("asked"),
                Deadline.after(SECONDS),
            )
            found = None
            with suppress(EndpointError):
                found, _ = relay.call(endpoint, "GET", "/report", [("Host", "host")])
        assert found == 200


class TestRelayedReservation:
    """Guards against two requests with the reservation of one, behind a relay."""

    def test_is_not_that_of_another_request(self, relay: Relay) -> None:
        with copying_engine() as running:
            running.answers_twice = True
            endpoint = replace(engine("reserving"), address=running.address)
            relay.registry.merge([endpoint])
            take = (endpoint, "POST", "/hold-take", [("Host", "host")])
            bodies = [relay.call(*take)[1] for _ in range(3)]
        assert bodies == [b'{"hold": "h-%d"}' % number for number in (1, 2, 3)]
