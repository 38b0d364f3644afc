"""Configurations during a change of leader."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from tests.fakes.platform_system import PLAIN, PlatformSystem, configuration, route
from tests.fakes.processes import wait_until
from tests.fakes.takeover import (
    leader_of,
    suspended_leader,
    wait_for_next_leader,
    wait_until_followed,
)

CONTROLS = 3
ROUTES = [route("plain", "/plain/", "plain")]
# A control host has to send its answer within this time.
ANSWER_SECONDS = 0.85
# An operator's request takes the leader a few milliseconds and one disk sync.
KNOWN_LEADER_SECONDS = ANSWER_SECONDS / 2
# An acknowledged configuration has to be in force on all hosts within this time.
APPLY_SECONDS = 2.0
# How long a leader is unreachable: less than the election timeout of its followers.
SHORT_CUT_SECONDS = 0.25


def version(number: int) -> dict[str, Any]:
    return configuration(number, ROUTES, [PLAIN])


@pytest.fixture
def system(tmp_path: Path) -> Iterator[PlatformSystem]:
    """Return a system in which each control host has reached the leader."""
    with PlatformSystem(tmp_path, controls=CONTROLS) as running:
        running.put_until_accepted(version(1))
        for number in range(CONTROLS):
            running.put_until_accepted(version(2 + number), number)
        running.wait_ready()
        yield running


def timed_put(system: PlatformSystem, number: int, control: int) -> tuple[Any, float]:
    """Send a configuration once; return the status and how long it took."""
    began = time.monotonic()
    return system.put(version(number), control), time.monotonic() - began


class TestChangeSentBeforeTheNextOneLeads:
    """Guards against a change that is refused although there is a new leader.

    Followers campaign 0.4 to 0.56 s after the last message of the leader, so the next
    one is elected long before an answer is due.
    """

    @pytest.mark.parametrize("sent_after", [0.3, 0.4])
    def test_is_acknowledged(self, system: PlatformSystem, sent_after: float) -> None:
        with suspended_leader(system) as suspended, ThreadPoolExecutor() as threads:
            time.sleep(sent_after)
            others = [item for item in range(CONTROLS) if item != suspended]
            puts = [
                threads.submit(timed_put, system, 10 + other, other) for other in others
            ]
            answers = [put.result() for put in puts]
            wait_for_next_leader(system, suspended)
        for status, seconds in answers:
            assert status == 200
            assert seconds < ANSWER_SECONDS


class TestSecondTakeover:
    """Guards against a change that is sent to the leader of an earlier term."""

    def test_next_one_is_asked_first(self, system: PlatformSystem) -> None:
        for round_number in range(3):
            with suspended_leader(system) as suspended:
                leader = wait_for_next_leader(system, suspended)
                others = [item for item in range(CONTROLS) if item != suspended]
                for other in sorted(others, key=lambda item: item != leader):
                    number = 10 * (round_number + 1) + other
                    status, seconds = timed_put(system, number, other)
                    assert status == 200 and seconds < KNOWN_LEADER_SECONDS
            wait_until_followed(system, suspended)
            status, seconds = timed_put(system, 10 * (round_number + 1) + 5, suspended)
            assert status == 200 and seconds < KNOWN_LEADER_SECONDS


class TestBrieflyUnreachableLeader:
    """Guards against a request that doesn't retry a leader that is reachable again."""

    def test_is_retried(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, controls=CONTROLS, has_proxies=True) as system:
            system.put_until_accepted(version(1))
            leader = leader_of(system)
            others = [item for item in range(CONTROLS) if item != leader]
            for number, other in enumerate(others, 2):
                system.put_until_accepted(version(number), other)
            proxy = system.proxies[leader]
            proxy.refuse()
            proxy.reset()
            with ThreadPoolExecutor() as threads:
                puts = [
                    threads.submit(timed_put, system, 10 + other, other)
                    for other in others
                ]
                time.sleep(SHORT_CUT_SECONDS)
                proxy.heal()
                answers = [put.result() for put in puts]
            assert leader_of(system) == leader
            for status, seconds in answers:
                assert status == 200
                assert seconds < ANSWER_SECONDS


class TestConfigurationOfALostLeader:
    """Guards against an acknowledged change that hosts don't apply in time."""

    def test_is_in_force_at_entry_hosts(self, system: PlatformSystem) -> None:
        for number in range(20, 23):
            system.put_until_accepted(version(number), leader_of(system))
            acknowledged = time.monotonic()
            with suspended_leader(system) as suspended:
                wait_until(
                    lambda number=number: version_in_force(system) >= number,  # type: ignore[misc]
                    "the change is in force",
                )
                assert time.monotonic() - acknowledged < APPLY_SECONDS
                wait_for_next_leader(system, suspended)
            wait_until_followed(system, suspended)

    def test_is_read_at_other_control_hosts(self, system: PlatformSystem) -> None:
        for number in range(20, 23):
            system.put_until_accepted(version(number), leader_of(system))
            acknowledged = time.monotonic()
            with suspended_leader(system) as suspended:
                for other in range(CONTROLS):
                    if other == suspended:
                        continue
                    status, content = system.read(other)
                    assert status == 503 or content["version"] >= number
                leader = wait_for_next_leader(system, suspended)
                status, content = system.read(leader)
                assert (status, content["version"]) == (200, number)
                assert time.monotonic() - acknowledged < APPLY_SECONDS
            wait_until_followed(system, suspended)


def version_in_force(system: PlatformSystem) -> int:
    """Return the version in force at the entry host, from its log."""
    lines = [
        line
        for line in system.entries[0].output().splitlines()
        if '"configuration in force"' in line
    ]
    numbers = [int(line.split('"version": ')[1].split(",")[0]) for line in lines]
    return max(numbers, default=0)
