"""Exchange of host states with a few peers at a time."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from jujubeslip.kernel import PeerUnavailableError, Process
from jujubeslip.membership._directory import HostDirectory
from jujubeslip.membership._peers import PeerClients
from jujubeslip.peers import GossipMessage, HostStatus, PeerRefusal

logger = logging.getLogger(__name__)

INTERVAL = 0.25
FANOUT = 2
CALL_TIMEOUT = 0.6


class Gossip:
    """Sends this host's view to random peers and merges what they answer."""

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        seeds: tuple[str, ...],
        configuration_revision: Callable[[], int],
        on_newer_configuration: Callable[[str], None],
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._seeds = seeds
        self._configuration_revision = configuration_revision
        self._on_newer_configuration = on_newer_configuration
        self._random = random.Random()

    def start(self, process: Process) -> None:
        """Start one task for each peer that is spoken to at a time."""
        process.repeat(INTERVAL, self._beat)
        for _ in range(FANOUT):
            process.repeat(INTERVAL, self.exchange_with_random_peer)

    def message(self) -> GossipMessage:
        """Return this host's view as a message."""
        return GossipMessage(
            self._directory.own.host_id,
            self._directory.message_states(),
            self._configuration_revision(),
        )

    def receive(self, message: GossipMessage) -> GossipMessage:
        """Merge a peer's view and return this host's own."""
        self._directory.merge(message.hosts)
        return self.message()

    def exchange_with_random_peer(self) -> None:
        """Exchange views with one peer; one that doesn't answer is passed over."""
        addresses = self._peer_addresses()
        if not addresses:
            return
        address = self._random.choice(addresses)
        message = self.message()
        try:
            reply = self._clients.get(address).call(
                lambda client: client.gossip(message), CALL_TIMEOUT
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            logger.debug("gossip failed", extra={"peer": address, "error": str(error)})
            return
        self._directory.merge(reply.hosts)
        if reply.configuration_revision > self._configuration_revision():
            self._on_newer_configuration(address)

    def _beat(self) -> None:
        self._directory.beat(self._configuration_revision())

    def _peer_addresses(self) -> list[str]:
        own = self._directory.own.address
        known = {
            state.address
            for state in self._directory.states()
            if state.status != HostStatus.DEAD
        }
        # Seeds stay in the draw, so that a healed partition is always found.
        return sorted((known | set(self._seeds)) - {own})
