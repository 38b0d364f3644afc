"""What is believed of an endpoint whose announcements come late and out of order."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jujubeslip.discovery import Endpoint, EndpointBook, Removal, _removals
from jujubeslip.discovery._models import REMOVAL_SECONDS
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole


def endpoint(sequence: int, leaving: bool = False, endpoint_id: str = "e") -> Endpoint:
    return Endpoint(
        endpoint_id=endpoint_id,
        service_name="plain",
        address="10.0.0.1:80",
        availability_zone="zone-1",
        sequence=sequence,
        leaving=leaving,
        slots=4,
        role=EndpointRole.PLAIN,
        heard_at=steady_seconds(),
        slow_until=Deadline.after(0),
    )


class TestLeaving:
    """A worker says that it leaves; an older "ready" arrives after it, by another way.

    Sent to it, a request would be cut when it exits.
    """

    def test_is_not_taken_back_by_an_older_announcement(self) -> None:
        book = EndpointBook()
        book.take([endpoint(5, leaving=True)])
        book.take([endpoint(4)])
        assert book.endpoints()[0].leaving

    def test_is_not_taken_back_by_a_newer_one(self) -> None:
        book = EndpointBook()
        book.take([endpoint(5, leaving=True)])
        book.take([endpoint(6)])
        assert book.endpoints()[0].leaving

    def test_that_is_told_with_an_older_sequence_counts(self) -> None:
        book = EndpointBook()
        book.take([endpoint(5)])
        book.take([endpoint(4, leaving=True)])
        assert book.endpoints()[0].leaving

    def test_of_one_start_says_nothing_of_another(self) -> None:
        book = EndpointBook()
        book.take([endpoint(5, leaving=True), endpoint(1, endpoint_id="next")])
        assert [item.leaving for item in book.endpoints()] == [True, False]


class TestRemovalOfOneThatWasNotHeardOf:
    """A control host has started anew, and an endpoint signs off with it.

    It is acknowledged. What the endpoint announced before comes from another host a
    moment later, and requests are sent to an endpoint that is about to exit: a removal
    was acknowledged at 13.35 s, requests came from 16.85 to 17.99 s.
    """

    def test_holds_for_the_announcement_that_comes_after_it(self) -> None:
        book = EndpointBook()
        book.note_left("e")
        book.take([endpoint(4), endpoint(5)])
        assert [item.stays for item in book.endpoints()] == [False]

    def test_is_told_to_other_hosts(self) -> None:
        book, other = EndpointBook(), EndpointBook()
        book.note_left("e")
        other.take([endpoint(4)])
        book.take(other.changes_since(0)[1])
        other.take(book.changes_since(0)[1])
        assert [item.stays for item in other.endpoints()] == [False]

    @pytest.mark.parametrize("heard_first", [True, False])
    def test_is_told_before_the_endpoint_is_heard_of(self, heard_first: bool) -> None:
        book, other = EndpointBook(), EndpointBook()
        book.note_left("e")
        if heard_first:
            other.take([endpoint(4)])
        other.take_removals(book.removals_since(0))
        other.take([endpoint(4), endpoint(5)])
        assert [item.stays for item in other.endpoints()] == [False]

    def test_is_told_once(self) -> None:
        book, other = EndpointBook(), EndpointBook()
        version = book.note_left("e")
        other.take_removals(book.removals_since(0))
        book.take_removals(other.removals_since(0))
        assert book.removals_since(version) == []
        assert book.version == version

    @pytest.mark.parametrize("age", [_removals.REMEMBERED_SECONDS + 1, 2.0**60])
    def test_is_not_taken_over_once_it_is_old(self, age: float) -> None:
        """The teller forgets old removals only when it hears of further ones."""
        book = EndpointBook()
        old = Removal("e", steady_seconds() - age, 0)
        book.take_removals([old, Removal("f", steady_seconds(), 0)])
        other = replace(endpoint(1, endpoint_id="f"), address="10.0.0.2:80")
        book.take([endpoint(1), other])
        assert [item.stays for item in book.endpoints()] == [True, False]

    def test_that_is_told_may_be_of_the_start_before(self) -> None:
        book, other = EndpointBook(), EndpointBook()
        book.note_left("e")
        started = replace(endpoint(1), started_at_ms=8)
        other.take([started])
        other.take_removals(book.removals_since(0))
        assert not other.endpoints()[0].stays
        later = started.heard_at + REMOVAL_SECONDS + 1
        other.take([replace(started, sequence=2, heard_at=later)])
        assert other.endpoints()[0].stays

    def test_says_nothing_of_another_start(self) -> None:
        book = EndpointBook()
        book.note_left("e", started_at_ms=7)
        book.take([replace(endpoint(1), started_at_ms=8)])
        assert [item.stays for item in book.endpoints()] == [True]

    def test_ends_for_a_start_that_goes_on_announcing_itself(self) -> None:
        """The removal may have been the last word of the start before it."""
        book = EndpointBook()
        book.note_left("e")
        started = replace(endpoint(1), started_at_ms=8)
        book.take([started])
        assert not book.endpoints()[0].stays
        later = started.heard_at + REMOVAL_SECONDS + 1
        book.take([replace(started, sequence=2, heard_at=later)])
        assert book.endpoints()[0].stays

    def test_is_kept_for_so_many_only(self) -> None:
        book = EndpointBook()
        for number in range(_removals.MAXIMUM_KEPT + 1):
            book.note_left(f"e-{number}")
        first, last = f"e-{0}", f"e-{_removals.MAXIMUM_KEPT}"
        book.take([endpoint(1, endpoint_id=name) for name in (first, last)])
        assert {item.endpoint_id: item.stays for item in book.endpoints()} == {
            first: True,
            last: False,
        }


class TestNews:
    def test_renewal_wakes_nobody(self) -> None:
        book = EndpointBook()
        version = book.take([endpoint(1)])
        book.take([endpoint(2)])
        waited = Deadline.after(0.05)
        book.wait_for_news(version, lambda: False, waited)
        assert waited.expired

    def test_same_announcement_told_twice_is_no_change(self) -> None:
        """Hosts that tell each other would otherwise do so for ever."""
        book = EndpointBook()
        told = endpoint(1)
        version = book.take([told])
        later = replace(told, heard_at=told.heard_at + 0.2)
        assert book.take([later]) == version

    def test_watcher_is_told_what_changed_since(self) -> None:
        book = EndpointBook()
        version = book.take([endpoint(1)])
        book.take([endpoint(1, endpoint_id="next")])
        _, changed = book.changes_since(version)
        assert [item.endpoint_id for item in changed] == ["next"]
