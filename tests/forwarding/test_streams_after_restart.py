"""Equal streams beside a crashing request, just after a restart of all hosts."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.fakes.fleet import Fleet
from tests.fakes.platform_system import (
    ENGINE,
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

CRASHING, EQUAL = b"this ends the process", b"poll"
ENTRIES = 3
CRASHES = 3
# Events of a stream that lasts for more than a second.
LONG_STREAM = 130
# Time from the start of a stream to the crashing request beside it, in seconds: the
# first event has arrived by then, but the stream has not run for long.
BESIDE_SECONDS = 0.1


@pytest.fixture
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [route("stream", "/stream/", "model", **shape, maxAttempts=1)]
    folder = tmp_path_factory.mktemp("anew")
    with PlatformSystem(folder, controls=3, entries=ENTRIES) as running:
        running.put_until_accepted(configuration(1, routes, [ENGINE]))
        running.wait_ready()
        running.add(PlatformWorker("reader", "model", "prefill"))
        yield running


@pytest.fixture
def engine(system: PlatformSystem) -> Iterator[Fleet]:
    """Run one engine, which is restarted each time it has exited."""
    with Fleet(
        system, 1, "model", stage="decode", crashes_on=CRASHING, events=LONG_STREAM
    ) as fleet:
        yield fleet


def send(system: PlatformSystem, body: bytes, entry: int) -> Reply:
    return system.ask("/stream/x", "POST", body, PROMPT, entry, deadline_ms=4000)


def wait_served(system: PlatformSystem, body: bytes) -> None:
    for entry in range(ENTRIES):
        wait_until(
            lambda entry=entry: send(system, body, entry).complete,  # type: ignore[misc]
            "a stream is served",
        )


def restart_all_hosts(system: PlatformSystem) -> None:
    hosts = [*system.controls, *system.entries]
    for host in hosts:
        host.kill()
    for host in hosts:
        host.start()
    for entry in range(ENTRIES):
        wait_until(lambda entry=entry: system.ready(entry), "the host is ready")  # type: ignore[misc]


def crash_engine(system: PlatformSystem, engine: Fleet, entry: int) -> None:
    """Send the crashing content while the engine answers one of the equal streams."""
    runs = len(engine.run_ids())
    with ThreadPoolExecutor(1) as pool:
        stream = pool.submit(send, system, EQUAL, entry)
        wait_until(lambda: len(engine.run_ids()) > runs, "the stream runs")
        time.sleep(BESIDE_SECONDS)
        send(system, CRASHING, (entry + 1) % ENTRIES)
        assert not stream.result().complete


class TestEqualStreamsAfterARestartOfAllHosts:
    """Guards against quarantining a stream that ran well before the hosts restarted.

    The hosts lose their record of harmless contents with the restart.
    """

    def test_are_still_served(self, system: PlatformSystem, engine: Fleet) -> None:
        wait_served(system, EQUAL)
        restart_all_hosts(system)
        for number in range(CRASHES):
            wait_served(system, b"other-%d" % number)
            crash_engine(system, engine, number)
        wait_until(
            lambda: b"request_quarantined" in send(system, CRASHING, 0).body,
            "the crashing content is refused",
        )
        replies = [send(system, EQUAL, entry) for entry in range(ENTRIES)]
        refused = [b"request_quarantined" in reply.body for reply in replies]
        assert refused == [False] * ENTRIES
