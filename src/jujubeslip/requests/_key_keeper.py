"""The keeper of idempotency keys: what runs and what ended, by client and key."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from jujubeslip.kernel import Deadline
from jujubeslip.membership import HostDirectory
from jujubeslip.peers import HostStatus, KeyClaim, KeyReply, KeyStatus

# An outcome is kept for resends for this long, in seconds.
OUTCOME_LIFETIME = 600.0
MAXIMUM_ENTRIES = 20_000


@dataclass(frozen=True)
class KeyRecord:
    """What is known of one key; `outcome` is None while its run goes on."""

    claim: KeyClaim
    outcome: bytes | None
    kept_until: Deadline


class KeyKeeper:
    """Decides, with the other keepers of a key, who runs it first."""

    def __init__(self, directory: HostDirectory) -> None:
        self._directory = directory
        self._entry_by_key: dict[tuple[str, str], KeyRecord] = {}
        self._lock = threading.Lock()

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Return FIRST to the one that may run, else what is known of the run."""
        key = (claim.client, claim.key)
        with self._lock:
            entry = self._entry_by_key.get(key)
            if entry is None or entry.kept_until.expired or self._is_orphan(entry):
                self._store(key, KeyRecord(claim, None, _keep()))
                return KeyReply(KeyStatus.FIRST, claim.request_id, claim.owner)
            return _reply(entry, claim)

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the whole answer of the run that holds the key."""
        key = (claim.client, claim.key)
        with self._lock:
            entry = self._entry_by_key.get(key)
            if entry is not None and not _same_run(entry.claim, claim):
                return
            self._store(key, KeyRecord(claim, outcome, _keep()))

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key: its run ended without an answer that anybody got."""
        key = (claim.client, claim.key)
        with self._lock:
            entry = self._entry_by_key.get(key)
            if entry and entry.outcome is None and _same_run(entry.claim, claim):
                del self._entry_by_key[key]

    def records(self) -> list[KeyRecord]:
        """Return all that is known and not too old, to be copied."""
        with self._lock:
            entries = list(self._entry_by_key.values())
        return [entry for entry in entries if not entry.kept_until.expired]

    def _is_orphan(self, entry: KeyRecord) -> bool:
        """Say whether the run's entry process died before the run ended.

        Its client's connection died with it, so nobody got the answer and a resend
        may run.
        """
        if entry.outcome is not None:
            return False
        host_id, _, incarnation = entry.claim.owner.rpartition("/")
        status = self._directory.status_of(host_id, int(incarnation))
        return status == HostStatus.DEAD

    def _store(self, key: tuple[str, str], entry: KeyRecord) -> None:
        self._entry_by_key.pop(key, None)
        self._entry_by_key[key] = entry
        while len(self._entry_by_key) > MAXIMUM_ENTRIES:
            self._entry_by_key.pop(next(iter(self._entry_by_key)))


def _keep() -> Deadline:
    return Deadline.after(OUTCOME_LIFETIME)


def _same_run(one: KeyClaim, other: KeyClaim) -> bool:
    return bool((one.request_id, one.owner) == (other.request_id, other.owner))


def _reply(entry: KeyRecord, claim: KeyClaim) -> KeyReply:
    known = entry.claim
    if known.fingerprint != claim.fingerprint:
        return KeyReply(KeyStatus.CONFLICT, known.request_id, known.owner)
    if entry.outcome is not None:
        return KeyReply(
            KeyStatus.FINISHED, known.request_id, known.owner, entry.outcome
        )
    if _same_run(known, claim):
        return KeyReply(KeyStatus.FIRST, known.request_id, known.owner)
    return KeyReply(KeyStatus.RUNNING, known.request_id, known.owner)
