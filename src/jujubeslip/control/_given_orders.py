"""The orders that engines may still be carrying out."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.control._engine_log import PendingOrder
from jujubeslip.control._engine_table import ORDER_SECONDS
from jujubeslip.discovery import Endpoint
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole


@dataclass(frozen=True)
class _Order:
    role: EndpointRole
    until: Deadline
    settled_after: Deadline
    """Counts until then, whatever role its engine announces."""


class GivenOrders:
    """The role that each start of an engine was ordered to lately.

    The engine's own reports show a change about a second after it has begun. Prompts
    that are sent there meanwhile are refused, and their requests wait anew.
    """

    def __init__(self) -> None:
        self._order_by_start: dict[str, _Order] = {}
        self._lock = threading.Lock()

    def note(self, endpoint: Endpoint, role: EndpointRole) -> None:
        """Note an order that is about to be sent."""
        order = _Order(role, Deadline.after(ORDER_SECONDS), Deadline.after(0))
        with self._lock:
            self._order_by_start[endpoint.start_id] = order

    def take_over(self, orders: Iterable[PendingOrder], lease_seconds: float) -> None:
        """Note the orders of earlier leaders.

        An engine must not be ordered by two hosts within the lease of orders.
        """
        with self._lock:
            self._forget_old()
            for order in orders:
                self._order_by_start[order.start_id] = _Order(
                    order.role,
                    order.until,
                    Deadline(order.given.instant + lease_seconds),
                )

    def drop(self, endpoint: Endpoint) -> None:
        """Note that the engine has refused its order."""
        with self._lock:
            self._order_by_start.pop(endpoint.start_id, None)

    def settle(self, engines: Iterable[Endpoint]) -> None:
        """Take orders for carried out whose engines announce the role ordered.

        An engine counts its orders, and each names the count that it expects: one that
        was carried out is not carried out again.
        """
        with self._lock:
            for engine in engines:
                order = self._order_by_start.get(engine.start_id)
                if order is None or not order.settled_after.expired:
                    continue
                if order.role == engine.role:
                    del self._order_by_start[engine.start_id]

    def _forget_old(self) -> None:
        for start_id, order in list(self._order_by_start.items()):
            if order.until.expired:
                del self._order_by_start[start_id]

    def count(self, engines: Iterable[Endpoint]) -> int:
        """Return how many of these may still be changing their role."""
        return sum(
            self.role_of(engine) not in (None, engine.role) for engine in engines
        )

    def role_of(self, endpoint: Endpoint) -> EndpointRole | None:
        """Return the role that this start was ordered to, None without an order."""
        with self._lock:
            order = self._order_by_start.get(endpoint.start_id)
            if order is None:
                return None
            if order.until.expired:
                del self._order_by_start[endpoint.start_id]
                return None
            return order.role
