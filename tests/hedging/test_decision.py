"""When a slow request is sent a second time, and what keeps it back."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from jujubeslip.hedging import (
    KeptBack,
    SecondSendOptions,
    ServiceRefusals,
    Situation,
    reason_to_keep_back,
    wait_before_second_send,
)

OPTIONS = SecondSendOptions(share=0.05, percentile=95.0, floor_seconds=0.02)
ROOM = Situation(
    has_attempts_left=True,
    seconds_to_target=0.1,
    seconds_to_end=0.5,
    usual_seconds=0.03,
    uses_own_links=True,
    is_suspected=False,
    account_has_room=True,
    refused_lately=False,
    has_holds=False,
)


class TestWait:
    def test_is_the_percentile(self) -> None:
        assert wait_before_second_send(OPTIONS, 0.06) == 0.06

    def test_is_the_floor_where_answers_come_sooner(self) -> None:
        assert wait_before_second_send(OPTIONS, 0.002) == 0.02

    def test_is_not_known_with_few_answers(self) -> None:
        assert wait_before_second_send(OPTIONS, None) is None

    def test_is_none_without_a_share(self) -> None:
        assert wait_before_second_send(replace(OPTIONS, share=0.0), 0.06) is None


class TestReasonToKeepBack:
    def test_is_none_while_there_is_room_and_time(self) -> None:
        assert reason_to_keep_back(ROOM) is None

    @pytest.mark.parametrize(
        "change, reason",
        [
            ({"has_attempts_left": False}, KeptBack.ATTEMPTS),
            ({"seconds_to_target": 0.02}, KeptBack.TOO_LATE),
            ({"seconds_to_end": 0.02}, KeptBack.TOO_LATE),
            ({"uses_own_links": False}, KeptBack.LINKS),
            ({"is_suspected": True}, KeptBack.QUARANTINE),
            ({"account_has_room": False}, KeptBack.ACCOUNT),
            ({"refused_lately": True}, KeptBack.NO_ROOM),
            ({"has_holds": True}, KeptBack.NO_ROOM),
        ],
    )
    def test_names_what_is_against_it(
        self, change: dict[str, Any], reason: KeptBack
    ) -> None:
        assert reason_to_keep_back(replace(ROOM, **change)) is reason


class TestRefusals:
    def test_count_for_some_seconds(self) -> None:
        refusals = ServiceRefusals()
        refusals.note("service", 100.0)
        assert refusals.is_recent("service", 109.0)
        assert not refusals.is_recent("service", 111.0)
        assert not refusals.is_recent("other", 100.0)

    def test_of_a_service_that_is_gone_are_forgotten(self) -> None:
        refusals = ServiceRefusals()
        refusals.note("service", 100.0)
        refusals.keep_services({"other"})
        assert not refusals.is_recent("service", 100.0)
