"""Rendezvous hashing: every host computes the same owner of a key by itself."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_order(key: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts in their order of preference for the key, the owner first.

    When a host leaves, only the keys that it owned get another owner.
    """
    return sorted(host_ids, key=lambda host_id: _weight(key, host_id), reverse=True)


def _weight(key: str, host_id: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{host_id}".encode(), digest_size=8).digest()
