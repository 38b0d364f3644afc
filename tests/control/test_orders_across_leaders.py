"""Tests of what a new leader knows of earlier orders and loads."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from threading import RLock
from types import SimpleNamespace
from typing import Any

import pytest

from bench.replay._clock import VirtualClock
from jujubeslip.admission import EngineUse
from jujubeslip.control._engine_log import EngineLog
from jujubeslip.control._engine_table import EngineTable
from jujubeslip.control._leadership import Fence, Leadership
from jujubeslip.control._outstanding_orders import OutstandingOrders
from jujubeslip.control._role_balance import SATURATED_SECONDS, EnginesByRole
from jujubeslip.control._role_manager import SCAN_INTERVAL_SECONDS, RoleManager
from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import EndpointError
from jujubeslip.interfaces import InternalRequest
from jujubeslip.kernel import Deadline
from jujubeslip.peers import (
    EndpointRole,
    EngineLoads,
    EngineOrder,
    NotLeader,
    PeerRefusal,
)
from jujubeslip.platform._endpoint_answers import read_report
from jujubeslip.platform._endpoint_calls import ask_report, order_role
from tests.control.test_role_manager import FakeEngines, engines, pressure

ORDER_LEASE_SECONDS = 3.0
LEASE_SECONDS = 0.6
ACCEPTED = 202
REFUSED = 409
# For how long leaders have used the log, in milliseconds.
LOG_AGE_MS = 60_000


class SharedLog:
    """The log of all hosts, in which each proposed command is committed at once."""

    def __init__(self, engine_table: EngineTable) -> None:
        self.engines = engine_table
        self.last_stamp_ms = 0

    def commit(self, command: EngineOrder | EngineLoads, stamp_ms: int) -> None:
        """Apply a command at this log time."""
        self.last_stamp_ms = stamp_ms
        if isinstance(command, EngineOrder):
            self.engines.add_order(command, stamp_ms)
        else:
            self.engines.set_loads(command, stamp_ms)


class Host:
    """A control host that leads when the test says so, and knows only the log."""

    def __init__(
        self,
        log: SharedLog,
        registry: EndpointRegistry,
        clock: VirtualClock,
        crashed: set[str],
        name: str,
    ) -> None:
        self.fake_engines = FakeEngines()
        self.decodes_by_id: dict[str, int] = {}
        self._crashed = crashed
        self._registry = registry
        self.busy_prefill_engines = 0.0
        self.commit_seconds = 0.0
        self.has_lease = True
        self.orders = OutstandingOrders()
        self._log = log
        self._clock = clock
        self._leadership: Leadership | None = None
        replica: Any = SimpleNamespace(
            settings=SimpleNamespace(host_id=name),
            lock=RLock(),
            fence=self._fence,
            require_leader=self._require_leader,
            machine=SimpleNamespace(engines=log.engines),
            propose=self._propose,
            submit=self._commit,
        )
        interface: Any = SimpleNamespace(
            ask_report=ask_report, read_report=read_report, order_role=order_role
        )
        watches: Any = SimpleNamespace(
            pressure_of=lambda _: pressure(waited=0, prompt_ms=0)
        )
        self.manager = RoleManager(
            replica,
            EngineLog(replica),
            registry,
            watches,
            interface,
            ORDER_LEASE_SECONDS,
            lambda: {"model"},
            self.orders,
            lambda _: self.busy_prefill_engines,
            lambda: None,
            lambda _: EngineUse(
                self.busy_prefill_engines, 3 * self.busy_prefill_engines
            ),
            has_recent_report=lambda item: item.endpoint_id not in crashed,
            answer_count=lambda item: self.decodes_by_id.get(item.endpoint_id, 0),
        )
        self.manager._ask = self._ask  # type: ignore[method-assign]

    def start_leading(self, term: int) -> None:
        """Begin a term."""
        stamp_ms = self._log.last_stamp_ms
        self._leadership = Leadership(term, "replica", 0, stamp_ms)

    def stop_leading(self) -> None:
        """Lose the leadership."""
        self._leadership = None

    def scan(self, seconds: float = 0.0) -> None:
        """Scan once, and then repeatedly for this many seconds."""
        self.manager.scan()
        for _ in range(round(seconds / SCAN_INTERVAL_SECONDS)):
            self._clock.now += SCAN_INTERVAL_SECONDS
            self._announce_again()
            self.manager.scan()

    def _announce_again(self) -> None:
        """Let all engines that are not leaving report now."""
        now = self._clock.now
        self._registry.merge(
            replace(item, sequence=item.sequence + 1, heard_at=now)
            for item in self._registry.endpoints()
            if item.accepts_work
        )

    def _ask(
        self, endpoint: Endpoint, internal_request: InternalRequest
    ) -> tuple[int, bytes]:
        if endpoint.endpoint_id in self._crashed:
            raise EndpointError("connection refused")
        return self.fake_engines(endpoint, internal_request)

    def _propose(self, command: EngineOrder, deadline: Deadline) -> None:
        waits = min(self.commit_seconds, deadline.remaining())
        self._commit(command)
        self._clock.now += waits
        if waits < self.commit_seconds:
            raise PeerRefusal("not_committed", "", "", 0)

    def _commit(self, command: EngineOrder | EngineLoads) -> None:
        self._log.commit(command, self._require_leader().stamp_ms())

    def _fence(self) -> Fence | None:
        if self._leadership is None or not self.has_lease:
            return None
        return Fence(self._leadership.term, Deadline.after(LEASE_SECONDS))

    def _require_leader(self) -> Leadership:
        if self._leadership is None:
            raise NotLeader("", "")
        return self._leadership


class Hosts:
    """Control hosts with one log and one registry of engines."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.crashed: set[str] = set()
        self.registry = EndpointRegistry()
        self.log = SharedLog(EngineTable())
        # A cluster bootstrapped a while ago, whose leaders record their orders.
        self.log.commit(EngineLoads([]), 0)
        self.log.last_stamp_ms = LOG_AGE_MS
        self.new = partial(Host, self.log, self.registry, clock, self.crashed)

    def announce(self, group: EnginesByRole) -> None:
        """Let these engines report now."""
        self.registry.merge([*group.prefill, *group.decode])


