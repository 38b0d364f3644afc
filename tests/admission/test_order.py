"""The order of requests that wait, by itself."""

from __future__ import annotations

import random

import pytest

from jujubeslip.admission._order import QueueEntry, WaitingQueue

NOW = 100.0


def queue_of(*targets: float) -> WaitingQueue:
    order = WaitingQueue()
    for target in targets:
        order.add(QueueEntry(target, f"r-{target}"))
    return order


def targets(entries: list[QueueEntry]) -> list[float]:
    return [entry.target for entry in entries]


class TestWaitingOrder:
    def test_puts_late_ones_behind_those_in_time(self) -> None:
        order = queue_of(103, 97, 101, 99, NOW)
        assert targets(order.head(NOW, 9)) == [NOW, 101, 103, 97, 99]
        assert targets(order.head(NOW, 4)) == [NOW, 101, 103, 97]
        assert targets(order.head(NOW, 2)) == [NOW, 101]

    def test_moves_them_as_time_passes(self) -> None:
        order = queue_of(101, 103)
        assert targets(order.head(102, 9)) == [103, 101]
        assert targets(order.head(104, 9)) == [101, 103]

    def test_counts_who_is_ahead_as_it_lists_them(self) -> None:
        chance = random.Random(7)
        entries = [QueueEntry(chance.uniform(90, 110), f"r-{n}") for n in range(200)]
        order = WaitingQueue()
        for entry in entries:
            order.add(entry)
        listed = order.head(NOW, len(entries))
        assert len(listed) == len(order) == len(entries)
        for place, entry in enumerate(listed):
            assert order.count_ahead(entry, NOW) == place

    def test_forgets_the_one_that_leaves_among_equal_targets(self) -> None:
        order = WaitingQueue()
        for name in ("a", "b", "c"):
            order.add(QueueEntry(NOW, name))
        order.remove(QueueEntry(NOW, "b"))
        assert [entry.request_id for entry in order.head(NOW, 9)] == ["a", "c"]
        with pytest.raises(KeyError):
            order.remove(QueueEntry(NOW, "b"))
