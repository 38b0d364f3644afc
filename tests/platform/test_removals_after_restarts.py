"""Removals before all control hosts are killed, with real processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Sequence
from pathlib import Path

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

# Time after a restart within which hosts reach each other again.
CONTACT_SECONDS = 3.0
# A forwarding host receives the updates of a control host within this time: it retries
# an unreachable one after 1.2 s at most, and waits 0.7 s for updates.
UPDATE_SECONDS = 3.0
PAUSE_SECONDS = 0.03


def restart(hosts: Sequence[Host]) -> None:
    """Kill all these hosts at once, and start them again."""
    for host in hosts:
        host.signal(signal.SIGKILL)
    for host in hosts:
        host.kill()
        host.start()


@pytest.mark.parametrize("is_known", [True, False])
class TestAcknowledgedRemoval:
    """Guards against requests to an endpoint after its acknowledged removal."""

    def test_outlives_all_control_hosts(self, tmp_path: Path, is_known: bool) -> None:
        with PlatformSystem(tmp_path, controls=3, entries=1) as system:
            leaving, earlier = removed(system, is_known)
            restart(system.controls)
            check_gets_no_requests(system, leaving, earlier)

    def test_outlives_all_hosts(self, tmp_path: Path, is_known: bool) -> None:
        with PlatformSystem(tmp_path, controls=3, entries=1) as system:
            leaving, earlier = removed(system, is_known)
            restart([*system.controls, *system.entries])
            check_gets_no_requests(system, leaving, earlier)


def removed(
    system: PlatformSystem, is_known: bool
) -> tuple[PlatformWorker, dict[str, object]]:
    """Remove an endpoint; return it and an announcement still in transit."""
    routes = [route("safe", "/safe/", "plain")]
    system.put_until_accepted(configuration(1, routes, [PLAIN]))
    system.add(PlatformWorker("other", "plain"))
    system.wait_served("/safe/x")
    leaving = PlatformWorker("leaving", "plain")
    if is_known:
        system.add(leaving)
        system.withdraw(leaving)
    earlier = leaving.heartbeat()
    assert system.leave(leaving) == 200
    return leaving, earlier


def check_gets_no_requests(
    system: PlatformSystem, leaving: PlatformWorker, earlier: dict[str, object]
) -> None:
    """Let the announcement arrive, and assert that the endpoint is not used."""
    time.sleep(CONTACT_SECONDS)
    wait_until(
        lambda: system.send_announcement("leaving", earlier, control=1) == 200,
        "it arrives",
    )
    system.wait_served("/safe/x")
    leaving.runs.clear()
    until = time.monotonic() + UPDATE_SECONDS
    while time.monotonic() < until:
        assert system.ask("/safe/x").status == 200
        time.sleep(PAUSE_SECONDS)
    assert len(leaving.runs) == 0
