"""The clock of leases and deadlines."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from jujubeslip.kernel import Deadline, _clock


class TestSuspendedMachine:
    """A machine is suspended for 30 s while its control host leads.

    An operator reads the configuration right after it wakes and sees the one from
    before; another leader has replaced it meanwhile. The usual monotonic clock had
    stood still, so that the lease looked fresh.
    """

    def test_lease_ends_while_the_machine_is_suspended(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        instant_by_clock = {time.CLOCK_BOOTTIME: 100.0, time.CLOCK_MONOTONIC: 100.0}
        suspended = SimpleNamespace(
            CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
            clock_gettime=instant_by_clock.__getitem__,
            monotonic=lambda: instant_by_clock[time.CLOCK_MONOTONIC],
        )
        monkeypatch.setattr(_clock, "time", suspended)
        lease = Deadline.after(1.0)
        instant_by_clock[time.CLOCK_BOOTTIME] += 30.0
        assert lease.expired
