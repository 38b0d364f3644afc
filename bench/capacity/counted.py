"""Runs the command line and counts all bytes of its sockets.

`python -m bench.capacity.counted COUNTS.json ARGUMENTS...` runs
`jujubeslip ARGUMENTS...` and writes its counts to the file every SNAPSHOT_SECONDS.
The bytes are payload, without the headers of TCP and IP. The processor time includes
that of the counting itself, so the figures err on the high side.
"""

from __future__ import annotations

import json
import resource
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

from jujubeslip.cli import main as run_command_line

SNAPSHOT_SECONDS = 0.2


class Counts:
    """Bytes and calls of all sockets of this process."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sends = 0
        self.receives = 0
        self._lock = threading.Lock()

    def add_sent(self, count: int) -> None:
        """Count one send."""
        with self._lock:
            self.sent_bytes += count
            self.sends += 1

    def add_received(self, count: int) -> None:
        """Count one receive."""
        with self._lock:
            self.received_bytes += count
            self.receives += 1

    def snapshot(self) -> dict[str, float]:
        """Return the counts, the memory and the processor time so far."""
        with self._lock:
            fields: dict[str, float] = {
                "sent_bytes": self.sent_bytes,
                "received_bytes": self.received_bytes,
                "sends": self.sends,
                "receives": self.receives,
            }
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        fields["rss_bytes"] = pages * resource.getpagesize()
        fields["threads"] = threading.active_count()
        fields["cpu_seconds"] = time.process_time()
        fields["instant"] = time.monotonic()
        return fields


def count_sockets(counts: Counts) -> None:
    """Replace the methods of all sockets by ones that count."""
    socket_class: Any = socket.socket
    send, sendall = socket_class.send, socket_class.sendall
    recv, recv_into = socket_class.recv, socket_class.recv_into

    def counted_send(self: Any, data: Any, *arguments: Any) -> int:
        sent: int = send(self, data, *arguments)
        counts.add_sent(sent)
        return sent

    def counted_sendall(self: Any, data: Any, *arguments: Any) -> None:
        sendall(self, data, *arguments)
        counts.add_sent(len(data))

    def counted_recv(self: Any, *arguments: Any) -> bytes:
        data: bytes = recv(self, *arguments)
        counts.add_received(len(data))
        return data

    def counted_recv_into(self: Any, *arguments: Any) -> int:
        received: int = recv_into(self, *arguments)
        counts.add_received(received)
        return received

    socket_class.send, socket_class.sendall = counted_send, counted_sendall
    socket_class.recv, socket_class.recv_into = counted_recv, counted_recv_into


def _write_snapshots(counts: Counts, path: Path) -> None:
    new_path = path.with_suffix(".new")
    while True:
        new_path.write_text(json.dumps(counts.snapshot()))
        new_path.replace(path)
        time.sleep(SNAPSHOT_SECONDS)


def main() -> None:
    """Run the command line with counted sockets."""
    counts = Counts()
    count_sockets(counts)
    path = Path(sys.argv.pop(1))
    threading.Thread(target=_write_snapshots, args=(counts, path), daemon=True).start()
    run_command_line()


if __name__ == "__main__":
    main()
