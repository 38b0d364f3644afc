"""The HTTP server: waitress, with a receive timeout and a graceful stop."""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from waitress import wasyncore
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import create_server
from waitress.task import ErrorTask, WSGITask

from jujubeslip.http_server._request_parser import RequestParser
from jujubeslip.http_server._threads import CallThreads
from jujubeslip.kernel import Deadline, Process, steady_seconds

logger = logging.getLogger(__name__)

SCAN_INTERVAL_SECONDS = 1.0
MAXIMUM_HEADER_BYTES = 32_768
FLUSH_SECONDS = 10.0
FLUSH_POLL_INTERVAL_SECONDS = 0.02
# No request is being served and no byte is unsent.
FLUSHED = (0, 0)
MAXIMUM_BACKLOG = 1024
# Value of SO_LINGER: closing drops what is unsent and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# How much of a streamed answer is kept for a client that reads slowly, in bytes; then
# the stream waits for the client.
MAXIMUM_UNSENT_BYTES = 256 * 1024


# How often closed connections are logged at most, in seconds.
LOG_INTERVAL_SECONDS = 1.0


# Headers of which all servers read one value only.
SINGLE_HEADERS = frozenset({"host"})


def _never_full() -> bool:
    return False


class AnswerAbandonedError(ClientDisconnected):
    """Raised by an answer's iterator: the connection closes before the answer's end.

    The client must be able to detect that the answer is incomplete.
    """


class ClosingTask(WSGITask):
    """Adds `Connection: close` to its answer once the server is stopping.

    An answer that fails midway never looks whole: one with a length or in chunks ends
    before its end, and the connection of any other one, to a client of HTTP/1.0, is
    reset.
    """

    def service(self) -> None:
        """Write the answer."""
        try:
            super().service()
        except Exception:
            if self._ends_with_connection:
                _reset_when_closed(self.channel.socket)
            raise

    @property
    def _ends_with_connection(self) -> bool:
        is_framed = self.chunked_response or self.content_length is not None
        return bool(self.wrote_header and not is_framed)

    def build_response_header(self) -> bytes:
        """Return the status line and headers of the answer."""
        if getattr(self.channel.server, "announces_close", False):
            self.set_close_on_finish()
        header: bytes = super().build_response_header()
        return header


def _reset_when_closed(connection: socket.socket | None) -> None:
    if connection is None:
        # Its client has left, and the server's task has closed it.
        return
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


class EncodedErrorTask(ErrorTask):
    """Sends an error of the HTTP library as the server's options encode it."""

    def execute(self) -> None:
        """Write the answer and close the connection."""
        error = self.request.error
        body = self.channel.server.encode_error(error.code, str(error.body))
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", "application/json"))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class ClosingChannel(HTTPChannel):
    """A connection that, during a stop, closes after an answer that announces it.

    If a connection closes while a client sends its next request on it, the client can't
    know whether the request was read.
    """

    task_class = ClosingTask


@dataclass(frozen=True)
class HttpServerOptions:
    """Bounds of a server."""

    address: str
    """IP:port to listen on."""
    threads: int
    """Requests served at a time; each thread is started when it is needed."""
    maximum_connections: int = 1000
    """Largest number of open connections; further ones wait."""
    maximum_body_bytes: int = 16 * 1024 * 1024
    """Longest body of a request; a longer one is refused with 413."""
    receive_seconds: float = 10.0
    """The connection closes if a request is incomplete after this time."""
    channel_class: type[HTTPChannel] = ClosingChannel
    """Class that serves one connection."""
    single_headers: frozenset[str] = SINGLE_HEADERS
    """Headers, in lower case, that a request has once at most, else it is refused."""
    encode_error: Callable[[int, str], bytes] | None = None
    """Returns the JSON body of an error, of which status and reason are given; the HTTP
    library's text if it is None."""
    is_full: Callable[[], bool] = _never_full
    """Whether new connections are closed unread, so that clients go elsewhere."""


