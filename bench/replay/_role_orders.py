"""The leader's role orders to the engines of a simulation."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from contextlib import nullcontext
from types import SimpleNamespace
from typing import Any

from returns.result import Result, Success

from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._home import RECENT_REPORT_SECONDS
from jujubeslip.control._engine_log import EngineLog
from jujubeslip.control._engine_table import EngineTable
from jujubeslip.control._leadership import Fence
from jujubeslip.control._outstanding_orders import OutstandingOrders
from jujubeslip.control._role_manager import RoleManager
from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.interfaces import InternalRequest, RoleOrder
from jujubeslip.kernel import ControlSettings, Deadline, steady_seconds
from jujubeslip.peers import EndpointRole, EngineLoads, EngineOrder, ServicePressure
from jujubeslip.routes import EngineReport

SERVICE_NAME = "model"
LEASE_SECONDS = 10.0
ACCEPTED = 202
REPORTED = 200


class ReplayedRoles:
    """Gives the orders of a long-established leader, and of the leaders after it."""

    def __init__(
        self,
        pool: EnginePool,
        on_order: Callable[[str, EndpointRole], None],
        changing: Collection[str],
    ) -> None:
        self.orders = 0
        self._pool = pool
        self._on_order = on_order
        self._changing = changing
        self._pressures = Pressures()
        self._engines: Sequence[Endpoint] = ()
        self._may_order = True
        self._asked_endpoint_id = ""
        self._ordered: RoleOrder | None = None
        self._engine_table = EngineTable()
        self._engine_table.set_loads(EngineLoads([]), 0)
        self._term = 1
        self._role_manager = self._new_role_manager()

    def take_over(self) -> None:
        """Make another host the leader; it knows only what the log contains."""
        self._term += 1
        self._role_manager = self._new_role_manager()

    def _commit(self, command: EngineOrder | EngineLoads) -> None:
        if isinstance(command, EngineOrder):
            self._engine_table.add_order(command, _stamp_ms())
        else:
            self._engine_table.set_loads(command, _stamp_ms())

    def _new_role_manager(self) -> _ReplayedRoleManager:
        pool = self._pool
        replica: Any = SimpleNamespace(
            settings=SimpleNamespace(host_id="control-1"),
            lock=nullcontext(),
            fence=self._fence,
            require_leader=lambda: SimpleNamespace(stamp_ms=_stamp_ms),
            machine=SimpleNamespace(engines=self._engine_table),
            propose=lambda command, _: self._commit(command),
            submit=self._commit,
        )
        registry: Any = SimpleNamespace(
            engines=self._with_role, engine_services=lambda: {SERVICE_NAME}
        )
        watches: Any = SimpleNamespace(pressure_of=self._pressure)
        interface: Any = SimpleNamespace(
            ask_report=self._note_report_request,
            read_report=self._read_report,
            order_role=self._note_order,
        )
        role_manager = _ReplayedRoleManager(
            replica,
            EngineLog(replica),
            registry,
            watches,
            interface,
            ControlSettings.order_lease_ms / 1000,
            lambda: {SERVICE_NAME},
            OutstandingOrders(),
            lambda _: pool.busy_prefill_engines,
            lambda: None,
            lambda _: pool.use,
            has_recent_report=lambda engine: pool.reported_within(
                engine.start_id, RECENT_REPORT_SECONDS
            ),
            answer_count=lambda engine: pool.answer_count(engine.start_id),
        )
        role_manager.answer = self._answer
        return role_manager

    def scan(self, engines: Sequence[Endpoint], may_order: bool) -> None:
        """Scan the engines; order role changes if `may_order` is set."""
        self._engines, self._may_order = engines, may_order
        self._role_manager.scan()

    def note_wait(self, seconds: float) -> None:
        """Record how long a request waited for a grant, granted or not."""
        self._pressures.note_wait(SERVICE_NAME, seconds)

    def note_prompt(self, seconds: float) -> None:
        """Record how long an engine takes for a prompt."""
        self._pressures.note_prompt(SERVICE_NAME, seconds)

    def _fence(self) -> Fence | None:
        if not self._may_order:
            return None
        return Fence(self._term, Deadline.after(LEASE_SECONDS))

    def _with_role(self, _: str, role: EndpointRole) -> list[Endpoint]:
        return [engine for engine in self._engines if engine.role is role]

    def _pressure(self, _: str) -> ServicePressure:
        pressures = self._pressures.report()
        return pressures[0] if pressures else ServicePressure(SERVICE_NAME, 0, 0)

    def _note_report_request(self, name: str) -> None:
        self._asked_endpoint_id = name

    def _read_report(self, _: bytes) -> Result[EngineReport, str]:
        return Success(
            EngineReport(1, 0, 0, (), busy=self._asked_endpoint_id in self._changing)
        )

    def _note_order(self, order: RoleOrder) -> RoleOrder:
        self._ordered = order
        return order

    def _answer(self) -> tuple[int, bytes]:
        order, self._ordered = self._ordered, None
        if order is None:
            return REPORTED, b""
        self.orders += 1
        self._on_order(order.endpoint_id, order.role)
        return ACCEPTED, b""


def _stamp_ms() -> int:
    return int(steady_seconds() * 1000)


class _ReplayedRoleManager(RoleManager):
    """Gives its orders to the simulated engines, without a connection."""

    answer: Callable[[], tuple[int, bytes]]

    def _ask(
        self, endpoint: Endpoint, internal_request: InternalRequest
    ) -> tuple[int, bytes]:
        return self.answer()