@pytest.fixture
def hosts() -> Iterator[Hosts]:
    with VirtualClock() as clock:
        yield Hosts(clock)


class TestOrderThatWasRefused:
    """Guards against an engine that stays unused after it has refused an order."""

    def refused(self, hosts: Hosts) -> Host:
        """Return a leader whose order an engine has refused."""
        hosts.announce(engines(0, 4))
        leader = hosts.new("control-1")
        leader.start_leading(1)
        leader.fake_engines.status = REFUSED
        leader.scan()
        assert leader.fake_engines.orders == 1
        hosts.clock.now += ORDER_LEASE_SECONDS
        return leader

    def test_is_not_pending_for_the_next_leader(self, hosts: Hosts) -> None:
        self.refused(hosts).stop_leading()
        successor = hosts.new("control-2")
        successor.start_leading(2)
        successor.scan()
        group = engines(0, 4).decode
        assert [successor.orders.role_of(item) for item in group].count(
            EndpointRole.PREFILL
        ) == successor.fake_engines.orders

    def test_is_not_pending_for_the_same_leader_after_a_lease_gap(
        self, hosts: Hosts
    ) -> None:
        leader = self.refused(hosts)
        leader.has_lease = False
        leader.scan()
        leader.has_lease = True
        leader.fake_engines.status = ACCEPTED
        leader.scan()
        roles = map(leader.orders.role_of, engines(0, 4).decode)
        assert list(roles).count(EndpointRole.PREFILL) == leader.fake_engines.orders - 1

    def test_another_engine_may_be_ordered_to_prefill(self, hosts: Hosts) -> None:
        leader = self.refused(hosts)
        leader.fake_engines.status = ACCEPTED
        leader.scan()
        assert leader.fake_engines.orders == 2


class TestOrderedEngineThatLeaves:
    """Guards against a service without prefill after the ordered engine has left."""

    def leader(self, hosts: Hosts) -> Host:
        """Return a leader whose only engine ordered to prefill leaves."""
        group = engines(0, 5)
        hosts.announce(group)
        leader = hosts.new("control-1")
        leader.start_leading(1)
        leader.scan()
        ordered = next(item for item in group.decode if leader.orders.role_of(item))
        hosts.registry.merge([replace(ordered, leaving=True, sequence=2)])
        return leader

    def test_is_replaced_at_the_next_scan(self, hosts: Hosts) -> None:
        leader = self.leader(hosts)
        leader.scan(SCAN_INTERVAL_SECONDS)
        assert leader.fake_engines.orders == 2

    def test_is_replaced_by_the_same_host_in_a_later_term(self, hosts: Hosts) -> None:
        leader = self.leader(hosts)
        leader.stop_leading()
        leader.scan(ORDER_LEASE_SECONDS)
        leader.start_leading(3)
        leader.scan()
        assert leader.fake_engines.orders == 2


class TestOrdersCarriedOutBeforeTheTakeover:
    """Guards against a wait for orders that were already carried out."""

    def carried_out(
        self, hosts: Hosts, group: EnginesByRole, role: EndpointRole
    ) -> None:
        """Record that two engines with this role were ordered to it ten seconds ago."""
        stamp_ms = hosts.log.last_stamp_ms
        has_role = group.prefill if role is EndpointRole.PREFILL else group.decode
        for item in has_role[:2]:
            hosts.log.commit(EngineOrder(item.start_id, role), stamp_ms)
        hosts.log.last_stamp_ms += 10_000

    def test_another_engine_may_be_ordered_to_prefill(self, hosts: Hosts) -> None:
        group = engines(0, 4)
        hosts.announce(group)
        self.carried_out(hosts, group, EndpointRole.DECODE)
        successor = hosts.new("control-2")
        successor.start_leading(2)
        successor.scan()
        assert successor.fake_engines.orders == 1

    @pytest.mark.parametrize("role", [EndpointRole.DECODE, EndpointRole.PREFILL])
    def test_idle_prefill_engines_may_be_ordered(
        self, hosts: Hosts, monkeypatch: pytest.MonkeyPatch, role: EndpointRole
    ) -> None:
        group = engines(6, 3)
        hosts.announce(group)
        self.carried_out(hosts, group, role)
        successor = hosts.new("control-2")
        load = SimpleNamespace(
            record=lambda *_: None, peak=lambda _: 1.0, sustained=lambda _: 0.0
        )
        monkeypatch.setattr(successor.manager, "_prefill_load", lambda _: load)
        successor.start_leading(2)
        successor.scan()
        assert successor.fake_engines.orders >= 1


