"""Each way in which an endpoint announces its removal, before all hosts are killed."""

from __future__ import annotations

import shutil
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeAlias

import pytest

from tests.fakes.platform_system import (
    PLAIN,
    Host,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until
from tests.platform.test_removals_after_restarts import (
    CONTACT_SECONDS,
    PAUSE_SECONDS,
    UPDATE_SECONDS,
    check_gets_no_requests,
    restart,
)

FIRST, SECOND = 1_700_000_000_000, 1_700_000_005_000
# A later start gets requests within this time after its announcement.
USED_SECONDS = 2.0

Leave: TypeAlias = Callable[[PlatformSystem, PlatformWorker], int]


@pytest.fixture
def system(tmp_path: Path) -> Iterator[PlatformSystem]:
    with PlatformSystem(tmp_path, controls=3, entries=1) as system:
        routes = [route("safe", "/safe/", "plain")]
        system.put_until_accepted(configuration(1, routes, [PLAIN]))
        system.add(PlatformWorker("other", "plain"))
        system.wait_served("/safe/x")
        yield system


def started(worker_id: str = "leaving", start: int | None = FIRST) -> PlatformWorker:
    return PlatformWorker(worker_id, "plain", started_at_ms=start)


def sign_off(system: PlatformSystem, worker: PlatformWorker) -> int:
    return system.leave(worker)


def sign_off_by_start(system: PlatformSystem, worker: PlatformWorker) -> int:
    return system.leave(worker, includes_start=True)


def announce_leaving(system: PlatformSystem, worker: PlatformWorker) -> int:
    return system.heartbeat(worker, "draining")


def make_known(system: PlatformSystem, worker: PlatformWorker) -> dict[str, Any]:
    """Announce an endpoint to the system; return an announcement still in transit."""
    system.add(worker)
    system.withdraw(worker)
    return worker.heartbeat()


def count_runs(system: PlatformSystem, worker: PlatformWorker) -> int:
    """Send requests for some seconds; return how many the endpoint got."""
    worker.runs.clear()
    until = time.monotonic() + UPDATE_SECONDS
    while time.monotonic() < until:
        assert system.ask("/safe/x").status == 200
        time.sleep(PAUSE_SECONDS)
    return len(worker.runs)


def wait_used(system: PlatformSystem, worker: PlatformWorker) -> None:
    def is_asked() -> bool:
        system.ask("/safe/x")
        return len(worker.runs) > 0

    wait_until(is_asked, "the later start is used", USED_SECONDS)


@pytest.mark.parametrize(
    ("leave", "start"),
    [
        (sign_off, FIRST),
        (sign_off_by_start, FIRST),
        (announce_leaving, FIRST),
        (announce_leaving, None),
    ],
)
class TestRemovalBeforeAllHostsAreKilled:
    """Guards against requests to a start that has left, however it announced that."""

    def test_holds_for_a_late_announcement(
        self, system: PlatformSystem, leave: Leave, start: int | None
    ) -> None:
        leaving = started(start=start)
        earlier = make_known(system, leaving)
        assert leave(system, leaving) == 200
        restart([*system.controls, *system.entries])
        check_gets_no_requests(system, leaving, earlier)

    def test_does_not_apply_to_a_later_start(
        self, system: PlatformSystem, leave: Leave, start: int | None
    ) -> None:
        leaving = started(start=start)
        make_known(system, leaving)
        assert leave(system, leaving) == 200
        restart([*system.controls, *system.entries])
        later = leaving.kill_and_restart(SECOND)
        system.wait_served("/safe/x")
        system.add(later)
        wait_used(system, later)


class TestRemovalOfALaterStart:
    """Guards against a lost removal at a host that only knows an earlier start."""

    def test_holds_for_its_late_announcement(self, system: PlatformSystem) -> None:
        first = started()
        make_known(system, first)
        later = first.kill_and_restart(SECOND)
        earlier = later.heartbeat()
        assert system.leave(later, includes_start=True) == 200
        assert system.send_announcement("leaving", earlier, control=1) == 200
        assert count_runs(system, later) == 0


class TestRemovalWithoutAMajority:
    """Guards against requests to an endpoint that leaves in a partitioned zone."""

    @pytest.mark.parametrize("is_known", [True, False])
    def test_holds_without_an_acknowledgement(
        self, system: PlatformSystem, is_known: bool
    ) -> None:
        leaving = started()
        earlier = make_known(system, leaving) if is_known else leaving.heartbeat()
        for host in system.controls[1:]:
            host.kill()
        assert system.leave(leaving) == 503
        assert system.send_announcement("leaving", earlier) == 200
        assert count_runs(system, leaving) == 0

    def test_is_acknowledged_once_there_is_a_majority(
        self, system: PlatformSystem
    ) -> None:
        leaving = started()
        earlier = make_known(system, leaving)
        for host in system.controls[1:]:
            host.kill()
        assert system.leave(leaving) == 503
        for host in system.controls[1:]:
            host.start()
        wait_until(lambda: system.leave(leaving) == 200, "it is acknowledged")
        restart([*system.controls, *system.entries])
        check_gets_no_requests(system, leaving, earlier)


class TestHostThatLostItsDiskAfterARemoval:
    """Guards against a removal that only the acknowledging host has stored."""

    def test_learns_it_from_the_log(self, system: PlatformSystem) -> None:
        leaving = started()
        earlier = make_known(system, leaving)
        assert system.leave(leaving, control=0) == 200
        lost = system.controls[0]
        kill_all(system)
        shutil.rmtree(system.folder / lost.name)
        settings = lost.settings_path.read_text()
        lost.settings_path.write_text(settings.replace("found = true", "found = false"))
        for host in (*system.controls, *system.entries):
            host.start()
        time.sleep(CONTACT_SECONDS)
        arrived = "it arrives at the host with the new disk"
        wait_until(
            lambda: system.send_announcement("leaving", earlier, control=0) == 200,
            arrived,
        )
        system.wait_served("/safe/x")
        assert count_runs(system, leaving) == 0


def kill_all(system: PlatformSystem) -> None:
    hosts: list[Host] = [*system.controls, *system.entries]
    for host in hosts:
        host.kill()
