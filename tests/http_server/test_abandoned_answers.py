"""Answers that fail after they have begun."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import pytest
from waitress import wasyncore

from jujubeslip.http_server import (
    AnswerAbandonedError,
    HttpServer,
    HttpServerOptions,
)
from jujubeslip.kernel import Process
from tests.fakes.processes import free_address

SECONDS = 5.0
LENGTHS: dict[str, list[tuple[str, str]]] = {
    "/length": [("Content-Length", "100")],
    "/none": [],
}


def app(environ: dict, start_response: object) -> Iterator[bytes]:
    start_response("200 OK", LENGTHS[environ["PATH_INFO"]])  # type: ignore[operator]
    yield b"the beginning"
    raise AnswerAbandonedError("lost")


@pytest.fixture
def address() -> Iterator[str]:
    address, process = free_address(), Process("test")
    server = HttpServer(HttpServerOptions(address, threads=2), app)
    server.start(process)
    yield address
    process.stopped.set()
    inner = server._server
    # Fails where the server's task, woken by something else, has closed it already.
    with contextlib.suppress(OSError):
        inner.trigger.pull_trigger(lambda: wasyncore.close_all(inner._map, True))


def received(address: str, path: str, version: str) -> bytes:
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), SECONDS) as connection:
        connection.sendall(f"GET {path} HTTP/{version}\r\nHost: x\r\n\r\n".encode())
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts)


class TestAbandonedAnswer:
    """Guards against the beginning of an answer that looks like a whole one."""

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    def test_is_shorter_than_its_length(self, address: str, version: str) -> None:
        answer = received(address, "/length", version)
        assert b"\r\nContent-Length: 100\r\n" in answer
        assert answer.endswith(b"the beginning")

    def test_lacks_its_last_chunk(self, address: str) -> None:
        assert received(address, "/none", "1.1").endswith(b"the beginning\r\n")

    def test_is_reset_where_only_its_end_would_frame_it(self, address: str) -> None:
        with pytest.raises(ConnectionResetError):
            received(address, "/none", "1.0")
