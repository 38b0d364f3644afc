"""The order in which requests wait for grants; knows no clock, thread or engine."""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class QueueEntry:
    """The place of a request among those that wait."""

    target: float
    """Until when its answer is in time, by the steady clock in seconds."""
    request_id: str


class WaitingQueue:
    """Requests still in time first, the earliest target before; late ones follow.

    Kept sorted by target: at any instant those in time are the end of the list, and the
    late ones its beginning. Each change and each question about one place costs a
    search, however many wait; in a burst that is hundreds, and every engine's report
    is a reason to look again.
    """

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: QueueEntry) -> None:
        """Let a request wait."""
        insort(self._entries, entry)

    def remove(self, entry: QueueEntry) -> None:
        """Let a request that waits wait no more."""
        index = bisect_left(self._entries, entry)
        if index == len(self._entries) or self._entries[index] != entry:
            raise KeyError(f"{entry.request_id} does not wait.")
        del self._entries[index]

    def count_ahead(self, entry: QueueEntry, now: float) -> int:
        """Return how many go before a request, itself left out if it waits."""
        in_time_from = self._in_time_from(now)
        before = bisect_left(self._entries, entry)
        if entry.target >= now:
            return before - in_time_from
        return len(self._entries) - in_time_from + before

    def head(self, now: float, maximum: int) -> list[QueueEntry]:
        """Return those that go first, in order, this many at most."""
        in_time_from = self._in_time_from(now)
        found = self._entries[in_time_from : in_time_from + maximum]
        return found + self._entries[: min(in_time_from, maximum - len(found))]

    def _in_time_from(self, now: float) -> int:
        return bisect_left(self._entries, now, key=lambda entry: entry.target)
