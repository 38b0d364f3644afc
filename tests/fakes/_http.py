"""The HTTP server of the stand-ins: JSON calls, with a thread per connection."""

from __future__ import annotations

import json
import socket
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from tests.fakes._faults import Faults
from tests.fakes._records import RefusalError
from tests.fakes._sockets import is_readable


class StandInServer(ThreadingHTTPServer):
    """An HTTP server with a long accept queue, whose threads end with the process."""

    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of a connection that its peer closed."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


class JsonHandler(BaseHTTPRequestHandler):
    """Reads and writes JSON bodies; `routes` maps "METHOD /path" to a method name."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    routes: dict[str, str] = {}

    def do_GET(self) -> None:
        """Serve a GET."""
        self._dispatch("GET")

    def do_POST(self) -> None:
        """Serve a POST."""
        self._dispatch("POST")

    def do_DELETE(self) -> None:
        """Serve a DELETE."""
        self._dispatch("DELETE")

    def _dispatch(self, method: str) -> None:
        path = self.path.partition("?")[0]
        name = self.routes.get(f"{method} {path}") or self.route(method, path)
        try:
            if not name:
                raise RefusalError(404, "no_such_path")
            getattr(self, name)()
        except RefusalError as refusal:
            self.reply(refusal.status, {"reason": refusal.reason})
        except OSError:
            self.close_connection = True

    def route(self, method: str, path: str) -> str | None:
        """Return the method that serves a path with a variable part."""
        return None

    def read_body(self) -> bytes:
        """Return the complete body of the call."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def read_json(self) -> dict:
        """Return the JSON object in the body; refuse any other body with 400."""
        try:
            body = json.loads(self.read_body() or b"{}")
        except ValueError as error:
            raise RefusalError(400, "bad_json") from error
        if not isinstance(body, dict):
            raise RefusalError(400, "bad_json")
        return body

    def reply(
        self, status: int, body: dict, headers: dict[str, str] | None = None
    ) -> None:
        """Send a response with a JSON body."""
        content = json.dumps(body).encode()
        self.reply_bytes(status, content, "application/json", headers)

    def reply_bytes(
        self,
        status: int,
        content: bytes,
        content_type: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a response, headers and body in one write."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(content)))
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self._headers_buffer.append(b"\r\n")  # type: ignore[attr-defined]
        self._headers_buffer.append(content)  # type: ignore[attr-defined]
        self.flush_headers()

    def start_stream(self, content_type: str, length: int | None = None) -> None:
        """Send the headers of a response whose body is written in pieces."""
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        if length is None:
            self.send_header("Connection", "close")
            self.close_connection = True
        else:
            self.send_header("Content-Length", str(length))
        self.end_headers()

    def write_line(self, item: dict) -> None:
        """Write one JSON line."""
        self.wfile.write(json.dumps(item).encode() + b"\n")

    def peer_is_open(self) -> bool:
        """Return whether the caller has not closed the connection."""
        if not is_readable(self.connection, 0):
            return True
        try:
            return bool(self.connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the log line of each call."""


def apply_reply_faults(faults: Faults, echo: dict) -> dict:
    """Delay a reply, or replace its request id, if a test set such a fault."""
    if faults.take("late_replies"):
        time.sleep(faults.value("late_reply_ms") / 1000)
    if faults.take("crossed_replies"):
        return {**echo, "request_id": f"crossed-{echo['request_id']}"}
    return echo


def listen(address: str, handler: type[JsonHandler]) -> StandInServer:
    """Open the listening socket of a stand-in at `IP:port`."""
    host, _, port = address.rpartition(":")
    return StandInServer((host, int(port)), handler)


def print_ready(server: StandInServer) -> None:
    """Print the ready line with the address that the server listens on."""
    host, port = server.server_address[:2]
    line = {"ready": True, "address": f"{host!s}:{port}"}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()
