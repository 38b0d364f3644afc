"""Crashes during an answer, of which another content may be the cause."""

from __future__ import annotations

import pytest

from jujubeslip.quarantine import (
    Crash,
    CrashBook,
    CrashHistory,
    _book,
    to_crash_record,
    usable_histories,
)
from jujubeslip.quarantine._models import NEWS_SECONDS, QUARANTINE_CRASHES
from tests.fakes.broken_fields import received
from tests.fakes.clock import Clock

FATAL, STREAM = "f" * 16, "0" * 16
RUN_SECONDS = 0.1


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    for module in (
        _book.__name__,
        "jujubeslip.kernel._deadlines",
        "jujubeslip.quarantine._records",
    ):
        monkeypatch.setattr(f"{module}.steady_seconds", clock.steady_seconds)
    return clock


def note(
    book: CrashBook, clock: Clock, content: str, number: int, answered: bool
) -> None:
    crash = Crash(f"start-{number}", clock.now - RUN_SECONDS, clock.now, answered)
    book.note_crash(content, crash)


def held(book: CrashBook) -> list[str]:
    return [history.fingerprint for history in book.held_back()]


def end_beside(book: CrashBook, clock: Clock) -> None:
    """Let endpoints end that answer a stream and not yet the fatal content."""
    for number in range(QUARANTINE_CRASHES):
        clock.now += 1
        note(book, clock, STREAM, number, answered=True)
        note(book, clock, FATAL, number, answered=False)
    clock.now += 2 * NEWS_SECONDS


class TestCrashDuringAnAnswer:
    def test_does_not_count_beside_a_content_without_answer(self, clock: Clock) -> None:
        book = CrashBook()
        end_beside(book, clock)
        assert held(book) == [FATAL]

    def test_counts_once_the_other_content_is_harmless(self, clock: Clock) -> None:
        """Guards against a content that is spared for one that waited beside it."""
        book = CrashBook()
        end_beside(book, clock)
        book.clear(FATAL)
        assert held(book) == [STREAM]

    def test_counts_only_when_others_may_have_told(self, clock: Clock) -> None:
        """Guards against holding back what news on their way would excuse."""
        book = CrashBook()
        for number in range(QUARANTINE_CRASHES):
            clock.now += 1
            note(book, clock, STREAM, number, answered=True)
        assert held(book) == []
        clock.now += 2 * NEWS_SECONDS
        assert held(book) == [STREAM]

    def test_is_told_as_such(self, clock: Clock) -> None:
        """Guards against a host that can't tell the two contents apart."""
        teller, hearer = CrashBook(), CrashBook()
        end_beside(teller, clock)
        _, histories = teller.changes_since(0)
        records = [received(to_crash_record(history)) for history in histories]
        hearer.take(usable_histories("host", records))
        assert held(hearer) == [FATAL]

    def test_is_told_by_older_hosts_as_one_before(self, clock: Clock) -> None:
        crash = Crash("start-1", clock.now - RUN_SECONDS, clock.now, answered=True)
        record = to_crash_record(CrashHistory(STREAM, (crash,)))
        record.crashes[0].answered = None
        (told,) = usable_histories("host", [received(record)])
        assert not told.crashes[0].answered

    def test_of_one_host_holds_for_equal_requests(self, clock: Clock) -> None:
        """Guards against books that differ by the order in which hosts tell them."""
        for first_answered in (True, False):
            book = CrashBook()
            note(book, clock, STREAM, 1, answered=first_answered)
            note(book, clock, STREAM, 1, answered=not first_answered)
            history = book.find(STREAM)
            assert history is not None
            assert [crash.answered for crash in history.crashes] == [True]
