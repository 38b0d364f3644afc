"""A Thrift server with a task for each connection, which must call hello first."""

from __future__ import annotations

import hmac
import logging
import socket
from collections.abc import Callable
from typing import Any

from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TException
from thrift.transport import TSocket, TTransport

from jujubeslip.kernel import Process
from jujubeslip.peers.gen.ttypes import PeerIdentity, PeerRefusal

logger = logging.getLogger(__name__)

# Seconds until an idle connection is closed; the caller opens a fresh one.
IDLE_SECONDS = 60.0
BACKLOG = 512


class _AuthenticatedHandler:
    """Passes calls to the handler once hello has authenticated the connection."""

    def __init__(self, handler: Any, secret: str) -> None:
        self._handler = handler
        self._secret = secret
        self._identity: PeerIdentity | None = None

    def hello(self, identity: PeerIdentity) -> None:
        given = (identity.secret or "").encode()
        if not hmac.compare_digest(given, self._secret.encode()):
            raise PeerRefusal(
                "peer_not_authorized",
                "The peer secret is invalid.",
                "Give both processes the same peer_secret.",
                0,
            )
        self._identity = identity

    def __getattr__(self, name: str) -> Any:
        if self._identity is None:
            raise PeerRefusal(
                "peer_not_authorized",
                "The connection is not authenticated.",
                "Call hello first on each connection.",
                0,
            )
        return getattr(self._handler, name)


class PeerServer:
    """Listens on an address and serves a handler to peers that present the secret."""

    def __init__(
        self,
        address: str,
        processor_type: Callable[[Any], Any],
        handler: Any,
        secret: str,
        process: Process,
    ) -> None:
        host, port = address.rsplit(":", 1)
        self._listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._processor_type = processor_type
        self._handler = handler
        self._secret = secret
        self._process = process

    def start(self) -> None:
        """Accept connections in a task until `close`."""
        self._process.start_task(self._accept)

    def close(self) -> None:
        """Stop accepting; open connections end with the process."""
        self._listener.close()

    def _accept(self) -> None:
        while not self._process.stopped.is_set():
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            self._process.start_task(self._serve, accepted)

    def _serve(self, accepted: socket.socket) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport_socket = TSocket.TSocket()
        transport_socket.setHandle(accepted)
        transport_socket.setTimeout(int(IDLE_SECONDS * 1000))
        transport = TTransport.TFramedTransport(transport_socket)
        protocol = TBinaryProtocol.TBinaryProtocolAccelerated(transport)
        authenticated_handler = _AuthenticatedHandler(self._handler, self._secret)
        processor = self._processor_type(authenticated_handler)
        try:
            while True:
                processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            return
        finally:
            transport.close()
