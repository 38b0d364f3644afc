"""The links of one entry host to the workers, which can be cut without other hosts'."""

from __future__ import annotations

import json
import os
import socket
import threading
from collections.abc import Sequence
from pathlib import Path

from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.platform_system import Host
from tests.fakes.processes import free_address

FILL_SECONDS = 0.1
FILL_CONNECTIONS = 3

CUTS = ("silent", "reset", "new-refused")
"""How links are cut: connections stay silent and new ones are not answered; they are
reset and new ones are refused; or they continue, and new ones are refused."""


class UnansweredAddress:
    """An address that answers no SYN packet, as one beyond a network partition.

    The kernel drops SYN packets while the listener's queue is full.
    """

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._queued = [self._fill() for _ in range(FILL_CONNECTIONS)]

    def _fill(self) -> socket.socket:
        queued = socket.socket()
        queued.settimeout(FILL_SECONDS)
        queued.connect_ex(self._listener.getsockname())
        return queued

    def close(self) -> None:
        """Close all sockets."""
        for sock in (*self._queued, self._listener):
            sock.close()


class EndpointLinks:
    """Links of one entry host, each through a proxy of its own."""

    def __init__(self, host: Host, folder: Path, addresses: Sequence[str] = ()) -> None:
        """Route the host's connections to these addresses from its next start."""
        self._path = folder / f"{host.name}.routes.json"
        self._lock = threading.RLock()
        self._proxy_by_address = {item: FaultProxy(item) for item in addresses}
        self._unanswered = UnansweredAddress()
        self._refusing = free_address()
        self._ended: set[str] = set()
        self._cut_target = ""
        """Where new connections are routed, empty while the links work."""
        self._write()
        host.route_by(self._path)

    def add(self, address: str) -> None:
        """Add a link to an address."""
        with self._lock:
            self._ended.discard(address)
            self._proxy_by_address[address] = FaultProxy(address)
            self._write()

    def end(self, address: str) -> None:
        """Reset connections to an address whose process has ended; refuse new ones."""
        with self._lock:
            proxy = self._proxy_by_address.pop(address, None)
            self._ended.add(address)
            self._write()
        if proxy is not None:
            proxy.stop()

    def cut(self, how: str) -> None:
        """Cut all links in one of the ways of CUTS, until `heal`."""
        is_silent = how == "silent"
        with self._lock:
            self._cut_target = self._unanswered.address if is_silent else self._refusing
            self._write()
            for proxy in self._proxy_by_address.values():
                if is_silent:
                    proxy.cut()
                elif how == "reset":
                    proxy.reset()

    def heal(self) -> None:
        """Restore the links; connections that were silent continue."""
        with self._lock:
            self._cut_target = ""
            for proxy in self._proxy_by_address.values():
                proxy.heal()
            self._write()

    def close(self) -> None:
        """Close all connections."""
        for proxy in self._proxy_by_address.values():
            proxy.stop()
        self._unanswered.close()

    def _write(self) -> None:
        target_by_address = {
            address: self._cut_target or proxy.address
            for address, proxy in self._proxy_by_address.items()
        }
        target_by_address |= dict.fromkeys(
            self._ended, self._cut_target or self._refusing
        )
        written = self._path.with_suffix(".new")
        written.write_text(json.dumps(target_by_address))
        os.replace(written, self._path)
