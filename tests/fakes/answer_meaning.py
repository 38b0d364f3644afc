"""What bytes say as an answer, by the grammar and independently of the readers."""

from __future__ import annotations

import re
import string
from collections.abc import Sequence

from tests.fakes.drawn_answers import (
    CHUNKS_VERSION,
    STATUSES,
    STATUSES_WITHOUT_BODY,
    TOKEN,
    Read,
)

CONTROLS = frozenset([*range(9), *range(10, 32), 127])
ANSWER_WITHIN_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")
SWITCHING_PROTOCOLS = 101
LARGEST_SIZE_DIGITS = 8


def meaning_of(sent: bytes, has_regular_end: bool) -> Read | None:
    """Return the first final answer that the bytes hold, None if they hold none.

    The bytes of a connection that has ended are split by the grammar of RFC 9112,
    without what it lets a lenient reader repair. An answer that begins within a line
    of another one shows that the other one is not whole.
    """
    try:
        return _meaning_of(sent, has_regular_end)
    except ValueError:
        return None


def _meaning_of(sent: bytes, has_regular_end: bool) -> Read:
    status = SWITCHING_PROTOCOLS - 1
    while status < STATUSES[0]:
        line, rest = _split_line(sent)
        version, status = _status_of(line)
        shown, sent = _split_fields(rest)
        _require(status != SWITCHING_PROTOCOLS)
    framings = [
        (name.lower(), value)
        for name, value in shown
        if name.lower() in ("content-length", "transfer-encoding")
    ]
    _require(len(framings) <= 1)
    body = _body(sent, framings, version, status, has_regular_end)
    return Read(status, shown, body)


def _body(
    rest: bytes,
    framings: Sequence[tuple[str, str]],
    version: bytes,
    status: int,
    has_regular_end: bool,
) -> bytes:
    is_chunked = False
    length = None
    for name, value in framings:
        if name == "content-length":
            _require(value.isascii() and value.isdigit())
            length = int(value)
        else:
            _require(value.lower() == "chunked" and version == CHUNKS_VERSION)
            is_chunked = True
    if status in STATUSES_WITHOUT_BODY:
        return b""
    if is_chunked:
        return _chunked_body(rest)
    if length is not None:
        _require(len(rest) >= length)
        return rest[:length]
    _require(has_regular_end)
    return rest


def _chunked_body(rest: bytes) -> bytes:
    body = b""
    while True:
        line, rest = _split_line(rest)
        digits = line.partition(b";")[0].rstrip(b" \t").decode("latin-1")
        _require(0 < len(digits) <= LARGEST_SIZE_DIGITS)
        _require(set(digits) <= set(string.hexdigits))
        size = int(digits, 16)
        if not size:
            _split_fields(rest)
            return body
        _require(rest[size : size + 2] == b"\r\n")
        body += rest[:size]
        rest = rest[size + 2 :]


def _status_of(line: bytes) -> tuple[bytes, int]:
    version, space, rest = line.partition(b" ")
    status, reason = rest[:3], rest[3:]
    _require(version in (b"HTTP/1.0", CHUNKS_VERSION) and bool(space))
    _require(len(status) == 3 and status.isdigit() and b"100" <= status <= b"599")
    _require(reason[:1] in (b"", b" "))
    _require(not ANSWER_WITHIN_LINE.search(rest))
    return version, int(status)


def _split_fields(rest: bytes) -> tuple[tuple[tuple[str, str], ...], bytes]:
    shown: list[tuple[str, str]] = []
    while True:
        line, rest = _split_line(rest)
        if not line:
            return tuple(shown), rest
        name, colon, value = line.partition(b":")
        _require(bool(name) and bool(colon) and set(name) <= TOKEN)
        _require(not ANSWER_WITHIN_LINE.search(line))
        shown.append((name.decode(), value.strip(b" \t").decode("latin-1")))


def _split_line(rest: bytes) -> tuple[bytes, bytes]:
    line, end, rest = rest.partition(b"\r\n")
    _require(bool(end) and not set(line) & CONTROLS)
    return line, rest


def _require(holds: bool) -> None:
    if not holds:
        raise ValueError
