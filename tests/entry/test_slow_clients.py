"""Requests that are never completed hold no resources and affect no other client."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import pytest

from tests.entry.support import (
    RECEIVE_MS,
    check_unaffected,
    connect,
    raw_head,
    strict_system,
)
from tests.fakes._sockets import is_readable
from tests.fakes.client import ask
from tests.fakes.cluster import Cluster
from tests.requests.support import SERVICE, assert_complete, model_message

SLOW_CLIENTS = 300
SLOW_BYTE_SECONDS = 1.0


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    with Cluster(strict_system(), tmp_path_factory.mktemp("slow-clients")) as cluster:
        yield cluster


class TestIncompleteRequest:
    """Clients stop in the middle of a request, or hundreds send a byte a second.

    Without a receive timeout each such connection would be held for hours, and no
    thread or connection would be left for others. It is closed after the timeout, and
    no work has been started for it.
    """

    def test_is_dropped_when_the_client_disconnects(self, cluster: Cluster) -> None:
        with connect(cluster) as connection:
            connection.sendall(raw_head(100) + b'{"prompt": "half')
        check_unaffected(cluster)

    def test_is_closed_when_the_client_stalls(self, cluster: Cluster) -> None:
        with connect(cluster) as connection:
            connection.sendall(raw_head(100) + b'{"prompt": "half')
            assert connection.recv(100) == b""
        check_unaffected(cluster)

    def test_hundreds_of_slow_clients_affect_no_other(self, cluster: Cluster) -> None:
        clients = [connect(cluster) for _ in range(SLOW_CLIENTS)]
        started = time.monotonic()
        head = raw_head(100)
        sent = 0
        address = cluster.client_address("entry-1")
        try:
            while clients and time.monotonic() - started < 4 * RECEIVE_MS / 1000:
                clients = self._send_byte(clients, head[sent : sent + 1])
                sent += 1
                next_byte = started + sent * SLOW_BYTE_SECONDS
                while time.monotonic() < next_byte:
                    asked = time.monotonic()
                    assert_complete(ask(address, SERVICE, model_message()))
                    assert time.monotonic() - asked < 1.0
            assert clients == []
        finally:
            for client in clients:
                client.close()
        check_unaffected(cluster)

    def _send_byte(
        self, clients: list[socket.socket], byte: bytes
    ) -> list[socket.socket]:
        """Send a byte on each connection, and return those that are still open."""
        still_open = []
        for client in clients:
            try:
                if is_readable(client, 0) and not client.recv(100):
                    raise ConnectionResetError
                client.sendall(byte)
            except OSError:
                client.close()
                continue
            still_open.append(client)
        return still_open
