"""Configurations that reach control hosts just after the leader is lost."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from tests.fakes.platform_system import PlatformSystem, configuration, route
from tests.fakes.processes import wait_until
from tests.fakes.takeover import leader_of

CONTROLS = 3
# A control host has to send its answer within this time; waiting for a silent leader
# uses up all of it.
ANSWER_SECONDS = 0.85
# An operator's request takes the leader a few milliseconds and one disk sync.
KNOWN_LEADER_SECONDS = ANSWER_SECONDS / 2


class TestLeaderThatIsSuspended:
    """Guards against a configuration that waits for an unresponsive leader."""

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
