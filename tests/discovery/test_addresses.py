"""Which endpoint serves at an address that two have announced."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jujubeslip.discovery import Endpoint, EndpointBook, _book
from jujubeslip.discovery._addresses import LATE_SECONDS
from jujubeslip.peers import EndpointRole
from tests.fakes.clock import Clock
from tests.fakes.engines import engine

ADDRESS = "10.1.64.19:8205"
GONE, NEXT = "i-gone", "i-next"


class TestAddressOfAnEngineThatCrashed:
    """An engine crashes, and five seconds later another one is started at its address.

    A host of the control group that was frozen meanwhile then tells of an announcement
    that the first one had sent. The leader took it for back, found it empty, as reports
    of its address say so, and granted it 25 streams in five seconds: their prompts were
    all read, and the new one refused each ("another endpoint answers at its address").
    """

    @pytest.fixture
    def clock(self, monkeypatch: pytest.MonkeyPatch) -> Clock:
        clock = Clock()
        monkeypatch.setattr(_book, "steady_seconds", clock.steady_seconds)
        return clock

    @staticmethod
    def heard(endpoint_id: str, at: float, sequence: int = 1) -> Endpoint:
        told = replace(engine(endpoint_id), address=ADDRESS)
        return replace(told, heard_at=at, sequence=sequence)

    @staticmethod
    def used(book: EndpointBook) -> list[str]:
        engines = book.engines("model", EndpointRole.DECODE)
        assert {item.endpoint_id for item in engines} <= {
            item.endpoint_id for item in book.endpoints()
        }
        return [item.endpoint_id for item in engines]

    def test_belongs_to_the_next_one(self, clock: Clock) -> None:
        book = EndpointBook()
        first = self.heard(GONE, clock.now)
        book.take([first])
        assert self.used(book) == [GONE]
        assert not book.is_over(first)
        clock.now += 2
        book.take([self.heard(NEXT, clock.now)])
        assert self.used(book) == [NEXT]
        assert book.is_over(first)
        assert book.find_start(GONE) is None

    def test_is_not_given_back_by_a_late_announcement(self, clock: Clock) -> None:
        book = EndpointBook()
        book.take([self.heard(GONE, clock.now)])
        clock.now += 2
        book.take([self.heard(NEXT, clock.now)])
        clock.now += 0.2
        book.take([self.heard(GONE, clock.now, sequence=2)])
        assert self.used(book) == [NEXT]

    def test_is_not_given_back_once_the_next_one_is_silent(self, clock: Clock) -> None:
        """A zone that is cut off hears nothing, and goes on with what it knows."""
        book = EndpointBook()
        book.take([self.heard(GONE, clock.now)])
        clock.now += 2
        book.take([self.heard(NEXT, clock.now)])
        clock.now += 30
        assert [item.endpoint_id for item in book.endpoints()] == [NEXT]

    def test_is_shared_with_one_that_goes_on_announcing_itself(
        self, clock: Clock
    ) -> None:
        """What a stranger announces at its address puts no engine out of service."""
        book = EndpointBook()
        book.take([self.heard(GONE, clock.now)])
        clock.now += 2
        book.take([self.heard(NEXT, clock.now)])
        clock.now += LATE_SECONDS + 1
        book.take([self.heard(GONE, clock.now, sequence=6)])
        assert GONE in self.used(book)

    def test_is_told_to_a_host_that_has_just_started(self, clock: Clock) -> None:
        """Both are told together; the one that was not heard for long is gone."""
        told_long_ago = self.heard(GONE, clock.now - 20)
        book = EndpointBook()
        book.take([told_long_ago, self.heard(NEXT, clock.now)])
        assert [item.endpoint_id for item in book.endpoints()] == [NEXT]

    def test_of_one_that_moved_is_free_for_another(self, clock: Clock) -> None:
        book = EndpointBook()
        first = self.heard(GONE, clock.now)
        book.take([first])
        book.take([replace(first, sequence=2, address="10.1.64.20:8205")])
        clock.now += 2
        book.take([self.heard(NEXT, clock.now)])
        assert sorted(self.used(book)) == [GONE, NEXT]
