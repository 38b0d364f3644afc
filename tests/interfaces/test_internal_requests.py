"""What proves the answers to requests that don't come from clients."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from jujubeslip.endpoints import (
    ConnectionPool,
    EndpointAnswerError,
    EndpointConnection,
    EndpointError,
)
from jujubeslip.interfaces import interfaces, send_internal_request
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.notices import EndpointNotices
from tests.fakes.copying_engine import CopyingEngine, copying_engine
from tests.fakes.engines import engine

SECONDS = 2.0


@pytest.fixture
def running() -> Iterator[CopyingEngine]:
    load_plugins()
    with copying_engine() as found:
        yield found


class Host:
    """A host that calls one engine."""

    def __init__(self, running: CopyingEngine) -> None:
        self.interface = interfaces.get("platform")
        self._endpoint = replace(engine("engine"), address=running.address)
        self._pool = ConnectionPool()

    def reserve(self) -> str:
        """Return the token of a reservation, or raise AssertionError if refused."""
        status, body = self._send(self.interface.reserve("engine", 100, 1000))
        assert status == 200
        return self.interface.read_reservation(body).unwrap()

    def report(self, seconds: float = SECONDS) -> int:
        """Ask for a report; return the status of the answer."""
        return self._send(self.interface.ask_report("engine"), seconds)[0]

    def _send(self, request: Any, seconds: float = SECONDS) -> tuple[int, bytes]:
        return send_internal_request(
            self._pool,
            self.interface,
            EndpointNotices(),
            self._endpoint,
            request,
            Deadline.after(seconds),
        )


class TestReservation:
    """Guards against two requests with the reservation of one."""

    def test_is_not_that_of_another_request(self, running: CopyingEngine) -> None:
        running.answers_twice = True
        host = Host(running)
        assert [host.reserve() for _ in range(3)] == ["h-1", "h-2", "h-3"]

    def test_costs_no_connection_if_it_is_refused(self, running: CopyingEngine) -> None:
        running.has_room = False
        host = Host(running)
        for _ in range(5):
            with pytest.raises(AssertionError):
                host.reserve()
        assert running.connections == 1


class TestReport:
    def test_costs_no_connection(self, running: CopyingEngine) -> None:
        """Guards against a connection for each of the calls that are made most."""
        host = Host(running)
        for _ in range(5):
            assert host.report() == 200
        assert running.connections == 1


class TestAnswerToAClient:
    """Guards against an answer to a client that passes for one to this host."""

    def test_is_no_answer(self, running: CopyingEngine) -> None:
        running.lines = ["Request-Id: 9c41"]
        with pytest.raises(EndpointAnswerError):
            Host(running).report()


class TestConnectionThatOpensTooLate:
    """Guards against calls that arrive after the time for which they were decided."""

    def test_carries_no_call(
        self, running: CopyingEngine, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        take = ConnectionPool.take

        def take_slowly(*arguments: Any) -> EndpointConnection:
            threading.Event().wait(0.05)
            return take(*arguments)

        monkeypatch.setattr(ConnectionPool, "take", take_slowly)
        host = Host(running)
        with pytest.raises(EndpointError) as caught:
            host.report(seconds=0.02)
        assert not caught.value.may_have_run
        assert host.report() == 200
        assert (running.calls, running.connections) == (["/report"], 1)
