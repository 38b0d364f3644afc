"""Orders to engines to change between the prefill and decode roles.

`_role_balance` decides which engine is ordered. This module checks that the host may
give orders, sends them, and tracks those that may still be carried out.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from returns.result import Failure

from jujubeslip.admission import EngineUse
from jujubeslip.control._balance_log import BalanceInputs, BalanceLog, NoOrderReason
from jujubeslip.control._engine_log import EngineLog
from jujubeslip.control._leadership import Fence
from jujubeslip.control._outstanding_orders import OutstandingOrders
from jujubeslip.control._replica import Replica
from jujubeslip.control._role_balance import (
    EnginesByRole,
    PrefillBounds,
    PrefillLoad,
    RoleShares,
    allowed_changes,
    choose_role_change,
    decode_lacks_memory,
    idle_prefill_engines,
    missing_prefill_engines,
    prefill_bounds,
)
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import ConnectionPool, EndpointError
from jujubeslip.interfaces import (
    Interface,
    InternalRequest,
    RoleOrder,
    send_internal_request,
)
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import EndpointRole, EngineLoad, NotLeader, ServicePressure

logger = logging.getLogger(__name__)

# How often the leader scans the engines, in seconds.
SCAN_INTERVAL_SECONDS = 0.5
# Number of recent requests, over all hosts, that must have waited for free capacity
# before it counts as short.
SHORTAGE_WAITED_REQUESTS = 3
# Leaders give the first order of a log once they have used it for the order lease and
# this margin, in seconds. A newly bootstrapped log lacks the orders of the previous
# log, which have expired by then.
BOOTSTRAP_MARGIN_SECONDS = 2.0
# Timeout for a response from an engine, which takes a millisecond or two, in seconds.
# It is kept short because an order is sent only while the lease lasts for longer.
ENGINE_RESPONSE_TIMEOUT_SECONDS = 0.25
# How long the commit of an order may take, in seconds.
COMMIT_TIMEOUT_SECONDS = 0.5
ACCEPTED_STATUSES = (200, 202)
# How long a service must have had no prefill engine before one of three decode engines
# replaces it, in seconds: longer than crashed engines take to return, or replaced ones
# to join.
PREFILL_ABSENCE_SECONDS = 15.0


class RoleManager:
    """Orders engines to change role, on the leader only.

    Two hosts must never order the same engine. The leader's term is the fencing number;
    no order is sent whose response could arrive after the lease; and each order is
    committed to the log before it is sent, so that the next leader skips that engine.
    """

    def __init__(
        self,
        replica: Replica,
        engine_log: EngineLog,
        registry: EndpointRegistry,
        watches: Watches,
        interface: Interface,
        order_lease_seconds: float,
        configured_services: Callable[[], Collection[str]],
        orders: OutstandingOrders,
        busy_prefill_engines: Callable[[str], float],
        on_order: Callable[[], None],
        engine_use: Callable[[str], EngineUse],
        notices: EndpointNotices | None = None,
        has_recent_report: Callable[[Endpoint], bool] = lambda _: True,
        answer_count: Callable[[Endpoint], int] = lambda _: 0,
    ) -> None:
        self._notices = notices or EndpointNotices()
        self._reports_now = has_recent_report
        self._answer_count = answer_count
        self._engine_use = engine_use
        self._role_shares_by_service: dict[str, RoleShares] = {}
        self._orders = orders
        self._busy_prefill_engines = busy_prefill_engines
        self._on_order = on_order
        self._replica = replica
        self._engine_log = engine_log
        self._known_term: int | None = None
        self._registry = registry
        self._watches = watches
        self._interface = interface
        self._order_lease_seconds = order_lease_seconds
        self._configured_services = configured_services
        self._connections = ConnectionPool()
        self._shortage_began_by_service: dict[str, float] = {}
        self._prefill_absent_since_by_service: dict[str, float] = {}
        self._prefill_load_by_service: dict[str, PrefillLoad] = {}
        self._own_prefill_load_by_service: dict[str, PrefillLoad] = {}
        self._balance_log = BalanceLog()

    def scan(self) -> None:
        """Order engines of each service to change role, if this host leads."""
        fence = self._fence()
        if fence is None:
            self._follow()
            return
        try:
            if fence.number != self._known_term:
                self._take_over(fence.number)
            log_seconds = self._engine_log.age_seconds()
        except NotLeader:
            self._follow()
            return
        services = self._services()
        for name in services:
            now = steady_seconds()
            busy_prefill_engines = self._busy_prefill_engines(name)
            self._prefill_load(name).record(now, busy_prefill_engines)
            self._own_prefill_load(name).record(now, busy_prefill_engines)
            self._role_shares(name).record(now, self._engine_use(name))
            self._orders.remove_completed(self._all_engines(name))
        if services:
            self._engine_log.record_loads(self._current_loads(services))
        may_order = log_seconds >= self._order_lease_seconds + BOOTSTRAP_MARGIN_SECONDS
        for name in services:
            if may_order:
                self._balance(name, fence)
            else:
                self._record_log_too_young(name)

    def _record_log_too_young(self, service_name: str) -> None:
        inputs = self._inputs(service_name, 0.0)
        self._balance_log.record(service_name, NoOrderReason.LOG_TOO_YOUNG, inputs)

    def _follow(self) -> None:
        """Track memory shortages only, and discard the load observed as leader.

        Entry hosts report shortages to every control host. The load that this host
        observed while it led is outdated by the time it leads again.
        """
        self._prefill_load_by_service.clear()
        self._own_prefill_load_by_service.clear()
        self._role_shares_by_service.clear()
        self._known_term = None
        for name in self._services():
            self._shortage_seconds(name, self._watches.pressure_of(name))
            self._prefill_absence(name, self._engines(name))

    def _take_over(self, term: int) -> None:
        """Begin a term with the orders and loads that earlier leaders recorded."""
        pending = self._engine_log.pending_orders()
        self._orders.take_over(pending, self._order_lease_seconds)
        self._engine_log.begin_term()
        self._known_term = term
        extra = {"term": term, "pending": [order.start_id for order in pending]}
        logger.info("pending orders of earlier leaders taken over", extra=extra)

    def _current_loads(self, services: Iterable[str]) -> list[EngineLoad]:
        loads = []
        for name in services:
            peak, use = (
                self._own_prefill_load(name).recorded_peak,
                self._role_shares(name).mean_use,
            )
            if peak is not None:
                loads.append(EngineLoad(name, peak, use.reading, use.answering))
        return loads

    def _balance(self, service_name: str, fence: Fence) -> None:
        pressure = self._watches.pressure_of(service_name)
        shortage_seconds = self._shortage_seconds(service_name, pressure)
        orders = self._order_idle_prefill_engines(
            service_name, shortage_seconds, pressure, fence
        )
        orders += self._order_missing_prefill_engines(service_name, pressure, fence)
        orders += self._order_for_shortage(
            service_name, shortage_seconds, pressure, fence
        )
        if not orders:
            inputs = self._inputs(service_name, shortage_seconds)
            self._balance_log.record(service_name, _no_order_reason(inputs), inputs)

    def _inputs(self, service_name: str, shortage_seconds: float) -> BalanceInputs:
        load, now = self._prefill_load(service_name), steady_seconds()
        engines = self._engines(service_name)
        pressure = self._watches.pressure_of(service_name)
        bounds = self._prefill_bounds(service_name, engines, pressure, shortage_seconds)
        return BalanceInputs(
            len(engines.prefill),
            len(engines.decode),
            self._orders.count(self._all_engines(service_name)),
            bounds.kept,
            bounds.useful,
            bounds.minimum,
            load.peak(now),
            load.sustained(now),
            self._role_shares(service_name).prefill_share(now),
            bounds.lacks_memory,
            pressure.waited,
        )

    def _prefill_bounds(
        self,
        service_name: str,
        engines: EnginesByRole,
        pressure: ServicePressure,
        shortage_seconds: float,
    ) -> PrefillBounds:
        lacks_memory = decode_lacks_memory(engines, pressure, shortage_seconds)
        load, shares = self._prefill_load(service_name), self._role_shares(service_name)
        return prefill_bounds(engines, load, shares, steady_seconds(), lacks_memory)

    def _fence(self) -> Fence | None:
        """Return the fence for orders, None unless this host is certain to lead.

        It is certain once its lease is valid and it has applied an entry of its own
        term, and with it all orders of earlier leaders.
        """
        return self._replica.fence()

    def _order_idle_prefill_engines(
        self,
        service_name: str,
        shortage_seconds: float,
        pressure: ServicePressure,
        fence: Fence,
    ) -> int:
        """Order prefill engines that would be idle in a burst to decode.

        Return how many were ordered. None is ordered while another engine is changing
        to prefill: that one serves no prompts yet and may be replaced before it does,
        and prompts depend on the current prefill engines until then. For the same
        reason, only engines that currently report count as prefill engines.
        """
        if self._changes_to(service_name, EndpointRole.PREFILL):
            return 0
        engines = self._engines(service_name).where(self._reports_now)
        bounds = self._prefill_bounds(service_name, engines, pressure, shortage_seconds)
        if bounds.kept is None:
            return 0
        ordered = 0
        peak = self._prefill_load(service_name).peak(steady_seconds())
        allowed = self._allowed_changes(service_name, engines)
        for prefill_engine in idle_prefill_engines(engines, bounds.kept)[:allowed]:
            extra = {
                "endpoint_id": prefill_engine.endpoint_id,
                "kept_readers": bounds.kept,
                "busiest_readers": peak,
                "useful_readers": bounds.useful,
                "readers_at_least": bounds.minimum,
                "lacks_memory": bounds.lacks_memory,
            }
            logger.info("prefill engine would be idle in a burst", extra=extra)
            ordered += self._order(prefill_engine, EndpointRole.DECODE, fence, pressure)
        return ordered

    def _order_missing_prefill_engines(
        self, service_name: str, pressure: ServicePressure, fence: Fence
    ) -> int:
        """Order decode engines to prefill if the sustained prefill load needs more.

        Return how many were ordered.
        """
        engines = self._engines(service_name)
        now = steady_seconds()
        sustained = self._prefill_load(service_name).sustained(now)
        # The minimum has no spare prefill engine: with few engines, a decode engine
        # adds more capacity than a spare one would.
        useful = self._role_shares(service_name).useful_prefill_engines(
            engines, now, minimum=1
        )
        missing = missing_prefill_engines(engines, sustained, useful)
        allowed = self._allowed_changes(service_name, engines)
        ordered = 0
        orderable = self._orderable(engines)
        for decode_engine in orderable.decode[: min(missing, allowed)]:
            extra = {
                "endpoint_id": decode_engine.endpoint_id,
                "least_readers": sustained,
                "missing_readers": missing,
            }
            logger.info("prompts need a further prefill engine", extra=extra)
            ordered += self._order(decode_engine, EndpointRole.PREFILL, fence, pressure)
        return ordered

    def _changes_to(self, service_name: str, role: EndpointRole) -> bool:
        """Return whether any engine may still be changing to this role."""
        engines = self._all_engines(service_name)
        return any(
            self._orders.role_of(engine) is role and engine.role is not role
            for engine in engines
        )

    def _allowed_changes(self, service_name: str, engines: EnginesByRole) -> int:
        changing = self._orders.count(self._all_engines(service_name))
        return allowed_changes(engines, changing)

    def _order_for_shortage(
        self,
        service_name: str,
        shortage_seconds: float,
        pressure: ServicePressure,
        fence: Fence,
    ) -> int:
        """Order one engine if all prefill engines are lost, or decode memory is short.

        Return how many were ordered.
        """
        engines = self._engines(service_name)
        prefill_absence = self._prefill_absence(service_name, engines)
        useful = self._useful_prefill_engines(service_name, engines)
        orderable = self._orderable(engines)
        wanted = choose_role_change(
            engines,
            pressure,
            shortage_seconds,
            useful,
            orderable,
            prefill_absence >= PREFILL_ABSENCE_SECONDS,
        )
        if wanted is None:
            return 0
        return int(self._order(*wanted, fence, pressure))

    def _prefill_absence(self, service_name: str, engines: EnginesByRole) -> float:
        """Return for how long no prefill engine was known, in seconds.

        Followers track this, too, so that it does not begin anew with each leader.
        """
        if engines.prefill:
            self._prefill_absent_since_by_service.pop(service_name, None)
            return 0.0
        now = steady_seconds()
        return now - self._prefill_absent_since_by_service.setdefault(service_name, now)

    def _shortage_seconds(self, service_name: str, pressure: ServicePressure) -> float:
        """Return for how long requests have lacked decode memory, in seconds."""
        now = steady_seconds()
        if pressure.waited < SHORTAGE_WAITED_REQUESTS:
            self._shortage_began_by_service.pop(service_name, None)
            return 0.0
        return now - self._shortage_began_by_service.setdefault(service_name, now)

    def _services(self) -> set[str]:
        """Return the services that are configured to have engines and have some.

        Any program may announce an engine of any service, so an engine of a service
        that is not configured must get no order.
        """
        return self._registry.engine_services().intersection(
            self._configured_services()
        )

    def _prefill_load(self, service_name: str) -> PrefillLoad:
        if service_name not in self._prefill_load_by_service:
            recorded = self._engine_log.load_of(service_name)
            load = PrefillLoad()
            if recorded is not None:
                # Entry hosts report prompt times even while there is no leader.
                pressure = self._watches.pressure_of(service_name)
                peak = max(
                    recorded.busiest_readers, pressure.prompt_ms_per_second / 1000
                )
                load = PrefillLoad.inherited(steady_seconds(), peak)
            self._prefill_load_by_service[service_name] = load
        return self._prefill_load_by_service[service_name]

    def _own_prefill_load(self, service_name: str) -> PrefillLoad:
        """Return the load that this host has observed itself."""
        return self._own_prefill_load_by_service.setdefault(service_name, PrefillLoad())

    def _useful_prefill_engines(
        self, service_name: str, engines: EnginesByRole
    ) -> int | None:
        return self._role_shares(service_name).useful_prefill_engines(
            engines, steady_seconds()
        )

    def _role_shares(self, service_name: str) -> RoleShares:
        if service_name not in self._role_shares_by_service:
            recorded = self._engine_log.load_of(service_name)
            shares = RoleShares()
            if recorded is not None and recorded.reading > 0:
                use = EngineUse(recorded.reading, recorded.answering)
                shares = RoleShares.inherited(steady_seconds(), use)
            self._role_shares_by_service[service_name] = shares
        return self._role_shares_by_service[service_name]

    def _engines(self, service_name: str) -> EnginesByRole:
        """Return a service's engines by their ordered role, or else their current one.

        An engine reports its new role seconds after the order. If it counted by the
        reported role, each scan would choose it again and order no other engine.
        """
        by_role = defaultdict(list)
        for engine in self._all_engines(service_name):
            by_role[self._orders.role_of(engine) or engine.role].append(engine)
        return EnginesByRole(
            tuple(by_role[EndpointRole.PREFILL]), tuple(by_role[EndpointRole.DECODE])
        )

    def _orderable(self, engines: EnginesByRole) -> EnginesByRole:
        """Return the engines without a pending order, the least busy ones first.

        An engine changes its role once all its decodes have ended. One that currently
        reports nothing may have crashed, and comes last.
        """
        orderable = engines.where(lambda engine: self._orders.role_of(engine) is None)
        decode = sorted(
            orderable.decode,
            key=lambda engine: (
                not self._reports_now(engine),
                self._answer_count(engine),
            ),
        )
        return EnginesByRole(orderable.prefill, tuple(decode))

    def _all_engines(self, service_name: str) -> tuple[Endpoint, ...]:
        return self._with_role(service_name, EndpointRole.PREFILL) + self._with_role(
            service_name, EndpointRole.DECODE
        )

    def _with_role(self, service_name: str, role: EndpointRole) -> tuple[Endpoint, ...]:
        """Return the engines that are not leaving, in the same order at each scan."""
        found = [
            engine
            for engine in self._registry.engines(service_name, role)
            if not self._notices.leaves(engine.start_id)
        ]
        return tuple(sorted(found, key=lambda endpoint: endpoint.endpoint_id))

    def _order(
        self,
        endpoint: Endpoint,
        role: EndpointRole,
        fence: Fence,
        pressure: ServicePressure,
    ) -> bool:
        """Order an engine to change role; return whether it may have got the order."""
        if self._orders.role_of(endpoint) is not None:
            # The previous order may still be carried out, even after this one.
            return False
        sent = False
        extra = {
            "endpoint_id": endpoint.endpoint_id,
            "role": role.name,
            "fencing_number": fence.number,
            "waited": pressure.waited,
            "prompt_ms_per_second": pressure.prompt_ms_per_second,
        }
        try:
            accepted_orders = self._accepted_order_count(endpoint)
            if accepted_orders is None or not self._may_send(endpoint, role, fence):
                logger.info("engine order not sent", extra=extra)
                return False
            order = RoleOrder(
                endpoint.endpoint_id,
                role,
                self._replica.settings.host_id,
                fence.number,
                accepted_orders,
            )
            sent = True
            self._orders.record(endpoint, role)
            self._on_order()
            status, _ = self._ask(endpoint, self._interface.order_role(order))
        except EndpointError as error:
            logger.warning(
                "engine did not respond to order", extra={**extra, "error": str(error)}
            )
            return sent
        accepted = status in ACCEPTED_STATUSES
        if not accepted:
            self._orders.discard(endpoint)
            self._engine_log.withdraw_order(endpoint.start_id, endpoint.role)
        logger.info(
            "engine ordered" if accepted else "engine refused its order",
            extra={**extra, "status": status},
        )
        return True

    def _may_send(self, endpoint: Endpoint, role: EndpointRole, fence: Fence) -> bool:
        """Record an order; return whether the lease then still covers its response."""
        if fence.lease.remaining() < ENGINE_RESPONSE_TIMEOUT_SECONDS:
            return False
        recorded_by = Deadline.after(COMMIT_TIMEOUT_SECONDS)
        if not self._engine_log.record_order(endpoint.start_id, role, recorded_by):
            return False
        now = self._replica.fence()
        if now is not None and now.number == fence.number:
            if now.lease.remaining() >= ENGINE_RESPONSE_TIMEOUT_SECONDS:
                return True
        self._engine_log.withdraw_order(endpoint.start_id, endpoint.role)
        return False

    def _accepted_order_count(self, endpoint: Endpoint) -> int | None:
        """Return how many orders the engine has accepted, None while it is busy."""
        internal_request = self._interface.ask_report(endpoint.endpoint_id)
        status, body = self._ask(endpoint, internal_request)
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
        # Another start of the engine counts its own orders: with that count, an order
        # could be carried out by a start for which it was not decided.
        if report.busy or not endpoint.matches_start(report.started_at_ms):
            return None
        return report.orders

    def _ask(
        self, endpoint: Endpoint, internal_request: InternalRequest
    ) -> tuple[int, bytes]:
        if internal_request.method == "GET":
            return self._ask_over(self._connections, endpoint, internal_request)
        # Only its status answers an order, and a late copy of a report has one, too.
        unused = ConnectionPool()
        try:
            return self._ask_over(unused, endpoint, internal_request)
        finally:
            unused.close_all()

    def _ask_over(
        self,
        connections: ConnectionPool,
        endpoint: Endpoint,
        internal_request: InternalRequest,
    ) -> tuple[int, bytes]:
        deadline = Deadline.after(ENGINE_RESPONSE_TIMEOUT_SECONDS)
        return send_internal_request(
            connections,
            self._interface,
            self._notices,
            endpoint,
            internal_request,
            deadline,
        )


def _no_order_reason(inputs: BalanceInputs) -> NoOrderReason:
    if inputs.changing:
        return NoOrderReason.ORDERS_UNDER_WAY
    if inputs.kept_prefill_engines is None:
        return NoOrderReason.LOAD_UNKNOWN
    if not inputs.prefill_engines:
        return NoOrderReason.PREFILL_MAY_RETURN
    return NoOrderReason.BALANCED
