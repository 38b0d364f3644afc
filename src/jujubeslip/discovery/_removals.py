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
        return RemovalKey(self.endpoint_id, None if is_any else self.started_at_ms)

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

    def may_be_of_later(self, known_since: float) -> bool:
        """Return whether it may be of a later start than the one that it applies to.

        The host that received it may know an earlier start only. The later one has to
        be known to run before it, since `known_since` on the steady clock.
        """
        names_start = self.scope == RemovalScope.NAMED_START
        return not names_start and known_since < self.removed_at

    def apply_to(self, endpoint: Endpoint, includes_later: bool = False) -> Endpoint:
        """Return the endpoint with the removal applied.

        A removal of a later start than the known one shows that this one has ended,
        unless the clock of its host was set back. One of an earlier start applies if
        `includes_later` is set. In both cases the known start gets work again if it is
        heard from later.
        """
        with_start = self.for_start(endpoint)
        is_earlier = with_start.started_at_ms < endpoint.started_at_ms
        if is_earlier and not includes_later:
            return endpoint
        is_same = with_start.started_at_ms == endpoint.started_at_ms
        if with_start.scope == RemovalScope.NAMED_START and is_same:
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
        """The latest start of each endpoint that a removal names."""

    def add(self, removal: Removal, now: float) -> bool:
        """Store a removal; return whether it was not stored before."""
        kept = self._removal_by_key
        if removal.is_expired(now) or not removal.supersedes(kept.get(removal.key)):
            return False
        kept.pop(removal.key, None)
        kept[removal.key] = removal
        if removal.started_at_ms > self._latest_start_by_id.get(removal.endpoint_id, 0):
            self._latest_start_by_id[removal.endpoint_id] = removal.started_at_ms
        self._drop_oldest(now)
        return True

    def holds(self, key: RemovalKey) -> bool:
        """Return whether a removal of this start is stored."""
        return key in self._removal_by_key

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

    def find(self, endpoint: Endpoint) -> Removal | None:
        """Return the removal of this start of an endpoint, or else of a later one."""
        endpoint_id, started_at_ms = endpoint.endpoint_id, endpoint.started_at_ms
        found = self._removal_by_key.get(RemovalKey(endpoint_id, started_at_ms))
        latest = self._latest_start_by_id.get(endpoint_id, 0)
        if found is not None or latest <= started_at_ms:
            return found
        return self._removal_by_key.get(RemovalKey(endpoint_id, latest))

    def pop_without_start(self, endpoint_id: str) -> Removal | None:
        """Remove and return the removal that names no start."""
        return self._removal_by_key.pop(RemovalKey(endpoint_id, None), None)

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
