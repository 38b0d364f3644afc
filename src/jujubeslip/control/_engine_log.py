"""Access of the leader to the replicated state on engines."""

from __future__ import annotations

import logging
from collections.abc import Collection
from dataclasses import dataclass

from jujubeslip.control._engine_table import ORDER_EXPIRY_SECONDS
from jujubeslip.control._replica import Replica
from jujubeslip.kernel import Deadline
from jujubeslip.peers import (
    EndpointRole,
    EngineLoad,
    EngineLoads,
    EngineOrder,
    EngineOrderRecord,
    NotLeader,
    PeerRefusal,
)

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# How often the leader records the load of its services, in seconds: its successor has
# observed no load of its own before its first requests.
LOADS_INTERVAL_SECONDS = 2.0


@dataclass(frozen=True)
class PendingOrder:
    """An order of an earlier leader that may still be carried out."""

    start_id: str
    role: EndpointRole
    given: Deadline
    """Time at which it was given, or later."""
    until: Deadline


class EngineLog:
    """Reads and writes the orders and loads of engines in the log, as leader."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._next_loads_at = Deadline.after(0)

    def record_order(
        self, start_id: str, role: EndpointRole, deadline: Deadline
    ) -> bool:
        """Commit an order; return whether it is known to be in the log.

        An order that isn't confirmed by the deadline may still be committed later, and
        then counts as given at that time.
        """
        try:
            self._replica.propose(EngineOrder(start_id, role), deadline)
        except (NotLeader, PeerRefusal) as error:
            extra = {"start_id": start_id, "role": role.name, "error": repr(error)}
            logger.info("engine order not recorded", extra=extra)
            return False
        return True

    def withdraw_order(self, start_id: str, role: EndpointRole) -> None:
        """Record that an engine keeps its role, without waiting for the commit."""
        self._submit(EngineOrder(start_id, role))

    def record_loads(self, loads: Collection[EngineLoad]) -> None:
        """Record the load of all services every two seconds, without waiting.

        An empty list is recorded as well: it replaces the earlier loads, and the age of
        the log counts from its first entry.
        """
        if not self._next_loads_at.expired:
            return
        self._next_loads_at = Deadline.after(LOADS_INTERVAL_SECONDS)
        self._submit(EngineLoads(list(loads)))

    def begin_term(self) -> None:
        """Delay the first record so that a new leader can observe the load itself."""
        if self._replica.machine.engines.since_ms is not None:
            self._next_loads_at = Deadline.after(LOADS_INTERVAL_SECONDS)

    def _submit(self, command: EngineOrder | EngineLoads) -> None:
        try:
            self._replica.submit(command)
        except NotLeader:
            logger.info(
                "engine state not recorded", extra={"command": type(command).__name__}
            )

    def pending_orders(self) -> list[PendingOrder]:
        """Return the orders of earlier leaders that may still be carried out.

        Log time stops while there is no leader, so no order expires too early. Raises
        NotLeader on a host that is no longer the leader.
        """
        with self._replica.lock:
            now_ms = self._replica.require_leader().stamp_ms()
            records = self._replica.machine.engines.orders_at(now_ms)
        return [_pending(record, now_ms) for record in records]

    def age_seconds(self) -> float:
        """Return for how long leaders have recorded their orders, in seconds.

        Raises NotLeader on a host that is no longer the leader.
        """
        with self._replica.lock:
            now_ms = self._replica.require_leader().stamp_ms()
            since_ms = self._replica.machine.engines.since_ms
        return 0.0 if since_ms is None else (now_ms - since_ms) / MILLISECONDS

    def load_of(self, service_name: str) -> EngineLoad | None:
        """Return the load of a service that was recorded last, None without one."""
        with self._replica.lock:
            return self._replica.machine.engines.load_of(service_name)


def _pending(record: EngineOrderRecord, now_ms: int) -> PendingOrder:
    passed_seconds = (now_ms - record.stamp_ms) / MILLISECONDS
    return PendingOrder(
        record.order.start_id,
        EndpointRole(record.order.role),
        Deadline.after(-passed_seconds),
        Deadline.after(ORDER_EXPIRY_SECONDS - passed_seconds),
    )
