"""Records of idempotency keys at one of their owners, by client account and key.

The owners of a key are the entry hosts that store its record. The `owner` of a claim is
something else: the entry process that runs the request.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass

from jujubeslip.kernel import Deadline
from jujubeslip.membership import HostDirectory
from jujubeslip.peers import HostStatus, KeyClaim, KeyReply, KeyStatus

# How long a record is kept for resends, in seconds.
OUTCOME_LIFETIME_SECONDS = 600.0
MAXIMUM_ENTRIES = 20_000


@dataclass(frozen=True)
class KeyRecord:
    """The state of one key; `outcome` is None while its run is in progress."""

    claim: KeyClaim
    outcome: bytes | None
    expires_at: Deadline


class KeyTable:
    """Decides, together with the other owners of a key, which claim may run."""

    def __init__(self, directory: HostDirectory) -> None:
        self._directory = directory
        self._record_by_key: dict[tuple[str, str], KeyRecord] = {}
        self._lock = threading.Lock()

    def claim(self, claim: KeyClaim) -> KeyReply:
        """Return FIRST if the claim may run, else the state of the known run."""
        key = (claim.client, claim.key)
        with self._lock:
            record = self._record_by_key.get(key)
            if record is None or record.expires_at.expired or self._is_orphan(record):
                self._store(key, KeyRecord(claim, None, _new_expiry()))
                return KeyReply(KeyStatus.FIRST, claim.request_id, claim.owner)
            return _reply(record, claim)

    def finish(self, claim: KeyClaim, outcome: bytes) -> None:
        """Record the complete answer of the run that holds the key."""
        key = (claim.client, claim.key)
        with self._lock:
            record = self._record_by_key.get(key)
            if record is not None and not _same_run(record.claim, claim):
                return
            self._store(key, KeyRecord(claim, outcome, _new_expiry()))

    def abandon(self, claim: KeyClaim) -> None:
        """Free the key, as its run ended without an answer that a client received."""
        key = (claim.client, claim.key)
        with self._lock:
            record = self._record_by_key.get(key)
            if record and record.outcome is None and _same_run(record.claim, claim):
                del self._record_by_key[key]

    def records(self) -> list[KeyRecord]:
        """Return the records that have not expired, to be copied."""
        with self._lock:
            records = list(self._record_by_key.values())
        return [record for record in records if not record.expires_at.expired]

    def _is_orphan(self, record: KeyRecord) -> bool:
        """Return whether the run's entry process died before the run ended.

        The client's connection was lost with it, so no client received the answer and
        a resend may run.
        """
        if record.outcome is not None:
            return False
        host_id, _, incarnation = record.claim.owner.rpartition("/")
        status = self._directory.status_of(host_id, int(incarnation))
        return status == HostStatus.DEAD

    def _store(self, key: tuple[str, str], record: KeyRecord) -> None:
        self._record_by_key.pop(key, None)
        self._record_by_key[key] = record
        while len(self._record_by_key) > MAXIMUM_ENTRIES:
            self._record_by_key.pop(next(iter(self._record_by_key)))


def _new_expiry() -> Deadline:
    return Deadline.after(OUTCOME_LIFETIME_SECONDS)


def _same_run(one: KeyClaim, other: KeyClaim) -> bool:
    return bool((one.request_id, one.owner) == (other.request_id, other.owner))


def _reply(record: KeyRecord, claim: KeyClaim) -> KeyReply:
    known = record.claim
    if known.fingerprint != claim.fingerprint:
        return KeyReply(KeyStatus.CONFLICT, known.request_id, known.owner)
    if record.outcome is not None:
        return KeyReply(
            KeyStatus.FINISHED, known.request_id, known.owner, record.outcome
        )
    if _same_run(known, claim):
        return KeyReply(KeyStatus.FIRST, known.request_id, known.owner)
    return KeyReply(KeyStatus.RUNNING, known.request_id, known.owner)
