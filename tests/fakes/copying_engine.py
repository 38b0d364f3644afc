"""An engine that may send its answers to the system a second time, late."""

from __future__ import annotations

import http.client
import json
import socketserver
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

REPORT = {
    "stage": "decode",
    "queued": 0,
    "kvUsed": 0,
    "kvCapacity": 100,
    "runs": [],
    "seq": 0,
    "busy": False,
}


class CopyingEngine(socketserver.ThreadingTCPServer):
    """Reports, grants or refuses reservations, and refuses orders."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.address = "{}:{}".format(*self.server_address)
        self.calls: list[str] = []
        self.has_room = True
        self.answers_twice = False
        """Whether each answer comes again, just before the connection's next one."""
        self.lines: list[str] = []
        """Further header lines of all answers."""
        self.connections = 0

    def answer_to(self, target: str) -> bytes:
        """Return the answer, which names another token for each reservation."""
        self.calls.append(target)
        status, body = self._answer_to(target)
        lines = [f"HTTP/1.1 {status} Status", *self.lines, "Keep-Alive: timeout=30"]
        head = "\r\n".join([*lines, f"Content-Length: {len(body)}"])
        return f"{head}\r\n\r\n{body}".encode()

    def _answer_to(self, target: str) -> tuple[int, str]:
        if target == "/report":
            return 200, json.dumps(REPORT)
        if target == "/hold-take" and self.has_room:
            return 200, json.dumps({"hold": f"h-{len(self.calls)}"})
        return (409 if target == "/order" else 503), "{}"


class _Handler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        engine: Any = self.server
        engine.connections += 1
        late = b""
        while first := self.rfile.readline().decode():
            headers = http.client.parse_headers(self.rfile)
            self.rfile.read(int(headers.get("Content-Length", 0)))
            answer = engine.answer_to(first.split()[1])
            self.wfile.write(late + answer)
            late = answer if engine.answers_twice else b""


@contextmanager
def copying_engine() -> Iterator[CopyingEngine]:
    """Return a context with a running engine."""
    with CopyingEngine() as running:
        threading.Thread(target=running.serve_forever, daemon=True).start()
        yield running
        running.shutdown()
