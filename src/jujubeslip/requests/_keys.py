"""Claims of idempotency keys: in memory at a quorum, or durable in control."""

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
from jujubeslip.requests._key_copies import KEEPERS
from jujubeslip.requests._key_keeper import KeyKeeper

logger = logging.getLogger(__name__)

KEEPER_TIMEOUT = 0.8
DURABLE_TIMEOUT = 3.0
# How long what could not be recorded is sent again, in seconds.
RECORD_AGAIN_FOR = 120.0
RECORD_PAUSE = 0.5
RETRY_SECONDS = 1.0


class Keys(Protocol):
    """Where a key is claimed; the first claim runs, the others get its answer."""

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Return FIRST to the one that may run, else what is known of the run."""

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the whole answer."""

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key when the run ended with `ran` NO or its caller went away."""


class KeeperKeys:
    """Keys of repeatable requests, at the hosts that rendezvous hashing names.

    A claim holds once a majority of the key's keepers took it: hosts whose views differ
    for a moment, as after the loss of all open connections, still meet at one keeper.
    With one keeper alone, a resend that reached another host would run again beside
    the first run.

    A host that hears none of the others, for a moment or beyond a cut, would be the
    only keeper of every key by its own view. It refuses requests with a key, truthfully
    as not run; those without one it serves.
    """

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        keeper: KeyKeeper,
        process: Process,
        has_peers: bool,
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._keeper = keeper
        self._process = process
        self._has_peers = has_peers
        self._keepers_by_request_id: dict[str, list[HostState]] = {}

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Claim at a quorum of keepers; what any of them knows of a run counts."""
        if self._has_peers and not self._directory.hears_others:
            raise _host_alone()
        keepers = self._keepers(claim)
        reply = self._claim_at_quorum(claim, keepers)
        if reply.status == KeyStatus.FIRST:
            self._keepers_by_request_id[claim.request_id] = keepers
        return reply

    def _claim_at_quorum(self, claim: KeyClaim, keepers: list[HostState]) -> KeyReply:
        taken_at: list[HostState] = []
        for keeper in keepers:
            try:
                reply = self._claim_at(keeper, claim)
            except (PeerUnavailableError, PeerRefusal) as error:
                extra = {
                    "request_id": claim.request_id,
                    "peer": keeper.host_id,
                    "error": str(error),
                }
                logger.info("key not claimed at keeper", extra=extra)
                continue
            if reply.status != KeyStatus.FIRST:
                self._abandon_at_all(taken_at, claim)
                return reply
            taken_at.append(keeper)
            if len(taken_at) == self._quorum(keepers):
                return reply
        # Also where no answer came: the claim may be known there, and would block the
        # key. The caller doesn't wait for hosts that may be silent.
        self._process.start_task(self._abandon_at_all, keepers, claim)
        raise _keepers_unavailable()

    def _quorum(self, keepers: list[HostState]) -> int:
        """Return how many keepers have to take a claim: a majority, and never one.

        A host that has others, and knows of none that lives, may just have missed them.
        """
        majority = len(keepers) // 2 + 1
        return max(majority, 2) if self._has_peers else majority

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the answer at each keeper that can be reached."""
        for keeper in self._keepers_of_run(claim):
            try:
                self._finish_at(keeper, claim, outcome)
            except (PeerUnavailableError, PeerRefusal):
                continue

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key at each keeper that can be reached."""
        self._abandon_at_all(self._keepers_of_run(claim), claim)

    def _abandon_at_all(self, keepers: list[HostState], claim: KeyClaim) -> None:
        for keeper in keepers:
            self._abandon_at(keeper, claim)

    def _keepers_of_run(self, claim: KeyClaim) -> list[HostState]:
        """Return the hosts that took the claim, and those that keep it by now.

        This host may have lost sight of the others for a moment. If it told only
        those that it sees, the first keepers would hear nothing of the answer.
        """
        claimed = self._keepers_by_request_id.pop(claim.request_id, [])
        by_id = {keeper.host_id: keeper for keeper in claimed + self._keepers(claim)}
        return list(by_id.values())

    def _keepers(self, claim: KeyClaim) -> list[HostState]:
        key = f"{claim.client}/{claim.key}"
        return self._directory.keepers_of(key, KEEPERS)

    def _is_own(self, keeper: HostState) -> bool:
        return bool(keeper.host_id == self._directory.own.host_id)

    def _claim_at(self, keeper: HostState, claim: KeyClaim) -> KeyReply:
        if self._is_own(keeper):
            return self._keeper.claim(claim)
        reply: KeyReply = self._clients.get(keeper.address).call(
            lambda peer: peer.claim_key(claim), KEEPER_TIMEOUT
        )
        return reply

    def _finish_at(self, keeper: HostState, claim: KeyClaim, outcome: bytes) -> None:
        if self._is_own(keeper):
            self._keeper.finish(claim, outcome)
            return
        self._clients.get(keeper.address).call(
            lambda peer: peer.finish_key(claim, outcome), KEEPER_TIMEOUT
        )

    def _abandon_at(self, keeper: HostState, claim: KeyClaim) -> None:
        if self._is_own(keeper):
            self._keeper.abandon(claim)
            return
        try:
            self._clients.get(keeper.address).call(
                lambda peer: peer.abandon_key(claim), KEEPER_TIMEOUT
            )
        except (PeerUnavailableError, PeerRefusal):
            return


