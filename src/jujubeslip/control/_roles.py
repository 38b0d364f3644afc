"""Which engines read prompts and which answer, changed by order when one runs short.

Answers hold an engine's memory for seconds; prompts are read in a tenth of one. When
engines are lost, those that answer can run out of memory while others, which only read
prompts, have time to spare. The leader then orders one of them to answer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass

from returns.result import Failure

from jujubeslip.control._leadership import Fence
from jujubeslip.control._replica import Replica
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.endpoints import ConnectionPool, EndpointError
from jujubeslip.interfaces import (
    EndpointQuestion,
    Interface,
    RoleOrder,
    ask_endpoint,
)
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole, ServicePressure

logger = logging.getLogger(__name__)

# How often the leader looks, in seconds.
LOOK_SECONDS = 0.5
# How long engines must be short of memory before one is ordered, in seconds: longer
# than a moment's queue, and short beside the change itself, which takes seconds.
SHORT_SECONDS = 1.5
# Entry hosts that waited for room lately, over all hosts, to call that short.
WAITED_REQUESTS = 3
# Share of the remaining engines' time that reading prompts may take after a change.
PROMPT_SHARE = 0.85
# Engines that answer, for each that reads prompts: a prompt of some 5,000 tokens takes
# an engine 0.09 s, and its answer a thirteenth of an engine for 3.7 s.
DECODE_PER_PREFILL = 3
# At least as long between two orders of a service, in seconds. An order without an
# answer may still be carried out, up to twelve seconds later.
BETWEEN_ORDERS_SECONDS = 13.0
# How much longer than the holder's lease a new leader waits, in seconds, for orders of
# the one before that are still on their way.
TAKEOVER_SECONDS = 2.0
# How long an engine may take to answer, in seconds; it needs a millisecond or two. An
# order is sent only while the lease lasts for longer than this.
ANSWER_SECONDS = 0.25
ACCEPTED = (200, 202)


@dataclass(frozen=True)
class Engines:
    """The engines of a service that were heard lately, by role."""

    prefill: tuple[Endpoint, ...]
    decode: tuple[Endpoint, ...]


def wanted_change(
    engines: Engines, pressure: ServicePressure, short_for: float
) -> tuple[Endpoint, EndpointRole] | None:
    """Return the engine to order and its new role, None if all is well.

    `short_for` is for how long answers have lacked memory, in seconds.
    """
    if not engines.prefill and len(engines.decode) > 2:
        # Engines that answer read prompts at half the speed, and stall while they do.
        return engines.decode[0], EndpointRole.PREFILL
    if short_for < SHORT_SECONDS or len(engines.prefill) < 2:
        return None
    remaining = len(engines.prefill) - 1
    if len(engines.decode) + 1 > DECODE_PER_PREFILL * remaining:
        return None
    if pressure.prompt_ms_per_second > 1000 * remaining * PROMPT_SHARE:
        return None
    return engines.prefill[0], EndpointRole.DECODE


class RoleKeeper:
    """Gives the orders, on the leader only.

    An engine must never have two that order it. The leader's term is the fencing
    number; no order is sent whose answer could come after the lease; and a new leader
    waits out the lease of the one before.
    """

    def __init__(
        self,
        replica: Replica,
        book: EndpointBook,
        watches: Watches,
        interface: Interface,
        order_lease_seconds: float,
        configured_services: Callable[[], Collection[str]],
    ) -> None:
        self._replica = replica
        self._book = book
        self._watches = watches
        self._interface = interface
        self._order_lease_seconds = order_lease_seconds
        self._configured_services = configured_services
        self._connections = ConnectionPool()
        self._short_since_by_service: dict[str, float] = {}
        self._next_order_by_service: dict[str, Deadline] = {}

    def look(self) -> None:
        """Order one engine of each service that needs it, if this host leads."""
        fence = self._fence()
        if fence is None:
            self._short_since_by_service.clear()
            return
        for service_name, engines in self._engines_by_service().items():
            self._look_at(service_name, engines, fence)

    def _fence(self) -> Fence | None:
        """Return the right to give orders, None before a takeover is complete."""
        with self._replica.lock:
            fence = self._replica.fence()
            leadership = self._replica.leadership
            if fence is None or leadership is None:
                return None
            led_for = steady_seconds() - leadership.started_at
        return fence if led_for > self._order_lease_seconds + TAKEOVER_SECONDS else None

    def _look_at(self, service_name: str, engines: Engines, fence: Fence) -> None:
        pressure = self._watches.pressure_of(service_name)
        short_for = self._short_for(service_name, pressure)
        wanted = wanted_change(engines, pressure, short_for)
        paused = self._next_order_by_service.get(service_name)
        if wanted is None or (paused is not None and not paused.expired):
            return
        if self._order(*wanted, fence, pressure):
            self._next_order_by_service[service_name] = Deadline.after(
                BETWEEN_ORDERS_SECONDS
            )

    def _short_for(self, service_name: str, pressure: ServicePressure) -> float:
        now = steady_seconds()
        if pressure.waited < WAITED_REQUESTS:
            self._short_since_by_service.pop(service_name, None)
            return 0.0
        return now - self._short_since_by_service.setdefault(service_name, now)

    def _engines_by_service(self) -> dict[str, Engines]:
        """Return the engines of the services that are configured to have some.

        Any program may announce an engine, of any service: one that no configuration
        names must get no order.
        """
        configured = self._configured_services()
        return {
            name: Engines(
                self._with_role(name, EndpointRole.PREFILL),
                self._with_role(name, EndpointRole.DECODE),
            )
            for name in self._book.engine_services()
            if name in configured
        }

    def _with_role(self, service_name: str, role: EndpointRole) -> tuple[Endpoint, ...]:
        """Return the engines in an order that is the same at each look."""
        found = self._book.engines(service_name, role)
        return tuple(sorted(found, key=lambda endpoint: endpoint.endpoint_id))

    def _order(
        self,
        endpoint: Endpoint,
        role: EndpointRole,
        fence: Fence,
        pressure: ServicePressure,
    ) -> bool:
        """Order an engine to change its role; say whether it may have heard of it."""
        sent = False
        extra = {
            "endpoint_id": endpoint.endpoint_id,
            "role": role.name,
            "fencing_number": fence.number,
            "waited": pressure.waited,
            "prompt_ms_per_second": pressure.prompt_ms_per_second,
        }
        try:
            known_orders = self._known_orders(endpoint)
            if known_orders is None or fence.lease.remaining() < ANSWER_SECONDS:
                logger.info("engine not ordered", extra=extra)
                return False
            order = RoleOrder(
                endpoint.endpoint_id,
                role,
                self._replica.settings.host_id,
                fence.number,
                known_orders,
            )
            sent = True
            status, _ = self._ask(endpoint, self._interface.order_role(order))
        except EndpointError as error:
            logger.warning("order not answered", extra={**extra, "error": str(error)})
            return sent
        accepted = status in ACCEPTED
        logger.info(
            "engine ordered" if accepted else "order refused",
            extra={**extra, "status": status},
        )
        return True

    def _known_orders(self, endpoint: Endpoint) -> int | None:
        """Return how many orders the engine has accepted, None while it is at one."""
        question = self._interface.ask_report(endpoint.endpoint_id)
        status, body = self._ask(endpoint, question)
        if status != 200:
            return None
        read = self._interface.read_report(body)
        if isinstance(read, Failure):
            extra = {
                "endpoint_id": endpoint.endpoint_id,
                "problem": read.failure(),
            }
            logger.info("engine's report not usable", extra=extra)
            return None
        report = read.unwrap()
        return None if report.busy else report.orders

    def _ask(self, endpoint: Endpoint, question: EndpointQuestion) -> tuple[int, bytes]:
        deadline = Deadline.after(ANSWER_SECONDS)
        return ask_endpoint(
            self._connections, self._interface, endpoint, question, deadline
        )
