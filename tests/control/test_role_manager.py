"""Tests of which engines are ordered to change role, and which host may order them."""

from __future__ import annotations

import json
from collections.abc import Callable, Collection, Sequence
from contextlib import nullcontext
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Failure

from jujubeslip.admission import EngineUse
from jujubeslip.control._engine_log import EngineLog, PendingOrder
from jujubeslip.control._engine_table import ORDER_EXPIRY_SECONDS
from jujubeslip.control._leadership import Fence
from jujubeslip.control._outstanding_orders import OutstandingOrders
from jujubeslip.control._role_balance import (
    MINIMUM_SHORTAGE_SECONDS,
    OBSERVATION_SECONDS,
)
from jujubeslip.control._role_manager import (
    BOOTSTRAP_MARGIN_SECONDS,
    PREFILL_ABSENCE_SECONDS,
    EnginesByRole,
    RoleManager,
    choose_role_change,
)
from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import EndpointOnHoldError
from jujubeslip.interfaces import InternalRequest, RoleOrder, interfaces
from jujubeslip.kernel import Deadline, load_plugins, steady_seconds
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import EndpointRole, EngineLoad, ServicePressure
from jujubeslip.platform._endpoint_answers import read_report
from jujubeslip.platform._endpoint_calls import ask_report, order_role, read_head
from tests.fakes.copying_engine import copying_engine
from tests.fakes.engines import engine


def engines(prefill: int, decode: int) -> EnginesByRole:
    return EnginesByRole(
        tuple(engine(f"p-{number}", EndpointRole.PREFILL) for number in range(prefill)),
        tuple(engine(f"d-{number}", EndpointRole.DECODE) for number in range(decode)),
    )


def pressure(waited: int = 10, prompt_ms: int = 500) -> ServicePressure:
    return ServicePressure("model", waited, prompt_ms)


class TestRoleChangeForShortage:
    """Guards against a lasting shortage of decode memory beside idle prefill engines.

    Two decode engines are lost while two prefill engines have time to spare. Half of
    the requests are then refused for lack of memory as long as the roles stay.
    """

    def test_prefill_engine_changes_to_decode(self) -> None:
        change = choose_role_change(engines(2, 2), pressure(), shortage_seconds=2.0)
        assert change is not None
        assert (change[0].endpoint_id, change[1]) == ("p-0", EndpointRole.DECODE)

    @pytest.mark.parametrize(
        ("prefill", "decode", "prompt_ms", "shortage_seconds"),
        [
            (2, 2, 500, 0.5),
            (2, 3, 500, 2.0),
            (1, 2, 500, 2.0),
            (2, 2, 900, 2.0),
        ],
        ids=["short shortage", "too few left", "last prefill", "prefill saturated"],
    )
    def test_nothing_changes_without_a_gain(
        self, prefill: int, decode: int, prompt_ms: int, shortage_seconds: float
    ) -> None:
        reported = pressure(prompt_ms=prompt_ms)
        assert (
            choose_role_change(engines(prefill, decode), reported, shortage_seconds)
            is None
        )

    def test_lost_prefill_engines_are_replaced(self) -> None:
        change = choose_role_change(
            engines(0, 4), pressure(waited=0), shortage_seconds=0.0
        )
        assert change is not None and change[1] is EndpointRole.PREFILL

    @pytest.mark.parametrize(
        ("lacks_prefill_for_long", "ordered"), [(False, False), (True, True)]
    )
    def test_lost_prefill_engines_of_three_are_replaced_later(
        self, lacks_prefill_for_long: bool, ordered: bool
    ) -> None:
        """Guards against an order that leaves two engines while others return."""
        change = choose_role_change(
            engines(0, 3),
            pressure(waited=0),
            shortage_seconds=0.0,
            lacks_prefill_for_long=lacks_prefill_for_long,
        )
        assert (change is not None) is ordered


class TestEnginesChangingToDecode:
    """Guards against an order to the only engine that currently decodes."""

    def test_last_decode_engine_is_not_ordered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = engines(2, 1)
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        for changing in group.prefill:
            manager._orders.record(changing, EndpointRole.DECODE)
        manager.scan()
        assert fake_engines.orders == 0


