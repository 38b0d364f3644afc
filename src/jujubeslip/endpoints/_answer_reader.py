"""Reads answers from a connection, and gives them out only as far as they are proven.

The framing that the head names decides where an answer ends. Nothing is repaired: a
head, a chunk size or a trailer counts only with the line ends that close it, and one
that can be read in two ways is invalid.
"""

from __future__ import annotations

import enum
import http
import re
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

from jujubeslip.endpoints._errors import AnswerCutError, EndpointAnswerError
from jujubeslip.endpoints._stray_answers import StrayAnswerFinder

READ_BYTES = 65536
MAXIMUM_LINE_BYTES = 65536
MAXIMUM_HEADERS = 100

HTTP_VERSION_WITH_CHUNKS = b"1"
CHUNKED = "chunked"
LINE_END = b"\r\n"

# Visible characters, spaces and tabs, and bytes beyond ASCII.
_TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r\n")
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):(" + _TEXT + rb")\r\n")
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;" + _TEXT + rb")?\r\n")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
# Within a line, it shows that another answer begins there.
_STATUS_WITHIN_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


class Framing(enum.Enum):
    """What ends the body of an answer."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The regular end of the connection, in an answer with no other framing."""


@dataclass(frozen=True)
class AnswerHead:
    """The status line and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    framing: Framing
    will_close: bool
    """Whether the connection carries no further request."""
    length: int | None = None
    """Bytes of the body if the framing is by length."""

    def values(self, name: str) -> list[str]:
        """Return the values of a header, whose name is in any case."""
        return _values(self.headers, name.lower())

    def only_value(self, name: str) -> str | None:
        """Return the value of a header, None if it is missing or repeated.

        Of a repeated header, either value may belong to another answer.
        """
        values = self.values(name)
        return values[0] if len(values) == 1 else None


class BinaryReader(Protocol):
    """A buffered stream of bytes, such as io.BufferedReader."""

    def readline(self, size: int, /) -> bytes:
        """Return a line with its end, or less at the limit and at the end."""

    def read1(self, size: int, /) -> bytes:
        """Return available bytes, nothing at the end."""


class AnswerReader:
    """Reads one answer after another from a connection.

    Errors of the connection and the bounds of its reads come from `reader`. Raises
    AnswerCutError where the connection ends within an answer, EndpointAnswerError
    where the bytes are none.
    """

    def __init__(
        self,
        reader: BinaryReader,
        address: str,
        unread: Callable[[], bytes] = bytes,
    ) -> None:
        """Create the reader; `unread` returns what has arrived after a body."""
        self._lines = _LineReader(reader, address)
        self._body: _Body = _NoBody()
        self._unread = unread
        self._stray_answers = StrayAnswerFinder(())

    def read_head(self, method: str, request_ids: Collection[str] = ()) -> AnswerHead:
        """Return the next final head, in answer to a request by `method`.

        No answer to one of the requests may stand within the body that follows.
        """
        self._stray_answers = StrayAnswerFinder(request_ids)
        while True:
            head = self._read_any_head(method)
            if head.status >= http.HTTPStatus.OK:
                break
            if head.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise self._lines.invalid("it changes the protocol")
        self._body = self._body_of(head)
        return head

    def read_some(self) -> bytes:
        """Return the next bytes of the body, or nothing once it is proven whole."""
        part = self._body.read_some()
        if self._stray_answers.finds_one(part) or not part and self._ends_in_another():
            raise self._lines.invalid("another answer stands within its body")
        return part

    def _ends_in_another(self) -> bool:
        """Return whether another answer began in the body and goes on after its end."""
        if not self._stray_answers.may_have_begun:
            return False
        return self._stray_answers.is_continued_by(self._unread())

    def _read_any_head(self, method: str) -> AnswerHead:
        line = self._lines.read(is_first=True)
        match = _STATUS_LINE.fullmatch(line)
        if match is None or _STATUS_WITHIN_LINE.search(line, 1):
            raise self._lines.invalid("its status line can't be read")
        version, status = match[1], int(match[2])
        headers = self._lines.read_fields()
        return self._head(method, status, version == HTTP_VERSION_WITH_CHUNKS, headers)

    def _head(
        self,
        method: str,
        status: int,
        may_have_chunks: bool,
        headers: tuple[tuple[str, str], ...],
    ) -> AnswerHead:
        framing, length = self._framing(method, status, may_have_chunks, headers)
        options = {
            option.strip().lower()
            for value in _values(headers, "connection")
            for option in value.split(",")
        }
        will_close = (
            framing is Framing.CONNECTION
            or "close" in options
            or not (may_have_chunks or "keep-alive" in options)
        )
        return AnswerHead(status, headers, framing, will_close, length)

    def _framing(
        self,
        method: str,
        status: int,
        may_have_chunks: bool,
        headers: tuple[tuple[str, str], ...],
    ) -> tuple[Framing, int | None]:
        lengths = _values(headers, "content-length")
        codings = _values(headers, "transfer-encoding")
        if len(lengths) + len(codings) > 1:
            raise self._lines.invalid("it names its framing more than once")
        if codings and (codings[0].lower() != CHUNKED or not may_have_chunks):
            raise self._lines.invalid("its transfer coding is unknown")
        if lengths and not _CONTENT_LENGTH.fullmatch(lengths[0]):
            raise self._lines.invalid("its length can't be read")
        if _has_no_body(method, status):
            return Framing.NO_BODY, None
        if codings:
            return Framing.CHUNKS, None
        if lengths:
            return Framing.LENGTH, int(lengths[0])
        return Framing.CONNECTION, None

    def _body_of(self, head: AnswerHead) -> _Body:
        if head.framing is Framing.CHUNKS:
            return _ChunkedBody(self._lines)
        if head.framing is Framing.CONNECTION:
            return _UnframedBody(self._lines)
        if head.length is not None:
            return _SizedBody(self._lines, head.length)
        return _NoBody()


def _has_no_body(method: str, status: int) -> bool:
    return (
        method == "HEAD"
        or status < http.HTTPStatus.OK
        or status in (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
    )


def _values(headers: Iterable[tuple[str, str]], lower_name: str) -> list[str]:
    return [value for name, value in headers if name.lower() == lower_name]


class _LineReader:
    """Reads lines, and bytes between them, that end where the sender ended them."""

    def __init__(self, reader: BinaryReader, address: str) -> None:
        self._reader = reader
        self._address = address

    def read(self, is_first: bool = False) -> bytes:
        """Return the next line with its end."""
        try:
            line = self._reader.readline(MAXIMUM_LINE_BYTES + 1)
        except (OSError, ValueError) as error:
            raise self.cut(repr(error)) from error
        if line.endswith(LINE_END):
            return line
        if not line and is_first:
            raise self.cut("closed without answer")
        if line.endswith(b"\n") or len(line) > MAXIMUM_LINE_BYTES:
            raise self.invalid("a line of it has no end")
        raise self.cut("closed within a line of the answer")

    def read_fields(self) -> tuple[tuple[str, str], ...]:
        """Return names and values up to the empty line that ends them."""
        fields: list[tuple[str, str]] = []
        while (line := self.read()) != LINE_END:
            match = _FIELD_LINE.fullmatch(line)
            if match is None or _STATUS_WITHIN_LINE.search(line):
                raise self.invalid("a header of it can't be read")
            if len(fields) == MAXIMUM_HEADERS:
                raise self.invalid("it has too many headers")
            value = match[2].strip(b" \t").decode("latin-1")
            fields.append((match[1].decode("ascii"), value))
        return tuple(fields)

    def read_bytes(self, maximum: int) -> bytes:
        """Return available bytes, at least one unless the connection has ended."""
        try:
            return self._reader.read1(min(READ_BYTES, maximum))
        except (OSError, ValueError) as error:
            raise self.cut(repr(error)) from error

    def cut(self, reason: str) -> AnswerCutError:
        """Return the error of an answer that the connection cuts off."""
        return AnswerCutError(f"{self._address}: {reason}.")

    def invalid(self, reason: str) -> EndpointAnswerError:
        """Return the error of bytes that are no answer."""
        return EndpointAnswerError(f"{self._address}: not an answer, {reason}.")


class _Body(ABC):
    """The body of one answer."""

    @abstractmethod
    def read_some(self) -> bytes:
        """Return the next bytes, or nothing once the body is proven whole."""


class _NoBody(_Body):
    def read_some(self) -> bytes:
        return b""


class _SizedBody(_Body):
    """A body whose head names its length in bytes."""

    def __init__(self, lines: _LineReader, length: int) -> None:
        self._lines = lines
        self._left = length

    def read_some(self) -> bytes:
        if not self._left:
            return b""
        part = self._lines.read_bytes(self._left)
        if not part:
            raise self._lines.cut("the answer is shorter than its length")
        self._left -= len(part)
        return part


class _ChunkedBody(_Body):
    """A body in chunks, whose last one is empty and followed by trailers."""

    def __init__(self, lines: _LineReader) -> None:
        self._lines = lines
        self._left: int | None = None
        """Bytes left of the chunk that is being read, None before the first one."""
        self._is_whole = False

    def read_some(self) -> bytes:
        if not self._left and not self._is_whole:
            self._begin_chunk()
        if self._is_whole:
            return b""
        assert self._left
        part = self._lines.read_bytes(self._left)
        if not part:
            raise self._lines.cut("closed within a chunk")
        self._left -= len(part)
        return part

    def _begin_chunk(self) -> None:
        # The end of the chunk before is read here, so that its bytes don't wait for it.
        if self._left == 0 and self._lines.read() != LINE_END:
            raise self._lines.invalid("a chunk is longer than its size")
        line = self._lines.read()
        match = _CHUNK_SIZE_LINE.fullmatch(line)
        if match is None or _STATUS_WITHIN_LINE.search(line):
            raise self._lines.invalid("the size of a chunk can't be read")
        self._left = int(match[1], 16)
        if not self._left:
            self._lines.read_fields()
            self._is_whole = True


class _UnframedBody(_Body):
    """A body that the regular end of its connection ends; a reset doesn't."""

    def __init__(self, lines: _LineReader) -> None:
        self._lines = lines
        self._is_whole = False

    def read_some(self) -> bytes:
        if self._is_whole:
            return b""
        part = self._lines.read_bytes(READ_BYTES)
        self._is_whole = not part
        return part
