"""Orders to change role that engines may still be carrying out."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.control._engine_log import PendingOrder
from jujubeslip.control._engine_table import ORDER_EXPIRY_SECONDS
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole


@dataclass(frozen=True)
class _Order:
    role: EndpointRole
    until: Deadline
    completes_after: Deadline
    """Until then the order stays, whichever role its engine announces."""


class OutstandingOrders:
    """The roles that engines were recently ordered to take, by start id.

    An engine's reports show a change about a second after it has begun. Prompts that
    are sent there in the meantime are refused, and their requests have to wait again.
    """

    def __init__(self) -> None:
        self._order_by_start: dict[str, _Order] = {}
        self._lock = threading.Lock()

    def record(self, endpoint: Endpoint, role: EndpointRole) -> None:
        """Record an order that is about to be sent."""
        order = _Order(role, Deadline.after(ORDER_EXPIRY_SECONDS), Deadline.after(0))
        with self._lock:
            self._order_by_start[endpoint.start_id] = order

    def take_over(self, orders: Iterable[PendingOrder], lease_seconds: float) -> None:
        """Record the orders of earlier leaders.

        Two hosts must not order the same engine within one order lease.
        """
        with self._lock:
            self._remove_expired()
            for order in orders:
                self._order_by_start[order.start_id] = _Order(
                    order.role,
                    order.until,
                    Deadline(order.given.timestamp + lease_seconds),
                )

    def discard(self, endpoint: Endpoint) -> None:
        """Remove the order that the engine has refused."""
        with self._lock:
            self._order_by_start.pop(endpoint.start_id, None)

    def remove_completed(self, engines: Iterable[Endpoint]) -> None:
        """Remove the orders whose engines announce the ordered role.

        An engine counts its orders, and each order names the expected count, so an
        order that was carried out is not carried out again.
        """
        with self._lock:
            for engine in engines:
                order = self._order_by_start.get(engine.start_id)
                if order is None or not order.completes_after.expired:
                    continue
                if order.role == engine.role:
                    del self._order_by_start[engine.start_id]

    def _remove_expired(self) -> None:
        for start_id, order in list(self._order_by_start.items()):
            if order.until.expired:
                del self._order_by_start[start_id]

    def count(self, engines: Iterable[Endpoint]) -> int:
        """Return how many of these engines may still be changing their role."""
        return sum(
            self.role_of(engine) not in (None, engine.role) for engine in engines
        )

    def role_of(self, endpoint: Endpoint) -> EndpointRole | None:
        """Return the role ordered for this start, None without an order."""
        with self._lock:
            order = self._order_by_start.get(endpoint.start_id)
            if order is None:
                return None
            if order.until.expired:
                del self._order_by_start[endpoint.start_id]
                return None
            return order.role
