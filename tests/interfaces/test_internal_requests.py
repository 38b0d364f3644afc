"""What proves the answers to requests that don't come from clients."""

from __future__ import annotations

import http.client
import json
import socketserver
import threading
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from jujubeslip.endpoints import (
    ConnectionPool,
    EndpointAnswerError,
    EndpointConnection,
    EndpointError,
)
from jujubeslip.interfaces import interfaces, send_internal_request
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.notices import EndpointNotices
from tests.fakes.engines import engine

SECONDS = 2.0


class Engine(socketserver.ThreadingTCPServer):
    """Grants or refuses reservations, and may send its answers a second time, late."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.calls: list[str] = []
        self.refuses = False
        self.answers_twice = False
        self.lines: list[str] = []
        self.connections = 0

    def answer_to(self, method: str) -> bytes:
        """Return the answer, which is another one for each reservation."""
        self.calls.append(method)
        status = 503 if method == "POST" and self.refuses else 200
        body = json.dumps({"hold": f"h-{len(self.calls)}"} if method == "POST" else {})
        lines = [f"HTTP/1.1 {status} Status", *self.lines, "Keep-Alive: timeout=30"]
        head = "\r\n".join([*lines, f"Content-Length: {len(body)}"])
        return f"{head}\r\n\r\n{body}".encode()


class _Handler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        engine: Any = self.server
        engine.connections += 1
        late = b""
        while first := self.rfile.readline().decode():
            headers = http.client.parse_headers(self.rfile)
            self.rfile.read(int(headers.get("Content-Length", 0)))
            answer = engine.answer_to(first.split()[0])
            self.wfile.write(late + answer)
            late = answer if engine.answers_twice else b""


@pytest.fixture
def running() -> Iterator[Engine]:
    load_plugins()
    with Engine() as found:
        threading.Thread(target=found.serve_forever, daemon=True).start()
        yield found
        found.shutdown()


class Host:
    """A host that calls one engine."""

    def __init__(self, running: Engine) -> None:
        self.interface = interfaces.get("platform")
        address = "{}:{}".format(*running.server_address)
        self._endpoint = replace(engine("engine"), address=address)
        self._pool = ConnectionPool()

    def report(self, seconds: float = SECONDS) -> int:
        """Ask for a report; return the status of the answer."""
        return self._send(self.interface.ask_report("engine"), seconds)[0]

    def _send(self, request: Any, seconds: float = SECONDS) -> tuple[int, bytes]:
        return send_internal_request(
            self._pool,
            self.interface,
            EndpointNotices(),
            self._endpoint,
            request,
            Deadline.after(seconds),
        )


class TestReport:
    def test_costs_no_connection(self, running: Engine) -> None:
        """Guards against a connection for each of the calls that are made most."""
        host = Host(running)
        for _ in range(5):
            assert host.report() == 200
        assert running.connections == 1


class TestAnswerToAClient:
    """Guards against an answer to a client that passes for one to this host."""

    def test_is_no_answer(self, running: Engine) -> None:
        running.lines = ["Request-Id: 9c41"]
        with pytest.raises(EndpointAnswerError):
            Host(running).report()


class TestConnectionThatOpensTooLate:
    """Guards against calls that arrive after the time for which they were decided."""

    def test_carries_no_call(
        self, running: Engine, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        take = ConnectionPool.take

        def take_slowly(*arguments: Any) -> EndpointConnection:
            threading.Event().wait(0.05)
            return take(*arguments)

        monkeypatch.setattr(ConnectionPool, "take", take_slowly)
        host = Host(running)
        with pytest.raises(EndpointError) as caught:
            host.report(seconds=0.02)
        assert not caught.value.may_have_run
        assert host.report() == 200
        assert (running.calls, running.connections) == (["GET"], 1)
