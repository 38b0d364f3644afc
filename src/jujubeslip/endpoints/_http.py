"""HTTP calls that end at a deadline or when the client disconnects."""

from __future__ import annotations

import http.client
import io
import json
import select
import socket
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from typing import Any

from jujubeslip.endpoints._answer_reader import AnswerHead, AnswerReader
from jujubeslip.endpoints._bounded_reader import (
    BoundedReader,
    Interrupted,
    never_interrupted,
    unread_bytes,
)
from jujubeslip.endpoints._errors import (
    AnswerCutError,
    ClientDisconnectedError,
    EndpointAnswerError,
    EndpointError,
    EndpointTimeoutError,
    EndpointUnreachableError,
)
from jujubeslip.kernel import Deadline

REQUEST_ID = "X-Request-Id"
CONNECT_SECONDS = 1.0
# Interval at which a wait checks that the client is still connected, in seconds.
POLL_INTERVAL_SECONDS = 0.05
# Longest pause within an answer that has begun, and in sending a request, in seconds.
STALL_SECONDS = 2.0
SEND_SECONDS = 5.0
# Interval at which the endpoint is asked, while its answer is pending, whether it still
# works on the attempt, in seconds.
PROBE_INTERVAL_SECONDS = 1.5
# Consecutive failed probes that end a call. One is not conclusive: it may be lost, and
# an endpoint that no longer holds the attempt may have an answer in transit.
FAILED_PROBES = 2
MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
MAXIMUM_LINE_BYTES = 1024 * 1024

# Returns if the endpoint still works on the attempt, else raises EndpointError.
Probe = Callable[[], None]