class HttpServer:
    """Waitress, with a bound on how long a client may take to send its request."""

    def __init__(self, options: HttpServerOptions, app: Any) -> None:
        host, port = options.address.rsplit(":", 1)
        self._receive_seconds = options.receive_seconds
        self._threads = CallThreads(options.threads)
        self._server = create_server(
            app,
            host=host,
            port=int(port),
            _dispatcher=self._threads,
            connection_limit=options.maximum_connections,
            max_request_body_size=options.maximum_body_bytes,
            max_request_header_size=MAXIMUM_HEADER_BYTES,
            asyncore_use_poll=True,
            # Reads one request ahead to detect that a client disconnects while its
            # request waits or streams. Otherwise the engine would hold memory for a
            # disconnected client until the next token is written.
            channel_request_lookahead=1,
            send_bytes=1,
            outbuf_high_watermark=MAXIMUM_UNSENT_BYTES,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = _channel_class(options)
        self._server.encode_error = options.encode_error
        self._is_full = options.is_full
        self._accept_next = self._server.accept
        self._server.accept = self._accept
        self._closed_unread = 0
        self._next_log = Deadline.after(0)
        self._first_seen_by_parser: dict[int, float] = {}

    def start(self, process: Process) -> None:
        """Serve in one task, and close slow connections in another."""
        process.start_task(self._server.run)
        process.repeat(SCAN_INTERVAL_SECONDS, self._close_slow_senders)

    def _accept(self) -> Any:
        """Accept a connection; close it unread and return None if the host is full.

        A client may send a request again at once if its connection was closed before
        the request was read, and another host can serve it then.
        """
        accepted = self._accept_next()
        if accepted is None or not self._is_full():
            return accepted
        connection, _ = accepted
        connection.close()
        self._closed_unread += 1
        if self._next_log.expired:
            self._next_log = Deadline.after(LOG_INTERVAL_SECONDS)
            extra = {"connections": self._closed_unread}
            logger.warning("connections closed unread, the host is full", extra=extra)
            self._closed_unread = 0
        return None

    def announce_close(self) -> None:
        """Close each connection after its next answer, which announces it."""
        self._server.announces_close = True

    def stop_listening(self) -> None:
        """Close the listening socket in the server's task; connections stay open."""
        self._server.trigger.pull_trigger(self._close_listener)

    def _close_listener(self) -> None:
        """Accept the clients that have connected already, then close.

        Closing resets the connections that are not accepted yet, and their clients
        can't know whether their requests ran. Once accepted, they get a refusal that
        says "not run".
        """
        for _ in range(MAXIMUM_BACKLOG):
            before = len(self._server.active_channels)
            self._server.handle_accept()
            if len(self._server.active_channels) == before:
                break
        wasyncore.dispatcher.close(self._server)

    def wait_until_flushed(self, limit_seconds: float = float("inf")) -> None:
        """Wait until every answer is sent to its client.

        A request counts as finished before the server has written the end of its
        answer, so this waits for the serving threads too: a process that exits earlier
        truncates the last answers. The wait ends if nothing is finished or sent for
        FLUSH_SECONDS, and at the limit, since a process whose stop takes too long is
        killed.
        """
        end = Deadline.after(limit_seconds)
        limit = end.earlier_of(Deadline.after(FLUSH_SECONDS))
        unfinished = self._unfinished()
        while unfinished != FLUSHED and not limit.expired:
            time.sleep(FLUSH_POLL_INTERVAL_SECONDS)
            latest = self._unfinished()
            if latest < unfinished:
                limit = end.earlier_of(Deadline.after(FLUSH_SECONDS))
            unfinished = latest

    def _unfinished(self) -> tuple[int, int]:
        """Return the number of unfinished requests and of unsent bytes."""
        channels = list(self._server.active_channels.values())
        unsent = sum(channel.total_outbufs_len for channel in channels)
        return self._threads.open_count, unsent

    def _close_slow_senders(self) -> None:
        """Close connections whose request is incomplete after the receive timeout.

        Otherwise a client that sends one byte per second would hold its connection
        for hours, and a thousand of them would leave none for others. Waitress itself
        only closes connections without any traffic.
        """
        now = steady_seconds()
        first_seen_by_parser: dict[int, float] = {}
        for channel in list(self._server.active_channels.values()):
            parser = channel.request
            if parser is None or parser.completed:
                continue
            first_seen = self._first_seen_by_parser.get(id(parser), now)
            first_seen_by_parser[id(parser)] = first_seen
            if now - first_seen > self._receive_seconds:
                channel.will_close = True
        self._first_seen_by_parser = first_seen_by_parser
        self._server.pull_trigger()


def _channel_class(options: HttpServerOptions) -> type[HTTPChannel]:
    """Return the class of the options' channel with their parser and error task."""
    single_headers = SINGLE_HEADERS | options.single_headers
    attributes: dict[str, Any] = {
        "parser_class": partial(RequestParser, single_headers=single_headers)
    }
    if options.encode_error is not None:
        attributes["error_task_class"] = EncodedErrorTask
    return type("Channel", (options.channel_class,), attributes)
