"""Answers that end early, are damaged or come twice, as faulty workers send them."""

from __future__ import annotations

import enum
import io
import os
import random
import re
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from typing import Any

from tests.fakes.fault_proxy import RESET_ON_CLOSE

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
# How late a copy of an answer comes, in seconds.
LATE_SECONDS = (0.001, 0.4)
# The share of copies that come where the next answer is expected.
NEXT_SHARE = 0.3
_FRAMING_LINE = re.compile(rb"(?:Content-Length: (\d+)|Transfer-Encoding: .*)\r\n")
_CHUNK = re.compile(rb"([0-9a-f]+)\r\n(.*)\r\n", re.DOTALL)
_DAMAGED_LENGTHS = (b"%dx", b"-%d", b"+%d", b"1%d", b"%d\r\nContent-Length: 1")


class Spoil(enum.Enum):
    """How an answer is spoiled."""

    END_IN_HEAD = "end in head"
    END_IN_SIZE = "end in size"
    """Within the size of a chunk."""
    END_IN_BODY = "end in body"
    END_IN_LAST_CHUNK = "end in last chunk"
    """Before the empty line that ends the answer."""
    SECOND = "second"
    """The answer again, later."""
    SECOND_HEAD = "second head"
    """The beginning of its head again, later."""
    JOINED_HEADS = "joined heads"
    """The beginning of its head before the answer."""
    LENGTH = "length"
    """A length that can't be read, or that the answer doesn't have."""
    FRAMING = "framing"
    """A whole answer with another framing."""


class Framing(enum.Enum):
    """What ends an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


COPIES = (Spoil.SECOND, Spoil.SECOND_HEAD)
ENDS_IN_CHUNK = (Spoil.END_IN_SIZE, Spoil.END_IN_LAST_CHUNK)
ENDS_IN_PART = (Spoil.END_IN_SIZE, Spoil.END_IN_BODY)


class AnswerEndedError(Exception):
    """The connection was ended by a spoiled answer."""


@dataclass(frozen=True)
class Spoiling:
    """How one answer is spoiled, and where."""

    spoil: Spoil
    framing: Framing
    place: float
    """From 0, the beginning of what is spoiled, to 1, its end."""
    resets: bool = False
    late_seconds: float | None = None
    """How late a copy comes, None if where the next answer is expected."""


class AnswerSpoiler:
    """Draws which answers of a worker are spoiled, and how."""

    def __init__(self, seed: int, share: float) -> None:
        self._rng = random.Random(seed)
        self._share = share

    def draw(self) -> Spoiling | None:
        """Return how the next answer is spoiled, None if it isn't."""
        rng = self._rng
        if rng.random() >= self._share:
            return None
        spoil, framing = rng.choice(tuple(Spoil)), rng.choice(tuple(Framing))
        if spoil in ENDS_IN_CHUNK or spoil in COPIES and framing is Framing.CONNECTION:
            framing = Framing.CHUNKS
        late = None if rng.random() < NEXT_SHARE else rng.uniform(*LATE_SECONDS)
        return Spoiling(spoil, framing, rng.random(), rng.random() < 0.5, late)


