"""Claims of idempotency keys: in memory at a quorum of hosts, or durable in control."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from jujubeslip.control import ControlClient
from jujubeslip.kernel import (
    Deadline,
    PeerUnavailableError,
    Process,
    Ran,
    RequestRefusedError,
)
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import HostState, KeyClaim, KeyReply, KeyStatus, PeerRefusal
from jujubeslip.requests._key_replicator import KEY_OWNERS
from jujubeslip.requests._key_table import KeyTable

logger = logging.getLogger(__name__)

KEY_OWNER_TIMEOUT_SECONDS = 0.8
DURABLE_TIMEOUT_SECONDS = 3.0
# How long a record that control didn't acknowledge is resent, in seconds.
RECORD_RETRY_SECONDS = 120.0
RECORD_RETRY_PAUSE_SECONDS = 0.5
RETRY_SECONDS = 1.0


class Keys(Protocol):
    """Stores claims of keys; the first claim runs, the others get its answer."""

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Return FIRST if the claim may run, else the state of the run."""

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the complete answer."""

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key if the run ended with `ran` NO or its client disconnected."""


class InMemoryKeys:
    """Keys of repeatable requests, in memory at owners chosen by rendezvous hashing.

    A claim is valid once a majority of the key's owners has accepted it. Hosts whose
    views of the membership differ for a moment, for example after all open connections
    were lost, still have one owner in common. With a single owner, a resend that
    reached another host would run concurrently with the first run.

    A host that can't reach any other host, briefly or in a network partition, would
    consider itself the only owner of every key. It refuses requests with a key as not
    run, and serves requests without one.
    """

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        key_table: KeyTable,
        process: Process,
        has_peers: bool,
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._key_table = key_table
        self._process = process
        self._has_peers = has_peers
        self._key_owners_by_request_id: dict[str, list[HostState]] = {}

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Claim at a quorum of owners; a run known to any of them wins."""
        if self._has_peers and not self._directory.has_valid_view:
            raise _no_host_reachable()
        key_owners = self._key_owners_of(claim)
        reply = self._claim_at_quorum(claim, key_owners)
        if reply.status == KeyStatus.FIRST:
            self._key_owners_by_request_id[claim.request_id] = key_owners
        return reply

    def _claim_at_quorum(
        self, claim: KeyClaim, key_owners: list[HostState]
    ) -> KeyReply:
        accepted_by: list[HostState] = []
        for key_owner in key_owners:
            try:
                reply = self._claim_at(key_owner, claim)
            except (PeerUnavailableError, PeerRefusal) as error:
                extra = {
                    "request_id": claim.request_id,
                    "peer": key_owner.host_id,
                    "error": str(error),
                }
                logger.info("idempotency key not claimed at its owner", extra=extra)
                continue
            if reply.status != KeyStatus.FIRST:
                self._abandon_at_all(accepted_by, claim)
                return reply
            accepted_by.append(key_owner)
            if len(accepted_by) == self._quorum(key_owners):
                return reply
        # The claim is freed at all owners, also at those that did not reply: they may
        # have recorded it, which would block the key. The caller doesn't wait for this,
        # since hosts may be unresponsive.
        self._process.start_task(self._abandon_at_all, key_owners, claim)
        raise _key_owners_unavailable()

    def _quorum(self, key_owners: list[HostState]) -> int:
        """Return how many owners have to accept a claim.

        It is a majority, and at least two in a system with several entry hosts: a host
        that sees no other live host may only have lost contact with them.
        """
        majority = len(key_owners) // 2 + 1
        return max(majority, 2) if self._has_peers else majority

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the answer at each owner that can be reached."""
        for key_owner in self._key_owners_of_run(claim):
            try:
                self._finish_at(key_owner, claim, outcome)
            except (PeerUnavailableError, PeerRefusal):
                continue

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key at each owner that can be reached."""
        self._abandon_at_all(self._key_owners_of_run(claim), claim)

    def _abandon_at_all(self, key_owners: list[HostState], claim: KeyClaim) -> None:
        for key_owner in key_owners:
            self._abandon_at(key_owner, claim)

    def _key_owners_of_run(self, claim: KeyClaim) -> list[HostState]:
        """Return the key's owners at the time of the claim and its current owners.

        This host may have lost contact with the others for a moment. If it notified
        only the owners in its current view, the owners that accepted the claim would
        not get the answer.
        """
        claimed = self._key_owners_by_request_id.pop(claim.request_id, [])
        by_id = {
            key_owner.host_id: key_owner
            for key_owner in claimed + self._key_owners_of(claim)
        }
        return list(by_id.values())

    def _key_owners_of(self, claim: KeyClaim) -> list[HostState]:
        key = f"{claim.client}/{claim.key}"
        return self._directory.key_owners_of(key, KEY_OWNERS)

    def _is_own(self, key_owner: HostState) -> bool:
        return bool(key_owner.host_id == self._directory.own.host_id)

    def _claim_at(self, key_owner: HostState, claim: KeyClaim) -> KeyReply:
        if self._is_own(key_owner):
            return self._key_table.claim(claim)
        reply: KeyReply = self._clients.get(key_owner.address).call(
            lambda peer: peer.claim_key(claim), KEY_OWNER_TIMEOUT_SECONDS
        )
        return reply

    def _finish_at(self, key_owner: HostState, claim: KeyClaim, outcome: bytes) -> None:
        if self._is_own(key_owner):
            self._key_table.finish(claim, outcome)
            return
        self._clients.get(key_owner.address).call(
            lambda peer: peer.finish_key(claim, outcome), KEY_OWNER_TIMEOUT_SECONDS
        )

    def _abandon_at(self, key_owner: HostState, claim: KeyClaim) -> None:
        if self._is_own(key_owner):
            self._key_table.abandon(claim)
            return
        try:
            self._clients.get(key_owner.address).call(
                lambda peer: peer.abandon_key(claim), KEY_OWNER_TIMEOUT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal):
            return


class DurableKeys:
    """Keys of non-repeatable requests, committed and synced by a control quorum.

    A claim is freed only if its request certainly did not run: running it twice is
    worse than not answering.
    """

    def __init__(self, control: ControlClient, process: Process) -> None:
        self._control = control
        self._process = process

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Claim the key durably, or refuse with `ran` NO."""
        try:
            return self._control.claim_key(
                claim, Deadline.after(DURABLE_TIMEOUT_SECONDS)
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            # The claim may have been recorded nevertheless, and would block the key.
            self.abandon(claim)
            raise RequestRefusedError(
                "claim_unavailable",
                "The request was not started: no quorum can record it.",
                ran=Ran.NO,
                retry_after=RETRY_SECONDS,
            ) from error

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the answer durably; retry in the background if control is unreachable.

        Retries end after RECORD_RETRY_SECONDS.
        """

        def record() -> None:
            deadline = Deadline.after(DURABLE_TIMEOUT_SECONDS)
            self._control.finish_key(claim, outcome, deadline)

        if not _try(record):
            self._process.start_task(self._retry, record)

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key of a request that certainly did not run, in the background.

        While control can't be reached, the claim stays and a resend is refused with
        `ran` UNKNOWN.
        """

        def free() -> None:
            self._control.abandon_key(claim, Deadline.after(DURABLE_TIMEOUT_SECONDS))

        self._process.start_task(self._retry, free)

    def _retry(self, operation: Callable[[], None]) -> None:
        until = Deadline.after(RECORD_RETRY_SECONDS)
        while not _try(operation) and not until.expired:
            if self._process.stopped.wait(RECORD_RETRY_PAUSE_SECONDS):
                return


def _no_host_reachable() -> RequestRefusedError:
    return RequestRefusedError(
        "key_unavailable",
        "The request was not started: this entry host can't reach any other one, so it "
        "can't know whether a request with this key is running.",
        ran=Ran.NO,
        retry_after=RETRY_SECONDS,
        remedy="Send the request to another entry host, or without a key.",
    )


def _key_owners_unavailable() -> RequestRefusedError:
    return RequestRefusedError(
        "key_unavailable",
        "The request was not started: too few owners of its key replied.",
        ran=Ran.NO,
        retry_after=RETRY_SECONDS,
    )


def _try(operation: Callable[[], None]) -> bool:
    try:
        operation()
    except (PeerUnavailableError, PeerRefusal):
        return False
    return True
