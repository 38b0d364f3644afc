"""How soon a peer is reached whose machine drops the first packet."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator

import pytest

from jujubeslip.peers import PeerClient, PeerIdentity

IDENTITY = PeerIdentity("test", 1, "secret-of-tests")


class Peer:
    """Stands in for the calls of a peer; the connection alone is of interest."""

    def __init__(self, protocol: object) -> None:
        self.greeted = 0

    def hello(self, identity: PeerIdentity) -> None:
        self.greeted += 1


class TestPeerWhoseQueueIsFull:
    """All hosts lose power, and entry hosts are back 0.4 s before control hosts.

    Their first packets met machines without power. The system sent them again after a
    second, so that entry hosts had a configuration at 43.47 s although the control
    hosts served from 42.7 s on, and what came meanwhile was late.
    """

    @pytest.fixture
    def listener(self) -> Iterator[socket.socket]:
        """Return a listener that drops what opens further connections."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            held = [socket.socket() for _ in range(4)]
            for connection in held:
                connection.setblocking(False)
                connection.connect_ex(listener.getsockname())
            time.sleep(0.05)
            yield listener
            for connection in held:
                connection.close()

    def test_is_reached_as_soon_as_it_takes_connections(
        self, listener: socket.socket
    ) -> None:
        host, port = listener.getsockname()
        client = PeerClient(Peer, f"{host}:{port}", IDENTITY)
        stopped = threading.Event()
        kept = []

        def accept() -> None:
            stopped.wait(0.3)
            listener.settimeout(0.05)
            while not stopped.is_set():
                try:
                    kept.append(listener.accept()[0])
                except TimeoutError:
                    continue

        taking = threading.Thread(target=accept)
        taking.start()
        began = time.monotonic()
        greeted = client.call(lambda peer: peer.greeted, timeout=3.0)
        taken = time.monotonic() - began
        stopped.set()
        taking.join()
        for connection in kept:
            connection.close()
        client.close()
        assert greeted == 1
        assert 0.25 < taken < 0.9
