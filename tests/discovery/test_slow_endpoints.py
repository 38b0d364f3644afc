"""Which endpoint starts the reports of entry hosts show as slow or failing."""

from __future__ import annotations

import pytest

from jujubeslip.discovery import (
    MAXIMUM_LISTED,
    AnswerReport,
    SlowEndpoint,
    slow_endpoints,
    to_answer_times_record,
    to_slow_endpoint_record,
    usable_reports,
    usable_slow_endpoints,
)
from jujubeslip.peers import AnswerTimesRecord, SlowEndpointRecord
from tests.fakes.broken_fields import received

USUAL, SLOW = 0.022, 0.11


def report(seconds: float, answers: int = 3, failures: int = 0) -> AnswerReport:
    return AnswerReport("a", seconds, 2 * USUAL, answers, failures)


class TestSlow:
    """Guards against one host that measures wrongly, and against late recovery."""

    def test_listed_with_the_median(self) -> None:
        found = slow_endpoints([[report(SLOW)], [report(0.1)], [report(9.0)]])
        assert found == (SlowEndpoint("a", SLOW, 0.0),)

    def test_two_hosts_are_not_enough(self) -> None:
        assert not slow_endpoints([[report(SLOW)], [report(SLOW)]])

    def test_one_wrong_host_changes_nothing(self) -> None:
        assert not slow_endpoints([[report(600.0)], [report(USUAL)], [report(USUAL)]])

    def test_hosts_that_find_it_well_end_it(self) -> None:
        reports = [[report(SLOW)]] * 3 + [[report(USUAL)]] * 3
        assert not slow_endpoints(reports)

    def test_list_is_bounded(self) -> None:
        reports = [
            AnswerReport(f"{number}", SLOW, 2 * USUAL, 2, 0)
            for number in range(3 * MAXIMUM_LISTED)
        ]
        assert len(slow_endpoints([reports] * 3)) == MAXIMUM_LISTED


class TestFailing:
    def test_listed_with_the_share_over_all_hosts(self) -> None:
        reports = [[report(USUAL, 4, 2)]] * 5
        assert slow_endpoints(reports) == (SlowEndpoint("a", 0.0, 0.5),)

    def test_one_host_with_failures_changes_nothing(self) -> None:
        reports = [[report(USUAL, 1000, 1000)]] + [[report(USUAL, 4, 0)]] * 3
        assert not slow_endpoints(reports)

    def test_few_failures_at_all_hosts_are_not_listed(self) -> None:
        assert not slow_endpoints([[report(USUAL, 10, 1)]] * 9)


class TestRecords:
    """Guards against records that another version or a faulty host sends."""

    def test_report_arrives_as_it_was_sent(self) -> None:
        record = received(to_answer_times_record(report(SLOW, 5, 2)))
        assert list(usable_reports("entry-1", [record])) == [report(SLOW, 5, 2)]

    def test_listed_endpoint_arrives_as_it_was_sent(self) -> None:
        listed = SlowEndpoint("a", SLOW, 0.45)
        record = received(to_slow_endpoint_record(listed))
        assert list(usable_slow_endpoints("control-1", [record])) == [listed]

    @pytest.mark.parametrize(
        "record",
        [
            AnswerTimesRecord(None, 110, 22, 3, 0),
            AnswerTimesRecord("a", -1, 22, 3, 0),
            AnswerTimesRecord("a", 2**31 - 1, 22, 3, 0),
            AnswerTimesRecord("a", 110, None, 3, 0),
            AnswerTimesRecord("a", 110, 22, 3, -7),
        ],
    )
    def test_invalid_report_is_left_out(self, record: AnswerTimesRecord) -> None:
        assert not list(usable_reports("entry-1", [received(record)]))

    @pytest.mark.parametrize(
        "record",
        [
            SlowEndpointRecord("", 110, 0),
            SlowEndpointRecord("a", -110, 0),
            SlowEndpointRecord("a", 110, 101),
            SlowEndpointRecord("a", 110, None),
        ],
    )
    def test_invalid_listing_is_left_out(self, record: SlowEndpointRecord) -> None:
        assert not list(usable_slow_endpoints("control-1", [received(record)]))
