"""Counts the time for which a leader's lease has been valid."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class _Lease:
    valid_until: float
    lapsed_seconds: float
    """For how long no lease was valid before it."""


class LeaseClock:
    """A clock that stands still while no lease is valid.

    What a leader grants by the second, it grants for the time on this clock: while its
    lease has lapsed, hosts may spend the same by themselves. Calls that read the clock
    need no lock.
    """

    def __init__(self, began_at: float) -> None:
        self._lease = _Lease(began_at, 0.0)

    def renew(self, valid_until: float, now: float) -> None:
        """Record that the lease is known to be valid until then; may not be shared."""
        lease = self._lease
        if valid_until <= max(now, lease.valid_until):
            return
        lapsed_seconds = max(0.0, now - lease.valid_until)
        self._lease = _Lease(valid_until, lease.lapsed_seconds + lapsed_seconds)

    def time(self, now: float) -> float:
        """Return the time on this clock, which begins with the leadership."""
        lease = self._lease
        return min(now, lease.valid_until) - lease.lapsed_seconds
