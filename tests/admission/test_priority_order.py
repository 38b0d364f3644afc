"""The order of waiting requests whose priorities differ, without a pool."""

from __future__ import annotations

import random

import pytest

from jujubeslip.admission._priority_order import LOWEST_PRIORITY, PriorityOrder
from jujubeslip.admission._waiting_queue import QueueEntry, WaitingQueue

NOW = 100.0
TOKENS = 6000
SHARE = 0.2
# Intervals between grants, in seconds, at which not all requests start in time, and at
# which all do.
SCARCE, PLENTY = 30.0, 0.05
FIRST, SECOND = 1, 2


def entry(name: str, priority: int, target: float, tokens: int = TOKENS) -> QueueEntry:
    return QueueEntry(target, name, priority, tokens)


def order_of(*entries: QueueEntry, share: float = SHARE) -> PriorityOrder:
    order = PriorityOrder(share)
    for item in entries:
        order.add(item)
    return order


def names(entries: list[QueueEntry]) -> list[str]:
    return [item.request_id for item in entries]


def grant_first(order: PriorityOrder, now: float = NOW) -> QueueEntry:
    """Grant the first request, which leaves the queue."""
    (first,) = order.head(now, 1, SCARCE)
    order.note_granted(first)
    order.remove(first)
    return first


def many(prefix: str, priority: int, count: int, tokens: int = TOKENS) -> PriorityOrder:
    return order_of(
        *[entry(f"{prefix}{n}", priority, NOW + 1 + n, tokens) for n in range(count)]
    )


class TestOnePriority:
    """Guards against a changed order where nothing asks for priorities."""

    @pytest.mark.parametrize("seed", range(5))
    def test_is_ordered_as_without_priorities(self, seed: int) -> None:
        draw = random.Random(seed)
        before, order = WaitingQueue(), PriorityOrder(SHARE)
        waiting: list[QueueEntry] = []
        now = NOW
        for number in range(1500):
            now += draw.expovariate(50)
            if draw.random() < 0.6 or not waiting:
                target = now + draw.uniform(-2, 3)
                added = entry(f"r-{number}", 3, target, draw.randint(100, 9000))
                assert order.count_ahead(added, now) == before.count_ahead(added, now)
                order.add(added)
                before.add(added)
                waiting.append(added)
            else:
                taken = draw.choice([*order.head(now, 3), draw.choice(waiting)])
                if draw.random() < 0.5:
                    order.note_granted(taken)
                order.remove(taken)
                before.remove(taken)
                waiting.remove(taken)
            assert len(order) == len(before)
            assert order.head(now, 16, 0.1) == before.head(now, 16)

    def test_removing_a_request_that_does_not_wait_is_an_error(self) -> None:
        with pytest.raises(KeyError):
            order_of().remove(entry("a", FIRST, NOW))


class TestHigherPriority:
    def test_goes_before_an_earlier_target(self) -> None:
        order = order_of(
            entry("second", SECOND, NOW + 0.1), entry("first", FIRST, NOW + 0.8)
        )
        assert names(order.head(NOW, 9, SCARCE)) == ["first", "second"]

    def test_waits_for_its_target_while_all_start_in_time(self) -> None:
        """Guards against late requests of lower priorities while nothing is scarce."""
        order = order_of(
            entry("second", SECOND, NOW + 0.4), entry("first", FIRST, NOW + 0.8)
        )
        assert names(order.head(NOW, 9, PLENTY)) == ["second", "first"]
        order.add(entry("third", FIRST, NOW + 0.41))
        for number in range(3):
            order.add(entry(f"more-{number}", FIRST, NOW + 0.42))
        assert names(order.head(NOW, 9, PLENTY))[0] == "third"

    def test_gets_everything_without_a_share_for_lower_ones(self) -> None:
        order = order_of(share=0.0)
        for number in range(40):
            order.add(entry(f"a{number}", FIRST, NOW + 1))
            order.add(entry(f"b{number}", SECOND, NOW + 1))
        assert {grant_first(order).priority for _ in range(40)} == {FIRST}
        assert {grant_first(order).priority for _ in range(40)} == {SECOND}