class TestThreeDecodeEnginesAlone:
    """Guards against a wait for a prefill engine that begins anew with each leader."""

    @pytest.mark.parametrize(
        ("absent_seconds", "orders"),
        [(0.9 * PREFILL_ABSENCE_SECONDS, 0), (PREFILL_ABSENCE_SECONDS, 1)],
    )
    def test_are_ordered_by_how_long_followers_knew_none(
        self, monkeypatch: pytest.MonkeyPatch, absent_seconds: float, orders: int
    ) -> None:
        registry = EndpointRegistry()
        registry.merge(engines(0, 3).decode)
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        now = steady_seconds()
        monkeypatch.setattr(manager, "_fence", lambda: None)
        manager.scan()
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        monkeypatch.setattr(
            "jujubeslip.control._role_manager.steady_seconds",
            lambda: now + absent_seconds + 0.1,
        )
        manager.scan()
        assert fake_engines.orders == orders


class TestEngineWithFewestDecodes:
    """Guards against a long wait for prefill until a full engine's decodes end."""

    def test_is_ordered_to_prefill(self, monkeypatch: pytest.MonkeyPatch) -> None:
        group = engines(0, 4)
        registry = EndpointRegistry()
        registry.merge(group.decode)
        decodes_by_id = {"d-0": 9, "d-1": 1, "d-2": 4, "d-3": 5}
        manager, _ = role_manager(
            monkeypatch,
            registry,
            {"model"},
            answer_count=lambda item: decodes_by_id[item.endpoint_id],
        )
        manager.scan()
        assert manager._orders.role_of(group.decode[1]) is EndpointRole.PREFILL


class TestOrder:
    def test_carries_fencing_number_and_expected_order_count(self) -> None:
        order = RoleOrder("e-1", EndpointRole.DECODE, "control-1", 41, 2)
        internal_request = order_role(order)
        assert json.loads(internal_request.body) == {
            "op": "stage",
            "stage": "decode",
            "holder": "control-1",
            "fence": 41,
            "expect": 2,
        }
        assert ("Expect-Instance", "e-1") in internal_request.headers

    def test_report_with_missing_fields_is_refused(self) -> None:
        for body in (b"", b"[]", b"{}", b'{"runs": [[1]]}'):
            assert isinstance(read_report(body), Failure)


class FakeEngines:
    """Replaces the engines and counts the orders that reach them."""

    def __init__(self) -> None:
        self.orders = 0
        self.status = 202
        self.report: dict[str, object] = REPORT

    def __call__(
        self, endpoint: Endpoint, internal_request: InternalRequest
    ) -> tuple[int, bytes]:
        if internal_request.method == "GET":
            return 200, json.dumps(self.report).encode()
        self.orders += 1
        return self.status, b""


class FakeEngineLog(EngineLog):
    """Replaces the log of engines and holds the entries of an earlier leader."""

    def __init__(
        self, pending: Sequence[PendingOrder] = (), load: EngineLoad | None = None
    ) -> None:
        self.recorded: list[str] = []
        self.commits = True
        self.age = 3600.0
        self._pending = pending
        self._prefill_load = load

    def record_order(
        self, start_id: str, role: EndpointRole, deadline: Deadline
    ) -> bool:
        self.recorded.append(start_id)
        return self.commits

    def record_loads(self, loads: Collection[EngineLoad]) -> None:
        pass

    def pending_orders(self) -> list[PendingOrder]:
        return list(self._pending)

    def withdraw_order(self, start_id: str, role: EndpointRole) -> None:
        self.recorded.append(start_id)

    def begin_term(self) -> None:
        pass

    def age_seconds(self) -> float:
        return self.age

    def load_of(self, service_name: str) -> EngineLoad | None:
        return self._prefill_load


REPORT: dict[str, object] = {
    "stage": "prefill",
    "queued": 0,
    "kvUsed": 0,
    "kvCapacity": 100,
    "runs": [],
    "seq": 0,
    "busy": False,
}


