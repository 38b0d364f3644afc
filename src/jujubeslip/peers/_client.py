"""Clients for calls to peers, with pooled connections and a timeout for each call."""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable
from typing import Any, TypeVar

from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TException
from thrift.transport import TSocket, TTransport

from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers.gen import ControlPeer
from jujubeslip.peers.gen.ttypes import NotLeader, PeerIdentity, PeerRefusal

T = TypeVar("T")

# Thrift logs an error for each failed connection attempt; callers report it themselves.
logging.getLogger("thrift.transport.TSocket").setLevel(logging.CRITICAL)

MAXIMUM_IDLE_CONNECTIONS = 32
# Seconds for one connection attempt before another one starts. The SYN packet is lost
# if the peer's machine is still starting or its accept queue is full, and the operating
# system resends it only after a second.
CONNECT_TIMEOUT_SECONDS = 0.25
# Minimum timeout in seconds for connecting and for a call once connected.
MINIMUM_TIMEOUT_SECONDS = 0.05


class _Connection:
    """One authenticated connection to a peer."""

    def __init__(
        self, client_type: type, address: str, identity: PeerIdentity, timeout: float
    ) -> None:
        host, port = address.rsplit(":", 1)
        self.socket = TSocket.TSocket(host, int(port))
        deadline = Deadline.after(timeout)
        self._transport = TTransport.TFramedTransport(self.socket)
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(self._transport)
        self.client: Any = client_type(protocol)
        try:
            self._open(deadline)
            self.set_timeout(max(MINIMUM_TIMEOUT_SECONDS, deadline.remaining()))
            self.client.hello(identity)
        except BaseException:
            self.close()
            raise

    def _open(self, deadline: Deadline) -> None:
        """Connect, with a new attempt whenever one times out before the deadline."""
        while True:
            remaining = max(MINIMUM_TIMEOUT_SECONDS, deadline.remaining())
            self.set_timeout(min(remaining, CONNECT_TIMEOUT_SECONDS))
            try:
                self._transport.open()
            except TTransport.TTransportException as error:
                if not isinstance(error.inner, TimeoutError) or deadline.expired:
                    raise
            else:
                return

    def set_timeout(self, seconds: float) -> None:
        self.socket.setTimeout(max(1, int(seconds * 1000)))

    def close(self) -> None:
        self._transport.close()


class PeerClient:
    """Calls to one peer address.

    Every call of the system's protocols is idempotent by its ids, so a call that
    fails on a pooled connection is resent over a fresh one. This guards against
    connections whose state a device between the hosts has lost: they go silent
    permanently while new ones work, and calls on them time out. The peer is reported
    as unavailable only if the fresh connection fails too.
    """

    def __init__(self, client_type: type, address: str, identity: PeerIdentity) -> None:
        self.address = address
        self._client_type = client_type
        self._identity = identity
        self._idle: list[_Connection] = []
        self._lock = threading.Lock()

    def call(self, operation: Callable[[Any], T], timeout: float) -> T:
        """Run the operation with a client; `timeout` in seconds bounds each attempt.

        Raises PeerRefusal or NotLeader as the peer sent them, and PeerUnavailableError
        if neither a pooled nor a fresh connection returned an answer.
        """
        pooled = self._take_idle()
        if pooled is not None:
            with contextlib.suppress(PeerUnavailableError):
                return self._call_pooled(pooled, operation, timeout)
        return self._call_fresh(operation, timeout)

    def call_within(
        self, operation: Callable[[Any], T], timeout: float, pooled_share: float = 1.0
    ) -> T:
        """Run the operation with a client; `timeout` in seconds bounds all attempts.

        For callers that have a fallback: if the peer's zone is partitioned, the pooled
        connection is silent, and a fresh one would be too. With `pooled_share` below
        one, a silent pooled connection leaves the rest of the time for a fresh one.
        """
        deadline = Deadline.after(timeout)
        pooled = self._take_idle()
        if pooled is not None:
            try:
                return self._call_pooled(pooled, operation, timeout * pooled_share)
            except PeerUnavailableError:
                if deadline.expired:
                    raise
        return self._call_fresh(operation, deadline.remaining())

    def _call_pooled(
        self, pooled: _Connection, operation: Callable[[Any], T], timeout: float
    ) -> T:
        try:
            return self._call_on(pooled, operation, timeout)
        except (TException, OSError, EOFError) as error:
            if isinstance(error, PeerRefusal | NotLeader):
                raise
            # The other pooled connections are as old and probably silent as well. Each
            # would cost a timeout, and a few in a row make a live host suspected.
            self.close()
            raise self._unavailable(error) from error

    def _call_fresh(self, operation: Callable[[Any], T], timeout: float) -> T:
        deadline = Deadline.after(timeout)
        try:
            fresh = _Connection(
                self._client_type, self.address, self._identity, timeout
            )
            return self._call_on(
                fresh, operation, max(MINIMUM_TIMEOUT_SECONDS, deadline.remaining())
            )
        except (TException, OSError, EOFError) as error:
            if isinstance(error, PeerRefusal | NotLeader):
                raise
            self.close()
            raise self._unavailable(error) from error

    def _unavailable(self, error: Exception) -> PeerUnavailableError:
        return PeerUnavailableError(f"No answer from {self.address}: {error}.")

    def close(self) -> None:
        """Close the pooled connections; later calls open fresh ones."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _call_on(
        self, connection: _Connection, operation: Callable[[Any], T], timeout: float
    ) -> T:
        connection.set_timeout(timeout)
        try:
            result = operation(connection.client)
        except (PeerRefusal, NotLeader):
            self._put_idle(connection)
            raise
        except BaseException:
            # A late answer could still arrive and be read as that of the next call.
            connection.close()
            raise
        self._put_idle(connection)
        return result

    def _take_idle(self) -> _Connection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _put_idle(self, connection: _Connection) -> None:
        with self._lock:
            if len(self._idle) < MAXIMUM_IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()


class ControlClients:
    """Creates and caches a client for each control host; thread-safe."""

    def __init__(self, identity: PeerIdentity) -> None:
        self._identity = identity
        self._client_by_address: dict[str, PeerClient] = {}
        self._lock = threading.Lock()

    def get(self, address: str) -> PeerClient:
        """Return the client for this peer address."""
        with self._lock:
            client = self._client_by_address.get(address)
            if client is None:
                client = PeerClient(ControlPeer.Client, address, self._identity)
                self._client_by_address[address] = client
            return client
