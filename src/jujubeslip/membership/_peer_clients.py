"""Clients for calls to entry hosts, one for each peer address."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any, TypeVar

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import EntryPeer, PeerClient, PeerIdentity

T = TypeVar("T")


class PeerClients:
    """Creates and caches a client for each peer address."""

    def __init__(self, identity: PeerIdentity) -> None:
        self.identity = identity
        self._client_by_address: dict[str, PeerClient] = {}
        self._lock = threading.Lock()
        self._on_unavailable: Callable[[str], None] = lambda address: None

    def report_unavailable_to(self, report: Callable[[str], None]) -> None:
        """Call `report` with the peer's address whenever a call gets no answer."""
        self._on_unavailable = report

    def get(self, address: str) -> PeerClient:
        """Return the client for this peer address."""
        with self._lock:
            client = self._client_by_address.get(address)
            if client is None:
                client = _ReportingClient(address, self)
                self._client_by_address[address] = client
            return client

    def notify_unavailable(self, address: str) -> None:
        """Report a peer that answered on neither a pooled nor a fresh connection."""
        self._on_unavailable(address)


class _ReportingClient(PeerClient):
    """A client that reports each call without an answer, not only failed probes.

    So the first request that needs a host detects that it is unreachable, even if its
    probes succeed or this host doesn't probe it.
    """

    def __init__(self, address: str, clients: PeerClients) -> None:
        super().__init__(EntryPeer.Client, address, clients.identity)
        self._clients = clients

    def call(self, operation: Callable[[Any], T], timeout: float) -> T:
        try:
            return super().call(operation, timeout)
        except PeerUnavailableError:
            self._clients.notify_unavailable(self.address)
            raise
