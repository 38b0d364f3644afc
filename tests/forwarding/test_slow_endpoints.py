"""Entry hosts that tell each other of a slow endpoint, in processes of their own."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from jujubeslip.control._slow_list import COMBINE_SECONDS
from jujubeslip.discovery._control_followers import WAIT_MS
from jujubeslip.forwarding._answer_times import REPORT_SECONDS
from tests.fakes.platform_system import PLAIN, PlatformSystem, configuration, route
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

PATH = "/safe/x"
REPORTING, TOLD = (0, 1, 2), 3
SLOW_SECONDS = 0.4
# Longest time from the first slow answer until a host is told: its earlier answers no
# longer count, the hosts report to a control host, and that replies with its list.
TOLD_SECONDS = REPORT_SECONDS + 2 * WAIT_MS / 1000 + COMBINE_SECONDS
ROUNDS = math.ceil(TOLD_SECONDS / SLOW_SECONDS) + 1
LOG_SECONDS = 1.0


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


def ask_until_told(system: PlatformSystem, worker: PlatformWorker) -> None:
    """Let the worker be slow for the hosts that report, and quick for the other one."""
    for _ in range(ROUNDS):
        worker.run_seconds = SLOW_SECONDS
        ask_each(system)
        worker.run_seconds = 0.0
        system.ask(PATH, entry=TOLD)
        if lines(system, TOLD, "endpoint considered slow"):
            return


class TestSlowWorker:
    """Guards against a host that finds a slow endpoint only by its own requests."""

    def test_is_told_to_other_hosts_until_it_is_well(
        self, system: PlatformSystem
    ) -> None:
        (worker,) = system._workers
        ask_until_told(system, worker)
        (told,) = wait_until(
            lambda: lines(system, TOLD, "endpoint considered slow"),
            "the other host was told",
            LOG_SECONDS,
        )
        assert told["shared_answer_ms"] >= SLOW_SECONDS * 1000
        assert told["answer_ms"] < SLOW_SECONDS * 1000 / 2

        def is_well() -> bool:
            ask_each(system)
            system.ask(PATH, entry=TOLD)
            return bool(lines(system, TOLD, "endpoint considered well again"))

        wait_until(is_well, "the worker is considered well again")
