"""Answers that are cut off or damaged, as both readers of answers see them."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

import pytest

from jujubeslip.endpoints import (
    AnswerCutError,
    EndpointAnswerError,
    EndpointConnection,
    EndpointError,
    never_interrupted,
)
from jujubeslip.endpoints._http import Call
from jujubeslip.kernel import Deadline

SECONDS = 5.0
# How long an endpoint that resets leaves its answer to be read, in seconds.
RESET_SECONDS = 0.2
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Request-Id: 9c41\r\n"
    b"Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
)
BODY = b"0123456789"
CHUNKS = b"5\r\n01234\r\n5;name=value\r\n56789\r\n0\r\nDigest: x\r\n\r\n"
SIZED = HEAD + b"Content-Length: 10\r\n\r\n" + BODY
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS
UNFRAMED = HEAD + b"\r\n" + BODY

Read = tuple[int, tuple[tuple[str, str], ...], bytes]
Reader = Callable[[str], Read]


def answered_by(sent: bytes) -> str:
    """Return the address of an endpoint that sends these bytes and closes."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer() -> None:
        with listener, listener.accept()[0] as connection:
            connection.recv(65536)
            connection.sendall(sent)
            connection.shutdown(socket.SHUT_WR)
            # Bytes that are left unread would turn the end into a reset.
            while connection.recv(65536):
                pass

    threading.Thread(target=answer, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def reset_after(sent: bytes) -> str:
    """Return the address of an endpoint that sends these bytes and resets."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer() -> None:
        with listener, listener.accept()[0] as connection:
            connection.sendall(sent)
            # The request stays unread, so closing resets the connection.
            threading.Event().wait(RESET_SECONDS)

    threading.Thread(target=answer, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def read_directly(address: str) -> Read:
    connection = EndpointConnection(address)
    try:
        connection.watch(Deadline.after(SECONDS), never_interrupted)
        connection.send("GET", "/", [("Host", "host")], b"")
        head = connection.read_head()
        return head.status, head.headers, connection.read_rest(head)
    finally:
        connection.close()


def read_by_own_interface(address: str) -> Read:
    call = Call(address, Deadline.after(SECONDS), never_interrupted)
    try:
        call.send("GET", "/", b"", {})
        head = call.response()
        return head.status, head.headers, call.read_rest()
    finally:
        call.close()


@pytest.fixture(params=[read_directly, read_by_own_interface])
def read(request: pytest.FixtureRequest) -> Reader:
    reader: Reader = request.param
    return reader


class TestAnswerThatIsCutOff:
    """Guards against the beginning of an answer that passes for a whole one."""

    @pytest.mark.parametrize("whole", [SIZED, CHUNKED], ids=["length", "chunks"])
    def test_is_not_complete_wherever_it_ends(self, read: Reader, whole: bytes) -> None:
        for size in range(len(whole)):
            with pytest.raises(AnswerCutError):
                read(answered_by(whole[:size]))

    def test_is_not_complete_within_the_head_of_an_unframed_one(
        self, read: Reader
    ) -> None:
        for size in range(len(HEAD) + 2):
            with pytest.raises(AnswerCutError):
                read(answered_by(UNFRAMED[:size]))


class TestDamagedAnswer:
    """Guards against damaged heads, lengths and sizes that are read as others."""

    @pytest.mark.parametrize(
        "sent",
        [
            b"HTTP/1.1 200 OK\r\nServer-Stamp: 3e" + SIZED,
            b"HTTP/1.1 200 OK\r\nDate: Mo" + SIZED.replace(b"200 OK", b"500 Failed"),
            b"HTTP/1.1 2" + SIZED,
            b"HTTP/1.1 200 O" + SIZED,
            HEAD + b"no header\r\nContent-Length: 20\r\n\r\n" + BODY,
            SIZED.replace(b"07.5", b"\r"),
            SIZED.replace(b"07.5", b"\n"),
            SIZED.replace(b"07.5", b"\0"),
            SIZED.replace(b"07.5", b"\r\n "),
            SIZED.replace(b"Stamp:", b"Stamp :"),
            SIZED.replace(b"Length: 10", b"Length: 1x"),
            SIZED.replace(b"Length: 10", b"Length: -1"),
            SIZED.replace(b"Length: 10", b"Length: +10"),
            SIZED.replace(b"Length: 10", b"Length:"),
            SIZED.replace(b"Content", b"Content-Length: 4\r\nContent"),
            CHUNKED.replace(b"Transfer", b"Content-Length: 4\r\nTransfer"),
            CHUNKED.replace(b"chunked", b"chunke"),
            CHUNKED.replace(b"HTTP/1.1", b"HTTP/1.0"),
            CHUNKED.replace(b"01234\r\n", b"01234xx"),
            CHUNKED.replace(b"01234\r\n", b"01234\n"),
            CHUNKED.replace(b"\r\n5\r\n", b"\r\n+5\r\n"),
            CHUNKED.replace(b"\r\n5\r\n", b"\r\n0_5\r\n"),
            CHUNKED.replace(b"\r\n5\r\n", b"\r\n\r\n"),
            CHUNKED.replace(b"\r\n0\r\n", b"\r\n0\r\nDig" + SIZED),
        ],
    )
    def test_is_no_answer(self, read: Reader, sent: bytes) -> None:
        with pytest.raises(EndpointAnswerError):
            read(answered_by(sent))


class TestWholeAnswer:
    """Guards against sound answers that a strict reader refuses."""

    @pytest.mark.parametrize(
        "sent",
        [
            SIZED,
            CHUNKED,
            UNFRAMED,
            CHUNKED.replace(b"\r\n5\r\n", b"\r\n0005 \r\n"),
            SIZED.replace(b"200 OK", b"200"),
            SIZED.replace(b"200 OK", b"200 "),
            SIZED.replace(b"HTTP/1.1", b"HTTP/1.0"),
            SIZED.replace(b"Request-Id: ", b"Empty:\r\nVia: caf\xe9\r\nRequest-Id:\t"),
            b"HTTP/1.1 100 Continue\r\n\r\n" + SIZED,
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + CHUNKED,
            b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 \r\n\r\n" + UNFRAMED,
        ],
    )
    def test_is_read_whole(self, read: Reader, sent: bytes) -> None:
        status, headers, body = read(answered_by(sent))
        assert (status, body) == (200, BODY)
        assert ("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1") in headers

    @pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
    def test_may_have_no_body(self, read: Reader, status: bytes) -> None:
        sent = HEAD.replace(b"200 OK", status) + b"\r\n"
        assert read(answered_by(sent))[2] == b""

    def test_is_not_whole_if_its_connection_is_reset(self, read: Reader) -> None:
        with pytest.raises(EndpointError):
            read(reset_after(UNFRAMED))