class TestEnginesOfUnconfiguredServices:
    """Guards against orders to engines of a service that is not configured.

    Any program may announce engines, also for a service that no configuration names or
    that is configured without engines. An order would change their role unexpectedly.
    """

    @pytest.mark.parametrize(("configured", "orders"), [(set(), 0), ({"model"}, 1)])
    def test_get_orders_only_for_a_configured_service(
        self, monkeypatch: pytest.MonkeyPatch, configured: set[str], orders: int
    ) -> None:
        registry = EndpointRegistry()
        registry.merge(engines(0, 4).decode)
        manager, fake_engines = role_manager(monkeypatch, registry, configured)
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        manager.scan()
        assert fake_engines.orders == orders


class TestUnusableReport:
    """Guards against an order with a wrong expected count.

    The engine reports its count of accepted orders as a string instead of a number.
    """

    def test_prevents_an_order(self, monkeypatch: pytest.MonkeyPatch) -> None:
        registry = EndpointRegistry()
        registry.merge(engines(0, 4).decode)
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        fake_engines.report = {**REPORT, "seq": "0"}
        manager.scan()
        assert fake_engines.orders == 0
        fake_engines.report = REPORT
        manager.scan()
        assert fake_engines.orders == 1


def role_manager(
    monkeypatch: pytest.MonkeyPatch,
    registry: EndpointRegistry,
    configured: set[str],
    notices: EndpointNotices | None = None,
    has_recent_report: Callable[[Endpoint], bool] = lambda _: True,
    engine_log: FakeEngineLog | None = None,
    answer_count: Callable[[Endpoint], int] = lambda _: 0,
) -> tuple[RoleManager, FakeEngines]:
    """Return a role manager of these services, and the engines that it calls."""
    watches: Any = SimpleNamespace(pressure_of=lambda name: pressure())
    replica: Any = SimpleNamespace(
        settings=SimpleNamespace(host_id="control-1"),
        lock=nullcontext(),
        fence=lambda: Fence(1, Deadline.after(10)),
    )
    interface: Any = SimpleNamespace(
        ask_report=ask_report, read_report=read_report, order_role=order_role
    )
    manager = RoleManager(
        replica,
        engine_log or FakeEngineLog(),
        registry,
        watches,
        interface,
        3.0,
        lambda: configured,
        OutstandingOrders(),
        lambda _: 0.0,
        lambda: None,
        lambda _: EngineUse(0.0, 0.0),
        notices,
        has_recent_report,
        answer_count,
    )
    fake_engines = FakeEngines()
    monkeypatch.setattr(manager, "_ask", fake_engines)
    return manager, fake_engines


class TestOrderDuringExpiringLease:
    """Guards against an engine that waits thirteen seconds for an order never sent.

    The leader's lease is about to expire when an engine is to be ordered. The order is
    postponed until the lease is renewed, and must not count as given before that.
    """

    def test_is_sent_at_the_next_scan(self, monkeypatch: pytest.MonkeyPatch) -> None:
        group = engines(2, 2)
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        monkeypatch.setattr(manager, "_shortage_seconds", lambda name, reported: 2.0)
        leases = [Deadline.after(0.1), Deadline.after(10), Deadline.after(10)]
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, leases.pop(0)))
        manager.scan()
        assert fake_engines.orders == 0
        manager.scan()
        assert fake_engines.orders == 1
        manager.scan()
        assert fake_engines.orders == 1


class TestOrderAcrossARestart:
    """Guards against an order to another start of the engine than it was meant for.

    An engine restarts between its announcement and the order. The new start responds
    under the same id, with no orders accepted, and would carry out an order that was
    decided for the role of the previous start.
    """

    @pytest.mark.parametrize(("reports", "orders"), [(5, 1), (9, 0), (None, 1)])
    def test_another_start_is_not_ordered(
        self, monkeypatch: pytest.MonkeyPatch, reports: int | None, orders: int
    ) -> None:
        ordered = engine("p-0", EndpointRole.PREFILL, started_at_ms=5)
        registry = EndpointRegistry()
        registry.merge([ordered, *engines(0, 2).decode, *engines(2, 0).prefill[1:]])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        fake_engines.report = REPORT if reports is None else {**REPORT, "born": reports}
        monkeypatch.setattr(manager, "_shortage_seconds", lambda name, reported: 2.0)
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        manager.scan()
        assert fake_engines.orders == orders


