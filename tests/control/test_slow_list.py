"""Which endpoints a control host lists as slow for the entry hosts that watch it."""

from __future__ import annotations

import pytest

from jujubeslip.control._slow_list import COMBINE_SECONDS, REPORT_SECONDS, SlowList
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import AnswerReport
from jujubeslip.peers import AnswerTimesRecord, SlowEndpointRecord, WatchRequest
from tests.control.test_watches import watches
from tests.fakes.broken_fields import received
from tests.fakes.clock import Clock

__all__ = ["watches"]

SLOW = AnswerReport("a", 0.11, 0.044, 3, 0)
SLOW_RECORD = AnswerTimesRecord("a", 110, 44, 3, 0)


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def slow_list(clock: Clock) -> SlowList:
    """Return a list with the reports of three hosts."""
    slow_list = SlowList(clock.steady_seconds)
    for number in range(3):
        slow_list.record(f"entry-{number}", [SLOW])
    return slow_list


def ask(
    watches: Watches,
    host: str,
    *records: AnswerTimesRecord,
    is_entry_host: bool = True,
) -> list[SlowEndpointRecord] | None:
    request = WatchRequest(0, 0, 0, is_entry_host, f"{host}/1", 0, [])
    request.answer_times = list(records) or None
    listed: list[SlowEndpointRecord] | None = watches.answer(
        received(request)
    ).slow_endpoints
    return listed


class TestReports:
    def test_of_several_hosts_list_the_start(self, slow_list: SlowList) -> None:
        assert [item.start_id for item in slow_list.listed()] == ["a"]

    def test_of_silent_hosts_do_not_count(
        self, slow_list: SlowList, clock: Clock
    ) -> None:
        clock.now += REPORT_SECONDS + COMBINE_SECONDS
        assert not slow_list.listed()

    def test_are_replaced_by_the_next_one(
        self, slow_list: SlowList, clock: Clock
    ) -> None:
        assert slow_list.listed()
        slow_list.record("entry-1", [])
        clock.now += COMBINE_SECONDS
        assert not slow_list.listed()

    def test_are_combined_at_intervals(self, slow_list: SlowList, clock: Clock) -> None:
        listed = slow_list.listed()
        slow_list.record("entry-1", [])
        assert slow_list.listed() is listed


class TestWatch:
    """Guards against an entry host that has to find a slow endpoint by itself."""

    def test_tells_entry_hosts(self, watches: Watches) -> None:
        for number in range(3):
            ask(watches, f"entry-{number}", SLOW_RECORD)
        watches._slow_list._combined_at = float("-inf")
        assert ask(watches, "entry-9") == [SlowEndpointRecord("a", 110, 0)]
        assert ask(watches, "control-2", is_entry_host=False) is None

    def test_tells_nothing_while_no_endpoint_is_slow(self, watches: Watches) -> None:
        assert ask(watches, "entry-1") is None

    def test_counts_a_host_once(self, watches: Watches) -> None:
        for _ in range(3):
            ask(watches, "entry-1", SLOW_RECORD)
        watches._slow_list._combined_at = float("-inf")
        assert ask(watches, "entry-1") is None

    def test_ignores_invalid_reports(self, watches: Watches) -> None:
        for number in range(3):
            ask(watches, f"entry-{number}", AnswerTimesRecord("a", -1, 22, 3, 0))
        watches._slow_list._combined_at = float("-inf")
        assert ask(watches, "entry-1") is None
