"""The removals of endpoints that the log carries."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeAlias

from jujubeslip.peers import EndpointRemoval, EndpointRemovalRecord, RemovalScope

# How long a removal is kept, in milliseconds of log time.
KEPT_MS = 300_000
# How many are kept, the latest ones.
MAXIMUM_KEPT = 10_000
# The same removal may be told again for so long, in milliseconds of log time.
REPEATED_MS = 1000
# Removals that hold for good: a later one of the same start says nothing new.
FINAL_SCOPES = (RemovalScope.ONLY_START, RemovalScope.NAMED_START)

# Id of the endpoint, its start, and whether that is not known.
_Key: TypeAlias = tuple[str, int, bool]


@dataclass(frozen=True)
class _Noted:
    record: EndpointRemovalRecord
    version: int


class RemovalTable:
    """Removals by the start that they are for, in the order of the log.

    A host that has started anew finds here what was acknowledged before, also when no
    process is left that acknowledged it.
    """

    def __init__(self) -> None:
        self._noted_by_key: dict[_Key, _Noted] = {}
        self.version = 0
        """Grows with each removal; differs between replicas."""

    def note(self, removal: EndpointRemoval, stamp_ms: int) -> None:
        """Note a removal at this log time, and forget those that are over."""
        noted = self._noted_by_key
        key = _key(removal)
        known = noted.get(key)
        if known is not None and known.record.removal.scope > removal.scope:
            return
        noted.pop(key, None)
        self.load(EndpointRemovalRecord(removal, stamp_ms))
        while noted:
            oldest = next(iter(noted.values())).record
            is_over = oldest.stamp_ms + KEPT_MS < stamp_ms
            if not is_over and len(noted) <= MAXIMUM_KEPT:
                return
            del noted[_key(oldest.removal)]

    def holds(self, removal: EndpointRemoval, stamp_ms: int) -> bool:
        """Say whether a removal is noted, and needs no further entry."""
        known = self._noted_by_key.get(_key(removal))
        if known is None or known.record.removal.scope < removal.scope:
            return False
        if removal.scope in FINAL_SCOPES:
            return True
        return stamp_ms < known.record.stamp_ms + REPEATED_MS

    def since(self, version: int) -> list[EndpointRemovalRecord]:
        """Return the removals noted since a version of this table."""
        return [
            noted.record
            for noted in self._noted_by_key.values()
            if noted.version > version
        ]

    def records(self) -> Iterator[EndpointRemovalRecord]:
        """Return all removals, in the order of the log."""
        return iter(self.since(0))

    def load(self, record: EndpointRemovalRecord) -> None:
        """Take over a removal of a snapshot, in order."""
        self.version += 1
        self._noted_by_key[_key(record.removal)] = _Noted(record, self.version)


def _key(removal: EndpointRemoval) -> _Key:
    is_any = removal.scope == RemovalScope.ANY_START
    return (removal.endpoint_id, removal.started_at_ms, is_any)
