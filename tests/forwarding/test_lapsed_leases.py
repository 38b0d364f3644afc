"""Charges at a leader whose lease lapses briefly because its followers are late."""

from __future__ import annotations

import time
from pathlib import Path

from tests.fakes.platform_system import PlatformSystem
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.takeover import leader_of
from tests.forwarding.test_accounts import CLOSED, account, key, with_accounts
from tests.forwarding.test_takeover import LIMITED

CONTROLS = 3
# Network delay in each direction to a follower: its answers take 0.7 of the election
# timeout of 0.4 s. The lease is valid for part of the time only, and the leader stays.
LATE_SECONDS = 0.14
ASKED_SECONDS = 4.0
PAUSE_SECONDS = 0.05


class TestChargeWhileTheLeaseHasLapsed:
    """Guards against refusals by a leader whose lease is renewed shortly afterwards."""

    def test_is_answered_by_the_same_leader(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, controls=CONTROLS, has_proxies=True) as system:
            accounts = [account("limited", "k-limited", **LIMITED)]
            system.put_until_accepted(with_accounts(1, accounts))
            system.wait_ready()
            system.add(PlatformWorker("plain-1", "plain"))
            system.wait_served(CLOSED, headers=key("k-limited"))
            leader = leader_of(system)
            for number, proxy in enumerate(system.proxies):
                if number != leader:
                    proxy.delay(LATE_SECONDS)
            statuses = []
            until = time.monotonic() + ASKED_SECONDS
            while time.monotonic() < until:
                reply = system.ask(CLOSED, headers=key("k-limited"), deadline_ms=5000)
                statuses.append(reply.status)
                time.sleep(PAUSE_SECONDS)
            assert leader_of(system) == leader
            assert set(statuses) == {200}
