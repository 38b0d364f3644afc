"""Persistent connections to endpoints, with a deadline for each read."""

from __future__ import annotations

import http
import http.client
import io
import math
import select
import socket
import threading
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable
from typing import Protocol

from jujubeslip.endpoints._answer_reader import READ_BYTES, AnswerHead, AnswerReader
from jujubeslip.endpoints._bounded_reader import (
    NO_OBSERVER,
    POLL_SECONDS,
    BoundedReader,
    ConnectionObserver,
    Interrupted,
    unread_bytes,
)
from jujubeslip.endpoints._errors import (
    AnswerCutError,
    EndpointAnswerError,
    EndpointUnreachableError,
)
from jujubeslip.kernel import Deadline

# Timeout for opening a connection, in seconds. It takes two round trips; an endpoint
# that takes longer is partitioned or dead, and nothing has been sent to it yet.
CONNECT_SECONDS = 0.4
# Timeout for sending a request, in seconds.
SEND_SECONDS = 2.0
MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
# Numbers of parts of a body, of an answer or of an error, from which on they must have
# this many bytes on average: reading tiny parts without end would keep the processor
# from other requests.
MAXIMUM_SMALL_PARTS = 4000
MAXIMUM_SMALL_ERROR_PARTS = 400
SMALL_PART_BYTES = 64
# How long an idle connection is kept if its endpoint names no limit, in seconds.
IDLE_SECONDS = 3.0
# A connection is not used during this time before its endpoint would close it, in
# seconds: a request that crosses the close may or may not have run.
IDLE_MARGIN_SECONDS = 0.7
# Number of requests that a connection remembers. An endpoint's late second answer comes
# where the next answer is expected, so only recent requests can be confused.
REMEMBERED_REQUESTS = 16
# How long an endpoint's connections carry one request each after it has sent an answer
# that names none, in seconds.
UNNAMED_SECONDS = 60.0


