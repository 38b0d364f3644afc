"""A steady clock that tests set."""

from __future__ import annotations


class Clock:
    """A steady clock that only changes when a test sets `now`."""

    def __init__(self) -> None:
        self.now = 1000.0

    def steady_seconds(self) -> float:
        """Return the time that the test has set."""
        return self.now
