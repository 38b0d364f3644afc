"""Orders to engines to change between reading prompts and answering.

Which engine is ordered is decided in `_role_balance`; here are the right to order, and
what orders are on their way.
"""

from __future__ import annotations

import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from returns.result import Failure

from jujubeslip.admission import EngineUse
from jujubeslip.control._engine_log import EngineLog
from jujubeslip.control._given_orders import GivenOrders
from jujubeslip.control._leadership import Fence
from jujubeslip.control._order_log import BalanceInputs, NoOrderLog, NoOrderReason
from jujubeslip.control._replica import Replica
from jujubeslip.control._role_balance import (
    Engines,
    EngineShares,
    PromptLoad,
    ReaderBounds,
    allowed_changes,
    answers_lack_memory,
    idle_readers,
    missing_readers,
    reader_bounds,
    wanted_change,
)
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
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import EndpointRole, EngineLoad, NotLeader, ServicePressure

logger = logging.getLogger(__name__)

# How often the leader looks, in seconds.
LOOK_SECONDS = 0.5
# Entry hosts that waited for room lately, over all hosts, to call that short.
WAITED_REQUESTS = 3
# For how much longer than the lease of orders a log has to be led before its first
# order, in seconds: one that was founded anew knows no orders of the one before.
FOUNDING_SECONDS = 2.0
# How long an engine may take to answer, in seconds; it needs a millisecond or two. An
# order is sent only while the lease lasts for longer than this.
ANSWER_SECONDS = 0.25
# How long an order may take to get into the log, in seconds.
RECORD_SECONDS = 0.5
ACCEPTED = (200, 202)


