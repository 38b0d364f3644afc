"""Deadlines as instants of this process's monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.kernel._clock import steady_seconds

MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, order=True)
class Deadline:
    """An instant of this process's monotonic clock, in seconds.

    Clocks of two hosts are never compared: a message carries what remains, and the
    receiver makes its own Deadline from that.
    """

    instant: float

    @classmethod
    def after(cls, seconds: float) -> Deadline:
        """Return the deadline that lies this many seconds ahead."""
        return cls(steady_seconds() + seconds)

    @classmethod
    def from_remaining_ms(cls, remaining_ms: int) -> Deadline:
        """Return the receiver's deadline for what a message says is left."""
        return cls.after(remaining_ms / MILLISECONDS_PER_SECOND)

    @property
    def expired(self) -> bool:
        """Say whether the instant has passed."""
        return steady_seconds() >= self.instant

    def remaining(self) -> float:
        """Return the seconds left, never below zero."""
        return max(0.0, self.instant - steady_seconds())

    def overdue(self) -> float:
        """Return the seconds since the instant, never below zero."""
        return max(0.0, steady_seconds() - self.instant)

    def remaining_ms(self) -> int:
        """Return the whole milliseconds left, never below zero."""
        return int(self.remaining() * MILLISECONDS_PER_SECOND)

    def earlier_of(self, other: Deadline) -> Deadline:
        """Return whichever of the two comes first."""
        return min(self, other)