class ControlKeys:
    """Keys of requests that are not repeatable, committed by a quorum and synced.

    A claim is freed only when its request surely did not run: running it again is
    worse than not answering.
    """

    def __init__(self, control: ControlClient, process: Process) -> None:
        self._control = control
        self._process = process

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Claim the key durably, or refuse with `ran` NO."""
        try:
            return self._control.claim_key(claim, Deadline.after(DURABLE_TIMEOUT))
        except (PeerUnavailableError, PeerRefusal) as error:
            # The claim may be recorded all the same, and would block the key.
            self.abandon(claim)
            raise RequestRefusedError(
                "claim_unavailable",
                "The request was not started: no quorum can record it.",
                ran=Ran.NO,
                retry_after=RETRY_SECONDS,
            ) from error

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the answer durably; if control can't be reached, as soon as it can."""

        def record() -> None:
            deadline = Deadline.after(DURABLE_TIMEOUT)
            self._control.finish_key(claim, outcome, deadline)

        if not _try(record):
            self._process.start_task(self._record_again, record)

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key, for a request that surely did not run.

        While control can't be reached the claim stays, and a resend hears `ran`
        UNKNOWN. No caller waits for it.
        """

        def free() -> None:
            self._control.abandon_key(claim, Deadline.after(DURABLE_TIMEOUT))

        self._process.start_task(self._record_again, free)

    def _record_again(self, operation: Callable[[], None]) -> None:
        until = Deadline.after(RECORD_AGAIN_FOR)
        while not _try(operation) and not until.expired:
            if self._process.stopped.wait(RECORD_PAUSE):
                return


def _host_alone() -> RequestRefusedError:
    return RequestRefusedError(
        "key_unavailable",
        "The request was not started: this entry host hears none of the others, so it "
        "can't know whether a request with this key runs.",
        ran=Ran.NO,
        retry_after=RETRY_SECONDS,
        remedy="Ask another entry host, or send the request without a key.",
    )


def _keepers_unavailable() -> RequestRefusedError:
    return RequestRefusedError(
        "key_unavailable",
        "The request was not started: too few keepers of its key answer.",
        ran=Ran.NO,
        retry_after=RETRY_SECONDS,
    )


def _try(operation: Callable[[], None]) -> bool:
    try:
        operation()
    except (PeerUnavailableError, PeerRefusal):
        return False
    return True
