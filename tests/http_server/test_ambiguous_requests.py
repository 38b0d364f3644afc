"""Requests that can be read in two ways."""

from __future__ import annotations

import contextlib
import re
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from waitress import wasyncore
from waitress.adjustments import Adjustments

from jujubeslip.http_server import HttpServer, HttpServerOptions
from jujubeslip.http_server._request_parser import (
    Ambiguity,
    RequestParser,
    find_ambiguity,
)
from jujubeslip.kernel import Process
from tests.fakes.processes import free_address

SECONDS = 5.0
SINGLE = frozenset({"host", "request-id"})
DECIDING = (b"host", b"request-id", b"content-length", b"transfer-encoding")
INNER = b"POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
LINE = b"POST /outer HTTP/1.1"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LENGTH = b"Content-Length: 5\r\n"

AMBIGUOUS = [
    (LINE, LENGTH + CHUNKED, Ambiguity.TWO_FRAMINGS),
    (LINE, CHUNKED + LENGTH, Ambiguity.TWO_FRAMINGS),
    (LINE, LENGTH + LENGTH, Ambiguity.TWO_FRAMINGS),
    (LINE, CHUNKED + CHUNKED.upper(), Ambiguity.TWO_FRAMINGS),
    (LINE, b"Transfer-Encoding: chunked, chunked\r\n", Ambiguity.CODING),
    (LINE, b"Transfer-Encoding: chunked,\r\n", Ambiguity.CODING),
    (LINE, b"Transfer-Encoding:\r\n", Ambiguity.CODING),
    (LINE.replace(b"1.1", b"1.0"), CHUNKED, Ambiguity.CODING),
    (LINE.replace(b"1.1", b"1.2"), CHUNKED, Ambiguity.CODING),
    (LINE, b"Transfer-Encoding:\r\n chunked\r\n", Ambiguity.FOLDED),
    (LINE, b"Content-Length: 5\r\n\t6\r\n", Ambiguity.FOLDED),
    (LINE, b"Host: a\r\n b\r\n", Ambiguity.FOLDED),
    (LINE, b"Host: a\r\nhost: b\r\n", Ambiguity.REPEATED),
    (LINE, b"Request-Id: a\r\nX: y\r\nRequest-ID: a\r\n", Ambiguity.REPEATED),
]
SOUND = [
    (LINE, LENGTH),
    (LINE, CHUNKED),
    (LINE, b"Transfer-Encoding:\tCHUNKED \r\n"),
    (LINE, b""),
    (LINE.replace(b"1.1", b"1.0"), LENGTH),
    (LINE, b"Accept: a\r\nAccept: b\r\nX: y\r\n  folded\r\nHost: a\r\n"),
]


class TestAmbiguity:
    """Guards against requests of which another reader sees another end or another id.

    The request behind the end that one of them sees runs unasked.
    """

    @pytest.mark.parametrize(("line", "headers", "reason"), AMBIGUOUS)
    def test_is_found(self, line: bytes, headers: bytes, reason: Ambiguity) -> None:
        found = find_ambiguity(line, headers, SINGLE)
        assert found is not None and found[0] is reason

    @pytest.mark.parametrize(("line", "headers"), SOUND)
    def test_is_none_in_a_sound_request(self, line: bytes, headers: bytes) -> None:
        assert find_ambiguity(line, headers, SINGLE) is None


@dataclass(frozen=True)
class Parsed:
    """A request as a reader finds it."""

    first_line: bytes
    body: bytes


def read_strictly(sent: bytes) -> list[Parsed]:
    """Return the requests that a reader finds which stops at what isn't sound."""
    found = []
    while (request := _read_one(sent)) is not None:
        parsed, sent = request
        found.append(parsed)
    return found


def _read_one(sent: bytes) -> tuple[Parsed, bytes] | None:
    # Empty lines before a request are allowed (RFC 9112, 2.2).
    while sent.startswith(b"\r\n"):
        sent = sent[2:]
    head, end, rest = sent.partition(b"\r\n\r\n")
    first_line, *lines = head.split(b"\r\n")
    if not end or not re.fullmatch(rb"[A-Z]+ /\w* HTTP/1\.[0-9]", first_line):
        return None
    values_by_name: dict[bytes, list[bytes]] = {}
    name = b""
    for line in lines:
        if line.startswith(b" ") and name not in (b"", *DECIDING):
            continue
        match = re.fullmatch(rb"([A-Za-z-]+):[ \t]*([!-~](?:[ -~]*[!-~])?)?", line)
        if match is None:
            return None
        name = match[1].lower()
        values_by_name.setdefault(name, []).append(match[2] or b"")
    for name in (b"host", b"request-id"):
        if len(values_by_name.get(name, [])) > 1:
            return None
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    body = _read_body(first_line, lengths, codings, rest)
    return None if body is None else (Parsed(first_line, body[0]), body[1])


def _read_body(
    first_line: bytes, lengths: list[bytes], codings: list[bytes], rest: bytes
) -> tuple[bytes, bytes] | None:
    if len(lengths) + len(codings) > 1:
        return None
    if codings:
        is_chunked = codings[0].lower() == b"chunked"
        is_chunked = is_chunked and not first_line.endswith(b"1.0")
        return _read_chunks(rest) if is_chunked else None
    if not lengths:
        return b"", rest
    if not lengths[0].isdigit() or len(rest) < int(lengths[0]):
        return None
    return rest[: int(lengths[0])], rest[int(lengths[0]) :]


