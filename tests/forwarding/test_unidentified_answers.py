"""Answers that don't tell which request they are for."""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from jujubeslip.endpoints import (
    AnswerCutError,
    ConnectionPool,
    EndpointAnswerError,
    EndpointOnHoldError,
    EndpointRefusedError,
)
from jujubeslip.endpoints._stray_answers import StrayAnswerFinder
from tests.fakes.endpoint_host import EndpointHost

# Processor time to look through 250 KB; a byte at a time, most of it goes to the calls.
LINEAR_SECONDS = 2.0
FIRST = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: first\r\nServer-Stamp: s.first\r\n"
    b"Keep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\n{}"
)
SECOND = FIRST.replace(b"first", b"second")
UNNAMED = SECOND.replace(b"Request-Id: second\r\n", b"")
UNNAMED_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nKeep-Alive: timeout=30\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)

UNNAMED_FAILURE = UNNAMED.replace(b"200 OK", b"500 Failed")


@dataclass
class AnswersInTurn:
    """An endpoint that sends one of its answers for each request it gets."""

    answers: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection = self._listener.accept()[0]
            except OSError:
                return
            with connection:
                while connection.recv(65536):
                    connection.sendall(self.answers.pop(0))
                    if not self.answers:
                        break

    def close(self) -> None:
        self._listener.close()


@pytest.fixture
def endpoint() -> Iterator[AnswersInTurn]:
    found = AnswersInTurn()
    yield found
    found.close()


class TestAnswerWithoutRequestId:
    """Guards against an answer to an earlier request that passes for another's."""

    def test_proves_no_success_where_earlier_requests_went(
        self, endpoint: AnswersInTurn
    ) -> None:
        endpoint.answers += [FIRST, UNNAMED]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises(EndpointAnswerError) as raised:
            host.send("second")
        assert raised.value.may_have_run

    @pytest.mark.parametrize("answer", [UNNAMED_REFUSAL, UNNAMED_FAILURE])
    def test_proves_no_refusal_where_earlier_requests_went(
        self, endpoint: AnswersInTurn, answer: bytes
    ) -> None:
        endpoint.answers += [FIRST, answer]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises(EndpointAnswerError) as raised:
            host.send("second")
        assert raised.value.may_have_run

    def test_refuses_once_its_endpoint_is_known_to_name_none(
        self, endpoint: AnswersInTurn
    ) -> None:
        endpoint.answers += [FIRST, UNNAMED_REFUSAL, FIRST, UNNAMED_REFUSAL]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises(EndpointAnswerError):
            host.send("second")
        assert host.send("first").status == 200
        with pytest.raises(EndpointRefusedError) as raised:
            host.send("second")
        assert not raised.value.may_have_run

    def test_asks_for_backoff_all_the_same(self, endpoint: AnswersInTurn) -> None:
        refusal = UNNAMED_REFUSAL.replace(b"Not-Run", b"Retry-After: 5\r\nNot-Run")
        endpoint.answers += [FIRST, refusal]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises(EndpointAnswerError):
            host.send("second")
        with pytest.raises(EndpointOnHoldError):
            host.send("third")

    def test_counts_as_first_answer_of_a_connection(
        self, endpoint: AnswersInTurn
    ) -> None:
        endpoint.answers += [UNNAMED, UNNAMED_REFUSAL]
        host = EndpointHost(endpoint)
        assert host.send("second").status == 200
        with pytest.raises(EndpointRefusedError):
            host.send("third")


class TestJoinedAnswers:
    """Guards against two heads, the first one cut off, that are read as one."""

    @pytest.mark.parametrize("size", range(1, FIRST.index(b"Content-Length")))
    def test_are_no_success(self, endpoint: AnswersInTurn, size: int) -> None:
        endpoint.answers += [FIRST, FIRST[:size] + SECOND]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises((EndpointAnswerError, AnswerCutError)):
            host.send("second")

    @pytest.mark.parametrize("name", [b"Request-Id", b"Server-Stamp", b"Instance-Id"])
    def test_show_by_headers_that_an_answer_has_once(
        self, endpoint: AnswersInTurn, name: bytes
    ) -> None:
        line = name + b": of another\r\n"
        again = SECOND.replace(b"Request-Id", line + line + b"Request-Id")
        endpoint.answers += [again]
        with pytest.raises(EndpointAnswerError):
            EndpointHost(endpoint).send("second")


