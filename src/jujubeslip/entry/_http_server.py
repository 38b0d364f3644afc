"""The HTTP server for clients and endpoints."""

from __future__ import annotations

import logging
import time
from typing import Any

from waitress import wasyncore
from waitress.server import create_server

from jujubeslip.kernel import Deadline, EntrySettings, Process

logger = logging.getLogger(__name__)

LOOK_INTERVAL = 1.0
MAXIMUM_HEADER_BYTES = 32_768
FLUSH_SECONDS = 10.0
FLUSH_LOOK_INTERVAL = 0.02


class HttpServer:
    """Waitress, with a bound on how long a client may take to send its request."""

    def __init__(self, settings: EntrySettings, app: Any) -> None:
        host, port = settings.http_address.rsplit(":", 1)
        self._receive_seconds = settings.receive_timeout_ms / 1000
        self._server = create_server(
            app,
            host=host,
            port=int(port),
            threads=settings.http_threads,
            connection_limit=settings.maximum_connections,
            max_request_body_size=settings.maximum_body_bytes,
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
        self._seen_at_by_parser: dict[int, float] = {}

    def start(self, process: Process) -> None:
        """Serve in a task, and look after slow senders in another."""
        process.start_task(self._server.run)
        process.repeat(LOOK_INTERVAL, self._close_slow_senders)

    def stop_listening(self) -> None:
        """Close the listening socket in the server's own task; connections go on."""
        self._server.trigger.pull_trigger(
            lambda: wasyncore.dispatcher.close(self._server)
        )

    def wait_until_flushed(self) -> None:
        """Wait until every answer has left for its client.

        A request is closed before its last bytes are written: waitress ends the
        stream after it closed the application's iterator. So an answer also counts
        as unsent while its channel still serves its request. A client that takes
        nothing for FLUSH_SECONDS is not waited for any longer.
        """
        limit = Deadline.after(FLUSH_SECONDS)
        left = self._unsent_bytes()
        while (left or self._is_serving()) and not limit.expired:
            time.sleep(FLUSH_LOOK_INTERVAL)
            now = self._unsent_bytes()
            if now < left:
                limit = Deadline.after(FLUSH_SECONDS)
            left = now

    def _is_serving(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(channel.requests for channel in channels)

    def _unsent_bytes(self) -> int:
        channels = list(self._server.active_channels.values())
        return sum(channel.total_outbufs_len for channel in channels)

    def _close_slow_senders(self) -> None:
        """Close connections whose request is not whole after the receive timeout.

        A client that sends a byte a second would otherwise hold its connection for
        hours; a thousand of them would leave none for others. Waitress only closes
        connections on which nothing moves at all.
        """
        now = time.monotonic()
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