def _read_chunks(rest: bytes) -> tuple[bytes, bytes] | None:
    body = b""
    while True:
        line, end, rest = rest.partition(b"\r\n")
        if not end or not re.fullmatch(rb"[0-9A-Fa-f]+", line):
            return None
        size = int(line, 16)
        if not size:
            return (body, rest[2:]) if rest.startswith(b"\r\n") else None
        if rest[size : size + 2] != b"\r\n":
            return None
        body, rest = body + rest[:size], rest[size + 2 :]


def read_by_parser(parts: list[bytes]) -> list[Parsed]:
    """Return the requests that the server's parser finds, as a connection feeds it."""
    adjustments = Adjustments()
    found: list[Parsed] = []
    parser = RequestParser(adjustments, SINGLE)
    for part in parts:
        while part:
            part = part[parser.received(part) :]
            if not parser.completed:
                continue
            if parser.error is not None:
                return found
            if not parser.empty:
                body = parser.get_body_stream().read()
                found.append(Parsed(parser.first_line, body))
            parser = RequestParser(adjustments, SINGLE)
    return found


HEADERS = st.lists(
    st.sampled_from(
        [
            b"Host: x",
            b"Request-Id: a",
            b"X: y",
            b"Content-Length: 0",
            b"Content-Length: 3",
            b"Content-Length: 47",
            b"Content-Length: -1",
            b"Content-Length: 3, 3",
            b"Transfer-Encoding: chunked",
            b"transfer-encoding: Chunked",
            b"Transfer-Encoding: chunked, chunked",
            b"Transfer-Encoding: identity",
            b"Transfer-Encoding: ,chunked",
            b" folded",
            b"Content-Length : 3",
        ]
    ),
    max_size=4,
)
BODIES = st.sampled_from(
    [
        b"",
        b"abc",
        b"0\r\n\r\n",
        b"3\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        INNER,
    ]
)
LINES = st.sampled_from(
    [
        LINE,
        LINE.replace(b"1.1", b"1.0"),
        LINE.replace(b"1.1", b"1.2"),
        b"GET / HTTP/1.1",
    ]
)


@st.composite
def sent_bytes(draw: Callable) -> list[bytes]:
    """Return the bytes of some requests, cut into parts anywhere."""
    sent = b""
    for _ in range(draw(st.integers(1, 3))):
        head = b"\r\n".join([draw(LINES), *draw(HEADERS)])
        sent += head + b"\r\n\r\n" + draw(BODIES) + draw(BODIES)
    cuts = draw(st.lists(st.integers(0, len(sent)), max_size=4))
    places = [0, *sorted(cuts), len(sent)]
    return [sent[a:b] for a, b in zip(places, places[1:], strict=False)]


class TestRequestsOnOneConnection:
    """Guards against any reading beside the one that a strict reader has."""

    @settings(max_examples=500, deadline=None)
    @given(sent_bytes())
    def test_are_those_of_a_strict_reader_or_fewer(self, parts: list[bytes]) -> None:
        strict = read_strictly(b"".join(parts))
        found = read_by_parser(parts)
        assert found == strict[: len(found)]


@dataclass
class Recorder:
    """An app that records the requests that reach it."""

    requests: list[tuple[str, bytes]] = field(default_factory=list)

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        body = environ["wsgi.input"].read()
        self.requests.append((environ["PATH_INFO"], body))
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]


@pytest.fixture
def recorder() -> Recorder:
    return Recorder()


@pytest.fixture
def address(recorder: Recorder) -> Iterator[str]:
    address, process = free_address(), Process("test")
    options = HttpServerOptions(
        address,
        threads=2,
        single_headers=SINGLE,
        encode_error=lambda status, detail: f'{{"{status}": "{detail}"}}'.encode(),
    )
    server = HttpServer(options, recorder)
    server.start(process)
    yield address
    process.stopped.set()
    inner = server._server
    # Fails where the server's task, woken by something else, has closed it already.
    with contextlib.suppress(OSError):
        inner.trigger.pull_trigger(lambda: wasyncore.close_all(inner._map, True))


def exchange(address: str, sent: bytes) -> bytes:
    """Return what the server answers until it closes the connection."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), SECONDS) as connection:
        connection.sendall(sent)
        parts = []
        while part := connection.recv(65536):
            parts.append(part)
    return b"".join(parts)


class TestServer:
    """Guards against a request that runs although it can be read in two ways."""

    @pytest.mark.parametrize(("line", "headers", "reason"), AMBIGUOUS)
    def test_refuses_an_ambiguous_request_and_closes(
        self,
        address: str,
        recorder: Recorder,
        line: bytes,
        headers: bytes,
        reason: Ambiguity,
    ) -> None:
        sent = line + b"\r\n" + headers + b"\r\n0\r\n\r\n" + INNER
        received = exchange(address, sent)
        assert received.startswith(b"HTTP/1.") and received[9:12] == b"400"
        assert b"Connection: close" in received
        assert received.count(b"Content-Length: ") == 1
        assert recorder.requests == []

    def test_names_the_header(self, address: str) -> None:
        sent = LINE + b"\r\nRequest-Id: a\r\nRequest-Id: b\r\n\r\n"
        body = exchange(address, sent).partition(b"\r\n\r\n")[2]
        assert body == b'{"400": "request-id is sent more than once."}'

    def test_serves_sound_requests_one_after_the_other(
        self, address: str, recorder: Recorder
    ) -> None:
        folded = b"Accept: a\r\nAccept: b\r\nX: y\r\n  folded\r\n"
        sent = LINE + b"\r\nHost: x\r\n" + folded + CHUNKED + b"\r\n"
        last = INNER.replace(b"Host", b"Connection: close\r\nHost")
        exchange(address, sent + b"3\r\nabc\r\n0\r\n\r\n" + INNER + last)
        assert recorder.requests == [
            ("/outer", b"abc"),
            ("/inner", b""),
            ("/inner", b""),
        ]
