"""How soon a peer is reached whose machine drops the first packet."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import PeerClient, PeerIdentity

IDENTITY = PeerIdentity("test", 1, "secret-of-tests")


class Peer:
    """Stands in for the calls of a peer; the connection alone is of interest."""

    def __init__(self, protocol: object) -> None:
        self.greeted = 0

    def hello(self, identity: PeerIdentity) -> None:
        self.greeted += 1


@pytest.fixture
def listener() -> Iterator[socket.socket]:
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


class TestPeerWhoseQueueIsFull:
    """All hosts lose power, and entry hosts are back 0.4 s before control hosts.

    Their first packets met machines without power. The system sent them again after a
    second, so that entry hosts had a configuration at 43.47 s although the control
    hosts served from 42.7 s on, and what came meanwhile was late.
    """

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


class TestPeerThatFallsSilent:
    """A zone is cut off, and its hosts ask a leader beyond its border for grants.

    The pooled connection was silent for 0.45 s, a fresh one was tried for half a second
    more, and streams with a target of 0.9 s asked engines by themselves after 0.95 s.
    """

    TIMEOUT = 0.2

    @pytest.fixture
    def client(self) -> Iterator[PeerClient]:
        """Return a client with a pooled connection to a peer."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(8)
            host, port = listener.getsockname()
            client = PeerClient(Peer, f"{host}:{port}", IDENTITY)
            assert client.call(lambda peer: peer.greeted, self.TIMEOUT) == 1
            yield client
            client.close()

    def tries(self, call: Callable[..., object], error: Exception, wait: float) -> int:
        """Return on how many connections a peer was asked that never answers."""
        tries = []

        def ask(peer: Peer) -> None:
            tries.append(peer)
            time.sleep(wait)
            raise error

        with pytest.raises(PeerUnavailableError):
            call(ask, self.TIMEOUT)
        return len(tries)

    def test_is_asked_once_where_the_time_is_bounded(self, client: PeerClient) -> None:
        tries = self.tries(client.call_within, TimeoutError(), wait=self.TIMEOUT)
        assert tries == 1

    def test_is_asked_again_after_a_reset(self, client: PeerClient) -> None:
        assert self.tries(client.call_within, ConnectionResetError(), wait=0.0) == 2

    def test_is_asked_twice_by_those_who_need_it(self, client: PeerClient) -> None:
        assert self.tries(client.call, TimeoutError(), wait=self.TIMEOUT) == 2

    def test_is_left_in_time_where_it_takes_no_connection(
        self, listener: socket.socket
    ) -> None:
        host, port = listener.getsockname()
        client = PeerClient(Peer, f"{host}:{port}", IDENTITY)
        began = time.monotonic()
        with pytest.raises(PeerUnavailableError):
            client.call_within(lambda peer: peer.greeted, timeout=0.35)
        assert time.monotonic() - began < 0.5
