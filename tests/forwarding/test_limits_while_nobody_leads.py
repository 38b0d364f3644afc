"""Requests of limited accounts while no majority of control hosts runs."""

from __future__ import annotations

import time
from pathlib import Path

from tests.fakes.platform_system import PlatformSystem
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until
from tests.fakes.takeover import leader_of
from tests.forwarding.test_accounts import CLOSED, account, key, with_accounts

CONTROLS = 4
ENTRIES = 2
# A request counts what the account may use in a second, and more than what hosts may
# spend beside the rate.
LIMITED = {"unit": "tokens", "plainTokens": 1000, "ratePerS": 1000.0, "burst": 100}
# Hosts lend their shares once this time has passed since their start.
WINDOW_MS = 1000
# By then the remaining control hosts have missed the leader for more than a second.
# Without their answers, rates would count 3.5 s after the loss.
RULED_OUT_SECONDS = 2.2


class TestHalfOfTheControlHosts:
    """Guards against refusals of accounts far below their limits during a split.

    While the control hosts were split into halves, a third of all requests ended with
    `limit_unknown`.
    """

    def test_admits_what_no_leader_can_grant(self, tmp_path: Path) -> None:
        with PlatformSystem(
            tmp_path, controls=CONTROLS, entries=ENTRIES, limit_window_ms=WINDOW_MS
        ) as system:
            accounts = [account("limited", "k-limited", **LIMITED)]
            system.put_until_accepted(with_accounts(1, accounts))
            system.wait_ready()
            system.add(PlatformWorker("plain-1", "plain"))
            for entry in range(ENTRIES):
                system.wait_served(CLOSED, headers=key("k-limited"), entry=entry)
            time.sleep(WINDOW_MS / 1000)
            leader = leader_of(system)
            other = next(item for item in range(CONTROLS) if item != leader)
            for number in (leader, other):
                system.controls[number].kill()
            time.sleep(RULED_OUT_SECONDS)
            reply = system.ask(CLOSED, headers=key("k-limited"))
            assert reply.status == 200
            wait_until(
                lambda: system.logged("leader's lease ruled out or possible again"),
                "the line of the silence",
            )
            charges = system.logged("request charged without a leader")
            assert any(line["may_run"] for line in charges)