class Connection(ABC):
    """A way to one endpoint that carries one request at a time."""

    relayed_by: str = ""
    """The host that relays the requests, empty for a direct connection."""

    @property
    def has_carried_others(self) -> bool:
        """Return whether an answer to an earlier request may still arrive."""
        return False

    @abstractmethod
    def send(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete request, after which its answer can be read."""

    @abstractmethod
    def watch(self, deadline: Deadline, interrupted: Interrupted) -> None:
        """Bound the sending and the reads from now on."""

    @abstractmethod
    def read_head(self) -> AnswerHead:
        """Wait for the status line and headers of the next answer."""

    @abstractmethod
    def read_some(self, head: AnswerHead) -> bytes:
        """Return the next bytes of a body, or nothing once it is proven whole."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection, even if an answer is unread."""

    def wait_for_answer(self, limit: Deadline) -> bool:
        """Wait until the next answer begins; return False if it doesn't by the limit.

        Nothing is read. A connection that can't tell returns True at once.
        """
        return True

    def read_rest(self, head: AnswerHead) -> bytes:
        """Return the complete rest of a body."""
        parts = []
        size = 0
        is_error = head.status >= http.HTTPStatus.BAD_REQUEST
        maximum = MAXIMUM_SMALL_ERROR_PARTS if is_error else MAXIMUM_SMALL_PARTS
        while part := self.read_some(head):
            parts.append(part)
            size += len(part)
            if size > MAXIMUM_ANSWER_BYTES:
                raise EndpointAnswerError("The endpoint's answer is too long.")
            if maximum < len(parts) and size < len(parts) * SMALL_PART_BYTES:
                raise EndpointAnswerError("The endpoint's answer has too many parts.")
        return b"".join(parts)


class EndpointConnection(Connection):
    """A direct connection to an endpoint."""

    def __init__(
        self, address: str, observer: ConnectionObserver = NO_OBSERVER
    ) -> None:
        host, port = address.rsplit(":", 1)
        self.address = address
        self.used = False
        self.idle_until = Deadline.after(0)
        self._carried_ids: deque[str] = deque(maxlen=REMEMBERED_REQUESTS)
        self._http = http.client.HTTPConnection(
            host, int(port), timeout=CONNECT_SECONDS
        )
        try:
            self._http.connect()
        except OSError as error:
            self._http.close()
            raise EndpointUnreachableError(f"{address}: {error}.") from error
        observer.note_connected()
        self._socket: socket.socket = self._http.sock
        self._raw = BoundedReader(self._socket, observer)
        self._reader = io.BufferedReader(self._raw, READ_BYTES)
        self._answers = AnswerReader(
            self._reader,
            address,
            lambda: unread_bytes(self._socket, self._reader),
        )
        self._method = ""

    def send(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete request, after which its answer can be read."""
        self._method = method
        # http.client tracks the answers that it reads itself; use a separate object.
        http_call = http.client.HTTPConnection(self.address)
        http_call.sock = self._socket
        try:
            self._socket.settimeout(self._raw.limited(SEND_SECONDS))
            http_call.putrequest(
                method, target, skip_host=True, skip_accept_encoding=True
            )
            for name, value in headers:
                http_call.putheader(name, value)
            if body or method not in ("GET", "HEAD", "DELETE"):
                http_call.putheader("Content-Length", str(len(body)))
            http_call.endheaders(body or None)
            self._socket.settimeout(POLL_SECONDS)
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise AnswerCutError(f"{self.address}: sending failed: {error}.") from error
        finally:
            http_call.sock = None

    def watch(self, deadline: Deadline, interrupted: Interrupted) -> None:
        """Bound the reads from now on."""
        self._raw.watch(deadline, interrupted)

    def wait_for_answer(self, limit: Deadline) -> bool:
        """Wait until the next answer begins; return False at the limit."""
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        while not limit.expired:
            self._raw.check_client()
            seconds = min(POLL_SECONDS, limit.remaining())
            if poll.poll(math.ceil(seconds * 1000)):
                return True
        return False

    def read_head(self) -> AnswerHead:
        """Wait for the status line and headers of the next answer."""
        self._raw.begin_read()
        return self._answers.read_head(self._method, self._carried_ids)

    def read_some(self, head: AnswerHead) -> bytes:
        """Return the next bytes of a body, or nothing once it is proven whole."""
        # Bytes that are buffered already are read without the reader.
        self._raw.limit_late_reads()
        self._raw.begin_read()
        return self._answers.read_some()

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether no late answer can pass for the answer to this request.

        Answers to one request look alike however often it was sent, and those to the
        system's own requests, which have no id, look like answers to any request.
        """
        if request_id is None:
            return self.is_own
        return request_id not in self._carried_ids and "" not in self._carried_ids

    @property
    def is_own(self) -> bool:
        """Return whether it has carried only requests without an id."""
        return all(item == "" for item in self._carried_ids)

    @property
    def has_carried_others(self) -> bool:
        """Return whether an answer to an earlier request may still arrive."""
        return len(self._carried_ids) > 1

    def note_request(self, request_id: str | None) -> None:
        """Record the request that the connection carries next."""
        self._carried_ids.append(request_id or "")

    def is_clean(self) -> bool:
        """Return whether the connection is open and has no unread bytes.

        Bytes that arrive while no request is pending are a second answer, and would be
        read as the answer to the next request. An end of stream means that the
        endpoint has closed the connection, and a request sent now would be reset.
        """
        try:
            self._socket.settimeout(0)
            # peek() returns no bytes at the end of the stream either, so check for it.
            return not self._reader.peek(1) and not self._has_ended()
        except (OSError, ValueError):
            return False

    def _has_ended(self) -> bool:
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False

    def close(self) -> None:
        """Close the connection, even if an answer is unread."""
        self._reader.close()
        self._http.close()


class Connections(Protocol):
    """Where connections to endpoints are taken from, and given back."""

    def take(
        self, start_id: str, address: str, request_id: str | None = None
    ) -> Connection:
        """Return a usable connection for one request.

        `request_id` is None for the system's own requests, and empty for others that
        have no id. Raises EndpointUnreachableError when the endpoint can't be reached.
        """

    def give_back(
        self, start_id: str, connection: Connection, idle_seconds: float | None
    ) -> None:
        """Keep a connection whose answer was read completely."""

    def note_unnamed(self, start_id: str) -> None:
        """Record that a start of an endpoint has not named the request it answers."""


class ConnectionPool:
    """Keeps idle connections for each start of an endpoint, most recently used first.

    If they were keyed by the endpoint's id alone, a request for a new start could be
    sent over a connection to the previous one. It would be lost, without a proof that
    it has not run.
    """

    def __init__(self, observer: ConnectionObserver = NO_OBSERVER) -> None:
        self._observer = observer
        self._idle_by_start: dict[str, list[EndpointConnection]] = {}
        self._unnamed_until_by_start: dict[str, Deadline] = {}
        """Starts that don't name all requests that they answer, so that each connection
        to them carries one of a client."""
        self._lock = threading.Lock()

    def take(
        self, start_id: str, address: str, request_id: str | None = None
    ) -> EndpointConnection:
        """Return a usable idle connection, or else a new one.

        The connection has not carried the request before: an endpoint may answer an
        earlier send of it a second time, and that answer would pass for the answer to
        this one. `request_id` is None for the system's own requests, which have
        connections of their own. Raises EndpointUnreachableError when no connection
        can be opened.
        """
        connection = self._take_idle(start_id, request_id)
        if connection is None:
            connection = EndpointConnection(address, self._observer)
        connection.note_request(request_id)
        return connection

    def _take_idle(
        self, start_id: str, request_id: str | None
    ) -> EndpointConnection | None:
        if request_id == "":
            # No answer to it can be told from one to an earlier request.
            return None
        while (kept := self._pop(start_id, request_id)) is not None:
            if not kept.idle_until.expired and kept.is_clean():
                return kept
            kept.close()
        return None

    def give_back(
        self,
        start_id: str,
        connection: Connection,
        idle_seconds: float | None,
    ) -> None:
        """Keep a connection whose answer was read completely."""
        assert isinstance(connection, EndpointConnection)
        given = IDLE_SECONDS if idle_seconds is None else idle_seconds
        usable = given - IDLE_MARGIN_SECONDS
        if usable <= 0 or not connection.is_clean():
            connection.close()
            return
        connection.used = True
        connection.idle_until = Deadline.after(usable)
        with self._lock:
            is_kept = connection.is_own or not self._is_unnamed(start_id)
            if is_kept:
                self._idle_by_start.setdefault(start_id, []).append(connection)
        if not is_kept:
            connection.close()

    def note_unnamed(self, start_id: str) -> None:
        """Let each connection to this start carry one request for a while.

        An answer without an id proves nothing on a connection that has carried others,
        so a refusal would not tell that the request has not run. The connections of
        the system's own requests, whose answers never have an id, are kept.
        """
        with self._lock:
            self._unnamed_until_by_start[start_id] = Deadline.after(UNNAMED_SECONDS)
            idle = self._idle_by_start.pop(start_id, [])
            own = [connection for connection in idle if connection.is_own]
            if own:
                self._idle_by_start[start_id] = own
        for connection in idle:
            if not connection.is_own:
                connection.close()

    def _is_unnamed(self, start_id: str) -> bool:
        until = self._unnamed_until_by_start.get(start_id)
        return until is not None and not until.expired

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections."""
        with self._lock:
            return sum(map(len, self._idle_by_start.values()))

    def close_expired(self) -> None:
        """Close connections whose idle time has expired."""
        expired = []
        with self._lock:
            for start_id, idle in list(self._idle_by_start.items()):
                kept = [item for item in idle if not item.idle_until.expired]
                expired += [item for item in idle if item.idle_until.expired]
                if kept:
                    self._idle_by_start[start_id] = kept
                else:
                    del self._idle_by_start[start_id]
            for start_id, until in list(self._unnamed_until_by_start.items()):
                if until.expired:
                    del self._unnamed_until_by_start[start_id]
        for connection in expired:
            connection.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [item for kept in self._idle_by_start.values() for item in kept]
            self._idle_by_start.clear()
        for connection in idle:
            connection.close()

    def _pop(self, start_id: str, request_id: str | None) -> EndpointConnection | None:
        """Remove and return the latest idle connection that may carry the request."""
        with self._lock:
            idle = self._idle_by_start.get(start_id, [])
            for index in reversed(range(len(idle))):
                if idle[index].may_carry(request_id):
                    return idle.pop(index)
        return None
