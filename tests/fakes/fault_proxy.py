"""A TCP proxy that injects faults, inside a test or as a separate process.

The process reads commands from a control port, one JSON object per line, such as
`{"command": "cut", "direction": "to_client"}`, and answers each with one line.
"""

from __future__ import annotations

import argparse
import enum
import json
import socket
import socketserver
import struct
import sys
import threading
import time
from collections import deque
from dataclasses import dataclass

from tests.fakes._sockets import is_readable

CHUNK_BYTES = 65_536
MAXIMUM_PENDING_BYTES = 4_194_304
POLL_SECONDS = 0.05
CONNECT_TIMEOUT_SECONDS = 5.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """The direction in which bytes pass the proxy."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


BOTH = (Direction.TO_SERVER, Direction.TO_CLIENT)


@dataclass(frozen=True)
class Ending:
    """Ends a connection once more than this many bytes passed in one direction."""

    direction: Direction
    after_bytes: int
    reset: bool
    sticky: bool


class _Link:
    """One connection through the proxy: both sockets and the count of bytes."""

    def __init__(self, client: socket.socket, server: socket.socket) -> None:
        self.source = {Direction.TO_SERVER: client, Direction.TO_CLIENT: server}
        self.sink = {Direction.TO_SERVER: server, Direction.TO_CLIENT: client}
        self.passed = dict.fromkeys(BOTH, 0)
        self.frozen = False
        self.closed = threading.Event()
        self.open_directions = 2

    def close(self, *, reset: bool = False) -> None:
        """Close both sides, with a TCP reset if asked for."""
        self.closed.set()
        for side in self.source.values():
            try:
                if reset:
                    side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                else:
                    side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            side.close()


class FaultProxy:
    """Forwards connections to one target; every fault holds until `heal`.

    - `cut`: bytes stop, as in a network partition, and continue after `heal`.
    - `freeze`: established connections stay silent permanently, new ones work.
    - `refuse`: new connections are refused.
    - `delay`: bytes arrive this many seconds later.
    - `reset`: established connections end with a TCP reset.
    - `end_next`: the next connection to pass some bytes is closed or reset.
    """

    def __init__(self, target: str, address: str = "127.0.0.1:0") -> None:
        self.target = _parse_address(target)
        self._lock = threading.Condition()
        self._links: set[_Link] = set()
        self._cut: set[Direction] = set()
        self._delay = dict.fromkeys(BOTH, 0.0)
        self._endings: list[Ending] = []
        self._stopped = False
        self.accepted = 0
        self._bound = _parse_address(address)
        self._listener = self._listen()
        self._bound = self._listener.getsockname()[:2]

    @property
    def address(self) -> str:
        """Return the address of the proxy, as `IP:port`."""
        return f"{self._bound[0]}:{self._bound[1]}"

    @property
    def connections(self) -> int:
        """Return the number of connections that are not closed."""
        with self._lock:
            return len(self._links)

    def cut(self, direction: Direction | None = None) -> None:
        """Stop all bytes, in one direction or both."""
        with self._lock:
            self._cut.update([direction] if direction else BOTH)

    def freeze(self) -> None:
        """Silence the established connections permanently."""
        with self._lock:
            for link in self._links:
                link.frozen = True

    def refuse(self) -> None:
        """Refuse new connections."""
        with self._lock:
            _close_listener(self._listener)

    def delay(self, seconds: float, direction: Direction | None = None) -> None:
        """Delay each byte by this many seconds."""
        with self._lock:
            for item in [direction] if direction else BOTH:
                self._delay[item] = seconds

    def reset(self) -> None:
        """End the established connections with a TCP reset."""
        with self._lock:
            links = tuple(self._links)
            self._links.clear()
        for link in links:
            link.close(reset=True)

    def end_next(
        self,
        after_bytes: int,
        direction: Direction = Direction.TO_CLIENT,
        *,
        reset: bool = False,
        sticky: bool = False,
    ) -> None:
        """End the next connection (each one, if sticky) that passes more bytes."""
        with self._lock:
            self._endings.append(Ending(direction, after_bytes, reset, sticky))
            for link in self._links:
                link.passed[direction] = 0

    def heal(self) -> None:
        """Remove every fault; frozen connections stay silent."""
        with self._lock:
            self._cut.clear()
            self._delay = dict.fromkeys(BOTH, 0.0)
            self._endings.clear()
            if self._listener.fileno() < 0:
                self._listener = self._listen()

    def stop(self) -> None:
        """Close the proxy and every connection."""
        with self._lock:
            self._stopped = True
            _close_listener(self._listener)
        self.reset()

    def _listen(self) -> socket.socket:
        listener = socket.create_server(self._bound, backlog=512)
        task = threading.Thread(target=self._accept, args=(listener,), daemon=True)
        task.start()
        return listener

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            self.accepted += 1
            task = threading.Thread(target=self._connect, args=(client,), daemon=True)
            task.start()

    def _connect(self, client: socket.socket) -> None:
        """Connect to the target; a cut delays this until `heal`, like a lost SYN."""
        while self._cut and not self._stopped:
            time.sleep(POLL_SECONDS)
        try:
            server = socket.create_connection(self.target, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            _Link(client, client).close(reset=True)
            return
        for side in (client, server):
            side.settimeout(None)
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = _Link(client, server)
        with self._lock:
            self._links.add(link)
        for direction in BOTH:
            task = threading.Thread(
                target=self._forward, args=(link, direction), daemon=True
            )
            task.start()

    def _forward(self, link: _Link, direction: Direction) -> None:
        try:
            self._pump(link, direction)
        except ConnectionResetError:
            self._drop(link, reset=True)
        except (OSError, ValueError):
            self._drop(link, reset=False)

    def _pump(self, link: _Link, direction: Direction) -> None:
        """Forward one direction until its end; a closed socket raises ValueError."""
        source, sink = link.source[direction], link.sink[direction]
        pending: deque[tuple[float, bytes]] = deque()
        at_end = False
        while not link.closed.is_set():
            if self._is_silent(link, direction):
                time.sleep(POLL_SECONDS)
                continue
            if not at_end and _is_readable(source, pending):
                data = source.recv(CHUNK_BYTES)
                at_end = not data
                pending.append((time.monotonic() + self._delay[direction], data))
            while pending and pending[0][0] <= time.monotonic():
                if self._is_silent(link, direction):
                    break
                if not self._send(link, direction, sink, pending.popleft()[1]):
                    return

    def _is_silent(self, link: _Link, direction: Direction) -> bool:
        return link.frozen or direction in self._cut

    def _send(
        self, link: _Link, direction: Direction, sink: socket.socket, data: bytes
    ) -> bool:
        """Send one piece or end the connection; return whether it remains open."""
        if not data:
            self._end_direction(link, sink)
            return False
        ending, allowed = self._take_ending(link, direction, len(data))
        sink.sendall(data[:allowed])
        if ending is not None:
            self._drop(link, reset=ending.reset)
        return ending is None

    def _take_ending(
        self, link: _Link, direction: Direction, size: int
    ) -> tuple[Ending | None, int]:
        """Return the ending that applies to a piece, and the bytes sent before it."""
        with self._lock:
            before = link.passed[direction]
            link.passed[direction] += size
            for ending in self._endings:
                past = link.passed[direction] > ending.after_bytes
                if ending.direction is direction and past:
                    if not ending.sticky:
                        self._endings.remove(ending)
                    return ending, max(0, ending.after_bytes - before)
        return None, size

    def _end_direction(self, link: _Link, sink: socket.socket) -> None:
        """Forward an end of stream; close the link once both directions have ended."""
        with self._lock:
            link.open_directions -= 1
            ended = link.open_directions == 0
        if ended:
            self._drop(link, reset=False)
        else:
            sink.shutdown(socket.SHUT_WR)

    def _drop(self, link: _Link, *, reset: bool) -> None:
        with self._lock:
            if link not in self._links:
                return
            self._links.discard(link)
        link.close(reset=reset)


def _is_readable(source: socket.socket, pending: deque[tuple[float, bytes]]) -> bool:
    """Wait for bytes until the first pending piece is due, or one poll interval."""
    timeout = POLL_SECONDS
    if pending:
        timeout = min(timeout, max(0.0, pending[0][0] - time.monotonic()))
    if sum(len(data) for _, data in pending) > MAXIMUM_PENDING_BYTES:
        time.sleep(timeout)
        return False
    return is_readable(source, timeout)


def _close_listener(listener: socket.socket) -> None:
    """Close the listener; the shutdown wakes the accepting thread."""
    try:
        listener.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    listener.close()


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class _ControlHandler(socketserver.StreamRequestHandler):
    proxy: FaultProxy

    def handle(self) -> None:
        """Run the command of each line."""
        for line in self.rfile:
            try:
                answer = run_command(self.proxy, json.loads(line))
            except (ValueError, TypeError, KeyError) as error:
                answer = {"ok": False, "error": str(error)}
            self.wfile.write(json.dumps(answer).encode() + b"\n")


def run_command(proxy: FaultProxy, message: dict) -> dict:
    """Run one command of the control port and return its answer."""
    values = dict(message)
    command = values.pop("command")
    if command not in ("cut", "freeze", "refuse", "delay", "reset", "end_next", "heal"):
        if command != "status":
            raise ValueError(f"no command {command!r}")
    else:
        if values.get("direction"):
            values["direction"] = Direction(values["direction"])
        getattr(proxy, command)(**values)
    return {"ok": True, "connections": proxy.connections, "accepted": proxy.accepted}


def main() -> None:
    """Forward until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", required=True)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--control", default="127.0.0.1:0")
    options = parser.parse_args()
    proxy = FaultProxy(options.target, options.address)
    handler = type("BoundHandler", (_ControlHandler,), {"proxy": proxy})
    server = socketserver.ThreadingTCPServer(_parse_address(options.control), handler)
    host, port = server.server_address[:2]
    ready = {"ready": True, "address": proxy.address, "control": f"{host!s}:{port}"}
    sys.stdout.write(json.dumps(ready) + "\n")
    sys.stdout.flush()
    server.serve_forever()


if __name__ == "__main__":
    main()