class TestEmptyStamp:
    """Guards against a success without the proof that an endpoint made it."""

    def test_proves_no_origin(self, endpoint: AnswersInTurn) -> None:
        endpoint.answers.append(SECOND.replace(b"s.second", b""))
        with pytest.raises(EndpointAnswerError):
            EndpointHost(endpoint).send("second")


class TestLogOfAnAnswer:
    """Guards against answers that are not accepted without a trace of the reason."""

    def test_names_framing_and_earlier_requests(
        self, endpoint: AnswersInTurn, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level(logging.INFO)
        endpoint.answers += [FIRST, SECOND[:-1]]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises(AnswerCutError):
            host.send("second")
        (line,) = (
            vars(record)
            for record in caplog.records
            if record.message == "answer not accepted"
        )
        assert line["request_id"] == "second"
        assert line["framing"] == "length"
        assert line["carried_others"]
        assert "shorter than its length" in line["error"]


class TestAnswerWithinABody:
    """Guards against a second answer that a body's length counts as its own."""

    @pytest.mark.parametrize("at", range(0, 200, 9))
    def test_makes_the_body_no_answer(self, endpoint: AnswersInTurn, at: int) -> None:
        sized = SECOND.replace(b"Length: 2", b"Length: 200")
        body = b"x" * at + FIRST + b"x" * (200 - at)
        endpoint.answers += [FIRST, sized[:-2] + body]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises(EndpointAnswerError):
            host.send("second")

    @pytest.mark.parametrize("missing", range(1, 140, 6))
    def test_makes_no_body_whole_that_ended_early(
        self, endpoint: AnswersInTurn, missing: int
    ) -> None:
        head = SECOND[:-2].replace(b"Length: 2", b"Length: 200")
        head = head.replace(b"Request-Id", b"Date: x\r\nServer: y\r\nRequest-Id")
        answer = head + b"0" * 200
        endpoint.answers += [FIRST, answer[:-missing] + answer]
        host = EndpointHost(endpoint)
        host.send("first")
        with pytest.raises(EndpointAnswerError):
            host.send("second")

    @pytest.mark.parametrize(
        "body",
        [
            FIRST.replace(b"first", b"of a manual page"),
            b"HTTP/1.1 200 OK is the answer to first, and to second, too.\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n" * 1000,
            b"HTTP/1.1 200 OK\n\n" * 1000,
            b"ends in H",
            b"HTTP/1.1 200 OK\r\nRequest-Id: seco",
        ],
    )
    def test_is_none_if_it_names_no_request(
        self, endpoint: AnswersInTurn, body: bytes
    ) -> None:
        length = b"Length: %d" % len(body)
        endpoint.answers += [FIRST, SECOND.replace(b"Length: 2", length)[:-2] + body]
        host = EndpointHost(endpoint)
        host.send("first")
        assert host.send("second").status == 200

    def test_is_none_if_it_follows_the_body(self, endpoint: AnswersInTurn) -> None:
        endpoint.answers += [FIRST, SECOND + FIRST]
        host = EndpointHost(endpoint)
        host.send("first")
        assert host.send("second").status == 200

    @pytest.mark.parametrize("size", [1, 65536])
    def test_is_looked_for_in_linear_time(self, size: int) -> None:
        finder = StrayAnswerFinder([f"request-{number}" for number in range(16)])
        body = b"HTTP/1.1 200 OK\r\nServer: name\r\n" * 8192
        started = time.process_time()
        for at in range(0, len(body), size):
            assert not finder.finds_one(body[at : at + size])
        assert time.process_time() - started < LINEAR_SECONDS


class TestConnectionsToAnEndpointThatNamesNoRequest:
    """Guards against refusals that prove nothing, and against needless connections."""

    def test_one_that_is_just_given_back_is_not_kept(
        self, endpoint: AnswersInTurn, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        pool = ConnectionPool()
        connection = pool.take("start", endpoint.address, "first")

        def is_clean() -> bool:
            pool.note_unnamed("start")
            return True

        monkeypatch.setattr(connection, "is_clean", is_clean)
        pool.give_back("start", connection, None)
        assert pool.idle_count == 0

    def test_those_of_the_system_are_kept(self, endpoint: AnswersInTurn) -> None:
        pool = ConnectionPool()
        connection = pool.take("start", endpoint.address)
        pool.give_back("start", connection, None)
        pool.note_unnamed("start")
        assert pool.take("start", endpoint.address) is connection
        pool.give_back("start", connection, None)
        assert pool.idle_count == 1
        pool.close_all()
