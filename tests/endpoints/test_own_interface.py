"""Answers of engines and plain services that are damaged, late or another request's."""

from __future__ import annotations

import contextlib
import json
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from jujubeslip.endpoints import (
    AnswerCutError,
    ClientDisconnectedError,
    EndpointAnswerError,
    EndpointError,
    EndpointMonitor,
    EndpointRefusedError,
    EngineAdapter,
    PlainAnswer,
    RequestRef,
    call_plain_service,
    never_interrupted,
)
from jujubeslip.kernel import Deadline
from tests.fakes.fault_proxy import RESET_ON_CLOSE

REF = RequestRef("request-1", 1, "entry-1/1")
ECHO = {"request_id": REF.request_id, "attempt": REF.attempt}
IDS = b"X-Request-Id: request-1\r\nX-Attempt: 1\r\n"
PAUSE_SECONDS = 0.1
SECONDS = 1.0

# What an endpoint sends for one request; a pause follows each part.
Sent = Sequence[bytes]


@dataclass
class RawEndpoint:
    """Sends on each connection what a test says, a list for each of its requests.

    Afterwards it stays silent or closes the connection. It refuses connections beyond
    those of the test.
    """

    sent_by_connection: Sequence[Sequence[Sent]]
    closes: bool = False
    accepted: int = 0
    address: str = field(init=False)

    def __post_init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with self._listener:
            for answers in self.sent_by_connection:
                connection, _ = self._listener.accept()
                self.accepted += 1
                arguments = (connection, answers)
                target = self._answer
                threading.Thread(target=target, args=arguments, daemon=True).start()

    def _answer(self, connection: socket.socket, answers: Sequence[Sent]) -> None:
        with connection, contextlib.suppress(OSError):
            for parts in answers:
                connection.recv(65536)
                for part in parts:
                    connection.sendall(part)
                    time.sleep(PAUSE_SECONDS)
            if self.closes:
                connection.shutdown(socket.SHUT_WR)
            # A part of the request that is left unread would reset the connection.
            while connection.recv(65536):
                pass


def answer(
    fields: object, status: bytes = b"200 OK", headers: bytes = b"Server: x\r\n"
) -> bytes:
    """Return an answer with a JSON body."""
    body = json.dumps(fields).encode()
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + headers + length + b"\r\n" + body


def status_answer(incarnation: int) -> bytes:
    """Return a status, which an endpoint's incarnation tells from others."""
    return answer(
        {
            "endpoint_id": "decode-1",
            "incarnation": incarnation,
            "role": "decode",
            "leaving": False,
            "slots": 4,
            "held": [],
        }
    )


FIRST, SECOND, THIRD = (status_answer(number) for number in (1, 2, 3))
EVENTS = answer({"events": [], "next": 0})


def monitored(*sent_by_connection: Sequence[Sent], polls: int = 2) -> list[int]:
    """Return the incarnations that a monitor reads in some polls."""
    monitor = EndpointMonitor(RawEndpoint(sent_by_connection).address)
    seen = []
    for _ in range(polls):
        seen.append(monitor.status(Deadline.after(SECONDS)).incarnation)
        time.sleep(2 * PAUSE_SECONDS)
    monitor.close()
    return seen


def plain_answer(sent: bytes, *others: Sequence[Sent]) -> PlainAnswer:
    endpoint = RawEndpoint([[[sent]], *others], closes=True)
    deadline = Deadline.after(SECONDS)
    return call_plain_service(
        endpoint.address, "/run", REF, b"{}", "", deadline, never_interrupted
    )


class TestMonitorOnAKeptConnection:
    """Guards against an answer to an earlier call that passes for the next one's."""

    def test_reads_no_answer_that_came_unasked(self) -> None:
        assert monitored([[FIRST, SECOND]], [[THIRD]]) == [1, 3]

    def test_reads_no_answer_that_another_one_follows(self) -> None:
        assert monitored([[FIRST], [SECOND + FIRST]], [[THIRD]]) == [1, 3]

    def test_reads_no_answer_to_another_call(self) -> None:
        assert monitored([[FIRST], [EVENTS]], [[THIRD]]) == [1, 3]

    def test_asks_again_when_it_is_silent(self) -> None:
        assert monitored([[FIRST]], [[SECOND]]) == [1, 2]

    def test_uses_it_for_many_calls(self) -> None:
        assert monitored([[FIRST], [SECOND], [THIRD]], polls=3) == [1, 2, 3]


