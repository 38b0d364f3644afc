"""Removals that arrive among announcements of several starts."""

from __future__ import annotations

from dataclasses import replace

from jujubeslip.discovery import Endpoint, EndpointBook, Removal
from jujubeslip.discovery._book import GIVES_WAY_SECONDS
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import RemovalScope
from tests.discovery.test_book import endpoint

FIRST, SECOND = 1_700_000_000_000, 1_700_000_005_000


def start(started_at_ms: int, sequence: int = 1) -> Endpoint:
    return replace(endpoint(sequence), started_at_ms=started_at_ms)


def stays(book: EndpointBook) -> bool:
    found = book.find("e")
    assert found is not None
    return found.stays


class TestRemovalOfAStartThatIsNotTheKnownOne:
    """Guards against a removal that is dropped, since another start is known."""

    def test_of_a_later_one_holds_once_that_is_heard(self) -> None:
        book = EndpointBook()
        book.take([start(FIRST)])
        book.note_left("e", SECOND)
        assert stays(book)
        book.take([start(SECOND)])
        assert not stays(book)

    def test_that_another_host_tells_holds_once_it_is_heard(self) -> None:
        book, other = EndpointBook(), EndpointBook()
        book.take([start(FIRST)])
        other.note_left("e", SECOND)
        book.take_removals(other.removals_since(0))
        book.take([start(SECOND)])
        assert not stays(book)

    def test_of_an_earlier_one_holds_where_the_later_one_is_silent(self) -> None:
        book = EndpointBook()
        book.take([start(FIRST)])
        book.note_left("e", FIRST)
        silent_since = steady_seconds() - GIVES_WAY_SECONDS - 1
        book.take([replace(start(SECOND), heard_at=silent_since)])
        book.take([start(FIRST, sequence=2)])
        assert not stays(book)


class TestRemovalsThatHostsTellEachOther:
    """Guards against hosts that tell each other the same removal for ever."""

    def test_end_with_the_latest(self) -> None:
        books = (EndpointBook(), EndpointBook())
        now = steady_seconds()
        for book, age in zip(books, (10.0, 5.0), strict=True):
            told = Removal("e", now - age, FIRST, scope=RemovalScope.LATEST_START)
            book.take_removals([told])
        for _ in range(2):
            for teller, hearer in (books, books[::-1]):
                hearer.take_removals(teller.removals_since(0))
        versions = [book.version for book in books]
        for teller, hearer in (books, books[::-1]):
            hearer.take_removals(teller.removals_since(0))
        assert [book.version for book in books] == versions
        assert [book.removals_since(0)[0].removed_at for book in books] == [now - 5] * 2

    def test_of_unknown_starts_are_for_the_one_that_is_known(self) -> None:
        book, other = EndpointBook(), EndpointBook()
        book.note_left("e")
        other.take([start(FIRST)])
        other.take_removals(book.removals_since(0))
        assert not stays(other)
        other.take([start(SECOND)])
        assert stays(other)
