"""Which start of an endpoint counts, whatever arrives late and in which order."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from jujubeslip.discovery import (
    Endpoint,
    EndpointBook,
    _book,
    _models,
    endpoint_from_record,
    to_record,
)
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from tests.fakes.clock import Clock

FIRST, SECOND, THIRD = 1_700_000_000_000, 1_700_000_005_000, 1_700_000_009_000


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_book, "steady_seconds", clock.steady_seconds)
    monkeypatch.setattr(_models, "steady_seconds", clock.steady_seconds)
    return clock


def told(
    clock: Clock,
    started_at_ms: int,
    sequence: int = 1,
    leaving: bool = False,
    role: EndpointRole = EndpointRole.PLAIN,
) -> Endpoint:
    """Return an announcement that arrives now."""
    return Endpoint(
        endpoint_id="e",
        service_name="plain",
        address=f"10.0.0.1:{started_at_ms % 1000 + 80}",
        availability_zone="zone-1",
        sequence=sequence,
        leaving=leaving,
        slots=4,
        role=role,
        heard_at=clock.now,
        slow_until=Deadline.after(0),
        started_at_ms=started_at_ms,
    )


def known(book: EndpointBook) -> Endpoint:
    found = book.find("e")
    assert found is not None
    return found


class TestLaterStart:
    """An endpoint starts again; its announcements count from 1 again.

    Taken for late ones, they would change nothing until they are as many as those of
    the start before, and its requests would go to the address of before.
    """

    def test_counts_although_its_sequence_is_lower(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([told(clock, FIRST, 700)])
        later = told(clock, SECOND, 1, role=EndpointRole.DECODE)
        book.take([later])
        assert known(book) == replace(later, restarted=True)

    def test_does_not_leave_with_the_one_before(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([told(clock, FIRST, 700, leaving=True)])
        book.note_left("e")
        book.take([told(clock, SECOND)])
        assert known(book).stays

    def test_wakes_those_who_watch(self, clock: Clock) -> None:
        book = EndpointBook()
        version = book.take([told(clock, FIRST)])
        book.take([told(clock, SECOND)])
        waited = Deadline.after(5)
        book.wait_for_news(version, lambda: False, waited)
        assert not waited.expired

    def test_is_another_start_by_name(self, clock: Clock) -> None:
        book = EndpointBook()
        earlier = told(clock, FIRST)
        book.take([earlier])
        assert book.find_start(earlier.start_id) is not None
        book.take([told(clock, SECOND)])
        assert book.find_start(earlier.start_id) is None
        assert book.is_over(earlier)


class TestEarlierStart:
    """What an endpoint said before it was killed arrives after its next start."""

    @pytest.mark.parametrize("leaving", [True, False])
    def test_changes_nothing_of_the_later_one(
        self, clock: Clock, leaving: bool
    ) -> None:
        book = EndpointBook()
        later = told(clock, SECOND)
        book.take([later])
        book.take([told(clock, FIRST, 701, leaving)])
        assert known(book) == replace(later, restarted=True)

    def test_removal_that_names_it_changes_nothing(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([told(clock, FIRST)])
        book.take([told(clock, SECOND)])
        before = known(book)
        book.note_left("e", FIRST)
        assert known(book) == before

    def test_of_one_that_tells_none_is_before_all_others(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([told(clock, 0, 700)])
        book.take([told(clock, FIRST)])
        book.take([told(clock, 0, 701, leaving=True)])
        assert known(book).started_at_ms == FIRST and known(book).stays


class TestClockThatWentBack:
    """An endpoint's clock is set back while it starts again.

    Its new start tells an earlier time than the one before, which is gone. Held back
    for good, it would get nothing as long as it runs.
    """

    def test_new_start_counts_once_the_other_is_silent(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([told(clock, SECOND, 700)])
        clock.now += _book.GIVES_WAY_SECONDS - 1
        book.take([told(clock, FIRST, 29)])
        assert known(book).started_at_ms == SECOND
        clock.now += 2
        book.take([told(clock, FIRST, 31)])
        assert known(book).started_at_ms == FIRST and known(book).stays

    def test_is_not_taken_back_by_a_host_that_knows_the_other(
        self, clock: Clock
    ) -> None:
        book = EndpointBook()
        gone = told(clock, SECOND, 700)
        clock.now += _book.GIVES_WAY_SECONDS + 1
        book.take([told(clock, FIRST, 31)])
        book.take([gone])
        assert known(book).started_at_ms == FIRST


class TestRemoval:
    """A removal names the id alone; one of an earlier start may come late.

    Ignored, an endpoint that leaves would get requests until it is gone. Final, it
    would keep a start out that it wasn't meant for.
    """

    def restarted(self, clock: Clock) -> EndpointBook:
        book = EndpointBook()
        book.take([told(clock, FIRST, 700)])
        book.take([told(clock, SECOND, 1)])
        return book

    def test_holds_at_once(self, clock: Clock) -> None:
        book = self.restarted(clock)
        version = book.version
        book.note_left("e")
        assert not known(book).stays
        waited = Deadline.after(5)
        book.wait_for_news(version, lambda: False, waited)
        assert not waited.expired

    def test_ends_for_a_restarted_one_that_goes_on(self, clock: Clock) -> None:
        book = self.restarted(clock)
        book.note_left("e")
        clock.now += _models.REMOVAL_SECONDS - 0.1
        book.take([told(clock, SECOND, 5)])
        assert not known(book).stays
        clock.now += 0.2
        book.take([told(clock, SECOND, 6)])
        assert known(book).stays

    def test_is_final_for_one_that_has_no_earlier_start(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([told(clock, FIRST)])
        book.note_left("e")
        clock.now += 2 * _models.REMOVAL_SECONDS
        book.take([told(clock, FIRST, 9)])
        assert not known(book).stays

    def test_that_names_the_start_is_final(self, clock: Clock) -> None:
        book = self.restarted(clock)
        book.note_left("e", SECOND)
        clock.now += 2 * _models.REMOVAL_SECONDS
        book.take([told(clock, SECOND, 9)])
        assert not known(book).stays

    def test_before_the_new_start_is_heard_says_nothing_of_it(
        self, clock: Clock
    ) -> None:
        book = EndpointBook()
        book.take([told(clock, FIRST, 700)])
        book.note_left("e")
        book.take([told(clock, SECOND)])
        assert known(book).stays


def tell_each_other(books: tuple[EndpointBook, EndpointBook]) -> None:
    for _ in range(2):
        for teller, hearer in (books, books[::-1]):
            hearer.take(
                endpoint_from_record(to_record(item)) for item in teller.endpoints()
            )


class TestHostsThatTellEachOther:
    def test_record_carries_the_start_and_its_removal(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([told(clock, FIRST)])
        book.take([told(clock, SECOND)])
        clock.now += 1
        book.note_left("e")
        clock.now += 2
        carried = endpoint_from_record(to_record(known(book)))
        assert carried.start_id == known(book).start_id
        assert carried.restarted and not carried.stays
        assert carried.removed_at == pytest.approx(clock.now - 2)

    def test_record_of_a_host_that_knows_no_starts(self, clock: Clock) -> None:
        record = to_record(told(clock, FIRST))
        record.started_at_ms = record.restarted = record.removed_ago_ms = None
        assert endpoint_from_record(record).start_id == "e"

    @pytest.mark.parametrize("seed", range(50))
    def test_end_with_the_same_start_in_any_order(
        self, clock: Clock, seed: int
    ) -> None:
        """Each of two hosts hears a part in an order of its own, then both tell."""
        chance = random.Random(seed)
        books = (EndpointBook(), EndpointBook())
        events = [
            told(clock, start, sequence, leaving=leaving)
            for start in (FIRST, SECOND, THIRD)
            for sequence, leaving in ((1, False), (2, False), (3, start != THIRD))
        ]
        chance.shuffle(events)
        for event in events:
            chance.choice(books).take([event])
        tell_each_other(books)
        for book in books:
            latest = known(book)
            assert latest.started_at_ms == THIRD
            assert latest.sequence == 3 and latest.stays
        version = books[0].version
        assert books[0].take(books[1].endpoints()) == version

    @pytest.mark.parametrize("seed", range(50))
    def test_agree_on_removals_that_come_late(self, clock: Clock, seed: int) -> None:
        """Removals of earlier starts arrive at either host, among announcements."""
        chance = random.Random(seed)
        books = (EndpointBook(), EndpointBook())
        calls: list[Endpoint | None] = [None, None]
        calls += [told(clock, start, 2) for start in (FIRST, SECOND, THIRD)]
        chance.shuffle(calls)
        for call in calls:
            clock.now += chance.random()
            book = chance.choice(books)
            if call is None:
                book.note_left("e")
            else:
                book.take([replace(call, heard_at=clock.now)])
        tell_each_other(books)
        assert known(books[0]).stays == known(books[1]).stays
        clock.now += _models.REMOVAL_SECONDS + 1
        chance.choice(books).take([told(clock, THIRD, 3)])
        tell_each_other(books)
        for book in books:
            assert known(book).started_at_ms == THIRD and known(book).stays
