"""Rendezvous hashing: each host computes the same owner of a key on its own."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Collection, Iterable
from functools import lru_cache

_MASK = (1 << 64) - 1
_MULTIPLIERS = (0xBF58476D1CE4E5B9, 0x94D049BB133111EB)


def rendezvous_order(key: str, host_ids: Iterable[str]) -> list[str]:
    """Return the hosts in order of preference for the key, the owner first.

    When a host leaves, only the keys that it owned move to another owner.
    """
    hosts = list(host_ids)
    return first_in_rendezvous_order(key, hosts, len(hosts))


def first_in_rendezvous_order(
    key: str, host_ids: Collection[str], count: int
) -> list[str]:
    """Return the first `count` hosts of the key's order of preference."""
    key_hash = hash_of(key)
    return heapq.nlargest(
        count, host_ids, key=lambda host_id: _mix(key_hash ^ _host_hash(host_id))
    )


@lru_cache(maxsize=4096)
def _host_hash(host_id: str) -> int:
    return hash_of(host_id)


def hash_of(text: str) -> int:
    """Return a 64-bit hash that is the same on every host."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def _mix(value: int) -> int:
    """Mix the bits of a 64-bit value.

    With several hundred hosts, a cryptographic hash of each pair of key and host would
    cost more than the rest of a request's processing.
    """
    for multiplier in _MULTIPLIERS:
        value ^= value >> 30
        value = value * multiplier & _MASK
    return value ^ value >> 31
