"""The order in which requests get capacity while leaders change, in processes."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

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

TIMEOUT_MS, TARGET_MS = 14_000, 3_000
# A client that retries so long after its first try is late in any case.
LATE_MS = TIMEOUT_MS - TARGET_MS - 500
# The prompts of two requests don't fit into the engine's memory.
HALF_OF_MEMORY = {**PROMPT, "Token-Count": "60000,20", "Prompt-Prefix": "aa:60000"}
# A host that has started leads, and entry hosts hear of that, within this time.
HEARD_SECONDS = 1.2
# Waiting requests have joined a queue and been tried several times after this time.
QUEUED_SECONDS = 0.7
ROUNDS = 3
UNREACHABLE, ANSWERS = '"control host unreachable"', '"control host answers"'


def build_system(folder: Path, controls: int) -> PlatformSystem:
    return PlatformSystem(folder, controls=controls, entries=2)


def prepare(system: PlatformSystem) -> PlatformWorker:
    """Configure the system, and add the only engine."""
    shape = {"kind": "stream", "timeoutMs": TIMEOUT_MS, "sloMs": TARGET_MS}
    routes = [route("stream", "/stream/", "model", **shape, maxAttempts=1)]
    system.put_until_accepted(configuration(1, routes, [ENGINE]))
    engine = PlatformWorker("engine", "model", "decode")
    system.add(engine)
    for entry in range(2):
        system.wait_served(
            "/stream/x", method="POST", headers=PROMPT, entry=entry, deadline_ms=8000
        )
    return engine


def fill(engine: PlatformWorker) -> None:
    """Let other requests use the engine's whole memory."""
    engine.reservations["others"] = engine.capacity
    engine.faults.no_room = 1_000_000
    engine.runs.clear()


def make_room(engine: PlatformWorker) -> None:
    engine.faults.no_room = 0
    engine.reservations.pop("others")


def send(
    system: PlatformSystem, name: str, entry: int, deadline_ms: int = TIMEOUT_MS
) -> Reply:
    headers = {**HALF_OF_MEMORY, "Request-Id": name}
    return system.ask("/stream/x", "POST", b"prompt", headers, entry, deadline_ms)


def wait_until_asked(engine: PlatformWorker) -> None:
    """Wait until a host has asked the full engine for a reservation."""
    left = engine.faults.no_room
    wait_until(lambda: engine.faults.no_room < left, "the engine is asked")


def wait_until_logged(system: PlatformSystem, message: str, times: int) -> None:
    """Wait until each entry host has written this message so many times."""
    wait_until(
        lambda: all(entry.output().count(message) >= times for entry in system.entries),
        f"all entry hosts have written {message}",
    )


def run_order(
    engine: PlatformWorker, late: Future[Reply], in_time: Future[Reply]
) -> list[str]:
    """Return the requests that ran, in their order."""
    assert late.result().complete and in_time.result().complete
    return engine.run_ids()


@pytest.fixture
def with_one_control_host(tmp_path: Path) -> Iterator[PlatformSystem]:
    with build_system(tmp_path, 1) as running:
        yield running


@pytest.fixture
def with_three_control_hosts(tmp_path: Path) -> Iterator[PlatformSystem]:
    with build_system(tmp_path, 3) as running:
        yield running


class TestRequestThatBeganToWaitWithoutALeader:
    """Guards against late requests that take capacity beside the queue of a leader."""

    def test_joins_the_queue_of_the_next_leader(
        self, with_one_control_host: PlatformSystem
    ) -> None:
        system = with_one_control_host
        engine = prepare(system)
        fill(engine)
        control = system.controls[0]
        control.kill()
        with ThreadPoolExecutor(2) as threads:
            late = threads.submit(send, system, "late", 0, LATE_MS)
            wait_until_asked(engine)
            wait_until_logged(system, UNREACHABLE, 1)
            answers = max(entry.output().count(ANSWERS) for entry in system.entries)
            control.start()
            wait_until_logged(system, ANSWERS, answers + 1)
            time.sleep(HEARD_SECONDS)
            in_time = threads.submit(send, system, "in-time", 1)
            time.sleep(QUEUED_SECONDS)
            make_room(engine)
            assert run_order(engine, late, in_time) == ["in-time", "late"]


class TestHostsWithoutALeader:
    """Guards against capacity that goes to whichever host happens to ask next."""

    def test_their_requests_wait_in_one_queue(
        self, with_three_control_hosts: PlatformSystem
    ) -> None:
        system = with_three_control_hosts
        engine = prepare(system)
        for control in system.controls[1:]:
            control.kill()
        time.sleep(HEARD_SECONDS)
        for _ in range(ROUNDS):
            fill(engine)
            with ThreadPoolExecutor(2) as threads:
                late = threads.submit(send, system, "late", 0, LATE_MS)
                time.sleep(QUEUED_SECONDS)
                in_time = threads.submit(send, system, "in-time", 1)
                time.sleep(QUEUED_SECONDS)
                make_room(engine)
                assert run_order(engine, late, in_time) == ["in-time", "late"]
