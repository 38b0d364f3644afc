"""Failures of engines that have neither a length nor chunks, without hosts."""

from __future__ import annotations

import socket
import threading
from contextlib import ExitStack
from dataclasses import replace
from unittest.mock import Mock

import pytest

from jujubeslip.endpoints import AnswerCutError, ConnectionPool, has_ended
from jujubeslip.forwarding._models import Attempts, WholeAnswer
from jujubeslip.forwarding._stream_path import StreamPath
from jujubeslip.interfaces import EndpointCall
from jujubeslip.kernel import Deadline
from tests.fakes.engines import engine
from tests.fakes.scripted_endpoints import ScriptedSystem

FAILURE = (
    b"HTTP/1.1 500 Failed\r\nRequest-Id: r1\r\nServer-Stamp: e.r1\r\n\r\nthe beginning"
)
LEAVING_FAILURE = FAILURE.replace(b"Request-Id", b"Server-Leaving: 1\r\nRequest-Id")
SECONDS = 2.0


class FailingEngine:
    """Fails one request; its process may end with that answer."""

    def __init__(self, ends: bool, failure: bytes = FAILURE) -> None:
        self._failure = failure
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._answer, args=(ends,), daemon=True).start()

    def _answer(self, ends: bool) -> None:
        connection = self._listener.accept()[0]
        connection.recv(65536)
        if ends:
            self._listener.close()
        connection.sendall(self._failure)
        connection.close()

    def fail_stream(self, announces_leaving: bool = False) -> object:
        """Return how a stream begins at this engine."""
        sender = replace(ScriptedSystem("e").sender, pool=ConnectionPool())
        sender.crashes._has_ended = lambda _, address: has_ended(address)
        endpoint = replace(engine("e"), address=self.address)
        if announces_leaving:
            sender.crashes._registry.merge(
                [replace(endpoint, sequence=2, leaving=True)]
            )
        path = StreamPath(sender, Mock(), Mock())
        context = replace(
            ScriptedSystem("e").context("r1"), end_by=Deadline.after(SECONDS)
        )
        call = EndpointCall("e", int(SECONDS * 1000))
        return path._run(context, Attempts(), endpoint, call, ExitStack())


class TestFailureOfAStream:
    """Guards against the beginning of a failure's body that passes for a whole one."""

    def test_is_cut_off_if_its_engine_has_ended(self) -> None:
        with pytest.raises(AnswerCutError):
            FailingEngine(ends=True).fail_stream()

    def test_is_cut_off_if_its_engine_has_said_that_it_leaves(self) -> None:
        with pytest.raises(AnswerCutError):
            FailingEngine(ends=True, failure=LEAVING_FAILURE).fail_stream()

    def test_is_cut_off_if_its_engine_has_announced_that_it_leaves(self) -> None:
        with pytest.raises(AnswerCutError):
            FailingEngine(ends=True).fail_stream(announces_leaving=True)

    @pytest.mark.parametrize("failure", [FAILURE, LEAVING_FAILURE])
    def test_is_whole_if_its_engine_runs(self, failure: bytes) -> None:
        answer = FailingEngine(ends=False, failure=failure).fail_stream()
        assert isinstance(answer, WholeAnswer)
        assert (answer.status, answer.body) == (500, b"the beginning")
