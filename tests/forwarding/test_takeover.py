"""Charges and grants of entry hosts after a new leader takes over."""

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
# How long an available leader may take to answer a charge or to give a grant.
LEADER_SECONDS = 0.25
# Time after an election by which hosts have to know the new leader; after that no
# request may wait for the previous one.
KNOWN_SECONDS = 0.25
# How long an endpoint of these tests may take in addition: an engine prefills the
# prompt, and the first events follow within milliseconds.
RUN_SECONDS = 0.25
# With these fields each request is charged at the leader, and none is refused.
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
    """Send a request to each entry host; return the answers and their durations."""

    def ask(entry: int) -> tuple[Reply, float]:
        began = time.monotonic()
        reply = system.ask(path, headers=headers, entry=entry, deadline_ms=5000)
        return reply, time.monotonic() - began

    with ThreadPoolExecutor(ENTRIES) as threads:
        return list(threads.map(ask, range(ENTRIES)))


class TestChargeAfterATakeover:
    """Guards against requests delayed or refused because of a lost leader."""

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
        outcomes = [(reply.status, round(seconds, 3)) for reply, seconds in answers]
        assert {status for status, _ in outcomes} == {200}, outcomes
        assert max(seconds for _, seconds in outcomes) < LEADER_SECONDS, outcomes


class TestStreamAfterATakeover:
    """Guards against streams that wait for a grant from a lost leader."""

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
        outcomes = [(reply.status, round(seconds, 3)) for reply, seconds in answers]
        assert {status for status, _ in outcomes} == {200}, outcomes
        assert max(seconds for _, seconds in outcomes) < LEADER_SECONDS + RUN_SECONDS, (
            outcomes
        )

    def test_takes_no_longer_in_steady_state(self, system: PlatformSystem) -> None:
        answers = ask_all(system, MODEL, {**key("k"), **PROMPT})
        assert max(seconds for _, seconds in answers) < LEADER_SECONDS + RUN_SECONDS
