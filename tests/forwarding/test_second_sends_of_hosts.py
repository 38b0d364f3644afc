"""Second sends of a forwarding host's process, to workers of which one hangs."""

from __future__ import annotations

import itertools
import json
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from tests.fakes.platform_system import (
    PLAIN,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

SAFE, UNSAFE = "/safe/x", "/unsafe/x"
TIMEOUT_MS = 4000
ROUTES = [
    route("safe", "/safe/", "plain", timeoutMs=TIMEOUT_MS, sloMs=1500),
    route(
        "unsafe", "/unsafe/", "plain", kind="unsafe", timeoutMs=TIMEOUT_MS, sloMs=1500
    ),
]
# Requests that teach the host how long answers take, and earn it second sends.
WARM_UP = 30
HANGING = 4


@pytest.fixture
def system(tmp_path: Path) -> Iterator[PlatformSystem]:
    with PlatformSystem(tmp_path, retry_ratio=1.0, second_send_share=0.5) as running:
        running.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
        running.wait_ready()
        yield running


@pytest.fixture
def workers(system: PlatformSystem) -> list[PlatformWorker]:
    added = [system.add(PlatformWorker(f"w-{number}", "plain")) for number in range(3)]
    wait_until(
        lambda: system.ask(SAFE).status == 200 and all(item.runs for item in added),
        "all workers are used",
    )
    for _ in range(WARM_UP):
        assert system.ask(SAFE).status == 200
    for worker in added:
        worker.runs.clear()
    return added


def lines(system: PlatformSystem, message: str) -> list[dict[str, Any]]:
    parsed = map(json.loads, system.entries[0].output().splitlines())
    return [line for line in parsed if line.get("message") == message]


def ask_in_vain(system: PlatformSystem, request_id: str) -> None:
    headers = {"Request-Id": request_id}
    with suppress(OSError):
        system.ask(SAFE, headers=headers, deadline_ms=TIMEOUT_MS)


def assert_own_answer(reply: Reply, request_id: str) -> None:
    assert (reply.status, reply.body, reply.complete) == (200, b"answer", True)
    assert reply.headers["server-stamp"].endswith(request_id)


class TestOneDeliveredAnswer:
    """Guards against unsafe requests that run twice, and against mixed answers.

    A worker hangs, so that a second worker gets the same request while the first one
    still has it.
    """

    def test_unsafe_requests_run_once_and_safe_ones_get_one_answer(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        workers[0].faults.hang = HANGING
        numbers = itertools.count()

        def ask(target: str, method: str) -> str:
            request_id = f"{method}-{next(numbers)}"
            headers = {"Request-Id": request_id}
            reply = system.ask(target, method, None, headers, 0, TIMEOUT_MS)
            assert_own_answer(reply, request_id)
            return request_id

        wait_until(lambda: ask(SAFE, "GET") and not workers[0].faults.hang, "hung")
        for worker in workers:
            worker.run_seconds = 0.2
        unsafe_ids = [ask(UNSAFE, "POST") for _ in range(HANGING)]
        wait_until(
            lambda: len(lines(system, "second send ended")) >= HANGING, "second sends"
        )
        runs = Counter(run for worker in workers for run in worker.run_ids())
        assert all(runs[item] <= 1 for item in unsafe_ids)
        assert max(runs.values()) == 2
        second = {line["request_id"] for line in lines(system, "second send ended")}
        assert {item for item, count in runs.items() if count == 2} == second
        assert not second & set(unsafe_ids)
        # The hanging worker was told each time that its answer is not needed.
        wait_until(
            lambda: len(workers[0].disconnected_clients) == HANGING, "sends given up"
        )


class TestHostLostBetweenBothSends:
    """Guards against workers that work on for a host that has been killed."""

    def test_both_workers_lose_their_caller(
        self, system: PlatformSystem, workers: list[PlatformWorker]
    ) -> None:
        for worker in workers:
            worker.faults.hang = 1
        client = threading.Thread(target=ask_in_vain, args=(system, "lost"))
        client.start()
        wait_until(
            lambda: sum(item.run_ids().count("lost") for item in workers) == 2,
            "two workers have it",
        )
        system.entries[0].kill()
        wait_until(
            lambda: sum("lost" in item.disconnected_clients for item in workers) == 2,
            "both workers stopped",
        )
        client.join(10)
        assert sum(item.run_ids().count("lost") for item in workers) == 2
