"""How many readers are kept as a spare."""

from __future__ import annotations

import pytest

from jujubeslip.admission import EngineNeed, EngineUse
from jujubeslip.control._role_balance import (
    WATCHED_SECONDS,
    EngineShares,
    PromptLoad,
    idle_readers,
    needed_readers,
    readers_to_keep,
)
from jujubeslip.control._spare_readers import (
    LEAST_READERS,
    EngineBalance,
    least_readers,
)
from tests.control.test_role_balance import engines

# What requests show whose answers take four times as long as their prompts.
SHARE = 0.2


class TestEngineBalance:
    def test_serves_what_the_scarcer_role_does(self) -> None:
        assert EngineBalance(5, SHARE).served(1) == pytest.approx(1.0)
        assert EngineBalance(5, SHARE).served(2) == pytest.approx(0.75)

    def test_serves_less_where_engines_read_for_themselves(self) -> None:
        assert EngineBalance(3, SHARE).served(0) == pytest.approx(0.375)


class TestLeastReaders:
    """Guards against a constant that takes most of the engines for granted."""

    @pytest.mark.parametrize("lacks_memory", [False, True])
    @pytest.mark.parametrize("known", [3, 4])
    def test_are_one_where_the_spare_is_worth_more_as_an_answering_one(
        self, known: int, lacks_memory: bool
    ) -> None:
        balance = EngineBalance(known, SHARE)
        assert least_readers(balance, 1.2, lacks_memory) == 1

    @pytest.mark.parametrize(("lacks_memory", "kept"), [(False, 2), (True, 1)])
    def test_are_one_for_a_small_gain_only_while_answers_lack_memory(
        self, lacks_memory: bool, kept: int
    ) -> None:
        """Guards against a spare reader that goes although nobody waits for memory."""
        assert least_readers(EngineBalance(5, SHARE), 0.9, lacks_memory) == kept

    @pytest.mark.parametrize("lacks_memory", [False, True])
    @pytest.mark.parametrize(
        ("known", "busiest"), [(9, 1.0), (70, 14.0), (5, 0.5), (4, 0.4)]
    )
    def test_are_two_where_the_spare_costs_no_answer(
        self, known: int, busiest: float, lacks_memory: bool
    ) -> None:
        balance = EngineBalance(known, SHARE)
        assert least_readers(balance, busiest, lacks_memory) == LEAST_READERS

    def test_are_two_before_the_load_was_watched(self) -> None:
        group = engines(2, 1)
        least = EngineShares().least_readers(group, PromptLoad(), 0.0, True)
        assert least == LEAST_READERS


class TestSharesWithoutOneRole:
    """Guards against a division by zero, which would end the orders of a leader."""

    def test_engines_that_answer_nothing_serve_what_readers_read(self) -> None:
        assert EngineBalance(3, 1.0).served(2) == 2
        assert least_readers(EngineBalance(3, 1.0), 1.0, True) == LEAST_READERS

    @pytest.mark.parametrize("use", [EngineUse(0.5, 0.0), EngineUse(0.0, 0.5)])
    def test_are_no_reason_to_give_up_the_spare_reader(self, use: EngineUse) -> None:
        need = EngineNeed(reading_seconds=0.0, answering_seconds=0.4)
        shares, load, now = EngineShares(), PromptLoad(), 0.0
        while now <= 2 * WATCHED_SECONDS:
            shares.note(now, EngineUse(use.reading, use.answering, need))
            load.note(now, 0.5)
            now += 0.5
        assert shares.least_readers(engines(2, 1), load, now, True) == LEAST_READERS


class TestThreeEnginesOfWhichTwoRead:
    """Guards against a second idle reader beside the only engine that answers."""

    def test_one_is_ordered_to_answer(self) -> None:
        load, group = PromptLoad(), engines(2, 1)
        load.note(0.0, 0.5)
        now = WATCHED_SECONDS + 0.1
        load.note(now, 0.5)
        least = least_readers(EngineBalance(group.count, SHARE), 2 * 0.5, True)
        needed = needed_readers(load, now, lacks_memory=True, least=least)
        kept = readers_to_keep(needed, least)
        assert kept == 1
        assert len(idle_readers(group, kept)) == 1
