"""The HTTP server: waitress, with bounds on slow clients and stops without cuts."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import Any

from waitress import wasyncore
from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.server import create_server
from waitress.task import WSGITask

from jujubeslip.http_server._threads import CallThreads
from jujubeslip.kernel import Deadline, Process, steady_seconds

logger = logging.getLogger(__name__)

LOOK_INTERVAL = 1.0
MAXIMUM_HEADER_BYTES = 32_768
FLUSH_SECONDS = 10.0
FLUSH_LOOK_INTERVAL = 0.02
# No call is served and no byte is unsent.
FLUSHED = (0, 0)
MAXIMUM_BACKLOG = 1024


class AnswerAbandonedError(ClientDisconnected):
    """Raised by an answer's iterator: the connection ends without the answer's end.

    The client must see that the answer is not whole.
    """


class ClosingTask(WSGITask):
    """Says with its answer that the connection closes, once the server is to stop."""

    def build_response_header(self) -> bytes:
        """Return the head of the answer."""
        if getattr(self.channel.server, "announces_close", False):
            self.set_close_on_finish()
        header: bytes = super().build_response_header()
        return header


class ClosingChannel(HTTPChannel):
    """A connection that is closed after an answer that said so, at a stop.

    A client that sends its next request on a connection which closes at that moment
    can't know whether it was read.
    """

    task_class = ClosingTask


@dataclass(frozen=True)
class HttpServerOptions:
    """Bounds of a server."""

    address: str
    """IP:port to listen at."""
    threads: int
    """Calls that are served at a time; each thread is started when it is needed."""
    maximum_connections: int = 1000
    """Open connections at most; further ones wait."""
    maximum_body_bytes: int = 16 * 1024 * 1024
    """Longest body of a request; a longer one is refused with 413."""
    receive_seconds: float = 10.0
    """A request that is not whole after this time is cut off."""
    channel_class: type[HTTPChannel] = ClosingChannel
    """What serves one connection."""


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
            # One request ahead is read, so that a client's close is seen while its
            # request waits or streams; without it the engine would hold memory for
            # a client that is gone until the next token is written.
            channel_request_lookahead=1,
            send_bytes=1,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = options.channel_class
        self._seen_at_by_parser: dict[int, float] = {}

    def start(self, process: Process) -> None:
        """Serve in a task, and look after slow senders in another."""
        process.start_task(self._server.run)
        process.repeat(LOOK_INTERVAL, self._close_slow_senders)

    def announce_close(self) -> None:
        """Close each connection after its next answer, which says so."""
        self._server.announces_close = True

    def stop_listening(self) -> None:
        """Close the listening socket in the server's own task; connections go on."""
        self._server.trigger.pull_trigger(self._close_listener)

    def _close_listener(self) -> None:
        """Accept who has connected already, then close.

        Closing resets the connections that wait to be accepted, and their clients
        can't know whether their requests ran. Accepted, they are told "not run".
        """
        for _ in range(MAXIMUM_BACKLOG):
            before = len(self._server.active_channels)
            self._server.handle_accept()
            if len(self._server.active_channels) == before:
                break
        wasyncore.dispatcher.close(self._server)

    def wait_until_flushed(self, limit_seconds: float = float("inf")) -> None:
        """Wait until every answer has left for its client.

        A request counts as ended before the server has written the end of its answer,
        so the threads that serve calls are waited for too: a process that exits
        earlier cuts the last answers off. A client that takes nothing for
        FLUSH_SECONDS is not waited for any longer, nor any client after the limit: a
        process whose stop takes too long is killed.
        """
        end = Deadline.after(limit_seconds)
        limit = end.earlier_of(Deadline.after(FLUSH_SECONDS))
        left = self._unfinished()
        while left != FLUSHED and not limit.expired:
            time.sleep(FLUSH_LOOK_INTERVAL)
            now = self._unfinished()
            if now < left:
                limit = end.earlier_of(Deadline.after(FLUSH_SECONDS))
            left = now

    def _unfinished(self) -> tuple[int, int]:
        """Return how many calls are not served to their end, and the unsent bytes."""
        channels = list(self._server.active_channels.values())
        unsent = sum(channel.total_outbufs_len for channel in channels)
        return self._threads.open_count, unsent

    def _close_slow_senders(self) -> None:
        """Close connections whose request is not whole after the receive timeout.

        A client that sends a byte a second would otherwise hold its connection for
        hours; a thousand of them would leave none for others. Waitress only closes
        connections on which nothing moves at all.
        """
        now = steady_seconds()
        seen: dict[int, float] = {}
        for channel in list(self._server.active_channels.values()):
            parser = channel.request
            if parser is None or parser.completed:
                continue
            first = self._seen_at_by_parser.get(id(parser), now)
            seen[id(parser)] = first
            if now - first > self._receive_seconds:
                channel.will_close = True
        self._seen_at_by_parser = seen
        self._server.pull_trigger()
