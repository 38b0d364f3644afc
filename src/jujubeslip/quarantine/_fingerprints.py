"""Fingerprints that identify equal requests, and equal parts of their prompts."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

# The length of a fingerprint in hexadecimal digits: 64 bits.
FINGERPRINT_DIGITS = 16
# The maximum number of parts of one prompt that have a fingerprint: the first ones.
MAXIMUM_PROMPT_PARTS = 16
# Distinguishes the fingerprint of a part from that of a request without a target.
PART_PREFIX = b"prompt part "


def fingerprint_of(
    account: str,
    method: str,
    host: str,
    target: str,
    body: bytes,
    part_ids: Iterable[str] = (),
) -> str:
    """Return the fingerprint of a request's content, which is equal for equal requests.

    `part_ids` names the parts of its prompt. The client's key is not included, since
    fingerprints are written to logs.
    """
    digest = hashlib.sha256(body).digest()
    for part in (account, method, host, target, *part_ids):
        digest = hashlib.sha256(digest + part.encode()).digest()
    return digest.hex()[:FINGERPRINT_DIGITS]


def part_fingerprints_of(part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the fingerprints of the parts of a prompt that other prompts may share.

    The last part belongs to one request or session and is left out. Clients choose the
    ids, so only the hashes appear in logs and in messages between hosts.
    """
    shared = list(dict.fromkeys(list(part_ids)[:-1]))
    return tuple(map(part_fingerprint_of, shared[:MAXIMUM_PROMPT_PARTS]))


def part_fingerprint_of(part_id: str) -> str:
    """Return the fingerprint of one part, which is equal in all prompts with it."""
    digest = hashlib.sha256(PART_PREFIX + part_id.encode())
    return digest.hexdigest()[:FINGERPRINT_DIGITS]
