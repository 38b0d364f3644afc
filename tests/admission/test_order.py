"""The order of requests that wait, by itself."""

from __future__ import annotations

import random

import pytest

from jujubeslip.admission._order import Turn, WaitingOrder

NOW = 100.0


def order_of(*targets: float) -> WaitingOrder:
    order = WaitingOrder()
    for target in targets:
        order.add(Turn(target, f"r-{target}"))
    return order


def targets(turns: list[Turn]) -> list[float]:
    return [turn.target for turn in turns]


class TestWaitingOrder:
    def test_puts_late_ones_behind_those_in_time(self) -> None:
        order = order_of(103, 97, 101, 99, NOW)
        assert targets(order.first_ones(NOW, 9)) == [NOW, 101, 103, 97, 99]
        assert targets(order.first_ones(NOW, 4)) == [NOW, 101, 103, 97]
        assert targets(order.first_ones(NOW, 2)) == [NOW, 101]

    def test_moves_them_as_time_passes(self) -> None:
        order = order_of(101, 103)
        assert targets(order.first_ones(102, 9)) == [103, 101]
        assert targets(order.first_ones(104, 9)) == [101, 103]

    def test_counts_who_is_ahead_as_it_lists_them(self) -> None:
        chance = random.Random(7)
        turns = [Turn(chance.uniform(90, 110), f"r-{n}") for n in range(200)]
        order = WaitingOrder()
        for turn in turns:
            order.add(turn)
        listed = order.first_ones(NOW, len(turns))
        assert len(listed) == len(order) == len(turns)
        for place, turn in enumerate(listed):
            assert order.count_ahead(turn, NOW) == place

    def test_forgets_the_one_that_leaves_among_equal_targets(self) -> None:
        order = WaitingOrder()
        for name in ("a", "b", "c"):
            order.add(Turn(NOW, name))
        order.remove(Turn(NOW, "b"))
        assert [turn.request_id for turn in order.first_ones(NOW, 9)] == ["a", "c"]
        with pytest.raises(KeyError):
            order.remove(Turn(NOW, "b"))
