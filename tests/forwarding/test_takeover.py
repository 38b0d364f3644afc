"""Charges and grants of entry hosts while one leader follows another."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.fakes.platform_system import PROMPT, PlatformSystem, Reply
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.takeover import (
    suspended_leader,
    wait_for_next_leader,
    wait_until_followed,
)
from tests.forwarding.test_accounts import (
    CLOSED,
    MODEL,
    account,
    key,
    with_accounts,
)

CONTROLS = 3
ENTRIES = 4
# How long a leader that is there may take to answer a charge or to give a grant.
LEADER_SECONDS = 0.25
# So long after an election has to be known who leads: nobody may wait for the leader
# before it any more.
KNOWN_SECONDS = 0.25
# What an endpoint of these tests may take beside that: an engine reads the prompt, and
# its first events come in milliseconds.
RUN_SECONDS = 0.25
# Each request is charged at the leader, and none is refused for its limit.
LIMITED = {"unit": "tokens", "plainTokens": 1, "ratePerS": 1e6, "burst": 1_000_000}


@pytest.fixture
def system(tmp_path: Path) -> Iterator[PlatformSystem]:
    with PlatformSystem(tmp_path, controls=CONTROLS, entries=ENTRIES) as running:
        accounts = [account("limited", "k-limited", **LIMITED), account("free", "k")]
        running.put_until_accepted(with_accounts(1, accounts))
        running.wait_ready()
        running.add(PlatformWorker("plain-1", "plain"))
        running.add(PlatformWorker("reads-1", "model", stage="prefill"))
        running.add(PlatformWorker("answers-1", "model", stage="decode"))
        for entry in range(ENTRIES):
            running.wait_served(CLOSED, headers=key("k-limited"), entry=entry)
            headers = {**key("k"), **PROMPT}
            running.wait_served(MODEL, headers=headers, entry=entry, deadline_ms=5000)
        yield running


def ask_all(
    system: PlatformSystem, path: str, headers: dict[str, str]
) -> list[tuple[Reply, float]]:
    """Ask once at each entry host; return the answers and their seconds."""

    def ask(entry: int) -> tuple[Reply, float]:
        began = time.monotonic()
        reply = system.ask(path, headers=headers, entry=entry, deadline_ms=5000)
        return reply, time.monotonic() - began

    with ThreadPoolExecutor(ENTRIES) as threads:
        return list(threads.map(ask, range(ENTRIES)))


class TestChargeAfterATakeover:
    """Guards against requests held or refused for a leader that is gone."""

    @pytest.mark.parametrize("takeovers", [1, 2])
    def test_is_answered_by_the_next_leader(
        self, system: PlatformSystem, takeovers: int
    ) -> None:
        answers = []
        for _ in range(takeovers):
            with suspended_leader(system) as suspended:
                wait_for_next_leader(system, suspended)
                time.sleep(KNOWN_SECONDS)
                answers += ask_all(system, CLOSED, key("k-limited"))
            wait_until_followed(system, suspended)
        told = [(reply.status, round(seconds, 3)) for reply, seconds in answers]
        assert {status for status, _ in told} == {200}, told
        assert max(seconds for _, seconds in told) < LEADER_SECONDS, told


class TestStreamAfterATakeover:
    """Guards against streams that wait for a grant of a leader that is gone."""

    @pytest.mark.parametrize("takeovers", [1, 2])
    def test_starts_in_time(self, system: PlatformSystem, takeovers: int) -> None:
        headers = {**key("k"), **PROMPT}
        answers = []
        for _ in range(takeovers):
            with suspended_leader(system) as suspended:
                wait_for_next_leader(system, suspended)
                time.sleep(KNOWN_SECONDS)
                answers += ask_all(system, MODEL, headers)
            wait_until_followed(system, suspended)
        told = [(reply.status, round(seconds, 3)) for reply, seconds in answers]
        assert {status for status, _ in told} == {200}, told
        assert max(seconds for _, seconds in told) < LEADER_SECONDS + RUN_SECONDS, told

    def test_takes_no_longer_in_steady_state(self, system: PlatformSystem) -> None:
        answers = ask_all(system, MODEL, {**key("k"), **PROMPT})
        assert max(seconds for _, seconds in answers) < LEADER_SECONDS + RUN_SECONDS
