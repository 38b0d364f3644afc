"""The leader's orders to engines, over the engines of a replay."""

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
    """Gives orders as a leader does that has led for long, and as those after it."""

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
        self._asked = ""
        self._ordered: RoleOrder | None = None
        self._engine_table = EngineTable()
        self._engine_table.set_loads(EngineLoads([]), 0)
        self._term = 1
        self._keeper = self._new_keeper()

    def take_over(self) -> None:
        """Let another host lead from now on, which knows the log alone."""
        self._term += 1
        self._keeper = self._new_keeper()

    def _commit(self, command: EngineOrder | EngineLoads) -> None:
        if isinstance(command, EngineOrder):
            self._engine_table.add_order(command, _stamp_ms())
        else:
            self._engine_table.set_loads(command, _stamp_ms())

    def _new_keeper(self) -> _Keeper:
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
        book: Any = SimpleNamespace(
            engines=self._with_role, engine_services=lambda: {SERVICE_NAME}
        )
        watches: Any = SimpleNamespace(pressure_of=self._pressure)
        interface: Any = SimpleNamespace(
            ask_report=self._note_asked,
            read_report=self._read_report,
            order_role=self._note_order,
        )
        keeper = _Keeper(
            replica,
            EngineLog(replica),
            book,
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
        keeper.answer = self._answer
        return keeper

    def look(self, engines: Sequence[Endpoint], may_order: bool) -> None:
        """Order engines to change, if that is allowed now."""
        self._engines, self._may_order = engines, may_order
        self._keeper.scan()

    def note_wait(self, seconds: float) -> None:
        """Note how long a request waited for a grant, found or not."""
        self._pressures.note_wait(SERVICE_NAME, seconds)

    def note_prompt(self, seconds: float) -> None:
        """Note how long an engine takes for a prompt."""
        self._pressures.note_prompt(SERVICE_NAME, seconds)

    def _fence(self) -> Fence | None:
        if not self._may_order:
            return None
        return Fence(self._term, Deadline.after(LEASE_SECONDS))

    def _with_role(self, _: str, role: EndpointRole) -> list[Endpoint]:
        return [engine for engine in self._engines if engine.role is role]

    def _pressure(self, _: str) -> ServicePressure:
        told = self._pressures.report()
        return told[0] if told else ServicePressure(SERVICE_NAME, 0, 0)

    def _note_asked(self, name: str) -> None:
        self._asked = name

    def _read_report(self, _: bytes) -> Result[EngineReport, str]:
        return Success(EngineReport(1, 0, 0, (), busy=self._asked in self._changing))

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


class _Keeper(RoleManager):
    """Gives its orders to the engines of the replay, without a connection."""

    answer: Callable[[], tuple[int, bytes]]

    def _ask(
        self, endpoint: Endpoint, internal_request: InternalRequest
    ) -> tuple[int, bytes]:
        return self.answer()
