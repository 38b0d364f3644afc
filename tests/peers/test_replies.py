"""Replies of peers that are cut off or late."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

import pytest
from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TMessageType
from thrift.transport import TTransport

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import ControlPeer, PeerClient, PeerIdentity

IDENTITY = PeerIdentity("test", 1, "secret-of-tests")
TIMEOUT = 0.2
SECONDS = 5.0


def message(name: str, result: Any) -> bytes:
    buffer = TTransport.TMemoryBuffer()
    protocol = TBinaryProtocol.TBinaryProtocol(buffer)
    protocol.writeMessageBegin(name, TMessageType.REPLY, 0)
    result.write(protocol)
    protocol.writeMessageEnd()
    encoded: bytes = buffer.getvalue()
    return encoded


def frame(payload: bytes) -> bytes:
    return struct.pack("!i", len(payload)) + payload


def version(number: int) -> bytes:
    return message("put_version", ControlPeer.put_version_result(success=number))


Answer = Callable[[socket.socket, int], None]
"""Answers the calls on a connection, whose number is given."""


@contextmanager
def peer(answer: Answer) -> Iterator[PeerClient]:
    """Return a context with a client of a peer that answers by this function."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()

    def serve(connection: socket.socket, number: int) -> None:
        # The client closes connections whose replies are late.
        with connection, suppress(BrokenPipeError):
            if connection.recv(65536):
                hello = message("hello", ControlPeer.hello_result())
                connection.sendall(frame(hello))
                answer(connection, number)

    def accept() -> None:
        number = 0
        while True:
            try:
                accepted = listener.accept()[0]
            except OSError:
                return
            number += 1
            threading.Thread(target=serve, args=(accepted, number), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    client = PeerClient(ControlPeer.Client, f"{host}:{port}", IDENTITY)
    try:
        yield client
    finally:
        client.close()
        # Without the shutdown, the thread would accept one more connection.
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


def put(client: PeerClient, seconds: float = SECONDS) -> int:
    number: int = client.call(lambda peer: peer.put_version(None, 0), seconds)
    return number


class TestReplyThatIsCutOff:
    """Guards against the beginning of a reply that passes for a whole one."""

    @pytest.mark.parametrize("is_framed", [True, False], ids=["reply", "frame"])
    def test_is_none_wherever_it_ends(self, is_framed: bool) -> None:
        payload = version(7)
        whole = payload if is_framed else frame(payload)
        for size in range(len(whole)):
            sent = frame(whole[:size]) if is_framed else whole[:size]

            def answer(connection: socket.socket, _: int, sent: bytes = sent) -> None:
                connection.recv(65536)
                connection.sendall(sent)

            with peer(answer) as client, pytest.raises(PeerUnavailableError):
                put(client)

    def test_is_read_when_it_is_whole(self) -> None:
        def answer(connection: socket.socket, _: int) -> None:
            connection.recv(65536)
            connection.sendall(frame(version(7)))

        with peer(answer) as client:
            assert put(client) == 7


class TestReplyThatComesTooLate:
    """Guards against a reply that is read as that to the next call."""

    def test_is_not_read(self) -> None:
        def answer(connection: socket.socket, number: int) -> None:
            while connection.recv(65536):
                if number == 1:
                    time.sleep(2 * TIMEOUT)
                connection.sendall(frame(version(number)))

        with peer(answer) as client:
            with pytest.raises(PeerUnavailableError):
                put(client, TIMEOUT)
            time.sleep(2 * TIMEOUT)
            assert [put(client) for _ in range(3)] == [2, 2, 2]

    def test_is_not_read_after_a_pooled_connection_was_late(self) -> None:
        def answer(connection: socket.socket, number: int) -> None:
            for calls in range(3):
                connection.recv(65536)
                if number == 1 and calls:
                    time.sleep(2 * TIMEOUT)
                connection.sendall(frame(version(10 * number + calls)))

        with peer(answer) as client:
            assert [put(client, TIMEOUT) for _ in range(3)] == [10, 20, 21]
