"""Index of the prompt prefixes that endpoints have in their KV cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from jujubeslip.endpoints import CacheEvent

PREFIX_BLOCK_TOKENS = 64
MAXIMUM_PREFIXES = 4096


class PrefixIndex:
    """Cached tokens by prefix hash and endpoint.

    Cache events of endpoints arrive late, and some are lost. A home therefore records
    the prefixes that its own grants store as soon as their prefill finishes, and
    removes the oldest entries beyond MAXIMUM_PREFIXES.
    """

    def __init__(self) -> None:
        self._tokens_by_hash: OrderedDict[str, dict[str, int]] = OrderedDict()

    def cached_tokens(self, prefix_hashes: Sequence[str]) -> dict[str, int]:
        """Return the cached tokens of a prompt by endpoint id."""
        cached: dict[str, int] = {}
        for prefix_hash in prefix_hashes:
            for endpoint_id, tokens in self._tokens_by_hash.get(
                prefix_hash, {}
            ).items():
                cached[endpoint_id] = max(tokens, cached.get(endpoint_id, 0))
        return cached

    def record_prefill(self, endpoint_id: str, prefix_hashes: Sequence[str]) -> None:
        """Record the prefixes that a finished prefill left in an endpoint's cache."""
        for power, prefix_hash in enumerate(prefix_hashes):
            self._store(prefix_hash, endpoint_id, PREFIX_BLOCK_TOKENS * 2**power)

    def apply_events(self, endpoint_id: str, events: Sequence[CacheEvent]) -> None:
        """Apply the cache events that an endpoint published."""
        for event in events:
            if event.stored:
                self._store(event.prefix_hash, endpoint_id, event.tokens)
            else:
                self._tokens_by_hash.get(event.prefix_hash, {}).pop(endpoint_id, None)

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove all entries of an endpoint; a new incarnation has an empty cache."""
        for tokens_by_endpoint in self._tokens_by_hash.values():
            tokens_by_endpoint.pop(endpoint_id, None)

    def _store(self, prefix_hash: str, endpoint_id: str, tokens: int) -> None:
        self._tokens_by_hash.setdefault(prefix_hash, {})[endpoint_id] = tokens
        self._tokens_by_hash.move_to_end(prefix_hash)
        while len(self._tokens_by_hash) > MAXIMUM_PREFIXES:
            self._tokens_by_hash.popitem(last=False)