class AnswerWriter(io.BufferedIOBase):
    """Writes answers to a connection, and spoils them."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._lock = threading.Lock()
        """Held while an answer is written, which no late copy interrupts."""
        self._is_writing = False
        self._answer: _SpoiledAnswer | None = None
        self.before_next = b""
        """Sent where the next answer is expected."""

    @property
    def is_spoiled(self) -> bool:
        """Return whether the current answer is spoiled."""
        return self._answer is not None

    @contextmanager
    def answering(self, spoiling: Spoiling | None, parts: int) -> Iterator[None]:
        """Write one answer within the context; a stream has about so many parts."""
        self._connection.sendall(self.before_next)
        self.before_next = b""
        if spoiling is not None:
            self._answer = _SpoiledAnswer(self._connection, spoiling, parts)
        try:
            yield
            if self._answer is not None:
                self._send_later(self._answer.end(), self._answer.spoiling.late_seconds)
        finally:
            self._answer = None
            if self._is_writing:
                self._is_writing = False
                self._lock.release()

    def writable(self) -> bool:
        """Return that writing is supported."""
        return True

    def write(self, data: Any) -> int:
        """Write a part of an answer; its first one holds the whole head."""
        if not self._is_writing:
            self._lock.acquire()
            self._is_writing = True
        if self._answer is None:
            self._connection.sendall(data)
        else:
            self._answer.write(bytes(data))
        return len(data)

    def _send_later(self, copy: bytes, seconds: float | None) -> None:
        if seconds is None:
            self.before_next += copy
            return

        def send() -> None:
            time.sleep(seconds)
            with self._lock, suppress(OSError):
                self._connection.sendall(copy)

        if copy:
            threading.Thread(target=send, daemon=True).start()


class _SpoiledAnswer:
    """One answer, which is framed anew and spoiled as it is written."""

    def __init__(
        self, connection: socket.socket, spoiling: Spoiling, parts: int
    ) -> None:
        self.spoiling = spoiling
        self._connection = connection
        self._parts = parts
        self._sent = b""
        self._head_size = 0
        self._framing: Framing | None = None
        """None if another fault spoils the answer."""
        self._is_whole = False
        self._parts_before = 0
        """The parts of the body before the one in which it ends."""

    def write(self, data: bytes) -> None:
        """Write the head with the parts that follow it, or one chunk."""
        if not self._sent:
            self._begin(*data.split(HEAD_END, 1))
        elif self._framing is None:
            self._send(data)
        elif data == LAST_CHUNK:
            self._is_whole = True
        elif chunk := _CHUNK.fullmatch(data):
            self._write_part(chunk[2])
        else:
            self._send(data)
            self._end_connection(resets=True)

    def end(self) -> bytes:
        """End the answer; return what comes later."""
        spoil = self.spoiling.spoil
        by_connection = self._framing is Framing.CONNECTION
        if not self._is_whole:
            if by_connection:
                self._end_connection(resets=True)
            return b""
        if self._framing is Framing.CHUNKS:
            if spoil in ENDS_IN_CHUNK or spoil is Spoil.END_IN_BODY:
                self._end_within(LAST_CHUNK, 0)
            self._send(LAST_CHUNK)
        if by_connection or spoil is Spoil.LENGTH:
            # Only a reset shows that an answer without other framing ends early.
            self._end_connection(resets=spoil is Spoil.END_IN_BODY)
        if spoil is Spoil.SECOND:
            return self._sent
        head = self._sent[: self._head_size]
        return self._beginning(head) if spoil is Spoil.SECOND_HEAD else b""

    def _begin(self, head: bytes, body: bytes = b"") -> None:
        head += HEAD_END
        framing_line = _FRAMING_LINE.search(head)
        is_sized = framing_line is not None and framing_line[1] is not None
        if framing_line is None or (is_sized and int(framing_line[1]) != len(body)):
            self._send(head + body)
            return
        self._framing = self.spoiling.framing
        is_damaged = self.spoiling.spoil is Spoil.LENGTH
        if not is_sized and (is_damaged or self._framing is Framing.LENGTH):
            self._framing = Framing.CHUNKS
        head = _FRAMING_LINE.sub(self._framing_line(len(body)), head, count=1)
        half = (len(body) + 1) // 2
        parts = [part for part in (body[:half], body[half:]) if part]
        self._parts = len(parts) if is_sized else self._parts
        self._parts_before = int(self.spoiling.place * self._parts)
        self._write_head(head)
        for part in parts:
            self._write_part(part)
        self._is_whole = is_sized

    def _framing_line(self, length: int) -> bytes:
        value = b"%d"
        if self.spoiling.spoil is Spoil.LENGTH:
            value = _DAMAGED_LENGTHS[int(self.spoiling.place * len(_DAMAGED_LENGTHS))]
        line = b"Content-Length: " + value % length + b"\r\n"
        if self._framing is Framing.LENGTH:
            return line
        framing_line = CHUNKED if self._framing is Framing.CHUNKS else b""
        return framing_line + (line if self.spoiling.spoil is Spoil.LENGTH else b"")

    def _write_head(self, head: bytes) -> None:
        self._head_size = len(head)
        if self.spoiling.spoil is Spoil.END_IN_HEAD:
            self._end_within(head, 0)
        if self.spoiling.spoil is Spoil.JOINED_HEADS:
            self._connection.sendall(self._beginning(head))
        self._send(head)

    def _write_part(self, body: bytes) -> None:
        is_chunk = self._framing is Framing.CHUNKS
        size = b"%x\r\n" % len(body) if is_chunk else b""
        part = size + body + (b"\r\n" if is_chunk else b"")
        if self.spoiling.spoil in ENDS_IN_PART and not self._parts_before:
            if self.spoiling.spoil is Spoil.END_IN_SIZE:
                self._end_within(size, 0)
            self._end_within(part, len(size))
        self._parts_before -= 1
        self._send(part)

    def _send(self, data: bytes) -> None:
        self._sent += data
        self._connection.sendall(data)

    def _beginning(self, head: bytes) -> bytes:
        return head[: max(1, int(self.spoiling.place * len(head)))]

    def _end_within(self, part: bytes, least: int) -> None:
        """Send this many bytes of a part or some more, but not all, and end."""
        place = self.spoiling.place * self._parts % 1
        self._connection.sendall(part[: least + int(place * (len(part) - least))])
        # Only a reset shows that an answer without other framing ends early.
        in_body = self._sent and self._framing is Framing.CONNECTION
        self._end_connection(resets=bool(in_body) or self.spoiling.resets)

    def _end_connection(self, *, resets: bool) -> None:
        if resets:
            option = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._connection.setsockopt(*option)
            # Other objects refer to the socket, and would keep it open.
            os.close(self._connection.detach())
        else:
            self._connection.shutdown(socket.SHUT_WR)
        raise AnswerEndedError
