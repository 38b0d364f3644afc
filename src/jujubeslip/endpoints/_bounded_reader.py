"""Reads an endpoint's answer until a deadline, whatever the endpoint sends."""

from __future__ import annotations

import io
import math
import select
import socket
from collections.abc import Callable
from typing import Any, Protocol

from jujubeslip.endpoints._errors import (
    ClientDisconnectedError,
    EndpointAnswerError,
    EndpointTimeoutError,
)
from jujubeslip.kernel import Deadline, Ran, steady_seconds

# Interval at which a read checks that the client is still connected, in seconds. Work
# for a client that has disconnected is to be stopped within half a second.
POLL_SECONDS = 0.1
# How long bytes that have arrived by the deadline may be read after it, in seconds: a
# host that was held up still delivers an answer that is ready.
LATE_READ_SECONDS = 0.1
# The shortest timeout of a socket operation, in seconds; zero means non-blocking.
MINIMUM_TIMEOUT_SECONDS = 0.001

# Maximum number of bytes that are received for one head, or for one part of a body with
# its framing. Interim answers and trailers may come without end.
MAXIMUM_READ_BYTES = 256 * 1024

# How long bytes are awaited that may follow a body, in milliseconds.
FOLLOWING_BYTES_MS = 20

# Returns whether the caller no longer needs the answer.
Interrupted = Callable[[], bool]


def never_interrupted() -> bool:
    """Return False, for callers that never disconnect, such as internal tasks."""
    return False


class ConnectionObserver(Protocol):
    """Is told what a host's connections show about its links to endpoints."""

    def note_answer(self) -> None:
        """Record that an endpoint has sent something."""

    def note_silence(self, seconds: float) -> None:
        """Record that an awaited answer has been silent for these seconds."""

    def note_connected(self) -> None:
        """Record that a connection was opened."""


class _NoObserver:
    """Ignores what connections show."""

    def note_answer(self) -> None:
        """See ConnectionObserver."""

    def note_silence(self, seconds: float) -> None:
        """See ConnectionObserver."""

    def note_connected(self) -> None:
        """See ConnectionObserver."""


NO_OBSERVER: ConnectionObserver = _NoObserver()


class BoundedReader(io.RawIOBase):
    """Reads from a socket until a deadline or until the client disconnects.

    Both hold while bytes keep coming, too.
    """

    def __init__(
        self,
        sock: socket.socket,
        observer: ConnectionObserver = NO_OBSERVER,
        stall_seconds: float = math.inf,
    ) -> None:
        """Create the reader; `stall_seconds` limits a pause within an answer."""
        self._socket = sock
        self._observer = observer
        self._stall_seconds = stall_seconds
        self._silent_since = steady_seconds()
        self._deadline = Deadline.after(0)
        self._interrupted: Interrupted = never_interrupted
        self._next_check = Deadline.after(0)
        self._late_until: Deadline | None = None
        self._bytes_left = math.inf

    def begin_read(self) -> None:
        """Begin to read a head or a part of a body, whose bytes are bounded."""
        self._bytes_left = MAXIMUM_READ_BYTES

    def watch(self, deadline: Deadline, interrupted: Interrupted) -> None:
        """Bound the reads from now on."""
        self._silent_since = steady_seconds()
        self._interrupted = interrupted
        if deadline != self._deadline:
            self._deadline = deadline
            self._late_until = None

    def limit_silence(self, seconds: float) -> None:
        """Bound each pause within an answer from now on."""
        self._silent_since = steady_seconds()
        self._stall_seconds = seconds

    def limited(self, seconds: float) -> float:
        """Return the timeout of an operation that must end by the deadline."""
        return max(MINIMUM_TIMEOUT_SECONDS, min(seconds, self._deadline.remaining()))

    def readable(self) -> bool:
        """Return that reading is supported."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes; wait for them unless the socket is non-blocking."""
        while True:
            try:
                size = self._socket.recv_into(buffer)
            except TimeoutError:
                self._note_silence()
            except BlockingIOError:
                return None
            else:
                if size:
                    self._note_bytes(size)
                return size

    def _note_silence(self) -> None:
        silent_seconds = steady_seconds() - self._silent_since
        self._observer.note_silence(silent_seconds)
        self.check_client()
        if self._deadline.expired:
            raise EndpointTimeoutError("The endpoint did not answer in time.")
        if silent_seconds > self._stall_seconds:
            raise EndpointTimeoutError("The endpoint's answer stalled.")

    def _note_bytes(self, size: int) -> None:
        self._silent_since = steady_seconds()
        self._observer.note_answer()
        if self._socket.gettimeout() == 0:
            # The check of an idle connection, which no request waits for.
            return
        if self._next_check.expired:
            self._next_check = Deadline.after(POLL_SECONDS)
            self.check_client()
        self.limit_late_reads()
        self._bytes_left -= size
        if self._bytes_left < 0:
            raise EndpointAnswerError("The endpoint's answer has too many headers.")

    def limit_late_reads(self) -> None:
        """Raise EndpointTimeoutError if an answer has been read for too long."""
        if not self._deadline.expired:
            return
        if self._late_until is None:
            self._late_until = Deadline.after(LATE_READ_SECONDS)
        if self._late_until.expired:
            raise EndpointTimeoutError("The endpoint's answer did not end in time.")

    def check_client(self) -> None:
        """Raise ClientDisconnectedError if the answer is no longer needed."""
        if self._interrupted():
            raise ClientDisconnectedError(
                "The client closed its connection.", Ran.UNKNOWN
            )


def unread_bytes(sock: socket.socket, reader: io.BufferedReader[Any]) -> bytes:
    """Return bytes that have arrived, or arrive at once, and stay unread."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    timeout = sock.gettimeout()
    sock.settimeout(0)
    try:
        unread = reader.peek(1)
        if not unread and poll.poll(FOLLOWING_BYTES_MS):
            unread = reader.peek(1)
        return unread
    except (OSError, ValueError):
        return b""
    finally:
        sock.settimeout(timeout)