class Call:
    """One HTTP exchange on its own connection.

    A connection is never reused: an answer that arrives late, or that was only partly
    read, would otherwise be taken for the answer to the next request.
    """

    def __init__(
        self, address: str, deadline: Deadline, interrupted: Interrupted
    ) -> None:
        host, port = address.rsplit(":", 1)
        self.address = address
        self._deadline = deadline
        self._interrupted = interrupted
        self._connection = http.client.HTTPConnection(
            host, int(port), timeout=min(CONNECT_SECONDS, deadline.remaining() or 0.001)
        )
        self._method = ""
        self._request_id = ""
        self._socket: socket.socket | None = None
        self._raw: BoundedReader | None = None
        self._answers: AnswerReader | None = None

    def send(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> None:
        """Open the connection and send the complete request."""
        try:
            self._connection.connect()
        except OSError as error:
            self.close()
            raise EndpointUnreachableError(f"{self.address}: {error}.") from error
        # http.client drops its socket if the answer announces that it will close.
        sock = self._socket = self._connection.sock
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self._limited(SEND_SECONDS))
        self._method = method
        self._request_id = headers.get(REQUEST_ID, "")
        try:
            self._connection.request(
                method, path, body, {"Connection": "close", **headers}
            )
        except OSError as error:
            self.close()
            raise AnswerCutError(f"{self.address}: sending failed: {error}.") from error

    def response(self, probe: Probe | None = None) -> AnswerHead:
        """Wait for the status line and headers of the answer.

        A slow answer can't be distinguished from a connection that a device between
        the hosts has dropped, which stays silent permanently. So `probe` asks over a
        new connection whether the endpoint still works on the answer.
        """
        self._await_answer(probe)
        assert self._socket is not None
        self._socket.settimeout(POLL_INTERVAL_SECONDS)
        self._raw = BoundedReader(self._socket, stall_seconds=STALL_SECONDS)
        self._raw.watch(self._deadline, self._interrupted)
        self._raw.begin_read()
        reader = io.BufferedReader(self._raw)
        unread = partial(unread_bytes, self._socket, reader)
        self._answers = AnswerReader(reader, self.address, unread)
        return self._answers.read_head(self._method, [self._request_id])

    def read_some(self) -> bytes:
        """Return the next bytes of the body, or nothing once it is proven whole."""
        assert self._raw is not None
        assert self._answers is not None
        self._raw.begin_read()
        return self._answers.read_some()

    def read_rest(self) -> bytes:
        """Return the complete rest of the body."""
        parts = []
        size = 0
        while part := self.read_some():
            parts.append(part)
            size += len(part)
            if size > MAXIMUM_ANSWER_BYTES:
                raise EndpointAnswerError(f"{self.address}: the answer is too long.")
        return b"".join(parts)

    def lines(self, silence_timeout: float) -> Iterator[bytes]:
        """Yield the body's lines; time out after `silence_timeout` silent seconds.

        If a device between the hosts has dropped the connection, the stream stays
        silent, and the call would otherwise wait until the request's deadline.
        """
        assert self._raw is not None
        pending = b""
        while True:
            # The caller may have taken its time over the lines before.
            self._raw.limit_silence(silence_timeout)
            part = self.read_some()
            if not part:
                if pending:
                    raise AnswerCutError(f"{self.address}: the last line is truncated.")
                return
            *complete_lines, pending = (pending + part).split(b"\n")
            yield from complete_lines
            if len(pending) > MAXIMUM_LINE_BYTES:
                raise EndpointAnswerError(f"{self.address}: a line is too long.")

    def _limited(self, seconds: float) -> float:
        return max(0.001, min(seconds, self._deadline.remaining()))

    def _await_answer(self, probe: Probe | None) -> None:
        if probe is None:
            self._wait_readable()
            return
        failed = 0
        while True:
            try:
                self._wait_readable(PROBE_INTERVAL_SECONDS)
                return
            except EndpointTimeoutError:
                if self._deadline.expired:
                    raise
            try:
                probe()
                failed = 0
            except EndpointError as error:
                failed += 1
                if failed == FAILED_PROBES:
                    # The error tells about the probe; the request was sent before it.
                    raise EndpointTimeoutError(
                        f"{self.address}: the answer was lost: {error.message}"
                    ) from error

    def _wait_readable(self, silence_timeout: float | None = None) -> None:
        """Wait for the answer, until the deadline or until the client disconnects."""
        if self._socket is None or self._socket.fileno() < 0:
            return
        limit = self._deadline
        if silence_timeout is not None:
            limit = limit.earlier_of(Deadline.after(silence_timeout))
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        while not poller.poll(
            int(min(POLL_INTERVAL_SECONDS, limit.remaining()) * 1000) + 1
        ):
            if self._interrupted():
                raise ClientDisconnectedError("The client closed its connection.")
            if limit.expired:
                raise EndpointTimeoutError(f"{self.address}: no answer in time.")

    def close(self) -> None:
        """Close the connection, even if the answer is unread."""
        self._connection.close()


def exchange_json(
    address: str,
    path: str,
    message: Mapping[str, Any] | None,
    deadline: Deadline,
    interrupted: Interrupted = never_interrupted,
    headers: Mapping[str, str] | None = None,
    probe: Probe | None = None,
) -> tuple[int, dict[str, Any]]:
    """POST a JSON message, or GET if there is none; return the status and answer."""
    call = Call(address, deadline, interrupted)
    try:
        method = "GET" if message is None else "POST"
        body = b"" if message is None else json.dumps(message).encode()
        call.send(
            method, path, body, {"Content-Type": "application/json", **(headers or {})}
        )
        status = call.response(probe).status
        return status, parse_object(call.read_rest(), address)
    finally:
        call.close()


def parse_object(line: bytes, address: str) -> dict[str, Any]:
    """Parse the bytes as a JSON object."""
    try:
        value = json.loads(line)
    except ValueError as error:
        raise EndpointAnswerError(f"{address}: the answer is not JSON.") from error
    if not isinstance(value, dict):
        raise EndpointAnswerError(f"{address}: the answer is not an object.")
    return value
