"""Measures the cost of reading endpoints' whole answers.

`python -m bench.answer_readers` prints one JSON line for each framing and reader: the
time and the processor time per answer, in microseconds, with sending it. The reader
"receive" only takes the bytes; what another one needs beyond it is the cost of reading
them as an answer. Each figure is the minimum of several rounds, because other load on
the machine can only add to it.
"""

from __future__ import annotations

import io
import json
import socket
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from jujubeslip.endpoints._answer_reader import READ_BYTES, AnswerReader
from jujubeslip.endpoints._bounded_reader import (
    POLL_SECONDS,
    BoundedReader,
    never_interrupted,
)
from jujubeslip.kernel import Deadline

ROUNDS = 60
ANSWERS_PER_ROUND = 100
BODY_BYTES = 800
CHUNK_BYTES = 200
EVENTS = 70
TIMEOUT_SECONDS = 600.0
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Date: Sat, 05 Dec 2026 09:00:00 GMT\r\n"
    b"Server: endpoint\r\n"
    b"Content-Type: application/json\r\n"
    b"Request-Id: 9c41d07be2a35f68\r\n"
    b"Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"Cache-Control: no-store\r\n"
    b"Keep-Alive: timeout=30\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(frozen=True)
class Answer:
    """An answer, whose first bytes are sent at once and the others one by one."""

    first_bytes: bytes
    later_parts: tuple[bytes, ...]
    body: bytes


class Reader(ABC):
    """Reads one answer after another from a connection."""

    @abstractmethod
    def read_head(self) -> None:
        """Read the head of the next answer."""

    @abstractmethod
    def read_some(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end."""


class Receive(Reader):
    """Takes the bytes as they come, as many as the answer has."""

    def __init__(self, sock: socket.socket, answer: Answer) -> None:
        self._raw = bounded_reader(sock)
        self._size = len(answer.first_bytes) + sum(map(len, answer.later_parts))
        self._left = 0

    def read_head(self) -> None:
        """See Reader."""
        self._left = self._size
        self.read_some()

    def read_some(self) -> bytes:
        """See Reader."""
        if not self._left:
            return b""
        part = self._raw.read(READ_BYTES) or b""
        self._left -= len(part)
        return part


class Strict(Reader):
    """Reads as the connections to endpoints do."""

    def __init__(self, sock: socket.socket, answer: Answer) -> None:
        reader = io.BufferedReader(bounded_reader(sock), READ_BYTES)
        self._answers = AnswerReader(reader, "endpoint")

    def read_head(self) -> None:
        """See Reader."""
        self._answers.read_head("POST")

    def read_some(self) -> bytes:
        """See Reader."""
        return self._answers.read_some()


READERS: dict[str, Callable[[socket.socket, Answer], Reader]] = {
    "receive": Receive,
    "AnswerReader": Strict,
}


def bounded_reader(sock: socket.socket) -> BoundedReader:
    """Return what reads from the socket of a connection."""
    sock.settimeout(POLL_SECONDS)
    raw = BoundedReader(sock)
    raw.watch(Deadline.after(TIMEOUT_SECONDS), never_interrupted)
    return raw


def chunk(content: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(content), content)


def answers() -> dict[str, Answer]:
    """Return an answer by the name of its framing."""
    body = bytes(range(32, 82)) * (BODY_BYTES // 50)
    starts = range(0, BODY_BYTES, CHUNK_BYTES)
    chunks = [chunk(body[start : start + CHUNK_BYTES]) for start in starts]
    events = [b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(EVENTS)]
    sized_head = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    chunked_body = b"".join((*chunks, LAST_CHUNK))
    return {
        "length": Answer(sized_head + body, (), body),
        "chunks": Answer(HEAD + CHUNKED + chunked_body, (), body),
        f"stream of {EVENTS} events": Answer(
            HEAD + CHUNKED, (*map(chunk, events), LAST_CHUNK), b"".join(events)
        ),
    }


def exchange(sender: socket.socket, reader: Reader, answer: Answer) -> bytes:
    """Send and read an answer; return its body."""
    sender.sendall(answer.first_bytes)
    reader.read_head()
    read = []
    for part in answer.later_parts:
        sender.sendall(part)
        read.append(reader.read_some())
    while part := reader.read_some():
        read.append(part)
    return b"".join(read)


def measure(
    answer: Answer, make: Callable[[socket.socket, Answer], Reader]
) -> dict[str, float]:
    """Return the times per answer in the fastest rounds, in microseconds."""
    times, processor_times = [], []
    sender, receiver = socket.socketpair()
    with sender, receiver:
        reader = make(receiver, answer)
        for _ in range(ROUNDS):
            started, processor_started = time.perf_counter(), time.process_time()
            for _ in range(ANSWERS_PER_ROUND):
                body = exchange(sender, reader, answer)
            processor_times.append(time.process_time() - processor_started)
            times.append(time.perf_counter() - started)
            assert body == answer.body or isinstance(reader, Receive)
    scale = 1_000_000 / ANSWERS_PER_ROUND
    return {
        "microseconds": round(min(times) * scale, 1),
        "processor_microseconds": round(min(processor_times) * scale, 1),
    }


def main() -> None:
    """Print the figures of each framing and reader."""
    for framing, answer in answers().items():
        for name, make in READERS.items():
            line = {"framing": framing, "reader": name, **measure(answer, make)}
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
