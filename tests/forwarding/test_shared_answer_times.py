"""What an entry host tells control hosts of endpoints, and when."""

from __future__ import annotations

import pytest

from jujubeslip.discovery import MAXIMUM_LISTED, SlowEndpoint
from jujubeslip.forwarding._answer_times import REPORT_SECONDS, AnswerTimes
from jujubeslip.forwarding._shared_answer_times import SharedAnswerTimes
from tests.fakes.clock import Clock

USUAL, SLOW = 0.022, 0.11


class Host:
    """An entry host with a clock that the test moves."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.times = AnswerTimes(self.clock.steady_seconds)
        self.shared = SharedAnswerTimes(self.times, self.clock.steady_seconds)
        self.answer("a", *[USUAL] * 10)
        self.clock.now += REPORT_SECONDS + 0.1

    def answer(self, start_id: str, *seconds: float, failed: bool = False) -> None:
        self.times.note_service(start_id, "service")
        for taken in seconds:
            with self.times.measure(start_id):
                self.clock.now += taken
            if failed:
                self.times.note_failure(start_id)


@pytest.fixture
def host() -> Host:
    return Host()


class TestReports:
    """Guards against messages that grow with hosts and endpoints."""

    def test_nothing_while_answers_are_usual(self, host: Host) -> None:
        host.answer("a", *[USUAL] * 5)
        assert host.shared.reports() == []

    def test_single_slow_answer_is_not_reported(self, host: Host) -> None:
        host.answer("a", SLOW)
        assert host.shared.reports() == []

    def test_slow_answers_are(self, host: Host) -> None:
        host.answer("a", SLOW, SLOW)
        (report,) = host.shared.reports()
        assert (report.start_id, report.answers) == ("a", 2)
        assert report.is_slow

    def test_failures_are(self, host: Host) -> None:
        host.answer("a", USUAL, USUAL, failed=True)
        host.answer("a", USUAL, USUAL)
        (report,) = host.shared.reports()
        assert report.failure_share == 0.5

    def test_listed_start_is_reported_also_when_it_is_well(self, host: Host) -> None:
        host.shared.apply("control", [SlowEndpoint("a", SLOW, 0.0)])
        host.answer("a", USUAL)
        (report,) = host.shared.reports()
        assert not report.is_slow

    def test_old_answers_are_not_reported(self, host: Host) -> None:
        host.answer("a", SLOW, SLOW)
        host.clock.now += REPORT_SECONDS + 0.1
        assert host.shared.reports() == []

    def test_are_bounded(self, host: Host) -> None:
        for number in range(3 * MAXIMUM_LISTED):
            host.answer(f"start-{number}", 1e-3, 1e-3, failed=True)
        assert len(host.shared.reports()) == MAXIMUM_LISTED


class TestLists:
    def test_of_replaced_control_hosts_are_forgotten(self, host: Host) -> None:
        for number in range(100):
            host.shared.apply(f"10.0.0.{number}:1", [])
            host.clock.now += 1
        assert len(host.shared._list_by_address) < 5
