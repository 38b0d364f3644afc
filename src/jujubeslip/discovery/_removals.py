"""Removals of endpoints, stored by the start that each applies to."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from jujubeslip.discovery._models import Endpoint
from jujubeslip.kernel import steady_seconds
from jujubeslip.peers import RemovalScope

# How long a removal, and an endpoint that is no longer heard from, is retained, in
# seconds: far longer than any announcement can be delayed, so that a late announcement
# of an endpoint that left can't put it back into service.
RETENTION_SECONDS = 300.0
# Maximum number of stored removals: far more than the endpoints that leave within that
# time, but a bound on memory if a sender produces removals at random.
MAXIMUM_STORED = 10_000
# Maximum number of removals, the latest ones, that one message between hosts carries.
MAXIMUM_REPORTED = 1_000
# Two hosts date the same removal on clocks that differ by the network delay of a
# message. Times that are closer than this are the same removal, in seconds.
SAME_REMOVAL_SECONDS = 1.0


@dataclass(frozen=True)
class RemovalKey:
    """The start of an endpoint that a removal applies to."""

    endpoint_id: str
    started_at_ms: int | None
    """0 for an endpoint that reports no starts, None if the start is not known."""
    names_start: bool
    """Whether the endpoint named the start; otherwise it may be of a later one, too."""


@dataclass(frozen=True)
class Removal:
    """Records that an endpoint signed off or announced that it leaves."""

    endpoint_id: str
    removed_at: float
    started_at_ms: int
    """The start that it applies to, 0 if that is not known or not reported."""
    version: int = 0
    """The version of the registry that added it."""
    scope: RemovalScope = RemovalScope.ANY_START

    @classmethod
    def of_start(cls, endpoint: Endpoint) -> Removal:
        """Return the removal of a start that announced itself that it leaves."""
        return cls(
            endpoint.endpoint_id,
            steady_seconds(),
            endpoint.started_at_ms,
            scope=RemovalScope.NAMED_START,
        )

    @property
    def key(self) -> RemovalKey:
        """Return the start that it applies to."""
        is_any = self.scope == RemovalScope.ANY_START
        started_at_ms = None if is_any else self.started_at_ms
        return RemovalKey(self.endpoint_id, started_at_ms, self.names_start)

    @property
    def names_start(self) -> bool:
        """Return whether the endpoint named the start that has left."""
        return self.scope == RemovalScope.NAMED_START

    def is_expired(self, now: float) -> bool:
        """Return whether its retention has expired at this time of the steady clock."""
        return self.removed_at < now - RETENTION_SECONDS

    def supersedes(self, kept: Removal | None) -> bool:
        """Return whether it replaces the stored removal of the same start."""
        if kept is None or self.scope > kept.scope:
            return True
        if self.scope < kept.scope:
            return False
        return self.removed_at > kept.removed_at + SAME_REMOVAL_SECONDS

    def for_start(self, known: Endpoint) -> Removal:
        """Return the removal with the known start of its endpoint.

        A removal that names no start may be a delayed one of an earlier start, unless
        the endpoint reports no starts.
        """
        if self.scope != RemovalScope.ANY_START:
            return self
        is_only = not known.restarted and not known.started_at_ms
        scope = RemovalScope.ONLY_START if is_only else RemovalScope.LATEST_START
        return replace(self, started_at_ms=known.started_at_ms, scope=scope)

    def apply_to(self, endpoint: Endpoint, known_since: float) -> Endpoint:
        """Return the endpoint with the removal applied.

        A removal of a later start than the known one shows that this one has ended,
        unless the clock of its host was set back. One that names no start may be of a
        later start than the host that received it knew, if that one was known to run
        by then, at `known_since` on the steady clock. In both cases the known start
        gets work again if it is heard from later.
        """
        with_start = self.for_start(endpoint)
        is_earlier = with_start.started_at_ms < endpoint.started_at_ms
        if is_earlier and (self.names_start or known_since >= self.removed_at):
            return endpoint
        is_same = with_start.started_at_ms == endpoint.started_at_ms
        if with_start.names_start and is_same:
            return replace(endpoint, leaving=True)
        may_be_another = not is_same or with_start.scope == RemovalScope.LATEST_START
        removed_at = latest_removal(endpoint.removed_at, with_start.removed_at)
        return replace(
            endpoint,
            removed_at=removed_at,
            restarted=endpoint.restarted or may_be_another,
        )


class RemovalStore:
    """Stores removals by their start; callers must hold the owner's lock.

    Removals are retained longer than their endpoints are known: announcements may
    arrive late, through other hosts, and after this host has restarted.
    """

    def __init__(self) -> None:
        self._removal_by_key: dict[RemovalKey, Removal] = {}
        self._latest_start_by_id: dict[str, int] = {}
        """The latest start of each endpoint that a removal applies to."""
        self._latest_unnamed_by_id: dict[str, Removal] = {}
        """The latest removal of each endpoint that names no start."""

    def add(self, removal: Removal, now: float) -> bool:
        """Store a removal; return whether it was not stored before."""
        kept = self._removal_by_key
        if removal.is_expired(now) or not removal.supersedes(kept.get(removal.key)):
            return False
        kept.pop(removal.key, None)
        kept[removal.key] = removal
        if removal.started_at_ms > self._latest_start_by_id.get(removal.endpoint_id, 0):
            self._latest_start_by_id[removal.endpoint_id] = removal.started_at_ms
        if not removal.names_start:
            self._add_unnamed(removal)
        self._drop_oldest(now)
        return True

    def _add_unnamed(self, removal: Removal) -> None:
        latest = self._latest_unnamed_by_id.get(removal.endpoint_id)
        if latest is None or removal.removed_at >= latest.removed_at:
            self._latest_unnamed_by_id[removal.endpoint_id] = removal

    def _drop_oldest(self, now: float) -> None:
        kept = self._removal_by_key
        while kept:
            oldest = next(iter(kept.values()))
            if len(kept) <= MAXIMUM_STORED and not oldest.is_expired(now):
                return
            del kept[oldest.key]
            latest = self._latest_start_by_id.get(oldest.endpoint_id)
            if latest == oldest.started_at_ms:
                del self._latest_start_by_id[oldest.endpoint_id]
            if self._latest_unnamed_by_id.get(oldest.endpoint_id) == oldest:
                del self._latest_unnamed_by_id[oldest.endpoint_id]

    def find(self, endpoint: Endpoint) -> Removal | None:
        """Return the removal that may apply to this start of an endpoint.

        It is that of this start, or else of a later one, or else the latest one that
        names no start.
        """
        endpoint_id, started_at_ms = endpoint.endpoint_id, endpoint.started_at_ms
        found = self._find_start(endpoint_id, started_at_ms)
        latest = self._latest_start_by_id.get(endpoint_id, 0)
        if found is None and latest > started_at_ms:
            found = self._find_start(endpoint_id, latest)
        return found or self._latest_unnamed_by_id.get(endpoint_id)

    def _find_start(self, endpoint_id: str, started_at_ms: int) -> Removal | None:
        """Return the removal of this start; one that names it is the more certain."""
        kept = self._removal_by_key
        return kept.get(RemovalKey(endpoint_id, started_at_ms, True)) or kept.get(
            RemovalKey(endpoint_id, started_at_ms, False)
        )

    def pop_without_start(self, endpoint_id: str) -> Removal | None:
        """Remove and return the removal of an endpoint that was not known."""
        key = RemovalKey(endpoint_id, None, False)
        removal = self._removal_by_key.pop(key, None)
        if self._latest_unnamed_by_id.get(endpoint_id) == removal:
            self._latest_unnamed_by_id.pop(endpoint_id, None)
        return removal

    def since(self, version: int) -> Sequence[Removal]:
        """Return the removals added since a version, only the latest of many."""
        kept = self._removal_by_key.values()
        changed = [removal for removal in kept if removal.version > version]
        return changed[-MAXIMUM_REPORTED:]


def latest_removal(known: float | None, reported: float | None) -> float | None:
    """Return the later of two removal times, the known one if they are the same."""
    if known is None or reported is None:
        return reported if known is None else known
    return reported if reported > known + SAME_REMOVAL_SECONDS else known
