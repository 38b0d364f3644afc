"""What makes two requests the same: who sends them, where to, and their content."""

from __future__ import annotations

import hashlib

# Hexadecimal digits of a fingerprint: 64 bits.
DIGITS = 16


def fingerprint_of(
    account: str, method: str, host: str, target: str, body: bytes
) -> str:
    """Return the name of a request's content, equal for equal requests.

    The client's key is no part of it, since fingerprints stand in logs.
    """
    digest = hashlib.sha256(body).digest()
    for part in (account, method, host, target):
        digest = hashlib.sha256(digest + part.encode()).digest()
    return digest.hex()[:DIGITS]
