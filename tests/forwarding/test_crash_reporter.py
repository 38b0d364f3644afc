"""How soon hosts learn of crashes seen by other hosts, with real processes."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from tests.fakes.fleet import Fleet
from tests.fakes.platform_system import PLAIN, PlatformSystem, configuration, route
from tests.fakes.processes import wait_until

FATAL = b"this ends the process"
CONTENTS = 3
# Number of crashes after which the hosts quarantine a content.
CRASHES = 3
ATTEMPTS = 2
ENDPOINTS = CONTENTS * CRASHES + 3
# Pause before a client retries at another host, in seconds: a tenth of the longest
# wait of a watch.
CLIENT_PAUSE_SECONDS = 0.07
# How long crashed endpoints are down, in seconds: longer than the tests take.
DOWN_SECONDS = 60.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    routes = [route("safe", "/safe/", "plain", maxAttempts=ATTEMPTS)]
    folder = tmp_path_factory.mktemp("crash-news")
    with PlatformSystem(folder, controls=3, entries=2) as system:
        system.put_until_accepted(configuration(1, routes, [PLAIN]))
        system.wait_ready()
        with Fleet(
            system, ENDPOINTS, down_seconds=DOWN_SECONDS, crashes_on=FATAL
        ) as fleet:
            wait_until(
                lambda: len(ran_at(fleet, system, "/safe/warm")) == ENDPOINTS,
                "all endpoints serve",
            )
            fleet.system = system  # type: ignore[attr-defined]
            yield fleet


def ran_at(fleet: Fleet, system: PlatformSystem, target: str) -> set[str]:
    """Send a harmless request to each entry host; return where its target has run."""
    for entry in (0, 1):
        system.ask(target, "POST", b"harmless", entry=entry)
    return {
        worker.worker_id
        for worker in fleet.starts
        if any(run.target == target for run in worker.runs)
    }


class TestContentThatIsSentToAnotherHost:
    """Guards against more crashes by one content because reports of it come late."""

    @pytest.mark.parametrize("number", range(CONTENTS))
    def test_crashes_no_more_than_at_one_host(self, fleet: Fleet, number: int) -> None:
        system: PlatformSystem = fleet.system  # type: ignore[attr-defined]
        target = f"/safe/fatal-{number}"
        first = system.ask(target, "POST", FATAL, entry=0)
        time.sleep(CLIENT_PAUSE_SECONDS)
        second = system.ask(target, "POST", FATAL, entry=1)
        assert (first.status, second.status) == (502, 502)
        runs = [
            run.request_id
            for worker in fleet.starts
            for run in worker.runs
            if run.target == target
        ]
        assert len(runs) == CRASHES
        assert system.ask("/safe/x", "POST", b"harmless", entry=1).status == 200
