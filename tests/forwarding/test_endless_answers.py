"""Endpoints that send bytes without end, with a forwarding host in its own process."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from dataclasses import replace

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    HOST,
    PLAIN,
    PROMPT,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import EndlessAnswer, PlatformWorker
from tests.fakes.processes import wait_until

DEADLINE_SECONDS = 1.5
LONG_DEADLINE_SECONDS = 4.0
# How long after the deadline a client may wait for its answer, and after that an
# endpoint for the end of its connection, in seconds.
ANSWERED_SECONDS = 0.5
CLOSED_SECONDS = 0.5
# The memory that one such answer may take, in KiB.
MAXIMUM_GROWTH_KIB = 64 * 1024
READ_BYTES = 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: worker.{id}\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_BY_NAME = {
    "before the head": EndlessAnswer(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "status line": EndlessAnswer(b"HTTP/1.1 200 ", b"OK"),
    "header": EndlessAnswer(HEAD + b"Filler: ", b"aaaa"),
    "headers": EndlessAnswer(HEAD, b"Filler: aaaa\r\n"),
    "length": EndlessAnswer(HEAD + b"Content-Length: 99999999999\r\n\r\n", b"aa\n\n"),
    "chunks": EndlessAnswer(CHUNKED, b"4\r\naaaa\r\n"),
    "chunk size": EndlessAnswer(CHUNKED, b"0"),
    "no length": EndlessAnswer(HEAD + b"\r\n", b"aaaa"),
    "trailers": EndlessAnswer(
        CHUNKED + b"a\r\ndata: a\r\n\r\n\r\n0\r\n", b"Filler: a\r\n"
    ),
    "events": EndlessAnswer(CHUNKED, b"9\r\ndata: a\n\n\r\n"),
    "other answers": EndlessAnswer(
        b"", b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"
    ),
}
SPEEDS = {"slowly": 0.02, "fast": 0.0}


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("plain", "/plain/", "plain", kind="unsafe", timeoutMs=4000),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
    ]
    folder = tmp_path_factory.mktemp("endless")
    with PlatformSystem(folder) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        running.add(PlatformWorker("reader", "model", "prefill"))
        yield running


def memory_kib(system: PlatformSystem) -> int:
    """Return the largest resident memory of the entry host so far."""
    process = system.entries[0].process
    assert process is not None
    with open(f"/proc/{process.pid}/status") as status:
        lines = [line for line in status if line.startswith("VmHWM:")]
    return int(lines[0].split()[1])


def client(
    system: PlatformSystem,
    path: str,
    headers: dict[str, str],
    deadline_seconds: float = DEADLINE_SECONDS,
) -> socket.socket:
    """Send a request on a new connection, which reads faster than HTTP libraries."""
    host, port = system.entry_http[0].rsplit(":", 1)
    connection = socket.create_connection((host, int(port)), 1)
    connection.settimeout(deadline_seconds + ANSWERED_SECONDS)
    sent = {
        "Host": HOST,
        "Request-Id": f"{time.monotonic_ns():016x}",
        "Deadline-Ms": str(int(deadline_seconds * 1000)),
        "Connection": "close",
        "Content-Length": "0",
        **headers,
    }
    lines = [f"POST {path}endless HTTP/1.1", *map(": ".join, sent.items()), "", ""]
    connection.sendall("\r\n".join(lines).encode())
    return connection


@pytest.mark.parametrize("speed", SPEEDS)
@pytest.mark.parametrize("name", ENDLESS_BY_NAME)
class TestAnswerWithoutEnd:
    """Guards against deadlines that hold only while an endpoint sends nothing."""

    @pytest.mark.parametrize(
        ("path", "service", "stage"),
        [("/plain/", "plain", ""), ("/stream/", "model", "decode")],
        ids=["plain", "stream"],
    )
    def test_ends_at_the_deadline(
        self,
        system: PlatformSystem,
        path: str,
        service: str,
        stage: str,
        name: str,
        speed: str,
    ) -> None:
        worker_id = f"{service}-{name}-{speed}".replace(" ", "-")
        worker = system.add(PlatformWorker(worker_id, service, stage))
        try:
            headers = PROMPT if stage else {}
            system.wait_served(f"{path}warm", method="POST", body=b"", headers=headers)
            worker.endless = replace(ENDLESS_BY_NAME[name], pause_seconds=SPEEDS[speed])
            before_kib = memory_kib(system)
            with client(system, path, headers) as connection:
                limit = time.monotonic() + DEADLINE_SECONDS + ANSWERED_SECONDS
                while connection.recv(READ_BYTES):
                    assert time.monotonic() <= limit
            wait_until(
                lambda: worker.disconnected_clients,
                "the connection is closed",
                CLOSED_SECONDS,
            )
            assert memory_kib(system) - before_kib <= MAXIMUM_GROWTH_KIB
        finally:
            worker.endless = None
            system.heartbeat(worker, "draining")
            system.withdraw(worker)
            worker.kill()


class TestFastAnswerWithoutEnd:
    """Guards against answers that keep a host at work until their clients leave."""

    @pytest.mark.parametrize(
        "name", ["before the head", "chunks", "trailers", "other answers"]
    )
    def test_is_given_up_before_the_deadline(
        self, system: PlatformSystem, name: str
    ) -> None:
        worker = system.add(PlatformWorker(f"fast-{name.replace(' ', '-')}", "plain"))
        try:
            system.wait_served("/plain/warm", method="POST", body=b"")
            worker.endless = ENDLESS_BY_NAME[name]
            with client(system, "/plain/", {}, LONG_DEADLINE_SECONDS) as connection:
                limit = time.monotonic() + LONG_DEADLINE_SECONDS / 2
                status_line = connection.recv(READ_BYTES).partition(b"\r\n")[0]
                assert b" 502 " in status_line
                assert time.monotonic() <= limit
        finally:
            worker.endless = None
            system.heartbeat(worker, "draining")
            system.withdraw(worker)
            worker.kill()