class TestMonitor:
    """Guards against damaged answers that are repaired, and reads without an end."""

    @pytest.mark.parametrize(
        "sent",
        [
            b"HTTP/1.1 200 OK\r\nServer: 3e" + FIRST,
            FIRST.replace(b"Server: x", b"Content-Length: 4"),
            FIRST.replace(b"Server: x", b"Server: x\ry"),
        ],
    )
    def test_reads_no_damaged_answer(self, sent: bytes) -> None:
        with pytest.raises(EndpointAnswerError):
            monitored([[sent]])

    def test_ends_at_its_deadline_while_bytes_keep_coming(self) -> None:
        parts = [FIRST[index : index + 1] for index in range(40)]
        end = Deadline.after(2 * SECONDS)
        with pytest.raises(EndpointError):
            monitored([parts])
        assert not end.expired


class TestLinesOfAStream:
    """Guards against lines that have arrived and wait for the next packet."""

    def test_are_read_although_they_came_at_once(self) -> None:
        items: list[dict[str, object]] = [{"accepted": True}]
        items += [{"index": index, "token": f"w{index} "} for index in range(3)]
        items += [{"end": True, "tokens": 3}]
        lines = (json.dumps({**ECHO, **item}).encode() + b"\n" for item in items)
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(line), line) for line in lines)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        adapter = EngineAdapter(RawEndpoint([[[head + chunks]]]).address)
        tokens = adapter.decode(REF, "kv", 0, 3, Deadline.after(SECONDS), SECONDS / 2)
        assert list(tokens) == ["w0 ", "w1 ", "w2 "]


class TestAnswerWithoutEnd:
    """Guards against answers that are read for as long as their sender likes."""

    def test_is_invalid_if_its_head_does_not_end(self) -> None:
        interim = b"HTTP/1.1 102 Processing\r\n\r\n" * 20_000
        with pytest.raises(EndpointAnswerError):
            plain_answer(interim + answer(ECHO, headers=IDS))

    def test_is_left_when_the_client_disconnects(self) -> None:
        endpoint = RawEndpoint([[[answer(ECHO, headers=IDS)[:-1]]]])
        left = Deadline.after(SECONDS / 4)
        with pytest.raises(ClientDisconnectedError):
            call_plain_service(
                endpoint.address,
                "/run",
                REF,
                b"{}",
                "",
                Deadline.after(SECONDS),
                lambda: left.expired,
            )


class TestAnswerOfAPlainService:
    """Guards against answers to other requests, and refusals that promise too much."""

    @pytest.mark.parametrize(
        "headers",
        [
            IDS + b"X-Request-Id: request-2\r\n",
            IDS + b"X-Attempt: 2\r\n",
            IDS + IDS,
            IDS.replace(b"request-1", b"request-2"),
            IDS.replace(b"X-Attempt: 1", b"X-Attempt: 2"),
            b"X-Attempt: 1\r\n",
        ],
    )
    def test_is_invalid_unless_it_echoes_its_ids_once(self, headers: bytes) -> None:
        for status in (b"200 OK", b"503 Full"):
            with pytest.raises(EndpointAnswerError):
                plain_answer(answer(ECHO, status, headers + b"X-Ran: no\r\n"))

    @pytest.mark.parametrize(
        ("headers", "may_have_run"),
        [
            (b"X-Ran: no\r\n", False),
            (b"X-Ran: no\r\nX-Ran: yes\r\n", True),
            (b"X-Ran: yes\r\n", True),
            (b"", True),
        ],
    )
    def test_says_whether_it_ran(self, headers: bytes, may_have_run: bool) -> None:
        with pytest.raises(EndpointRefusedError) as refused:
            plain_answer(answer(ECHO, b"503 Full", IDS + headers))
        assert refused.value.may_have_run is may_have_run

    def test_is_invalid_if_it_is_encoded(self) -> None:
        with pytest.raises(EndpointAnswerError):
            plain_answer(answer(ECHO, headers=IDS + b"Content-Encoding: gzip\r\n"))


