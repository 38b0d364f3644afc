"""What is believed of an endpoint whose announcements come late and out of order."""

from __future__ import annotations

from dataclasses import replace

from jujubeslip.discovery import Endpoint, EndpointBook
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
