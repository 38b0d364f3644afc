"""The clock that deadlines and leases of this process are measured by."""

from __future__ import annotations

import time


def steady_seconds() -> float:
    """Return the seconds since the machine started, with the time it was suspended.

    The usual monotonic clock stands still while a machine is suspended. A leader that
    wakes would find its lease as fresh as before, and answer a read with what another
    leader has replaced meanwhile; this clock has gone on, and the lease has ended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
