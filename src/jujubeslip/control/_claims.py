"""Claims of (client, key), which decide who runs a request that runs at most once."""

from __future__ import annotations

import hashlib
import struct
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

from jujubeslip.peers import (
    AbandonCommand,
    ClaimRecord,
    FinishCommand,
    KeyClaim,
    KeyReply,
    KeyStatus,
)

# How long a claim is kept, in milliseconds of log time; a later resend runs again.
CLAIM_RETENTION_MS = 24 * 3600 * 1000
# New claims beyond this number are refused, since dropping old ones could let a request
# run twice.
MAXIMUM_CLAIMS = 50_000
# Longer outcomes, and the oldest beyond the total, are dropped; their claims are kept.
MAXIMUM_OUTCOME_BYTES = 64 * 1024
MAXIMUM_TOTAL_OUTCOME_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 16
REMOVAL_INTERVAL_MS = 60_000


@dataclass(frozen=True)
class ClaimsFull:
    """The reply to a claim that the full table can't take before `retry_after_ms`."""

    retry_after_ms: int


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim and, once finished, its outcome; `stamp_ms` is log time.

    `outcome_number` orders the outcomes that are kept; 0 means none is.
    """

    request_id: str
    owner: str
    fingerprint: bytes
    stamp_ms: int
    finished: bool = False
    outcome: bytes | None = None
    outcome_number: int = 0
    abandoned: bool = False


class _PackedClaims:
    """Claims by digest, each packed into one byte string.

    A claim stored as an object takes about three times the memory, and control hosts
    have little of it.
    """

    # Stamp, outcome number, finished, abandoned, fingerprint, lengths of two texts.
    _HEAD = struct.Struct(f">QQ??{DIGEST_BYTES}sHH")

    def __init__(self) -> None:
        self._packed_by_digest: dict[bytes, bytes] = {}

    def __len__(self) -> int:
        return len(self._packed_by_digest)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._packed_by_digest)

    def get(self, digest: bytes) -> Claim | None:
        """Return the claim, None when there is none."""
        packed = self._packed_by_digest.get(digest)
        return None if packed is None else self._unpack(packed)

    def put(self, digest: bytes, claim: Claim) -> None:
        """Add the claim at the end, or replace it in its place."""
        request_id, owner = claim.request_id.encode(), claim.owner.encode()
        head = self._HEAD.pack(
            claim.stamp_ms,
            claim.outcome_number,
            claim.finished,
            claim.abandoned,
            claim.fingerprint,
            len(request_id),
            len(owner),
        )
        parts = (head, request_id, owner, claim.outcome or b"")
        self._packed_by_digest[digest] = b"".join(parts)

    def pop(self, digest: bytes) -> Claim | None:
        """Remove the claim and return it."""
        packed = self._packed_by_digest.pop(digest, None)
        return None if packed is None else self._unpack(packed)

    def items(self) -> Iterator[tuple[bytes, Claim]]:
        """Return all claims in order, as they were when called."""
        # A copied dict is one block of memory. A list of pairs would be many small
        # blocks, which fragment the memory between the claims that are kept.
        packed_by_digest = self._packed_by_digest.copy()
        return (
            (digest, self._unpack(packed))
            for digest, packed in packed_by_digest.items()
        )

    def _unpack(self, packed: bytes) -> Claim:
        head = self._HEAD.unpack_from(packed)
        stamp_ms, number, finished, abandoned, fingerprint, *lengths = head
        owner_at = self._HEAD.size + lengths[0]
        outcome_at = owner_at + lengths[1]
        return Claim(
            packed[self._HEAD.size : owner_at].decode(),
            packed[owner_at:outcome_at].decode(),
            fingerprint,
            stamp_ms,
            finished,
            packed[outcome_at:] if number else None,
            number,
            abandoned,
        )


class ClaimTable:
    """The claims by a digest of client and key, oldest first."""

    def __init__(self, maximum_claims: int = MAXIMUM_CLAIMS) -> None:
        self._maximum_claims = maximum_claims
        # In order of stamps: a key that is claimed again moves to the end.
        self._claim_by_digest = _PackedClaims()
        self._outcomes_by_number: deque[tuple[int, bytes]] = deque()
        self._outcome_bytes = 0
        self._last_outcome_number = 0

    def __len__(self) -> int:
        return len(self._claim_by_digest)

    def claim(self, claim: KeyClaim, stamp_ms: int) -> KeyReply | ClaimsFull:
        """Give the key to its first claimant; return its state or outcome to others.

        The same request id and owner gets FIRST again while it runs, so that a claim
        can be sent again after a lost reply.
        """
        known = self.find(claim, stamp_ms)
        if known is not None:
            return known
        digest = _digest(claim)
        self._remove(digest)
        if len(self._claim_by_digest) >= self._maximum_claims:
            self._remove_expired(stamp_ms)
        if len(self._claim_by_digest) >= self._maximum_claims:
            return ClaimsFull(self._until_next_expiry(stamp_ms))
        fingerprint = _short_digest(claim.fingerprint)
        self._claim_by_digest.put(
            digest, Claim(claim.request_id, claim.owner, fingerprint, stamp_ms)
        )
        return KeyReply(KeyStatus.FIRST, claim.request_id, claim.owner, None)

    def advance_time(self, from_ms: int, to_ms: int) -> None:
        """Remove the expired claims at each full interval of log time.

        All replicas do so at the same entry, since the removal affects which outcomes
        are dropped.
        """
        if from_ms // REMOVAL_INTERVAL_MS != to_ms // REMOVAL_INTERVAL_MS:
            self._remove_expired(to_ms)

    def find(self, claim: KeyClaim, now_ms: int) -> KeyReply | None:
        """Return the state of the key, None when it may be claimed."""
        found = self._claim_by_digest.get(_digest(claim))
        if found is None or _has_expired(found, now_ms):
            return None
        if found.abandoned and found.request_id != claim.request_id:
            return None
        status = _status(found, claim)
        outcome = found.outcome if status == KeyStatus.FINISHED else None
        return KeyReply(status, found.request_id, found.owner, outcome)

    def abandon(self, command: AbandonCommand) -> None:
        """Release the key for another request; only its holder can do so.

        The claim itself is kept for its request id: a late copy of that claim, from an
        abandoned connection, must not take the key again.
        """
        digest = _digest(command.claim)
        found = self._claim_by_digest.get(digest)
        if found is None or found.finished:
            return
        if found.request_id == command.claim.request_id:
            self._claim_by_digest.put(digest, replace(found, abandoned=True))

    def finish(self, command: FinishCommand) -> None:
        """Record the outcome of the claim's holder; a first outcome is final."""
        digest = _digest(command.claim)
        found = self._claim_by_digest.get(digest)
        if found is None or found.finished:
            return
        if found.request_id != command.claim.request_id:
            return
        finished = replace(found, finished=True)
        self._claim_by_digest.put(digest, finished)
        if command.outcome and len(command.outcome) <= MAXIMUM_OUTCOME_BYTES:
            self._keep_outcome(digest, finished, command.outcome)

    def records(self) -> Iterator[ClaimRecord]:
        """Return the claims, oldest first, as they were when called."""
        claims = self._claim_by_digest.items()
        return (_to_record(digest, claim) for digest, claim in claims)

    def load(self, record: ClaimRecord) -> None:
        """Load a claim from a snapshot, in order."""
        outcome = record.outcome or b""
        claim = Claim(
            record.request_id,
            record.owner,
            record.fingerprint,
            record.stamp_ms,
            record.finished,
            record.outcome,
            record.outcome_number,
            record.abandoned,
        )
        self._claim_by_digest.put(record.digest, claim)
        self._outcome_bytes += len(outcome)
        if outcome:
            self._outcomes_by_number.append((record.outcome_number, record.digest))

    def finish_load(self) -> None:
        """Restore the order of outcomes once a snapshot is loaded."""
        self._outcomes_by_number = deque(sorted(self._outcomes_by_number))
        if self._outcomes_by_number:
            self._last_outcome_number = self._outcomes_by_number[-1][0]

    def _remove_expired(self, now_ms: int) -> None:
        expired = []
        for digest, claim in self._claim_by_digest.items():
            if not _has_expired(claim, now_ms):
                break
            expired.append(digest)
        for digest in expired:
            self._remove(digest)
        self._forget_removed_outcomes()

    def _remove(self, digest: bytes) -> None:
        claim = self._claim_by_digest.pop(digest)
        if claim is not None:
            self._outcome_bytes -= len(claim.outcome or b"")

    def _until_next_expiry(self, now_ms: int) -> int:
        oldest = self._claim_by_digest.get(next(iter(self._claim_by_digest)))
        assert oldest is not None
        return max(1, oldest.stamp_ms + CLAIM_RETENTION_MS - now_ms)

    def _keep_outcome(self, digest: bytes, claim: Claim, outcome: bytes) -> None:
        """Keep the outcome, and drop the oldest ones beyond the total."""
        self._last_outcome_number += 1
        number = self._last_outcome_number
        kept = replace(claim, outcome=outcome, outcome_number=number)
        self._claim_by_digest.put(digest, kept)
        self._outcomes_by_number.append((number, digest))
        self._outcome_bytes += len(outcome)
        while self._outcome_bytes > MAXIMUM_TOTAL_OUTCOME_BYTES:
            self._drop_oldest_outcome()

    def _drop_oldest_outcome(self) -> None:
        number, digest = self._outcomes_by_number.popleft()
        claim = self._claim_by_digest.get(digest)
        if claim is None or claim.outcome_number != number:
            return
        self._outcome_bytes -= len(claim.outcome or b"")
        dropped = replace(claim, outcome=None, outcome_number=0)
        self._claim_by_digest.put(digest, dropped)

    def _forget_removed_outcomes(self) -> None:
        while self._outcomes_by_number:
            number, digest = self._outcomes_by_number[0]
            claim = self._claim_by_digest.get(digest)
            if claim is not None and claim.outcome_number == number:
                return
            self._outcomes_by_number.popleft()


def _has_expired(claim: Claim, now_ms: int) -> bool:
    return claim.stamp_ms + CLAIM_RETENTION_MS <= now_ms


def _status(found: Claim, claim: KeyClaim) -> KeyStatus:
    if found.fingerprint != _short_digest(claim.fingerprint):
        return KeyStatus.CONFLICT
    if found.finished:
        return KeyStatus.FINISHED
    is_holder = (found.request_id, found.owner) == (claim.request_id, claim.owner)
    if is_holder and not found.abandoned:
        return KeyStatus.FIRST
    return KeyStatus.RUNNING


def _digest(claim: KeyClaim) -> bytes:
    content = f"{len(claim.client)}:{claim.client}{claim.key}"
    return _short_digest(content)


def _short_digest(content: str) -> bytes:
    return hashlib.sha256(content.encode()).digest()[:DIGEST_BYTES]


def _to_record(digest: bytes, claim: Claim) -> ClaimRecord:
    return ClaimRecord(
        digest,
        claim.request_id,
        claim.owner,
        claim.fingerprint,
        claim.stamp_ms,
        claim.finished,
        claim.outcome,
        claim.outcome_number,
        claim.abandoned,
    )