class TestBodyOfAPlainService:
    """Guards against a body whose end is the beginning of a second answer."""

    @pytest.mark.parametrize("missing", range(1, 60, 5))
    def test_is_not_completed_by_a_second_answer(self, missing: int) -> None:
        whole = answer({"text": "0" * 200}, headers=IDS)
        with pytest.raises(EndpointAnswerError):
            plain_answer(whole[:-missing] + whole)


class TestUnframedAnswerOfAPlainService:
    """Guards against the beginning of an answer whose sender ended within it."""

    SENT = b"HTTP/1.1 200 OK\r\n" + IDS + b"\r\nthe beginning"

    def test_is_cut_off_if_the_service_has_ended(self) -> None:
        with pytest.raises(AnswerCutError):
            plain_answer(self.SENT)

    def test_is_whole_if_the_service_still_accepts_connections(self) -> None:
        assert plain_answer(self.SENT, [[]]).body == b"the beginning"


def reset_early(upload_bytes: int) -> str:
    """Return the address of a service that answers a part, and resets, at once."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with listener, listener.accept()[0] as connection:
            connection.recv(upload_bytes // 3)
            connection.sendall(TestUnframedAnswerOfAPlainService.SENT)
            time.sleep(PAUSE_SECONDS)
            option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.setsockopt(*option)
        # A service that goes on: new connections are accepted.
        threading.Thread(target=again.accept, daemon=True).start()

    again = listener.dup()
    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    return f"{host}:{port}"


class TestAnswerThatIsResetDuringTheUpload:
    """Guards against a part of an answer that passes for the whole one."""

    @pytest.mark.parametrize("upload_bytes", [30, 150_000, 3_000_000])
    def test_is_cut_off(self, upload_bytes: int) -> None:
        address, deadline = reset_early(upload_bytes), Deadline.after(SECONDS)
        with pytest.raises(AnswerCutError):
            call_plain_service(
                address,
                "/run",
                REF,
                bytes(upload_bytes),
                "",
                deadline,
                never_interrupted,
            )


class TestStatusThatIsNone:
    """Guards against an answer of a status that no answer has."""

    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999", b"20", b"abc"])
    def test_is_invalid(self, status: bytes) -> None:
        with pytest.raises(EndpointAnswerError):
            plain_answer(answer(ECHO, status + b" Status", IDS))


class TestRefusalOfAnEngine:
    """Guards against a refusal of another request that is read as "not run"."""

    @pytest.mark.parametrize(
        ("echo", "may_have_run"), [(ECHO, False), ({}, True), ({"attempt": 1}, True)]
    )
    def test_says_not_run_only_with_both_ids(
        self, echo: dict[str, object], may_have_run: bool
    ) -> None:
        sent = answer({"reason": "full", "ran": "no", **echo}, b"409 Conflict")
        adapter = EngineAdapter(RawEndpoint([[[sent]], [[sent]]]).address)
        deadline = Deadline.after(SECONDS)
        for call in (
            lambda: adapter.prefill(REF, "model", "prompt", 1, deadline),
            lambda: list(adapter.decode(REF, "kv", 0, 1, deadline, SECONDS)),
        ):
            with pytest.raises(EndpointRefusedError) as refused:
                call()
            assert refused.value.may_have_run is may_have_run

    def test_is_invalid_with_the_ids_of_another_request(self) -> None:
        fields = {"reason": "full", "ran": "no", **ECHO, "request_id": "request-2"}
        endpoint = RawEndpoint([[[answer(fields, b"409 Conflict")]]])
        with pytest.raises(EndpointAnswerError):
            EngineAdapter(endpoint.address).prefill(
                REF, "model", "prompt", 1, Deadline.after(SECONDS)
            )


class TestPendingAnswer:
    """Guards against a failed question about a request that is read as "not run"."""

    @pytest.mark.parametrize(
        "probes", [[], [[[answer({}, b"503 Stopping")]]] * 2], ids=["refused", "503"]
    )
    def test_may_have_run_whatever_the_probes_return(
        self, probes: Sequence[Sequence[Sent]]
    ) -> None:
        endpoint = RawEndpoint([[], *probes])
        with pytest.raises(EndpointError) as failed:
            call_plain_service(
                endpoint.address,
                "/run",
                REF,
                b"{}",
                "",
                Deadline.after(10 * SECONDS),
                never_interrupted,
            )
        assert failed.value.may_have_run
        assert not isinstance(failed.value, AnswerCutError)
