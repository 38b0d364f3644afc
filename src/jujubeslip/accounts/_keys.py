"""Keys of client accounts, which are compared only as hashes."""

from __future__ import annotations

import hashlib

from jujubeslip.kernel import RequestRefusedError


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def unknown_key(remedy: str) -> RequestRefusedError:
    """Return the refusal of a request whose key no account holds."""
    return RequestRefusedError(
        "client_unknown",
        "The key belongs to no client account.",
        status=401,
        remedy=remedy,
    )
