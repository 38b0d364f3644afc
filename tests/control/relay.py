"""A TCP relay between two replicas that can be cut in each direction, silently."""

from __future__ import annotations

import socket
import threading
from dataclasses import dataclass, field


@dataclass
class _Link:
    """One relayed connection; once it has lost bytes it is never whole again."""

    client: socket.socket
    server: socket.socket
    silenced: bool = False
    lost_bytes: bool = False

    def close(self) -> None:
        for end in (self.client, self.server):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


@dataclass
class _Cuts:
    requests: bool = False
    replies: bool = False


@dataclass
class Relay:
    """Passes bytes on to the target address, unless told to swallow them."""

    target: str
    _cuts: _Cuts = field(default_factory=_Cuts)
    _links: list[_Link] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, *, requests: bool, replies: bool) -> None:
        """Swallow what goes to the target, or what comes back, from now on."""
        with self._lock:
            self._cuts = _Cuts(requests, replies)

    def silence_open_connections(self) -> None:
        """Swallow everything on the connections there are; new ones work."""
        with self._lock:
            for link in self._links:
                link.silenced = True

    def heal(self) -> None:
        """Pass everything on again; connections that lost bytes are closed."""
        with self._lock:
            self._cuts = _Cuts()
            broken = [link for link in self._links if link.lost_bytes]
            self._links = [link for link in self._links if not link.lost_bytes]
        for link in broken:
            link.close()

    def close(self) -> None:
        self._listener.close()
        with self._lock:
            links, self._links = self._links, []
        for link in links:
            link.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            host, port = self.target.rsplit(":", 1)
            try:
                server = socket.create_connection((host, int(port)), 2.0)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            link = _Link(client, server)
            for end in (client, server):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._links.append(link)
            for source, target, name in (
                (client, server, "requests"),
                (server, client, "replies"),
            ):
                threading.Thread(
                    target=self._pump, args=(link, source, target, name), daemon=True
                ).start()

    def _pump(
        self, link: _Link, source: socket.socket, target: socket.socket, name: str
    ) -> None:
        try:
            while data := source.recv(65536):
                with self._lock:
                    lost = link.silenced or getattr(self._cuts, name)
                    link.lost_bytes |= lost
                if not lost:
                    target.sendall(data)
        except OSError:
            pass
        if not link.lost_bytes:
            link.close()
