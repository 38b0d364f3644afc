"""Fingerprints that identify equal requests by account, target and body."""

from __future__ import annotations

import hashlib

# The length of a fingerprint in hexadecimal digits: 64 bits.
FINGERPRINT_DIGITS = 16


def fingerprint_of(
    account: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Return the fingerprint of a request's content, which is equal for equal requests.

    The client's key is not included, since fingerprints are written to logs.
    """
    digest = hashlib.sha256(body).digest()
    for part in (account, method, host, target):
        digest = hashlib.sha256(digest + part.encode()).digest()
    return digest.hex()[:FINGERPRINT_DIGITS]
