"""Endpoints that send an answer a second time, where the next answer is expected."""

from __future__ import annotations

import socketserver
import threading
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from jujubeslip.endpoints import EndpointRefusedError
from tests.fakes.endpoint_host import EndpointHost


@dataclass
class LateSecondAnswers(socketserver.ThreadingTCPServer):
    """Sends each answer again before its next one on the same connection."""

    refused_ids: list[str] = field(default_factory=list)
    """The requests that are refused next, one entry for each refusal."""
    echoes_ids: bool = True
    runs: list[str] = field(default_factory=list)
    connections: int = 0

    def __post_init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.daemon_threads = True

    @property
    def address(self) -> str:
        """Return where the endpoint listens."""
        return "{}:{}".format(*self.server_address)

    def answer_to(self, request_id: str) -> bytes:
        """Run or refuse a request; return the answer."""
        if request_id in self.refused_ids:
            self.refused_ids.remove(request_id)
            return self._encode(503, request_id, "Not-Run: 1")
        self.runs.append(request_id)
        return self._encode(200, request_id, f"Server-Stamp: s.{request_id}")

    def _encode(self, status: int, request_id: str, line: str) -> bytes:
        lines = [f"HTTP/1.1 {status} Status", line, "Content-Length: 2"]
        lines.append("Keep-Alive: timeout=30")
        if request_id and self.echoes_ids:
            lines.append(f"Request-Id: {request_id}")
        return ("\r\n".join(lines) + "\r\n\r\n{}").encode()


class _Handler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        endpoint: Any = self.server
        endpoint.connections += 1
        late = b""
        while (request_id := self._read_request()) is not None:
            own = endpoint.answer_to(request_id)
            self.wfile.write(late + own)
            late = own

    def _read_request(self) -> str | None:
        """Return the id of the next request, empty if it has none, None at the end."""
        if not self.rfile.readline():
            return None
        value_by_name: dict[str, str] = {}
        while line := self.rfile.readline().decode().strip():
            name, _, value = line.partition(": ")
            value_by_name[name.lower()] = value
        self.rfile.read(int(value_by_name.get("content-length", 0)))
        return value_by_name.get("request-id", "")


@pytest.fixture
def endpoint() -> Iterator[LateSecondAnswers]:
    with LateSecondAnswers() as found:
        threading.Thread(target=found.serve_forever, daemon=True).start()
        yield found
        found.shutdown()


class TestRequestSentAgainToOneEndpoint:
    """Guards against a refusal that passes for the answer to the second send."""

    def test_reads_no_copy_of_the_first_answer(
        self, endpoint: LateSecondAnswers
    ) -> None:
        host = EndpointHost(endpoint)
        endpoint.refused_ids.append("first")
        with pytest.raises(EndpointRefusedError):
            host.send("first")
        assert host.send("first").status == 200
        assert endpoint.runs == ["first"]

    def test_reads_no_copy_after_other_requests(
        self, endpoint: LateSecondAnswers
    ) -> None:
        host = EndpointHost(endpoint)
        endpoint.refused_ids += ["first", "second", "first"]
        for request_id in ("first", "second", "first"):
            with pytest.raises(EndpointRefusedError):
                host.send(request_id)
        assert host.send("first").status == 200

    def test_leaves_its_connection_to_others(self, endpoint: LateSecondAnswers) -> None:
        host = EndpointHost(endpoint)
        endpoint.refused_ids.append("first")
        with pytest.raises(EndpointRefusedError):
            host.send("first")
        for number in range(5):
            assert host.send(f"other-{number}").status == 200
        assert endpoint.connections == 1


class TestAnswerWithoutRequestId:
    """Guards against an answer that passes for that to any request."""

    def test_to_the_system_reaches_no_client(self, endpoint: LateSecondAnswers) -> None:
        host = EndpointHost(endpoint)
        endpoint.refused_ids.append("")
        assert host.ask() == 503
        assert host.send("first").status == 200

    def test_to_a_client_reaches_no_other_client(
        self, endpoint: LateSecondAnswers
    ) -> None:
        host = EndpointHost(endpoint)
        endpoint.echoes_ids = False
        endpoint.refused_ids.append("first")
        with pytest.raises(EndpointRefusedError):
            host.send("first")
        assert host.send("second").status == 200
