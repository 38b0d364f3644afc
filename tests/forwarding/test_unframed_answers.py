"""Answers that end with their connection, with a forwarding host in its own process."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from tests.fakes.fatal_parts import fatal_system
from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker

EVENTS = 5
# Until the forwarding host knows what an endpoint has announced.
KNOWN_SECONDS = 0.5


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("unsafe", "/unsafe/", "plain", kind="unsafe"),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
    ]
    with PlatformSystem(tmp_path_factory.mktemp("unframed")) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        running.add(PlatformWorker("reader", "model", "prefill"))
        yield running


@pytest.fixture
def engine(
    system: PlatformSystem, request: pytest.FixtureRequest
) -> Iterator[PlatformWorker]:
    name = request.node.name
    worker = system.add(PlatformWorker(name, "model", "decode", events=EVENTS))
    system.wait_served("/stream/warm", method="POST", body=b"", headers=PROMPT)
    yield worker
    system.leave(worker)
    system.withdraw(worker)
    worker.kill()


class TestStreamWithoutChunks:
    """Guards against streams whose end is taken for a lost connection, or reversed."""

    def test_is_whole_if_it_ends_between_events(
        self, system: PlatformSystem, engine: PlatformWorker
    ) -> None:
        engine.faults.unframed = 1
        reply = system.ask("/stream/whole", "POST", b"", PROMPT, deadline_ms=4000)
        assert reply.complete
        assert reply.body.count(b"\n\n") == EVENTS

    def test_is_broken_off_if_it_ends_inside_an_event(
        self, system: PlatformSystem, engine: PlatformWorker
    ) -> None:
        engine.faults.unframed = 1
        engine.faults.cut_stream_after = 2
        reply = system.ask("/stream/cut", "POST", b"", PROMPT, deadline_ms=4000)
        assert not reply.complete
        assert reply.body.count(b"\n\n") == 2


class TestStreamOfAnEndpointThatEnds:
    """Guards against partial streams that look whole as their endpoint has crashed."""

    @pytest.mark.parametrize("leaves", [False, True], ids=["unannounced", "leaving"])
    def test_is_broken_off(
        self, system: PlatformSystem, engine: PlatformWorker, leaves: bool
    ) -> None:
        if leaves:
            engine.on_crash = lambda: _leave(system, engine)
        engine.crashes_on_parts = frozenset({"aa"})
        engine.crashes_after_events = 2
        engine.crashes_unframed = True
        reply = system.ask("/stream/crash", "POST", b"", PROMPT, deadline_ms=4000)
        assert not reply.complete

    def test_is_broken_off_if_another_host_relays_it(
        self, tmp_path_factory: pytest.TempPathFactory
    ) -> None:
        folder = tmp_path_factory.mktemp("relayed")
        with fatal_system(folder, 2, is_unframed=True, relaying_entry=0) as fatal:
            sent = fatal.clients.send(["fa7a10"], entry=0)
            assert fatal.reached([sent])
            assert not sent.reply.complete


def _leave(system: PlatformSystem, engine: PlatformWorker) -> bool:
    """Announce that an engine leaves, and wait until the forwarding host knows."""
    assert system.heartbeat(engine, state="draining") == 200
    time.sleep(KNOWN_SECONDS)
    return True


class TestPlainAnswerWithoutLength:
    def test_is_delivered(self, system: PlatformSystem) -> None:
        with PlatformWorker("plain", "plain") as worker:
            system.add(worker)
            system.wait_served("/unsafe/warm", method="POST", body=b"")
            worker.faults.unframed = 1
            reply = system.ask("/unsafe/x", "POST", b"")
            assert (reply.status, reply.body) == (200, worker.answer)
            system.withdraw(worker)