class TestShareOfLowerPriorities:
    """Guards against lower priorities that get nothing while higher ones wait."""

    @pytest.mark.parametrize("share", [0.1, 0.2, 0.25, 0.5])
    def test_is_kept_exactly_while_both_wait(self, share: float) -> None:
        order = order_of(share=share)
        for number in range(400):
            order.add(entry(f"a{number}", FIRST, NOW + 1 + number))
            order.add(entry(f"b{number}", SECOND, NOW + 1 + number))
        lower = 0
        for granted in range(1, 401):
            lower += grant_first(order).priority == SECOND
            assert abs(lower - share * granted) <= 1

    def test_is_one_of_tokens(self) -> None:
        """Long requests of a lower priority don't use more than their share."""
        draw = random.Random(3)
        order = order_of()
        for number in range(600):
            size = draw.randint(500, 3000)
            order.add(entry(f"a{number}", FIRST, NOW + 1 + number, size))
            size = draw.randint(3000, 11_000)
            order.add(entry(f"b{number}", SECOND, NOW + 1 + number, size))
        tokens = {FIRST: 0, SECOND: 0}
        for _ in range(600):
            granted = grant_first(order)
            tokens[granted.priority] += granted.tokens
            total = sum(tokens.values())
            assert abs(tokens[SECOND] - SHARE * total) <= 11_000

    def test_is_shared_by_all_lower_ones(self) -> None:
        order = order_of()
        for number in range(500):
            for priority in (1, 2, 3):
                order.add(entry(f"{priority}-{number}", priority, NOW + 1 + number))
        taken = [grant_first(order).priority for _ in range(500)]
        counts = [taken.count(priority) for priority in (1, 2, 3)]
        assert counts == [400, 80, 20]

    def test_is_not_saved_up_while_none_wait(self) -> None:
        order = many("a", FIRST, 40)
        order.add(entry("b0", SECOND, NOW + 1))
        taken = [grant_first(order).request_id for _ in range(5)]
        assert taken[-1] == "b0"
        for _ in range(20):
            grant_first(order)
        for number in (1, 2):
            order.add(entry(f"b{number}", SECOND, NOW + 1))
        taken = [grant_first(order).request_id for _ in range(5)]
        assert [name for name in taken if name.startswith("b")] == ["b1"]

    def test_shows_in_the_head_of_the_queue(self) -> None:
        order = many("a", FIRST, 12)
        for number in range(6):
            order.add(entry(f"b{number}", SECOND, NOW + 1 + number))
        head = names(order.head(NOW, 16, SCARCE))
        assert head == [grant_first(order).request_id for _ in range(16)]


class TestLateRequests:
    """Guards against late requests that take the place of ones still in time.

    A late answer is worth little but more than nothing, and its client leaves soon.
    """

    def test_follow_those_in_time_of_their_own_priority(self) -> None:
        order = order_of(
            entry("late", FIRST, NOW - 1),
            entry("in time", FIRST, NOW + 3),
            entry("second", SECOND, NOW + 3),
        )
        head = names(order.head(NOW, 9, PLENTY))
        assert head == ["in time", "late", "second"]

    def test_go_before_a_lower_priority_that_has_much_time_left(self) -> None:
        order = order_of(entry("late", FIRST, NOW - 1), entry("b", SECOND, NOW + 2))
        assert names(order.head(NOW, 9, PLENTY)) == ["late", "b"]

    def test_never_make_a_lower_priority_late(self) -> None:
        order = order_of(entry("late", FIRST, NOW - 1))
        for number in range(10):
            order.add(entry(f"b{number}", SECOND, NOW + 1.0))
        head = names(order.head(NOW, 16, PLENTY))
        assert head[-1] == "late"

    def test_of_a_lower_priority_go_last(self) -> None:
        order = order_of(
            entry("b late", SECOND, NOW - 2),
            entry("a late", FIRST, NOW - 1),
            entry("b", SECOND, NOW + 0.3),
        )
        head = names(order.head(NOW, 9, PLENTY))
        assert head == ["b", "a late", "b late"]
        assert names(order.head(NOW, 9, SCARCE)) == head


class TestCountAhead:
    @pytest.mark.parametrize("seed", range(20))
    def test_is_the_place_in_the_order(self, seed: int) -> None:
        draw = random.Random(seed)
        entries = [
            entry(f"r-{n}", draw.choice((FIRST, SECOND)), draw.uniform(90, 110))
            for n in range(draw.randint(1, 80))
        ]
        order = order_of(*entries)
        # With so long an interval no late request goes before one in time.
        ordered = order.head(NOW, len(entries), SCARCE)
        assert sorted(ordered) == sorted(entries)
        in_time = sum(item.target >= NOW for item in entries)
        for position, item in enumerate(ordered):
            # The credit at the last request in time counts for the late ones.
            tolerance = 0 if position < in_time else 1
            assert abs(order.count_ahead(item, NOW) - position) <= tolerance

    def test_of_a_new_request_counts_the_share_of_lower_ones(self) -> None:
        order = order_of(*[entry(f"a{n}", FIRST, NOW + 1) for n in range(8)])
        for number in range(9):
            order.add(entry(f"b{number}", SECOND, NOW + 1))
        assert order.count_ahead(entry("new", FIRST, NOW + 2), NOW) == 8 + 2
        assert order.count_ahead(entry("new", SECOND, NOW + 0.5), NOW) == 4
        assert order.count_ahead(entry("new", SECOND, NOW + 2), NOW) == 9 + 8
        assert order.count_ahead(entry("new", 0, NOW + 2), NOW) == 0
        # Four of the second priority come first, and meanwhile all of the first one.
        assert order.count_ahead(entry("new", LOWEST_PRIORITY, NOW + 2), NOW) == 4 + 8
