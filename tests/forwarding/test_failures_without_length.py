"""Answers of engines that have neither a length nor chunks, without hosts."""

from __future__ import annotations

import logging
import socket
import threading
from contextlib import ExitStack
from dataclasses import replace
from unittest.mock import Mock

import pytest

from jujubeslip.endpoints import (
    AnswerCutError,
    ConnectionPool,
    EndpointError,
    has_ended,
)
from jujubeslip.forwarding import _unproven_answers
from jujubeslip.forwarding._event_splitter import MAXIMUM_EVENT_BYTES
from jujubeslip.forwarding._models import Attempts, ForwardContext, WholeAnswer
from jujubeslip.forwarding._stream_path import StreamPath, _Run
from jujubeslip.interfaces import EndpointCall
from jujubeslip.kernel import Deadline
from tests.fakes.engines import engine
from tests.fakes.scripted_endpoints import ScriptedSystem

FAILURE = (
    b"HTTP/1.1 500 Failed\r\nRequest-Id: r1\r\nServer-Stamp: e.r1\r\n\r\nthe beginning"
)
LEAVING_FAILURE = FAILURE.replace(b"Request-Id", b"Server-Leaving: 1\r\nRequest-Id")
STREAM = FAILURE.replace(b"500 Failed", b"200 OK").removesuffix(b"the beginning")
EVENT = b"id: 1\ndata: token\n\n"
SECONDS = 2.0


class UnframedEngine:
    """Answers one request; its process may end with that answer."""

    def __init__(self, ends: bool, answer: bytes = FAILURE) -> None:
        self._sent = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._answer, args=(ends,), daemon=True).start()

    def _answer(self, ends: bool) -> None:
        connection = self._listener.accept()[0]
        connection.recv(65536)
        if ends:
            self._listener.close()
        connection.sendall(self._sent)
        connection.close()

    def begin_stream(self, announces_leaving: bool = False) -> object:
        """Return how a stream begins at this engine."""
        return self._begin(announces_leaving)[-1]

    def read_stream(self) -> bytes:
        """Return the events of a stream at this engine."""
        path, context, run = self._begin(announces_leaving=False)
        assert isinstance(run, _Run)
        return b"".join(path._events_of(context, Attempts(), run))

    def _begin(
        self, announces_leaving: bool
    ) -> tuple[StreamPath, ForwardContext, _Run | WholeAnswer]:
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
        run = path._run(context, Attempts(), endpoint, call, ExitStack())
        return path, context, run


class TestFailureOfAStream:
    """Guards against the beginning of a failure's body that passes for a whole one."""

    def test_is_cut_off_if_its_engine_has_ended(self) -> None:
        with pytest.raises(AnswerCutError):
            UnframedEngine(ends=True).begin_stream()

    def test_is_cut_off_if_its_engine_has_said_that_it_leaves(self) -> None:
        with pytest.raises(AnswerCutError):
            UnframedEngine(ends=True, answer=LEAVING_FAILURE).begin_stream()

    def test_is_cut_off_if_its_engine_has_announced_that_it_leaves(self) -> None:
        with pytest.raises(AnswerCutError):
            UnframedEngine(ends=True).begin_stream(announces_leaving=True)

    @pytest.mark.parametrize("failure", [FAILURE, LEAVING_FAILURE])
    def test_is_whole_if_its_engine_runs(self, failure: bytes) -> None:
        answer = UnframedEngine(ends=False, answer=failure).begin_stream()
        assert isinstance(answer, WholeAnswer)
        assert (answer.status, answer.body) == (500, b"the beginning")


class TestRecordOfAnAnswer:
    """Guards against answers that are cut off without a log line and a count."""

    @pytest.mark.parametrize(
        ("answer", "ends", "reason"),
        [
            (FAILURE, True, "ended during its answer"),
            (STREAM + EVENT, True, "ended during its answer"),
            (STREAM + EVENT + EVENT[:9], False, "in the middle of an event"),
            (STREAM + EVENT[:9], False, "before its first event"),
            (STREAM + b"x" * (MAXIMUM_EVENT_BYTES + 1), False, "is too long"),
        ],
        ids=["failure", "ended", "partial event", "no event", "long event"],
    )
    def test_names_the_reason(
        self,
        answer: bytes,
        ends: bool,
        reason: str,
        caplog: pytest.LogCaptureFixture,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        caplog.set_level(logging.INFO)
        counter = Mock()
        monkeypatch.setattr(_unproven_answers, "_answers", counter)
        with pytest.raises(EndpointError) as raised:
            UnframedEngine(ends, answer).read_stream()
        counter.add.assert_called_once_with(1, {"error": raised.value.error_id})
        (line,) = (
            vars(record)
            for record in caplog.records
            if record.message == "answer not accepted"
        )
        assert reason in line["error"]
        assert line["framing"] == "connection"
        assert not line["carried_others"]
