"""Tests of the stand-in for a worker of the users' platform."""

from __future__ import annotations

import http.client
import socket
import struct
import time
from types import SimpleNamespace

import pytest

from tests.fakes import platform_worker
from tests.fakes.platform_worker import (
    EVENT_PAUSE_SECONDS,
    PlatformWorker,
    WorkerHandler,
)
from tests.fakes.processes import wait_until

EVENTS = 50
# The factor by which threads oversleep on the simulated busy machine.
OVERSLEEP_FACTOR = 5.0


class TestStreamOnABusyMachine:
    """Late wake-ups of the stand-in must not delay a stream beyond its timeout."""

    def test_lasts_as_long_as_on_an_idle_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        late_time = SimpleNamespace(
            monotonic=time.monotonic,
            sleep=lambda seconds: time.sleep(OVERSLEEP_FACTOR * seconds),
        )
        monkeypatch.setattr(platform_worker, "time", late_time)
        with PlatformWorker("engine-1", "model", "decode", events=EVENTS) as worker:
            connection = http.client.HTTPConnection(worker.address, timeout=10.0)
            started_at = time.monotonic()
            connection.request("POST", "/", b"prompt", {"Request-Id": "request-1"})
            body = connection.getresponse().read()
            duration = time.monotonic() - started_at
            connection.close()
        assert body.count(b"id: ") == EVENTS
        assert duration < EVENTS * EVENT_PAUSE_SECONDS * OVERSLEEP_FACTOR / 2


class TestCallerThatResetsItsConnection:
    """A disconnect that only a failed write reveals must be recorded as well."""

    def test_is_noted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(WorkerHandler, "peer_is_open", lambda _: True)
        with PlatformWorker("engine-1", "model", "decode", events=EVENTS) as worker:
            host, _, port = worker.address.rpartition(":")
            client = socket.create_connection((host, int(port)))
            client.sendall(b"POST / HTTP/1.1\r\nRequest-Id: request-1\r\n\r\n")
            assert client.recv(1)
            reset_on_close = struct.pack("ii", 1, 0)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
            client.close()
            wait_until(
                lambda: worker.disconnected_clients == ["request-1"], "it is noted"
            )
