"""Copies of keys to the hosts that keep them after the entry hosts have changed."""

from __future__ import annotations

import logging

from jujubeslip.kernel import PeerUnavailableError, Process
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import HostState, PeerRefusal
from jujubeslip.requests._key_keeper import KeyKeeper, KeyRecord

logger = logging.getLogger(__name__)

# Hosts that keep a key. A claim holds with more than half of them, so that one may be
# lost, and two claims of one key meet at one of them at least.
KEEPERS = 3
LOOK_INTERVAL = 0.25
COPY_TIMEOUT = 0.8


class KeyCopies:
    """Hands what this host knows of keys to their present keepers.

    Hosts come and go, one after the other in a planned restart of all, and with
    them the keepers of a key. If nothing was copied, the first keepers would
    be gone after some changes, and a resend of the key would run a second time.
    """

    def __init__(
        self, directory: HostDirectory, clients: PeerClients, keeper: KeyKeeper
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._keeper = keeper
        self._copied_to: frozenset[tuple[str, int]] = frozenset()

    def start(self, process: Process) -> None:
        """Look for changes of the entry hosts until the process stops."""
        process.repeat(LOOK_INTERVAL, self.step)

    def step(self) -> None:
        """Copy every key if the entry hosts have changed since the last time."""
        hosts = frozenset(
            (state.host_id, state.incarnation) for state in self._directory.live_hosts()
        )
        if hosts == self._copied_to:
            return
        copied = [self._copy(record) for record in self._keeper.records()]
        if not all(copied):
            return
        self._copied_to = hosts
        extra = {"keys": len(copied), "hosts": sorted(host for host, _ in hosts)}
        logger.info("keys copied", extra=extra)

    def _copy(self, record: KeyRecord) -> bool:
        """Copy one key to its keepers; say whether each of them has it."""
        claim = record.claim
        keepers = self._directory.keepers_of(f"{claim.client}/{claim.key}", KEEPERS)
        own = self._directory.own.host_id
        others = [keeper for keeper in keepers if keeper.host_id != own]
        return all([self._send(record, keeper) for keeper in others])

    def _send(self, record: KeyRecord, keeper: HostState) -> bool:
        client = self._clients.get(keeper.address)
        claim, outcome = record.claim, record.outcome
        try:
            if outcome is None:
                client.call(lambda peer: peer.claim_key(claim), COPY_TIMEOUT)
            else:
                client.call(lambda peer: peer.finish_key(claim, outcome), COPY_TIMEOUT)
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"peer": keeper.host_id, "error": str(error)}
            logger.info("key not copied", extra=extra)
            return False
        return True
