"""Clients of the entry hosts, one for each peer address."""

from __future__ import annotations

import threading

from jujubeslip.peers import EntryPeer, PeerClient, PeerIdentity


class PeerClients:
    """Opens and keeps a client for each peer address."""

    def __init__(self, identity: PeerIdentity) -> None:
        self.identity = identity
        self._client_by_address: dict[str, PeerClient] = {}
        self._lock = threading.Lock()

    def get(self, address: str) -> PeerClient:
        """Return the client for this peer address."""
        with self._lock:
            client = self._client_by_address.get(address)
            if client is None:
                client = PeerClient(EntryPeer.Client, address, self.identity)
                self._client_by_address[address] = client
            return client
