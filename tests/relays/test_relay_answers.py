"""What a host accepts as the answer of a relay."""

from __future__ import annotations

import socketserver
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from jujubeslip.discovery import ControlUpdate, RelayHost
from jujubeslip.endpoints import (
    ConnectionPool,
    EndpointAnswerError,
    EndpointError,
    EndpointOnHoldError,
    never_interrupted,
)
from jujubeslip.kernel import Deadline
from jujubeslip.relays import RelayAccess, RelayDirectory
from jujubeslip.relays._connection import RelayedConnection

SECONDS = 5.0
CALL = "Jujubeslip-Call"


class Relay(socketserver.ThreadingTCPServer):
    """Gives the same answer to each call, with the call's id unless told otherwise."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.status = 503
        self.lines: list[str] = []
        self.echoes_calls = True


class _Handler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        relay: Any = self.server
        while self.rfile.readline():
            call = ""
            while line := self.rfile.readline().decode().strip():
                name, _, value = line.partition(": ")
                call = value if name == CALL else call
            echo = [f"{CALL}: {call}"] if relay.echoes_calls else []
            head = [f"HTTP/1.1 {relay.status} Status", *echo, *relay.lines]
            text = "\r\n".join([*head, "Content-Length: 4", "", "body"])
            self.wfile.write(text.encode())


@pytest.fixture
def relay() -> Iterator[Relay]:
    with Relay() as running:
        threading.Thread(target=running.serve_forever, daemon=True).start()
        yield running
        running.shutdown()


def connection_to(relay: Relay) -> RelayedConnection:
    directory = RelayDirectory("zone-1", lambda _: True)
    host = RelayHost("relay", "{}:{}".format(*relay.server_address), "zone-1")
    directory.apply_update(ControlUpdate("control", 1, 1, relays=(host,)))
    access = RelayAccess(directory, ConnectionPool(), "host", "secret")
    return RelayedConnection(access, "start", "10.0.0.1:80")


def ask(relay: Relay) -> tuple[int, list[str], bytes]:
    """Return status, names of headers and body of an answer through the relay."""
    connection = connection_to(relay)
    try:
        connection.watch(Deadline.after(SECONDS), never_interrupted)
        connection.send("GET", "/", [("Host", "host")], b"")
        head = connection.read_head()
        names = [name for name, _ in head.headers]
        return head.status, names, connection.read_rest(head)
    finally:
        connection.close()


class TestAnswerOfAnotherProcess:
    """Guards against answers to other calls, or by other processes, at a relay."""

    @pytest.mark.parametrize("status", [200, 404, 431, 500, 503])
    def test_is_no_answer_without_the_id_of_the_call(
        self, relay: Relay, status: int
    ) -> None:
        relay.status, relay.echoes_calls = status, False
        with pytest.raises(EndpointAnswerError) as caught:
            ask(relay)
        assert caught.value.may_have_run

    def test_is_no_answer_with_the_id_of_another_call(self, relay: Relay) -> None:
        relay.echoes_calls, relay.lines = False, [f"{CALL}: 3e1b"]
        with pytest.raises(EndpointAnswerError):
            ask(relay)

    def test_is_no_refusal_without_the_id_of_the_call(self, relay: Relay) -> None:
        relay.echoes_calls, relay.lines = False, ["Jujubeslip-Refusal: unreachable"]
        with pytest.raises(EndpointAnswerError) as caught:
            ask(relay)
        assert caught.value.may_have_run


class TestAnswerOfTheEndpoint:
    def test_is_given_out_without_the_headers_between_hosts(self, relay: Relay) -> None:
        relay.status, relay.lines = 200, ["Server-Stamp: s", "Jujubeslip-Next: 1"]
        assert ask(relay) == (200, ["Server-Stamp", "Content-Length"], b"body")


class TestRefusalThatCannotBeRead:
    """Guards against "not run" that a damaged or unknown refusal doesn't say."""

    @pytest.mark.parametrize(
        "lines",
        [
            ["Jujubeslip-Refusal: later"],
            ["Jujubeslip-Refusal:"],
            ["Jujubeslip-Refusal: unreach"],
            ["Jujubeslip-Refusal: unreachable", "Jujubeslip-Refusal: elsewhere"],
            ["Jujubeslip-Refusal: on hold"],
            *(
                ["Jujubeslip-Refusal: on hold", f"Jujubeslip-Hold-Seconds: {seconds}"]
                for seconds in ("", "x", "nan", "inf", "-1", "1e9", "200", "1_0")
            ),
        ],
    )
    def test_is_an_answer_that_cannot_be_read(
        self, relay: Relay, lines: list[str]
    ) -> None:
        relay.lines = lines
        with pytest.raises(EndpointAnswerError) as caught:
            ask(relay)
        assert caught.value.may_have_run

    def test_is_none_with_the_status_of_an_answer(self, relay: Relay) -> None:
        relay.status, relay.lines = 200, ["Jujubeslip-Refusal: unreachable"]
        with pytest.raises(EndpointAnswerError):
            ask(relay)

    @pytest.mark.parametrize("why", ["elsewhere", "unknown", "unreachable"])
    def test_others_say_that_nothing_was_sent(self, relay: Relay, why: str) -> None:
        relay.lines = [f"Jujubeslip-Refusal: {why}", "Jujubeslip-Hold-Seconds: 0.00"]
        with pytest.raises(EndpointError) as caught:
            ask(relay)
        assert not caught.value.may_have_run

    def test_others_say_how_long_the_endpoint_is_on_hold(self, relay: Relay) -> None:
        hold = "Jujubeslip-Hold-Seconds: 1.25"
        relay.lines = ["Jujubeslip-Refusal: on hold", hold]
        with pytest.raises(EndpointOnHoldError) as caught:
            ask(relay)
        assert caught.value.hold_seconds == 1.25


class TestQuestionWhetherAnEndpointHasEnded:
    """Guards against answers that count as "it runs" although they don't say so."""

    @pytest.mark.parametrize("line", ["Jujubeslip-Ended: yes", "Server-Stamp: s"])
    def test_has_no_answer_that_does_not_say(self, relay: Relay, line: str) -> None:
        relay.status, relay.lines = 200, [line]
        with pytest.raises(EndpointAnswerError):
            connection_to(relay).ask_whether_ended(Deadline.after(SECONDS))

    @pytest.mark.parametrize("ended", [True, False])
    def test_is_answered(self, relay: Relay, ended: bool) -> None:
        relay.status, relay.lines = 200, [f"Jujubeslip-Ended: {int(ended)}"]
        found = connection_to(relay).ask_whether_ended(Deadline.after(SECONDS))
        assert found is ended
