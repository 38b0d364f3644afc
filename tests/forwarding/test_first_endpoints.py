"""Requests that come to a host which has just started and knows no endpoint yet."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.discovery import EndpointBook
from jujubeslip.endpoints import CallerGoneError
from jujubeslip.forwarding._first_endpoints import (
    WAIT_SECONDS,
    FirstEndpoints,
)
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from tests.fakes.engines import engine


def context(
    seconds: float = 14.0, service_name: str = "model", gone: bool = False
) -> Any:
    return SimpleNamespace(
        request=SimpleNamespace(request_id="r-1", arrived=Deadline.after(0)),
        service_name=service_name,
        end_by=Deadline.after(seconds),
        gone=lambda: gone,
    )


def announce_after(book: EndpointBook, seconds: float, role: EndpointRole) -> None:
    def announce() -> None:
        time.sleep(seconds)
        book.take([engine("e-1", role)])

    threading.Thread(target=announce, daemon=True).start()


def waited(first: FirstEndpoints, asking: Any) -> float:
    began = time.monotonic()
    first.wait_for(asking)
    return time.monotonic() - began


class TestHostThatHasJustStarted:
    """All hosts lose power for 1.2 s; their endpoints announce themselves 0.3 s later.

    The hosts had a configuration from 42.73 s on and knew endpoints from 42.90 s on. In
    between 64 requests ended with no_endpoint, 17 of them streams. Their clients had to
    come back, and those that had come back before were lost.
    """

    @pytest.mark.parametrize("role", [EndpointRole.PLAIN, EndpointRole.DECODE])
    def test_lets_requests_wait_for_an_endpoint(self, role: EndpointRole) -> None:
        book = EndpointBook()
        announce_after(book, 0.3, role)
        assert 0.2 < waited(FirstEndpoints(book), context()) < WAIT_SECONDS

    def test_an_engine_that_only_reads_prompts_is_not_enough(self) -> None:
        book = EndpointBook()
        book.take([engine("p-1", EndpointRole.PREFILL)])
        announce_after(book, 0.3, EndpointRole.DECODE)
        assert 0.2 < waited(FirstEndpoints(book), context()) < WAIT_SECONDS

    def test_does_not_hold_them_for_long(self) -> None:
        seconds = waited(FirstEndpoints(EndpointBook()), context())
        assert WAIT_SECONDS <= seconds < WAIT_SECONDS + 0.3

    def test_keeps_most_of_their_time_for_the_answer(self) -> None:
        assert waited(FirstEndpoints(EndpointBook()), context(seconds=0.6)) < 0.4

    def test_lets_a_client_go(self) -> None:
        with pytest.raises(CallerGoneError):
            FirstEndpoints(EndpointBook()).wait_for(context(gone=True))

    def test_lets_no_request_wait_where_an_endpoint_is_known(self) -> None:
        book = EndpointBook()
        book.take([engine("e-1", EndpointRole.DECODE)])
        assert waited(FirstEndpoints(book), context()) < 0.1


class TestHostThatHasRunForLong:
    """What can't be served is refused at once: nobody announces that service."""

    def test_lets_no_request_wait(self, monkeypatch: pytest.MonkeyPatch) -> None:
        first = FirstEndpoints(EndpointBook())
        monkeypatch.setattr(first, "_unknown_until", Deadline.after(0))
        assert waited(first, context()) < 0.1
