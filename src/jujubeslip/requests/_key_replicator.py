"""Replication of key records to their new owners when the entry hosts change."""

from __future__ import annotations

import logging

from jujubeslip.kernel import PeerUnavailableError, Process
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import HostState, PeerRefusal
from jujubeslip.requests._key_table import KeyRecord, KeyTable

logger = logging.getLogger(__name__)

# How many hosts own a key. A claim needs a majority of them, so that one host may be
# lost and two claims of the same key have at least one owner in common.
KEY_OWNERS = 3
SCAN_INTERVAL_SECONDS = 0.25
COPY_TIMEOUT_SECONDS = 0.8


class KeyReplicator:
    """Copies the key records of this host to the current owners of each key.

    The owners of a key change as entry hosts join and leave, one after the other in a
    rolling restart. Without copies, all original owners would be replaced after some
    changes, and a resend with the key would run a second time.
    """

    def __init__(
        self, directory: HostDirectory, clients: PeerClients, key_table: KeyTable
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._key_table = key_table
        self._copied_to: frozenset[tuple[str, int]] = frozenset()

    def start(self, process: Process) -> None:
        """Check periodically for changed entry hosts until the process stops."""
        process.repeat(SCAN_INTERVAL_SECONDS, self.step)

    def step(self) -> None:
        """Copy every key if the entry hosts have changed since the last full copy."""
        hosts = frozenset(
            (state.host_id, state.incarnation) for state in self._directory.live_hosts()
        )
        if hosts == self._copied_to:
            return
        copied = [self._copy(record) for record in self._key_table.records()]
        if not all(copied):
            return
        self._copied_to = hosts
        extra = {"keys": len(copied), "hosts": sorted(host for host, _ in hosts)}
        logger.info("idempotency keys copied to their owners", extra=extra)

    def _copy(self, record: KeyRecord) -> bool:
        """Copy one key to its owners; return whether each of them has it."""
        claim = record.claim
        key_owners = self._directory.key_owners_of(
            f"{claim.client}/{claim.key}", KEY_OWNERS
        )
        own = self._directory.own.host_id
        others = [key_owner for key_owner in key_owners if key_owner.host_id != own]
        return all([self._send(record, key_owner) for key_owner in others])

    def _send(self, record: KeyRecord, key_owner: HostState) -> bool:
        client = self._clients.get(key_owner.address)
        claim, outcome = record.claim, record.outcome
        try:
            if outcome is None:
                client.call(lambda peer: peer.claim_key(claim), COPY_TIMEOUT_SECONDS)
            else:
                client.call(
                    lambda peer: peer.finish_key(claim, outcome), COPY_TIMEOUT_SECONDS
                )
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"peer": key_owner.host_id, "error": str(error)}
            logger.info("idempotency key not copied to its owner", extra=extra)
            return False
        return True
