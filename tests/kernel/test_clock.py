"""The clock of leases and deadlines."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from jujubeslip.kernel import Deadline, _clock


class TestSuspendedMachine:
    """Guards against a lease that is still valid after its host was suspended.

    A machine is suspended for 30 s while its control host leads, and another leader
    replaces the configuration. With a clock that stops during suspension, the lease
    would look valid after the resume, and an operator would read the old configuration.
    """

    def test_lease_ends_while_the_machine_is_suspended(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        time_by_clock = {time.CLOCK_BOOTTIME: 100.0, time.CLOCK_MONOTONIC: 100.0}
        suspended = SimpleNamespace(
            CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
            clock_gettime=time_by_clock.__getitem__,
            monotonic=lambda: time_by_clock[time.CLOCK_MONOTONIC],
        )
        monkeypatch.setattr(_clock, "time", suspended)
        lease = Deadline.after(1.0)
        time_by_clock[time.CLOCK_BOOTTIME] += 30.0
        assert lease.expired
