"""Configurations that reach control hosts just after a leader was lost."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from tests.fakes.platform_system import PlatformSystem, configuration, route
from tests.fakes.processes import wait_until
from tests.fakes.takeover import leader_of

CONTROLS = 3
# An answer of a control host has to be on its way by then; a silent leader takes all of
# that.
ANSWER_SECONDS = 0.85
# An operator's call needs a few milliseconds of the leader and one sync of its disk.
KNOWN_LEADER_SECONDS = ANSWER_SECONDS / 2


class TestLeaderThatIsSuspended:
    """Guards against a configuration that waits for a leader that is gone."""

    @pytest.mark.parametrize("asked_before", [True, False])
    def test_next_one_is_asked_first(self, tmp_path: Path, asked_before: bool) -> None:
        routes = [route("plain", "/plain/", "desk")]
        services = [{"name": "desk", "healthPath": "/health", "maxConns": 100}]
        with PlatformSystem(tmp_path, controls=CONTROLS) as system:
            system.put_until_accepted(configuration(1, routes, services))
            for number in range(CONTROLS if asked_before else 0):
                system.put_until_accepted(
                    configuration(2 + number, routes, services), number
                )
            suspended = leader_of(system)
            system.controls[suspended].signal(signal.SIGSTOP)
            wait_until(lambda: leader_of(system) != suspended, "the next one leads")
            others = [number for number in range(CONTROLS) if number != suspended]
            others.sort(key=lambda number: number != leader_of(system))
            for version, number in enumerate(others, 10):
                began = time.monotonic()
                answer = system.put(configuration(version, routes, services), number)
                assert answer == 200
                assert time.monotonic() - began < KNOWN_LEADER_SECONDS
            system.controls[suspended].signal(signal.SIGCONT)
