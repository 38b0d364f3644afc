"""Endpoints that leave before any control host knows them, with real processes."""

from __future__ import annotations

import json
from pathlib import Path

from tests.fakes.platform_system import (
    PLAIN,
    Host,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until


def reached_controls(host: Host) -> set[str]:
    """Return the addresses of the control hosts that have answered this one."""
    lines = [json.loads(line) for line in host.output().splitlines()]
    message = "control host answers"
    return {line["address"] for line in lines if line["message"] == message}


class TestControlHostThatIsLostAfterARemoval:
    """Guards against an acknowledged removal that only one control host has stored."""

    def test_late_announcement_does_not_restore_the_endpoint(
        self, tmp_path: Path
    ) -> None:
        with PlatformSystem(tmp_path, controls=3, entries=1) as system:
            routes = [route("safe", "/safe/", "plain")]
            system.put_until_accepted(configuration(1, routes, [PLAIN]))
            other = system.add(PlatformWorker("other", "plain"), control=1)
            system.wait_served("/safe/x")
            # The other control hosts already follow the one that gets the removal.
            for follower in system.controls[1:]:
                wait_until(
                    lambda follower=follower: (
                        system.seeds[0] in reached_controls(follower)
                    ),  # type: ignore[misc]
                    "the first control host is followed",
                )
            leaving = PlatformWorker("leaving", "plain")
            earlier = leaving.heartbeat()
            assert system.leave(leaving, control=0) == 200
            system.controls[0].kill()
            assert system.send_announcement("leaving", earlier, control=1) == 200
            other.runs.clear()
            for _ in range(30):
                system.ask("/safe/x")
            assert leaving.runs == []
            assert len(other.runs) == 30
