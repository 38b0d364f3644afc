"""Removals of endpoints, kept by the start that each one is for."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from jujubeslip.discovery._models import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import RemovalScope

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
class RemovalKey:
    """The start of an endpoint that a removal is for."""

    endpoint_id: str
    started_at_ms: int | None
    """0 for an endpoint that tells no starts, None where the start is not known."""


@dataclass(frozen=True)
class Removal:
    """An endpoint signed off, or said that it leaves."""

    endpoint_id: str
    removed_at: float
    started_at_ms: int
    """The start that it is for, 0 where that is not known or none is told."""
    version: int = 0
    """The version of the book since which it is kept there."""
    scope: RemovalScope = RemovalScope.ANY_START

    @classmethod
    def of_start(cls, endpoint: Endpoint) -> Removal:
        """Return the removal of a start that says itself that it leaves."""
        return cls(
            endpoint.endpoint_id,
            steady_seconds(),
            endpoint.started_at_ms,
            scope=RemovalScope.NAMED_START,
        )

    @property
    def key(self) -> RemovalKey:
        """Return which start it is for."""
        is_any = self.scope == RemovalScope.ANY_START
        return RemovalKey(self.endpoint_id, None if is_any else self.started_at_ms)

    def is_old(self, now: float) -> bool:
        """Say whether it is kept no more at this instant of the steady clock."""
        return self.removed_at < now - REMEMBERED_SECONDS

    def supersedes(self, kept: Removal | None) -> bool:
        """Say whether it says more than the one that is kept for the same start."""
        if kept is None or self.scope > kept.scope:
            return True
        if self.scope < kept.scope:
            return False
        return self.removed_at > kept.removed_at + SAME_REMOVAL_SECONDS

    def for_start(self, known: Endpoint) -> Removal:
        """Return it as the removal of the start that is known of its endpoint.

        Where it names no start, it may be a late one of a start before, unless the
        endpoint tells no starts.
        """
        if self.scope != RemovalScope.ANY_START:
            return self
        is_only = not known.restarted and not known.started_at_ms
        scope = RemovalScope.ONLY_START if is_only else RemovalScope.LATEST_START
        return replace(self, started_at_ms=known.started_at_ms, scope=scope)

    def apply_to(self, endpoint: Endpoint) -> Endpoint:
        """Return the endpoint as it is after the removal."""
        bound = self.for_start(endpoint)
        if bound.started_at_ms != endpoint.started_at_ms:
            return endpoint
        if bound.scope == RemovalScope.NAMED_START:
            return replace(endpoint, leaving=True)
        may_be_earlier = bound.scope == RemovalScope.LATEST_START
        removed_at = latest_removal(endpoint.removed_at, bound.removed_at)
        return replace(
            endpoint,
            removed_at=removed_at,
            restarted=endpoint.restarted or may_be_earlier,
        )


class KeptRemovals:
    """Removals by the start that they are for; used under its owner's lock alone.

    They outlast what is known of their endpoints: announcements come late, by other
    hosts, and after this one has started anew.
    """

    def __init__(self) -> None:
        self._removal_by_key: dict[RemovalKey, Removal] = {}

    def keep(self, removal: Removal, now: float) -> bool:
        """Keep a removal; say whether it was not kept before."""
        kept = self._removal_by_key
        if removal.is_old(now) or not removal.supersedes(kept.get(removal.key)):
            return False
        kept.pop(removal.key, None)
        kept[removal.key] = removal
        self._drop_oldest(now)
        return True

    def _drop_oldest(self, now: float) -> None:
        kept = self._removal_by_key
        while kept:
            oldest = next(iter(kept.values()))
            if len(kept) <= MAXIMUM_KEPT and not oldest.is_old(now):
                return
            del kept[oldest.key]

    def find(self, endpoint: Endpoint) -> Removal | None:
        """Return the removal of this start of an endpoint."""
        key = RemovalKey(endpoint.endpoint_id, endpoint.started_at_ms)
        return self._removal_by_key.get(key)

    def take_unbound(self, endpoint_id: str) -> Removal | None:
        """Return the removal that is for no known start, and keep it no more."""
        return self._removal_by_key.pop(RemovalKey(endpoint_id, None), None)

    def since(self, version: int) -> Sequence[Removal]:
        """Return those kept since a version of the book, the latest of many."""
        kept = self._removal_by_key.values()
        changed = [removal for removal in kept if removal.version > version]
        return changed[-MAXIMUM_TOLD:]


def latest_removal(known: float | None, told: float | None) -> float | None:
    """Return the later of two instants, the known one where they are the same."""
    if known is None or told is None:
        return told if known is None else known
    return told if told > known + SAME_REMOVAL_SECONDS else known
