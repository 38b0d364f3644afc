"""Time to connect to a peer whose machine drops the first packet, or goes silent."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import PeerClient, PeerIdentity

IDENTITY = PeerIdentity("test", 1, "secret-of-tests")


class FakePeer:
    """A fake Thrift client; only its connection matters."""

    def __init__(self, protocol: object) -> None:
        self.hello_count = 0

    def hello(self, identity: PeerIdentity) -> None:
        self.hello_count += 1


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Return a listener whose full queue drops the SYN packets of new connections."""
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


class TestPeerWithFullQueue:
    """All hosts lose power, and entry hosts return 0.4 s before control hosts.

    The first packets of the entry hosts were lost, and the operating system resent them
    only after a second. So entry hosts had a configuration at 43.47 s although the
    control hosts served from 42.7 s on, and requests in between were late.
    """

    def test_is_reached_as_soon_as_it_accepts_connections(
        self, listener: socket.socket
    ) -> None:
        host, port = listener.getsockname()
        client = PeerClient(FakePeer, f"{host}:{port}", IDENTITY)
        stopped = threading.Event()
        accepted_connections = []

        def accept() -> None:
            stopped.wait(0.3)
            listener.settimeout(0.05)
            while not stopped.is_set():
                try:
                    accepted_connections.append(listener.accept()[0])
                except TimeoutError:
                    continue

        accept_thread = threading.Thread(target=accept)
        accept_thread.start()
        began = time.monotonic()
        hello_count = client.call(lambda peer: peer.hello_count, timeout=3.0)
        connect_seconds = time.monotonic() - began
        stopped.set()
        accept_thread.join()
        for connection in accepted_connections:
            connection.close()
        client.close()
        assert hello_count == 1
        assert 0.25 < connect_seconds < 0.9


class TestSilentPeer:
    """A zone is partitioned, and its hosts ask a leader in another zone for grants.

    The pooled connection was silent for 0.45 s and a fresh one for half a second more,
    so streams with a target of 0.9 s used engines without a grant only after 0.95 s.
    """

    TIMEOUT = 0.2

    @pytest.fixture
    def client(self) -> Iterator[PeerClient]:
        """Return a client with a pooled connection to a peer."""
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(8)
            host, port = listener.getsockname()
            client = PeerClient(FakePeer, f"{host}:{port}", IDENTITY)
            assert client.call(lambda peer: peer.hello_count, self.TIMEOUT) == 1
            yield client
            client.close()

    def attempts(
        self, call: Callable[..., object], error: Exception, wait: float
    ) -> int:
        """Return on how many connections a peer that never answers was called."""
        attempts = []

        def ask(peer: FakePeer) -> None:
            attempts.append(peer)
            time.sleep(wait)
            raise error

        with pytest.raises(PeerUnavailableError):
            call(ask, self.TIMEOUT)
        return len(attempts)

    def test_is_called_once_within_a_total_timeout(self, client: PeerClient) -> None:
        attempts = self.attempts(client.call_within, TimeoutError(), wait=self.TIMEOUT)
        assert attempts == 1

    def test_is_called_again_after_a_reset(self, client: PeerClient) -> None:
        assert self.attempts(client.call_within, ConnectionResetError(), wait=0.0) == 2

    def test_is_called_twice_with_a_timeout_for_each_attempt(
        self, client: PeerClient
    ) -> None:
        assert self.attempts(client.call, TimeoutError(), wait=self.TIMEOUT) == 2

    def test_times_out_if_it_accepts_no_connection(
        self, listener: socket.socket
    ) -> None:
        host, port = listener.getsockname()
        client = PeerClient(FakePeer, f"{host}:{port}", IDENTITY)
        began = time.monotonic()
        with pytest.raises(PeerUnavailableError):
            client.call_within(lambda peer: peer.hello_count, timeout=0.35)
        assert time.monotonic() - began < 0.5
