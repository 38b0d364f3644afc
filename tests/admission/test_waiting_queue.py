"""The queue of waiting requests, without a pool."""

from __future__ import annotations

import random

import pytest

from jujubeslip.admission._waiting_queue import QueueEntry, WaitingQueue

NOW = 100.0


def queue_of(*targets: float) -> WaitingQueue:
    order = WaitingQueue()
    for target in targets:
        order.add(QueueEntry(target, f"r-{target}"))
    return order


def targets(entries: list[QueueEntry]) -> list[float]:
    return [entry.target for entry in entries]


class TestWaitingQueue:
    def test_puts_late_requests_behind_those_in_time(self) -> None:
        order = queue_of(103, 97, 101, 99, NOW)
        assert targets(order.head(NOW, 9)) == [NOW, 101, 103, 97, 99]
        assert targets(order.head(NOW, 4)) == [NOW, 101, 103, 97]
        assert targets(order.head(NOW, 2)) == [NOW, 101]

    def test_reorders_requests_as_time_passes(self) -> None:
        order = queue_of(101, 103)
        assert targets(order.head(102, 9)) == [103, 101]
        assert targets(order.head(104, 9)) == [101, 103]

    def test_counts_requests_ahead_consistently_with_the_order(self) -> None:
        generator = random.Random(7)
        entries = [QueueEntry(generator.uniform(90, 110), f"r-{n}") for n in range(200)]
        order = WaitingQueue()
        for entry in entries:
            order.add(entry)
        ordered = order.head(NOW, len(entries))
        assert len(ordered) == len(order) == len(entries)
        for position, entry in enumerate(ordered):
            assert order.count_ahead(entry, NOW) == position

    def test_removes_the_right_request_among_equal_targets(self) -> None:
        order = WaitingQueue()
        for name in ("a", "b", "c"):
            order.add(QueueEntry(NOW, name))
        order.remove(QueueEntry(NOW, "b"))
        assert [entry.request_id for entry in order.head(NOW, 9)] == ["a", "c"]
        with pytest.raises(KeyError):
            order.remove(QueueEntry(NOW, "b"))
