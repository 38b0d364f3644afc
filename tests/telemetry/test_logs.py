"""Log lines under load, and with a reader that reads no more."""

from __future__ import annotations

import logging
import queue

from jujubeslip.telemetry._logs import DroppingHandler, RateFilter


def record(message: str, second: float = 100.0) -> logging.LogRecord:
    made = logging.LogRecord("name", logging.INFO, "", 0, message, (), None)
    made.created = second
    return made


class TestReaderThatStops:
    """What collects the output stands still; whoever writes a line would wait for it.

    A board's request must not wait for a log line.
    """

    def test_costs_lines_which_are_counted(self) -> None:
        waiting: queue.Queue[logging.LogRecord] = queue.Queue(2)
        handler = DroppingHandler(waiting)
        for number in range(5):
            handler.emit(record(f"line {number}"))
        waiting.get()
        handler.emit(record("after"))
        lines = [waiting.get(), waiting.get()]
        assert lines[1].dropped_before == 3  # type: ignore[attr-defined]


class TestBurstOfOneKind:
    def test_is_bounded_and_the_next_line_says_by_how_much(self) -> None:
        limit = RateFilter(3)
        passed = [limit.filter(record("refused")) for _ in range(10)]
        assert passed.count(True) == 3
        following = record("refused", 101.0)
        assert limit.filter(following)
        assert following.left_out_before == 7  # type: ignore[attr-defined]

    def test_leaves_other_kinds_alone(self) -> None:
        limit = RateFilter(1)
        limit.filter(record("refused"))
        assert limit.filter(record("served"))
