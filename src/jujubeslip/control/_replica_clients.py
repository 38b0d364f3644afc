"""Connections from this replica to the others."""

from __future__ import annotations

from jujubeslip.kernel import ControlSettings, new_incarnation
from jujubeslip.peers import ControlClients, Member, PeerClient, PeerIdentity


class ReplicaClients:
    """One client for each address; an address in the settings takes precedence.

    A host is reached at the address that this host's settings give for it, or, if they
    don't name it, at the address that it declared when it joined.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._clients = ControlClients(
            PeerIdentity(settings.host_id, new_incarnation(), settings.peer_secret)
        )
        self._address_by_host = {
            peer.host_id: peer.address for peer in settings.replicas
        }

    def to_member(self, member: Member) -> PeerClient:
        """Return the client for a member."""
        address = self._address_by_host.get(member.host_id, member.address)
        return self.to_address(address)

    def to_address(self, address: str) -> PeerClient:
        """Return the client for an address."""
        return self._clients.get(address)

    def other_addresses(self) -> list[str]:
        """Return the peer addresses of the other hosts that the settings name."""
        named = [
            peer.address
            for peer in self._settings.replicas
            if peer.host_id != self._settings.host_id
        ]
        own = self._settings.peer_address
        seeds = [seed for seed in self._settings.seed_addresses if seed != own]
        return [*named, *seeds]
