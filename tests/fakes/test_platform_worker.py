"""Tests of the stand-in for a worker of the users' platform."""

from __future__ import annotations

import http.client
import socket
import struct
import time
from types import SimpleNamespace

import pytest

from jujubeslip.endpoints import EndpointConnection, EndpointError, never_interrupted
from jujubeslip.kernel import Deadline
from tests.fakes import platform_worker
from tests.fakes._spoiled_answers import (
    COPIES,
    AnswerSpoiler,
    Framing,
    Spoil,
    Spoiling,
)
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


class _NotedSpoiler(AnswerSpoiler):
    """Keeps what it has drawn last."""

    drawn: Spoiling | None = None

    def draw(self) -> Spoiling | None:
        self.drawn = super().draw()
        return self.drawn


def is_answered_whole(address: str, path: str) -> bool:
    connection = EndpointConnection(address)
    try:
        connection.watch(Deadline.after(5.0), never_interrupted)
        connection.send("POST", path, [("Request-Id", "request-1")], b"{}")
        connection.read_rest(connection.read_head())
    except EndpointError:
        return False
    finally:
        connection.close()
    return True


class TestSpoiledAnswers:
    """Guards against a stand-in whose spoiled answers are whole, or others aren't."""

    @pytest.mark.parametrize(
        ("stage", "path"), [("", "/"), ("decode", "/"), ("decode", "/report")]
    )
    def test_are_whole_only_with_their_end(self, stage: str, path: str) -> None:
        spoiler = _NotedSpoiler(seed=1, share=1.0)
        drawn = set()
        with PlatformWorker("worker-1", "service", stage, events=2) as worker:
            worker.spoiler = spoiler
            for _ in range(150):
                is_whole = is_answered_whole(worker.address, path)
                assert spoiler.drawn is not None
                spoil = spoiler.drawn.spoil
                drawn.add((spoil, spoiler.drawn.framing))
                assert is_whole == (spoil in (*COPIES, Spoil.FRAMING)), spoiler.drawn
        assert len(drawn) == 21

    @pytest.mark.parametrize("spoil", COPIES)
    @pytest.mark.parametrize("late_seconds", [0.05, None])
    def test_may_come_again_later(
        self, spoil: Spoil, late_seconds: float | None
    ) -> None:
        spoiling = Spoiling(spoil, Framing.LENGTH, 0.5, late_seconds=late_seconds)
        with PlatformWorker("worker-1", "service") as worker:
            worker.spoiler = SimpleNamespace(draw=lambda: spoiling)  # type: ignore[assignment]
            host, _, port = worker.address.rpartition(":")
            client = socket.create_connection((host, int(port)), 5.0)
            for number in (1, 2):
                client.sendall(b"POST / HTTP/1.1\r\nRequest-Id: %d\r\n\r\n" % number)
            received = b""
            while received.count(b"HTTP/1.1 200") < 3:
                received += client.recv(65536)
            client.close()
