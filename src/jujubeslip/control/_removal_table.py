"""The removals of endpoints in the replicated state."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeAlias

from jujubeslip.peers import EndpointRemoval, EndpointRemovalRecord, RemovalScope

# How long a removal is kept, in milliseconds of log time.
RETENTION_MS = 300_000
# Maximum number of removals kept; the latest ones stay.
MAXIMUM_REMOVALS = 10_000
# A repeated removal needs no further entry for this long, in milliseconds of log time.
REPEAT_INTERVAL_MS = 1000
# Scopes of final removals: a later one of the same start adds nothing.
FINAL_SCOPES = (RemovalScope.ONLY_START, RemovalScope.NAMED_START)

# Id of the endpoint, its start, and whether the removal covers any start.
_Key: TypeAlias = tuple[str, int, bool]


@dataclass(frozen=True)
class _Entry:
    record: EndpointRemovalRecord
    version: int


class RemovalTable:
    """Removals by the start of the endpoint, in the order of the log.

    A restarted host finds the acknowledged removals here, even if no process that
    acknowledged them is left.
    """

    def __init__(self) -> None:
        self._entry_by_key: dict[_Key, _Entry] = {}
        self.version = 0
        """Increases with each removal; differs between replicas."""

    def add(self, removal: EndpointRemoval, stamp_ms: int) -> None:
        """Add a removal at this log time, and remove the expired ones."""
        entries = self._entry_by_key
        key = _key(removal)
        known = entries.get(key)
        if known is not None and known.record.removal.scope > removal.scope:
            return
        entries.pop(key, None)
        self.load(EndpointRemovalRecord(removal, stamp_ms))
        while entries:
            oldest = next(iter(entries.values())).record
            has_expired = oldest.stamp_ms + RETENTION_MS < stamp_ms
            if not has_expired and len(entries) <= MAXIMUM_REMOVALS:
                return
            del entries[_key(oldest.removal)]

    def holds(self, removal: EndpointRemoval, stamp_ms: int) -> bool:
        """Return whether a removal is recorded and needs no further entry."""
        known = self._entry_by_key.get(_key(removal))
        if known is None or known.record.removal.scope < removal.scope:
            return False
        if removal.scope in FINAL_SCOPES:
            return True
        return stamp_ms < known.record.stamp_ms + REPEAT_INTERVAL_MS

    def since(self, version: int) -> list[EndpointRemovalRecord]:
        """Return the removals added since a version of this table."""
        return [
            entry.record
            for entry in self._entry_by_key.values()
            if entry.version > version
        ]

    def records(self) -> Iterator[EndpointRemovalRecord]:
        """Return all removals, in the order of the log."""
        return iter(self.since(0))

    def load(self, record: EndpointRemovalRecord) -> None:
        """Load a removal from a snapshot, in order."""
        self.version += 1
        self._entry_by_key[_key(record.removal)] = _Entry(record, self.version)


def _key(removal: EndpointRemoval) -> _Key:
    is_any = removal.scope == RemovalScope.ANY_START
    return (removal.endpoint_id, removal.started_at_ms, is_any)
