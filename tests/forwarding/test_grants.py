"""What a host makes of the leader's grants."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.forwarding._admissions import AdmissionAnswer
from jujubeslip.forwarding._grants import Grant, Grants
from jujubeslip.forwarding._models import Attempts
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from tests.fakes.engines import engine


def reader(leaving: bool = False) -> Endpoint:
    return replace(engine("reader", EndpointRole.PREFILL), leaving=leaving)


def answering(leaving: bool = False) -> Endpoint:
    return replace(engine("engine", EndpointRole.DECODE), leaving=leaving)


class Leader:
    """Grants the same engine and reader to every request."""

    def __init__(self) -> None:
        self.ended: list[tuple[str, int]] = []

    def ask(self, *_: object) -> AdmissionAnswer:
        return AdmissionAnswer("engine", "reader", 0.0, 0.1)

    def note_read(self, request_id: str, attempt: int) -> None:
        raise AssertionError("nothing was read")

    def end(self, request_id: str, attempt: int) -> None:
        self.ended.append((request_id, attempt))


def find(book: EndpointBook, leader: Leader) -> Grant | None:
    service = SimpleNamespace(engine=SimpleNamespace(reservation_ms=2000))
    context: Any = SimpleNamespace(
        table=SimpleNamespace(service_by_name={"model": service}),
        service_name="model",
        request=SimpleNamespace(
            request_id="r-1", prompt="a prompt", arrived=Deadline.after(0)
        ),
        came_back=False,
        end_by=Deadline.after(10),
        target_by=Deadline.after(1),
    )
    unused: Any = None
    pressures: Any = SimpleNamespace(note_wait=lambda name, waited: None)
    reservations: Any = SimpleNamespace(take=lambda *_: None)
    admissions: Any = leader
    grants = Grants(unused, book, pressures, reservations, admissions)
    return grants.find(context, Attempts(), reads_itself=False)


class TestGrantOfAnEngineThatLeaves:
    """An engine says that it leaves, to a host that the leader is cut off from.

    The leader goes on granting it; this host has heard of its leaving. Sent there, the
    request would reach an engine that is about to exit.
    """

    def test_is_given_back(self) -> None:
        book, leader = EndpointBook(), Leader()
        book.take([reader(), answering(leaving=True)])
        assert find(book, leader) is None
        assert leader.ended == [("r-1", 0)]

    def test_reader_is_not_asked(self) -> None:
        book, leader = EndpointBook(), Leader()
        book.take([reader(leaving=True), answering()])
        grant = find(book, leader)
        assert grant is not None and grant.endpoint.endpoint_id == "engine"
        assert grant.reader is None

    @pytest.mark.parametrize("missing", ["reader", "engine"])
    def test_that_is_not_known_is_not_used(self, missing: str) -> None:
        book, leader = EndpointBook(), Leader()
        book.take(
            [item for item in (reader(), answering()) if item.endpoint_id != missing]
        )
        grant = find(book, leader)
        assert grant is None if missing == "engine" else grant is not None
        assert grant is None or grant.reader is None

    def test_of_engines_that_stay_is_used(self) -> None:
        book, leader = EndpointBook(), Leader()
        book.take([reader(), answering()])
        grant = find(book, leader)
        assert grant is not None and grant.reader == book.find("reader")
        assert grant.read_seconds == 0.1
