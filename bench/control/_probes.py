"""Measures the CPU time, memory and traffic of a process."""

from __future__ import annotations

import os
import socket
import threading
from dataclasses import dataclass, field
from pathlib import Path

from tests.control.cluster import ControlHost
from tests.fakes.fault_proxy import Direction, FaultProxy, _Link

TICKS = os.sysconf("SC_CLK_TCK")
KILOBYTE = 1024


@dataclass(frozen=True)
class Usage:
    """CPU time in seconds and resident memory in bytes of a process."""

    cpu_seconds: float
    resident_bytes: int


def usage_of(host: ControlHost) -> Usage:
    """Return the usage of the host's process since its start."""
    assert host.process is not None
    folder = Path(f"/proc/{host.process.pid}")
    fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
    status = (folder / "status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    cpu_ticks = int(fields[11]) + int(fields[12])
    return Usage(cpu_ticks / TICKS, int(resident.split()[1]) * KILOBYTE)


@dataclass
class Traffic:
    """Forwarded bytes and chunks; a heartbeat is one chunk in each direction."""

    bytes_passed: int = 0
    chunks: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)


class CountingProxy(FaultProxy):
    """A proxy without faults that counts the traffic it forwards."""

    def __init__(self, target: str) -> None:
        self.traffic = Traffic()
        super().__init__(target)

    def _send(
        self, link: _Link, direction: Direction, sink: socket.socket, data: bytes
    ) -> bool:
        with self.traffic.lock:
            self.traffic.bytes_passed += len(data)
            self.traffic.chunks += 1
        return super()._send(link, direction, sink, data)