class TestCrashedEngine:
    """Guards against orders to an engine that is least busy because it crashed."""

    def test_is_skipped_for_one_that_responds(self, hosts: Hosts) -> None:
        hosts.announce(engines(0, 4))
        leader = hosts.new("control-1")
        leader.start_leading(1)
        leader.decodes_by_id = {"d-0": 4, "d-2": 5, "d-3": 6}
        hosts.crashed.add("d-1")
        leader.scan(2 * SCAN_INTERVAL_SECONDS)
        assert leader.fake_engines.orders == 1


class TestLogOfAnEarlierVersion:
    """Guards against two hosts that order the same engine within one order lease.

    A leader of an earlier version records no orders, and hands over the leadership.
    """

    def test_makes_the_next_leader_wait(self, hosts: Hosts) -> None:
        hosts.announce(engines(0, 4))
        hosts.log.engines = EngineTable()
        hosts.log.last_stamp_ms = LOG_AGE_MS
        successor = hosts.new("control-2")
        successor.start_leading(2)
        successor.scan(ORDER_LEASE_SECONDS - SCAN_INTERVAL_SECONDS)
        assert successor.fake_engines.orders == 0


class TestFirstScanOfTheNextLeader:
    """Guards against an order for a load that was observed in a single scan only."""

    def test_orders_no_prefill_engine_for_a_short_load(self, hosts: Hosts) -> None:
        hosts.announce(engines(1, 6))
        successor = hosts.new("control-2")
        successor.start_leading(2)
        successor.busy_prefill_engines = 2.0
        successor.scan()
        assert successor.fake_engines.orders == 0

    def test_orders_one_once_the_load_lasts(self, hosts: Hosts) -> None:
        hosts.announce(engines(1, 6))
        successor = hosts.new("control-2")
        successor.start_leading(2)
        successor.busy_prefill_engines = 2.0
        successor.scan(SATURATED_SECONDS + SCAN_INTERVAL_SECONDS)
        assert successor.fake_engines.orders >= 1


class TestAgeOfAQuietLog:
    """Guards against a wait at each takeover of a service without requests."""

    def test_includes_the_time_without_requests(self, hosts: Hosts) -> None:
        hosts.log.last_stamp_ms = 0
        group = engines(1, 4)
        hosts.announce(group)
        leader = hosts.new("control-1")
        leader.start_leading(1)
        leader.scan(60.0)
        leader.stop_leading()
        prefill_engine = hosts.registry.find(group.prefill[0].endpoint_id)
        assert prefill_engine is not None
        hosts.registry.merge(
            [
                replace(
                    prefill_engine, leaving=True, sequence=prefill_engine.sequence + 1
                )
            ]
        )
        successor = hosts.new("control-2")
        successor.start_leading(2)
        successor.scan()
        assert successor.fake_engines.orders == 1


class TestOutdatedLoad:
    """Guards against orders that follow an outdated load."""

    def loaded(self, hosts: Hosts) -> Host:
        """Return the leader after some seconds of load."""
        hosts.announce(engines(2, 3))
        leader = hosts.new("control-1")
        leader.start_leading(1)
        leader.busy_prefill_engines = 1.5
        leader.scan(10.0)
        return leader

    def test_is_forgotten_while_there_are_no_requests(self, hosts: Hosts) -> None:
        leader = self.loaded(hosts)
        leader.busy_prefill_engines = 0.0
        leader.scan(60.0)
        leader.stop_leading()
        successor = hosts.new("control-2")
        successor.start_leading(2)
        assert successor.manager._prefill_load("model").peak(hosts.clock.now) is None

    def test_does_not_persist_through_leaders_without_load(self, hosts: Hosts) -> None:
        self.loaded(hosts).stop_leading()
        for term in range(2, 12):
            successor = hosts.new(f"control-{term}")
            successor.start_leading(term)
            successor.scan(3.0)
            successor.stop_leading()
        last = hosts.new("control-12")
        last.start_leading(12)
        assert last.manager._prefill_load("model").peak(hosts.clock.now) is None


class TestSlowCommitOfAnOrder:
    """Guards against an order that no scan sends while disks are slow."""

    def test_is_sent_while_the_lease_is_renewed(self, hosts: Hosts) -> None:
        hosts.announce(engines(0, 4))
        leader = hosts.new("control-1")
        leader.start_leading(1)
        leader.commit_seconds = 0.4
        leader.scan(1.0)
        assert leader.fake_engines.orders == 1
