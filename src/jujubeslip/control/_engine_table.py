"""The replicated state on engines: orders to change role, and the load of services."""

from __future__ import annotations

from jujubeslip.peers import (
    EngineLoad,
    EngineLoads,
    EngineOrder,
    EngineOrderRecord,
    SnapshotPart,
)

# How long an order may take to be carried out, in seconds: an engine that did not
# respond may still carry it out up to twelve seconds later.
ORDER_EXPIRY_SECONDS = 13.0
ORDER_EXPIRY_MS = int(ORDER_EXPIRY_SECONDS * 1000)


class EngineTable:
    """The orders that may still be carried out, and the newest load of each service.

    A leader commits an order before it sends it. The next leader therefore has it in
    its log, and may order every engine without one at once.
    """

    def __init__(self) -> None:
        self._record_by_start: dict[str, EngineOrderRecord] = {}
        self._load_by_service: dict[str, EngineLoad] = {}
        self.since_ms: int | None = None
        """Log time of the first entry; None while no leader has recorded any."""

    def add_order(self, order: EngineOrder, stamp_ms: int) -> None:
        """Add an order given at this log time, and remove the expired ones."""
        self._record_start(stamp_ms)
        pending = self.orders_at(stamp_ms)
        self._record_by_start = {record.order.start_id: record for record in pending}
        self._record_by_start[order.start_id] = EngineOrderRecord(order, stamp_ms)

    def orders_at(self, stamp_ms: int) -> list[EngineOrderRecord]:
        """Return the orders that may still be carried out at this log time."""
        return [
            record
            for record in self._record_by_start.values()
            if stamp_ms < record.stamp_ms + ORDER_EXPIRY_MS
        ]

    def set_loads(self, reported: EngineLoads, stamp_ms: int) -> None:
        """Replace the loads of all services."""
        self._record_start(stamp_ms)
        self._load_by_service = {load.service_name: load for load in reported.loads}

    def load_of(self, service_name: str) -> EngineLoad | None:
        """Return the load of a service that was recorded last, None without one."""
        return self._load_by_service.get(service_name)

    def part(self) -> SnapshotPart:
        """Return the whole table as a part of a snapshot."""
        orders = list(self._record_by_start.values())
        loads = list(self._load_by_service.values())
        return SnapshotPart([], [], [], False, orders, loads, self.since_ms)

    def load_part(self, part: SnapshotPart) -> None:
        """Load a part of a snapshot; older versions wrote none of these fields."""
        if part.engines_since_ms is not None:
            self.since_ms = part.engines_since_ms
        for record in part.orders or ():
            self._record_by_start[record.order.start_id] = record
        for load in part.loads or ():
            self._load_by_service[load.service_name] = load

    def _record_start(self, stamp_ms: int) -> None:
        if self.since_ms is None:
            self.since_ms = stamp_ms