class TestReportThatIsSentTwice:
    """Guards against the acceptance of an order that is the copy of a report."""

    def test_accepts_no_order(self, monkeypatch: pytest.MonkeyPatch) -> None:
        load_plugins()
        with copying_engine() as running:
            running.answers_twice = True
            group = [
                replace(item, address=running.address) for item in engines(0, 4).decode
            ]
            registry = EndpointRegistry()
            registry.merge(group)
            manager, _ = role_manager(monkeypatch, registry, {"model"})
            monkeypatch.delattr(manager, "_ask")
            monkeypatch.setattr(manager, "_interface", interfaces.get("platform"))
            monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
            manager.scan()
        assert running.calls == ["/report", "/order"]
        assert not [item for item in group if manager._orders.role_of(item)]


class TestIdlePrefillEngines:
    """Guards against orders that leave no prefill engine.

    Two of four prefill engines are idle and are ordered to decode. While they change,
    they must count in their new role, or the other two would be ordered as well.
    """

    def manager(
        self, monkeypatch: pytest.MonkeyPatch, prefill: int
    ) -> tuple[RoleManager, FakeEngines]:
        """Return a manager of this many prefill engines, of which one is busy."""
        group = engines(prefill, 5)
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        load = SimpleNamespace(
            record=lambda *_: None, peak=lambda _: 1.0, sustained=lambda _: 0.0
        )
        monkeypatch.setattr(manager, "_prefill_load", lambda _: load)
        return manager, fake_engines

    def test_are_ordered_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        manager, fake_engines = self.manager(monkeypatch, prefill=4)
        for _ in range(3):
            manager.scan()
        assert fake_engines.orders == 2

    def test_are_ordered_again_after_a_refusal(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        manager, fake_engines = self.manager(monkeypatch, prefill=3)
        fake_engines.status = 409
        manager.scan()
        fake_engines.status = 202
        manager.scan()
        manager.scan()
        assert fake_engines.orders == 2

    def test_are_ordered_few_at_a_time(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An engine serves in neither role until it is known to have changed."""
        manager, fake_engines = self.manager(monkeypatch, prefill=6)
        manager.scan()
        manager.scan()
        assert fake_engines.orders == 2

    def test_more_are_ordered_once_the_first_have_changed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        manager, fake_engines = self.manager(monkeypatch, prefill=6)
        manager.scan()
        assert fake_engines.orders == 2
        group = engines(6, 5)
        for changed in group.prefill[:2]:
            manager._registry.merge(
                [replace(changed, role=EndpointRole.DECODE, sequence=9)]
            )
        manager.scan()
        assert fake_engines.orders == 4


class TestPrefillEngineThatRestartsDuringAChange:
    """Guards against an order to the only working prefill engine.

    One of two prefill engines crashes, and a decode engine is ordered to prefill. Half
    a second later the crashed one is back. If all three count as prefill engines, the
    only one that works is ordered to decode. Prompts are then granted no prefill engine
    until another one works, and requests are refused for lack of memory.
    """

    @pytest.mark.parametrize(("changes", "orders"), [(True, 1), (False, 2)])
    def test_working_prefill_engines_are_not_ordered(
        self, monkeypatch: pytest.MonkeyPatch, changes: bool, orders: int
    ) -> None:
        group = engines(1, 6)
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        busy = [1.0]
        load = SimpleNamespace(
            record=lambda *_: None, peak=lambda _: 1.0, sustained=lambda _: busy[0]
        )
        monkeypatch.setattr(manager, "_prefill_load", lambda _: load)
        manager.scan()
        assert fake_engines.orders == 1
        busy[0] = 0.0
        back = engine("back", EndpointRole.PREFILL)
        registry.merge([replace(back, address="127.0.0.1:2")])
        if not changes:
            ordered = next(
                item for item in group.decode if manager._orders.role_of(item)
            )
            registry.merge([replace(ordered, role=EndpointRole.PREFILL, sequence=9)])
        manager.scan()
        assert fake_engines.orders == orders


class TestCrashedPrefillEngine:
    """Guards against an order to the last prefill engine beside a crashed one."""

    @pytest.mark.parametrize(("reports", "orders"), [(True, 1), (False, 0)])
    def test_does_not_count_as_one_that_stays(
        self, monkeypatch: pytest.MonkeyPatch, reports: bool, orders: int
    ) -> None:
        group = engines(3, 9)
        crashed = group.prefill[2].start_id
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(
            monkeypatch,
            registry,
            {"model"},
            has_recent_report=lambda item: reports or item.start_id != crashed,
        )
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        load = SimpleNamespace(
            record=lambda *_: None, peak=lambda _: 1.0, sustained=lambda _: 0.0
        )
        monkeypatch.setattr(manager, "_prefill_load", lambda _: load)
        manager.scan()
        assert fake_engines.orders == orders


class TestMissingPrefillEngines:
    """Guards against scans that choose the same engine again while it changes.

    One engine was ordered to prefill and takes ten seconds to change, while prompts
    need another one. If the ordered engine counts as orderable, each scan in that time
    logs "prompts need a further prefill engine" for it and orders no other one.
    """

    def test_are_ordered_beside_one_that_still_changes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = engines(2, 12)
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        sustained = [2.0]
        load = SimpleNamespace(
            record=lambda *_: None,
            peak=lambda _: None,
            sustained=lambda _: sustained[0],
        )
        monkeypatch.setattr(manager, "_prefill_load", lambda _: load)
        manager.scan()
        assert fake_engines.orders == 1
        manager.scan()
        assert fake_engines.orders == 1
        sustained[0] = 4.0
        manager.scan()
        assert fake_engines.orders == 2


class TestRegainedLeadership:
    """Guards against orders based on the load of an earlier term.

    A control host leads, loses its lease in a network partition, and leads again. In
    between it observed no load at all.
    """

    def test_starts_a_new_observation(self, monkeypatch: pytest.MonkeyPatch) -> None:
        registry = EndpointRegistry()
        registry.merge([*engines(6, 5).prefill, *engines(6, 5).decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        manager._prefill_load("model").record(0.0, 1.0)
        monkeypatch.setattr(manager._replica, "fence", lambda: None)
        manager.scan()
        assert manager._prefill_load("model").peak(OBSERVATION_SECONDS) is None
        assert fake_engines.orders == 0


class TestEngineThatLeavesOrAskedForBackoff:
    """Guards against calls to engines that are leaving or have asked for backoff."""

    def test_is_given_no_order(self, monkeypatch: pytest.MonkeyPatch) -> None:
        group = engines(0, 4)
        registry, notices = EndpointRegistry(), EndpointNotices()
        registry.merge(group.decode)
        for leaving in group.decode:
            head = read_head(200, [("Server-Leaving", "1")])
            notices.record_internal_answer(leaving, head)
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"}, notices)
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        manager.scan()
        assert fake_engines.orders == 0

    def test_is_not_called(self, monkeypatch: pytest.MonkeyPatch) -> None:
        notices, refusing = EndpointNotices(), engine("refusing")
        notices.record_internal_answer(refusing, read_head(503, [("Retry-After", "9")]))
        manager, _ = role_manager(monkeypatch, EndpointRegistry(), {"model"}, notices)
        monkeypatch.undo()
        with pytest.raises(EndpointOnHoldError):
            manager._ask(refusing, ask_report("refusing"))


class TestEngineThatStillChanges:
    """Guards against a pending order that prevents an order to another engine."""

    def manager(
        self, monkeypatch: pytest.MonkeyPatch, group: EnginesByRole
    ) -> tuple[RoleManager, FakeEngines]:
        """Return a manager whose first prefill engine is ordered to decode."""
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        manager._orders.record(group.prefill[0], EndpointRole.DECODE)
        return manager, fake_engines

    def test_another_one_replaces_the_last_prefill_engine(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        manager, fake_engines = self.manager(monkeypatch, engines(1, 3))
        for _ in range(2):
            manager.scan()
        assert fake_engines.orders == 1

    def test_another_one_is_ordered_when_prompts_need_it(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        manager, fake_engines = self.manager(monkeypatch, engines(3, 12))
        load = SimpleNamespace(
            record=lambda *_: None, peak=lambda _: None, sustained=lambda _: 2.0
        )
        monkeypatch.setattr(manager, "_prefill_load", lambda _: load)
        for _ in range(2):
            manager.scan()
        assert fake_engines.orders == 1


class TestShortageBeforeTakeover:
    """Guards against a shortage that counts only from the end of a takeover."""

    def test_is_handled_at_the_first_scan_that_may_order(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = engines(2, 2)
        registry = EndpointRegistry()
        registry.merge([*group.prefill, *group.decode])
        manager, fake_engines = role_manager(monkeypatch, registry, {"model"})
        now = steady_seconds()
        monkeypatch.setattr(
            "jujubeslip.control._role_manager.steady_seconds", lambda: now
        )
        monkeypatch.setattr(manager, "_fence", lambda: None)
        manager.scan()
        now += 2 * MINIMUM_SHORTAGE_SECONDS
        monkeypatch.setattr(manager, "_fence", lambda: Fence(1, Deadline.after(10)))
        manager.scan()
        assert fake_engines.orders == 1


class TestNextLeader:
    """Guards against a new leader that waits, or repeats the previous one's orders."""

    def manager(
        self, monkeypatch: pytest.MonkeyPatch, engine_log: FakeEngineLog
    ) -> tuple[RoleManager, FakeEngines]:
        """Return the manager of a new leader, with three decode engines."""
        registry = EndpointRegistry()
        registry.merge(engines(0, 4).decode)
        manager, fake_engines = role_manager(
            monkeypatch, registry, {"model"}, engine_log=engine_log
        )
        return manager, fake_engines

    def test_orders_at_its_first_scan(self, monkeypatch: pytest.MonkeyPatch) -> None:
        manager, fake_engines = self.manager(monkeypatch, FakeEngineLog())
        manager.scan()
        assert fake_engines.orders == 1

    def test_skips_an_engine_that_was_ordered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        until = Deadline.after(ORDER_EXPIRY_SECONDS)
        pending = PendingOrder("d-0", EndpointRole.PREFILL, Deadline.after(0), until)
        manager, fake_engines = self.manager(monkeypatch, FakeEngineLog([pending]))
        manager.scan()
        assert fake_engines.orders == 0

    def test_skips_it_even_if_it_has_the_role(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Two hosts must not order the same engine within one order lease."""
        until = Deadline.after(ORDER_EXPIRY_SECONDS)
        pending = [
            PendingOrder(f"d-{number}", EndpointRole.DECODE, Deadline.after(0), until)
            for number in range(3)
        ]
        manager, fake_engines = self.manager(monkeypatch, FakeEngineLog(pending))
        manager.scan()
        assert fake_engines.orders == 0

    def test_sends_no_order_that_is_not_in_the_log(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        engine_log = FakeEngineLog()
        engine_log.commits = False
        manager, fake_engines = self.manager(monkeypatch, engine_log)
        manager.scan()
        assert engine_log.recorded and fake_engines.orders == 0

    def test_waits_after_the_log_was_bootstrapped(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        engine_log = FakeEngineLog()
        manager, fake_engines = self.manager(monkeypatch, engine_log)
        engine_log.age = 3.0
        manager.scan()
        assert fake_engines.orders == 0
        engine_log.age = 3.0 + BOOTSTRAP_MARGIN_SECONDS
        manager.scan()
        assert fake_engines.orders == 1

    def test_starts_with_the_load_of_the_previous_leader(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        load = EngineLoad("model", 0.7, 0.1, 1.9)
        manager, _ = self.manager(monkeypatch, FakeEngineLog(load=load))
        manager.scan()
        now = steady_seconds()
        assert manager._prefill_load("model").peak(now) == load.busiest_readers
        assert manager._role_shares("model").prefill_share(now) == pytest.approx(
            load.reading / (load.reading + load.answering), abs=0.01
        )
