"""The clock for deadlines and leases of this process."""

from __future__ import annotations

import time


def steady_seconds() -> float:
    """Return the seconds since the machine booted, including time in suspension.

    The usual monotonic clock stops while a machine is suspended. With it, a leader that
    resumes would consider its lease valid and answer reads with data that another
    leader has replaced since. This clock continues, so the lease has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
