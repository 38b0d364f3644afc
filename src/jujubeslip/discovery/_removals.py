"""Removals of endpoints that a host has not heard of."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from jujubeslip.discovery._models import Endpoint
from jujubeslip.kernel import steady_seconds

# How long an endpoint that was not heard of, and a removal, is remembered, in seconds:
# far longer than any announcement can be delayed, so that a late one of an endpoint
# that left can't bring it back.
REMEMBERED_SECONDS = 300.0
# How many are kept: far more than leave within that time, and few enough for whoever
# sends removals at random.
MAXIMUM_KEPT = 10_000
# How many of the latest one host tells another at a time.
MAXIMUM_TOLD = 1_000
# Two hosts know of the same removal by clocks that differ by the time that a message
# takes. Instants that are closer than this are the same removal, in seconds.
SAME_REMOVAL_SECONDS = 1.0


@dataclass(frozen=True)
class Removal:
    """An endpoint signed off with a host that has not heard of it."""

    endpoint_id: str
    removed_at: float
    started_at_ms: int
    """The start that it is for, 0 where it names none."""
    version: int = 0
    """The version of the book since which it is kept there."""

    @property
    def is_old(self) -> bool:
        """Say whether it is kept no more."""
        return self.removed_at < steady_seconds() - REMEMBERED_SECONDS

    def is_same(self, other: Removal | None) -> bool:
        """Say whether the other one is the same removal, heard by another way."""
        if other is None or other.started_at_ms != self.started_at_ms:
            return False
        return abs(other.removed_at - self.removed_at) <= SAME_REMOVAL_SECONDS

    def apply_to(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint as it is after the removal."""
        if not endpoint.may_be(self.started_at_ms):
            return endpoint
        if self.started_at_ms:
            return replace(endpoint, leaving=True)
        # Of one that tells its start, it may have been the start before that left.
        restarted = endpoint.restarted or endpoint.started_at_ms > 0
        removed_at = latest_removal(endpoint.removed_at, self.removed_at)
        return replace(endpoint, removed_at=removed_at, restarted=restarted)


class KeptRemovals:
    """The removals that wait for their endpoints; used under its owner's lock alone."""

    def __init__(self) -> None:
        self._removal_by_id: dict[str, Removal] = {}

    def keep(self, removal: Removal) -> bool:
        """Keep a removal; say whether it was not kept before."""
        kept = self._removal_by_id
        if removal.is_old or removal.is_same(kept.get(removal.endpoint_id)):
            return False
        kept.pop(removal.endpoint_id, None)
        kept[removal.endpoint_id] = removal
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        kept = self._removal_by_id
        while kept:
            oldest = next(iter(kept.values()))
            if len(kept) <= MAXIMUM_KEPT and not oldest.is_old:
                return
            del kept[oldest.endpoint_id]

    def take(self, endpoint_id: str) -> Removal | None:
        """Return what is kept for an endpoint, and keep it no more."""
        return self._removal_by_id.pop(endpoint_id, None)

    def since(self, version: int) -> Sequence[Removal]:
        """Return those kept since a version of the book, the latest of many."""
        kept = self._removal_by_id.values()
        changed = [removal for removal in kept if removal.version > version]
        return changed[-MAXIMUM_TOLD:]


def latest_removal(known: float | None, told: float | None) -> float | None:
    """Return the later of two instants, the known one where they are the same."""
    if known is None or told is None:
        return told if known is None else known
    return told if told > known + SAME_REMOVAL_SECONDS else known
