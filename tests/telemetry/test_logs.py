"""Log handlers under load, and while the output stream blocks."""

from __future__ import annotations

import logging
import queue

from jujubeslip.telemetry._logs import DroppingHandler, RateFilter


def record(message: str, second: float = 100.0) -> logging.LogRecord:
    log_record = logging.LogRecord("name", logging.INFO, "", 0, message, (), None)
    log_record.created = second
    return log_record


class TestBlockedStream:
    """Guards against requests that wait for a log line.

    A log collector that stops reading the output stream blocks each thread that writes
    to it.
    """

    def test_drops_and_counts_lines(self) -> None:
        queued_records: queue.Queue[logging.LogRecord] = queue.Queue(2)
        handler = DroppingHandler(queued_records)
        for number in range(5):
            handler.emit(record(f"line {number}"))
        queued_records.get()
        handler.emit(record("after"))
        lines = [queued_records.get(), queued_records.get()]
        assert lines[1].dropped_before == 3  # type: ignore[attr-defined]


class TestRateFilter:
    def test_limits_a_kind_and_reports_the_suppressed_count(self) -> None:
        rate_filter = RateFilter(3)
        passed = [rate_filter.filter(record("refused")) for _ in range(10)]
        assert passed.count(True) == 3
        following = record("refused", 101.0)
        assert rate_filter.filter(following)
        assert following.left_out_before == 7  # type: ignore[attr-defined]

    def test_does_not_limit_other_kinds(self) -> None:
        rate_filter = RateFilter(1)
        rate_filter.filter(record("refused"))
        assert rate_filter.filter(record("served"))
