"""The queue of requests that wait for grants; uses no clock, thread or engine."""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field


@dataclass(frozen=True, order=True)
class QueueEntry:
    """A waiting request, ordered by its target."""

    target: float
    """Time until which its answer is in time, by the steady clock in seconds."""
    request_id: str
    priority: int = field(default=0, compare=False)
    """Priority among the requests of the service; 0 is the highest."""
    tokens: int = field(default=0, compare=False)
    """Memory that its prompt and its expected answer use, in tokens."""
    account_name: str = field(default="", compare=False)
    """The client account that uses the engine, empty if there is none."""


class WaitingQueue:
    """Requests of one priority: those still in time by earliest target, then late ones.

    The list is sorted by target, so that at any time the late requests are at its
    beginning and those in time at its end. Each change and each position query costs
    one binary search, however many requests wait. In a burst hundreds wait, and every
    engine's report causes a new pass.
    """

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: QueueEntry) -> None:
        """Add a request to the queue."""
        insort(self._entries, entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request from the queue; raise KeyError if it does not wait."""
        index = bisect_left(self._entries, entry)
        if index == len(self._entries) or self._entries[index] != entry:
            raise KeyError(f"Request {entry.request_id} is not in the queue.")
        del self._entries[index]

    def count_ahead(self, entry: QueueEntry, now: float) -> int:
        """Return how many other requests are ahead of this one."""
        in_time_from = self._in_time_from(now)
        before = bisect_left(self._entries, entry)
        if entry.target >= now:
            return before - in_time_from
        return len(self._entries) - in_time_from + before

    def in_time_count(self, now: float) -> int:
        """Return how many requests are still in time."""
        return len(self._entries) - self._in_time_from(now)

    def in_time(self, now: float) -> list[QueueEntry]:
        """Return the requests that are still in time, by earliest target."""
        return self._entries[self._in_time_from(now) :]

    def late(self, now: float) -> list[QueueEntry]:
        """Return the late requests, by earliest target."""
        return self._entries[: self._in_time_from(now)]

    def head(self, now: float, maximum: int) -> list[QueueEntry]:
        """Return the first requests in order, `maximum` at most."""
        in_time_from = self._in_time_from(now)
        found = self._entries[in_time_from : in_time_from + maximum]
        return found + self._entries[: min(in_time_from, maximum - len(found))]

    def _in_time_from(self, now: float) -> int:
        return bisect_left(self._entries, now, key=lambda entry: entry.target)
