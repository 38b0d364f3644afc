"""Entry hosts that tell each other of a slow endpoint, in processes of their own."""

from __future__ import annotations

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from tests.fakes.platform_system import PLAIN, PlatformSystem, configuration, route
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

PATH = "/safe/x"
REPORTING, TOLD = (0, 1, 2), 3
SLOW_SECONDS = 0.4


@pytest.fixture
def system(tmp_path: Any) -> Iterator[PlatformSystem]:
    """Run four entry hosts that have measured usual answer times."""
    hosts = len(REPORTING) + 1
    with PlatformSystem(tmp_path, entries=hosts, policy="expected-time") as running:
        routes = [route("safe", "/safe/", "plain")]
        running.put_until_accepted(configuration(1, routes, [PLAIN]))
        running.add(PlatformWorker("worker", "plain"))
        for entry in range(hosts):
            running.wait_served(PATH, entry=entry)
        for number in range(12 * hosts):
            running.ask(PATH, entry=number % hosts)
        yield running


def ask_each(system: PlatformSystem) -> None:
    """Send one request through each host that reports, at the same time."""
    with ThreadPoolExecutor(len(REPORTING)) as pool:
        list(pool.map(lambda entry: system.ask(PATH, entry=entry), REPORTING))


def lines(system: PlatformSystem, entry: int, message: str) -> list[dict[str, Any]]:
    written = system.entries[entry].output().splitlines()
    found = [json.loads(line) for line in written if f'"{message}"' in line]
    return [item for item in found if item["message"] == message]


class TestSlowWorker:
    """Guards against a host that finds a slow endpoint only by its own requests."""

    def test_is_told_to_other_hosts_until_it_is_well(
        self, system: PlatformSystem
    ) -> None:
        (worker,) = system._workers
        worker.run_seconds = SLOW_SECONDS
        for _ in range(8):
            ask_each(system)
        system.ask(PATH, entry=TOLD)
        (told,) = lines(system, TOLD, "endpoint considered slow")
        assert told["shared_answer_ms"] >= SLOW_SECONDS * 1000
        assert told["answer_ms"] < SLOW_SECONDS * 1000 / 2
        worker.run_seconds = 0.0

        def is_well() -> bool:
            ask_each(system)
            system.ask(PATH, entry=TOLD)
            return bool(lines(system, TOLD, "endpoint considered well again"))

        wait_until(is_well, "the worker is considered well again")
