"""The order in which requests wait for grants; knows no clock, thread or engine."""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Turn:
    """The place of a request among those that wait."""

    target: float
    """Until when its answer is in time, by the steady clock in seconds."""
    request_id: str


class WaitingOrder:
    """Requests still in time first, the earliest target before; late ones follow.

    Kept sorted by target: at any instant those in time are the end of the list, and the
    late ones its beginning. Each change and each question about one place costs a
    search, however many wait; in a burst that is hundreds, and every engine's report
    is a reason to look again.
    """

    def __init__(self) -> None:
        self._turns: list[Turn] = []

    def __len__(self) -> int:
        return len(self._turns)

    def add(self, turn: Turn) -> None:
        """Let a request wait."""
        insort(self._turns, turn)

    def remove(self, turn: Turn) -> None:
        """Let a request that waits wait no more."""
        index = bisect_left(self._turns, turn)
        if index == len(self._turns) or self._turns[index] != turn:
            raise KeyError(f"{turn.request_id} does not wait.")
        del self._turns[index]

    def count_ahead(self, turn: Turn, now: float) -> int:
        """Return how many go before a request, itself left out if it waits."""
        in_time_from = self._in_time_from(now)
        before = bisect_left(self._turns, turn)
        if turn.target >= now:
            return before - in_time_from
        return len(self._turns) - in_time_from + before

    def first_ones(self, now: float, most: int) -> list[Turn]:
        """Return those that go first, in order, this many at most."""
        in_time_from = self._in_time_from(now)
        found = self._turns[in_time_from : in_time_from + most]
        return found + self._turns[: min(in_time_from, most - len(found))]

    def _in_time_from(self, now: float) -> int:
        return bisect_left(self._turns, now, key=lambda turn: turn.target)
