"""Deadlines on this process's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.kernel._clock import steady_seconds

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, order=True)
class Deadline:
    """A point in time on this process's monotonic clock, in seconds.

    Clocks of different hosts are never compared: a message carries the remaining time,
    and the receiver creates its own Deadline from that.
    """

    timestamp: float

    @classmethod
    def after(cls, seconds: float) -> Deadline:
        """Return the deadline this many seconds from now."""
        return cls(steady_seconds() + seconds)

    @classmethod
    def from_remaining_ms(cls, remaining_ms: int) -> Deadline:
        """Return the receiver's deadline for the remaining time in a message."""
        return cls.after(remaining_ms / MILLISECONDS_PER_SECOND)

    @property
    def expired(self) -> bool:
        """Return whether the deadline has passed."""
        return steady_seconds() >= self.timestamp

    def remaining(self) -> float:
        """Return the remaining seconds, never below zero."""
        return max(0.0, self.timestamp - steady_seconds())

    def overdue(self) -> float:
        """Return the seconds since the deadline, never below zero."""
        return max(0.0, steady_seconds() - self.timestamp)

    def remaining_ms(self) -> int:
        """Return the remaining milliseconds, rounded down, never below zero."""
        return int(self.remaining() * MILLISECONDS_PER_SECOND)

    def earlier_of(self, other: Deadline) -> Deadline:
        """Return the earlier of the two deadlines."""
        return min(self, other)