class RoleKeeper:
    """Gives the orders, on the leader only.

    An engine must never have two that order it. The leader's term is the fencing
    number; no order is sent whose answer could come after the lease; and each is in the
    log before it is sent, so that the next leader leaves that engine alone.
    """

    def __init__(
        self,
        replica: Replica,
        engine_log: EngineLog,
        book: EndpointBook,
        watches: Watches,
        interface: Interface,
        order_lease_seconds: float,
        configured_services: Callable[[], Collection[str]],
        orders: GivenOrders,
        busy_readers: Callable[[str], float],
        on_order: Callable[[], None],
        engine_use: Callable[[str], EngineUse],
        notices: EndpointNotices | None = None,
        reports_now: Callable[[Endpoint], bool] = lambda _: True,
        answer_count: Callable[[Endpoint], int] = lambda _: 0,
    ) -> None:
        self._notices = notices or EndpointNotices()
        self._reports_now = reports_now
        self._answer_count = answer_count
        self._engine_use = engine_use
        self._shares_by_service: dict[str, EngineShares] = {}
        self._orders = orders
        self._busy_readers = busy_readers
        self._on_order = on_order
        self._replica = replica
        self._engine_log = engine_log
        self._known_term: int | None = None
        self._book = book
        self._watches = watches
        self._interface = interface
        self._order_lease_seconds = order_lease_seconds
        self._configured_services = configured_services
        self._connections = ConnectionPool()
        self._short_since_by_service: dict[str, float] = {}
        self._load_by_service: dict[str, PromptLoad] = {}
        self._own_load_by_service: dict[str, PromptLoad] = {}
        self._no_order_log = NoOrderLog()

    def look(self) -> None:
        """Order the engines of each service that are to change, if this host leads."""
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
            busy_readers = self._busy_readers(name)
            self._load(name).note(now, busy_readers)
            self._own_load(name).note(now, busy_readers)
            self._shares(name).note(now, self._engine_use(name))
            self._orders.settle(self._all_engines(name))
        if services:
            self._engine_log.record_loads(self._known_loads(services))
        may_order = log_seconds >= self._order_lease_seconds + FOUNDING_SECONDS
        for name in services:
            if may_order:
                self._balance(name, fence)
            else:
                self._note_young_log(name)

    def _note_young_log(self, service_name: str) -> None:
        inputs = self._inputs(service_name, 0.0)
        self._no_order_log.note(service_name, NoOrderReason.LOG_TOO_YOUNG, inputs)

    def _follow(self) -> None:
        """Watch what all hosts tell to each control host, and forget the rest.

        What this host saw when it led says nothing of the load when it leads again.
        """
        self._load_by_service.clear()
        self._own_load_by_service.clear()
        self._shares_by_service.clear()
        self._known_term = None
        for name in self._services():
            self._short_for(name, self._watches.pressure_of(name))

    def _take_over(self, term: int) -> None:
        """Begin a term with the orders and the load that earlier leaders recorded."""
        pending = self._engine_log.pending_orders()
        self._orders.take_over(pending, self._order_lease_seconds)
        self._engine_log.begin_term()
        self._known_term = term
        extra = {"term": term, "pending": [order.start_id for order in pending]}
        logger.info("orders taken over", extra=extra)

    def _known_loads(self, services: Iterable[str]) -> list[EngineLoad]:
        loads = []
        for name in services:
            busiest, use = (
                self._own_load(name).busiest_noted,
                self._shares(name).mean_use,
            )
            if busiest is not None:
                loads.append(EngineLoad(name, busiest, use.reading, use.answering))
        return loads

    def _balance(self, service_name: str, fence: Fence) -> None:
        pressure = self._watches.pressure_of(service_name)
        short_for = self._short_for(service_name, pressure)
        orders = self._order_idle_readers(service_name, short_for, pressure, fence)
        orders += self._order_missing_readers(service_name, pressure, fence)
        orders += self._order_what_is_short(service_name, short_for, pressure, fence)
        if not orders:
            inputs = self._inputs(service_name, short_for)
            self._no_order_log.note(service_name, _no_order_reason(inputs), inputs)

    def _inputs(self, service_name: str, short_for: float) -> BalanceInputs:
        load, now = self._load(service_name), steady_seconds()
        engines = self._engines(service_name)
        pressure = self._watches.pressure_of(service_name)
        bounds = self._reader_bounds(service_name, engines, pressure, short_for)
        return BalanceInputs(
            len(engines.prefill),
            len(engines.decode),
            self._orders.count(self._all_engines(service_name)),
            bounds.kept,
            bounds.useful,
            bounds.least,
            load.busiest(now),
            load.least(now),
            self._shares(service_name).reading_share(now),
            bounds.lacks_memory,
            pressure.waited,
        )

    def _reader_bounds(
        self,
        service_name: str,
        engines: Engines,
        pressure: ServicePressure,
        short_for: float,
    ) -> ReaderBounds:
        lacks_memory = answers_lack_memory(engines, pressure, short_for)
        load, shares = self._load(service_name), self._shares(service_name)
        return reader_bounds(engines, load, shares, steady_seconds(), lacks_memory)

    def _fence(self) -> Fence | None:
        """Return the right to give orders, None on a host that doesn't lead for sure.

        A host leads for sure once it has applied an entry of its own term, and with it
        all orders of earlier leaders.
        """
        return self._replica.fence()

    def _order_idle_readers(
        self,
        service_name: str,
        short_for: float,
        pressure: ServicePressure,
        fence: Fence,
    ) -> int:
        """Order readers to answer that would be idle in a burst; return how many.

        None while an engine still changes to read: it reads for nobody yet, and may be
        replaced before it does. The one that prompts rely on meanwhile would be gone.
        For the same reason, only those that report now count as readers.
        """
        if self._changes_to(service_name, EndpointRole.PREFILL):
            return 0
        engines = self._engines(service_name).where(self._reports_now)
        bounds = self._reader_bounds(service_name, engines, pressure, short_for)
        if bounds.kept is None:
            return 0
        ordered = 0
        busiest = self._load(service_name).busiest(steady_seconds())
        allowed = self._allowed_changes(service_name, engines)
        for reader in idle_readers(engines, bounds.kept)[:allowed]:
            extra = {
                "endpoint_id": reader.endpoint_id,
                "kept_readers": bounds.kept,
                "busiest_readers": busiest,
                "useful_readers": bounds.useful,
                "readers_at_least": bounds.least,
                "lacks_memory": bounds.lacks_memory,
            }
            logger.info("reader would be idle in a burst", extra=extra)
            ordered += self._order(reader, EndpointRole.DECODE, fence, pressure)
        return ordered

    def _order_missing_readers(
        self, service_name: str, pressure: ServicePressure, fence: Fence
    ) -> int:
        """Order engines to read that prompts need for long; return how many."""
        engines = self._engines(service_name)
        now = steady_seconds()
        least = self._load(service_name).least(now)
        # Of few engines, one that answers is worth more than a spare reader.
        useful = self._shares(service_name).useful_readers(engines, now, least=1)
        missing = missing_readers(engines, least, useful)
        allowed = self._allowed_changes(service_name, engines)
        ordered = 0
        steady = self._steady(engines)
        for answering in steady.decode[: min(missing, allowed)]:
            extra = {
                "endpoint_id": answering.endpoint_id,
                "least_readers": least,
                "missing_readers": missing,
            }
            logger.info("prompts need a further reader", extra=extra)
            ordered += self._order(answering, EndpointRole.PREFILL, fence, pressure)
        return ordered

    def _changes_to(self, service_name: str, role: EndpointRole) -> bool:
        """Say whether any engine may still be carrying out an order to this role."""
        engines = self._all_engines(service_name)
        return any(
            self._orders.role_of(engine) is role and engine.role is not role
            for engine in engines
        )

    def _allowed_changes(self, service_name: str, engines: Engines) -> int:
        changing = self._orders.count(self._all_engines(service_name))
        return allowed_changes(engines, changing)

    def _order_what_is_short(
        self,
        service_name: str,
        short_for: float,
        pressure: ServicePressure,
        fence: Fence,
    ) -> int:
        """Order one engine where all readers are gone, or memory is short.

        Return how many were ordered.
        """
        engines = self._engines(service_name)
        useful = self._useful_readers(service_name, engines)
        steady = self._steady(engines)
        wanted = wanted_change(engines, pressure, short_for, useful, steady)
        if wanted is None:
            return 0
        return int(self._order(*wanted, fence, pressure))

    def _short_for(self, service_name: str, pressure: ServicePressure) -> float:
        """Return for how long requests have lacked memory, in seconds."""
        now = steady_seconds()
        if pressure.waited < WAITED_REQUESTS:
            self._short_since_by_service.pop(service_name, None)
            return 0.0
        return now - self._short_since_by_service.setdefault(service_name, now)

    def _services(self) -> set[str]:
        """Return the services that are configured to have engines, and have some.

        Any program may announce an engine, of any service: one that no configuration
        names must get no order.
        """
        return self._book.engine_services().intersection(self._configured_services())

    def _load(self, service_name: str) -> PromptLoad:
        if service_name not in self._load_by_service:
            told = self._engine_log.load_of(service_name)
            load = PromptLoad()
            if told is not None:
                # Hosts tell what prompts take also while nobody leads.
                pressure = self._watches.pressure_of(service_name)
                busiest = max(
                    told.busiest_readers, pressure.prompt_ms_per_second / 1000
                )
                load = PromptLoad.continued(steady_seconds(), busiest)
            self._load_by_service[service_name] = load
        return self._load_by_service[service_name]

    def _own_load(self, service_name: str) -> PromptLoad:
        """Return the load that this host has seen by itself."""
        return self._own_load_by_service.setdefault(service_name, PromptLoad())

    def _useful_readers(self, service_name: str, engines: Engines) -> int | None:
        return self._shares(service_name).useful_readers(engines, steady_seconds())

    def _shares(self, service_name: str) -> EngineShares:
        if service_name not in self._shares_by_service:
            told = self._engine_log.load_of(service_name)
            shares = EngineShares()
            if told is not None and told.reading > 0:
                use = EngineUse(told.reading, told.answering)
                shares = EngineShares.continued(steady_seconds(), use)
            self._shares_by_service[service_name] = shares
        return self._shares_by_service[service_name]

    def _engines(self, service_name: str) -> Engines:
        """Return a service's engines by the roles that they have or are ordered to.

        One that was ordered shows its new role seconds later. Weighed by the one that
        it shows, it would be chosen again at each look, and no other one be ordered.
        """
        by_role = defaultdict(list)
        for engine in self._all_engines(service_name):
            by_role[self._orders.role_of(engine) or engine.role].append(engine)
        return Engines(
            tuple(by_role[EndpointRole.PREFILL]), tuple(by_role[EndpointRole.DECODE])
        )

    def _steady(self, engines: Engines) -> Engines:
        """Return those that aren't carrying out an order, least busy ones first.

        An engine changes its role once all its answers have ended. One that reports
        nothing may have crashed: it comes last.
        """
        steady = engines.where(lambda engine: self._orders.role_of(engine) is None)
        decode = sorted(
            steady.decode,
            key=lambda engine: (
                not self._reports_now(engine),
                self._answer_count(engine),
            ),
        )
        return Engines(steady.prefill, tuple(decode))

    def _all_engines(self, service_name: str) -> tuple[Endpoint, ...]:
        return self._with_role(service_name, EndpointRole.PREFILL) + self._with_role(
            service_name, EndpointRole.DECODE
        )

    def _with_role(self, service_name: str, role: EndpointRole) -> tuple[Endpoint, ...]:
        """Return the engines that stay, in an order that is the same at each look."""
        found = [
            engine
            for engine in self._book.engines(service_name, role)
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
        """Order an engine to change its role; say whether it may have heard of it."""
        if self._orders.role_of(endpoint) is not None:
            # The order before may still be carried out, after this one.
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
            known_orders = self._known_orders(endpoint)
            if known_orders is None or not self._may_send(endpoint, role, fence):
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
            self._orders.note(endpoint, role)
            self._on_order()
            status, _ = self._ask(endpoint, self._interface.order_role(order))
        except EndpointError as error:
            logger.warning("order not answered", extra={**extra, "error": str(error)})
            return sent
        accepted = status in ACCEPTED
        if not accepted:
            self._orders.drop(endpoint)
            self._engine_log.withdraw_order(endpoint.start_id, endpoint.role)
        logger.info(
            "engine ordered" if accepted else "order refused",
            extra={**extra, "status": status},
        )
        return True

    def _may_send(self, endpoint: Endpoint, role: EndpointRole, fence: Fence) -> bool:
        """Record an order; say whether the lease lasts for its answer after that."""
        if fence.lease.remaining() < ANSWER_SECONDS:
            return False
        recorded_by = Deadline.after(RECORD_SECONDS)
        if not self._engine_log.record_order(endpoint.start_id, role, recorded_by):
            return False
        now = self._replica.fence()
        if now is not None and now.number == fence.number:
            if now.lease.remaining() >= ANSWER_SECONDS:
                return True
        self._engine_log.withdraw_order(endpoint.start_id, endpoint.role)
        return False

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
        # Of another start it would count that one's orders: an order that expects them
        # could be carried out by a start whose role nobody has weighed.
        if report.busy or not endpoint.may_be(report.started_at_ms):
            return None
        return report.orders

    def _ask(self, endpoint: Endpoint, question: EndpointQuestion) -> tuple[int, bytes]:
        deadline = Deadline.after(ANSWER_SECONDS)
        return ask_endpoint(
            self._connections,
            self._interface,
            self._notices,
            endpoint,
            question,
            deadline,
        )


def _no_order_reason(inputs: BalanceInputs) -> NoOrderReason:
    if inputs.changing:
        return NoOrderReason.ORDERS_UNDER_WAY
    if inputs.kept_readers is None:
        return NoOrderReason.LOAD_UNKNOWN
    return NoOrderReason.BALANCED
