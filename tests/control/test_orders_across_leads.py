"""What a host that begins to lead knows of orders and of the load before it."""

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
from jujubeslip.control._given_orders import GivenOrders
from jujubeslip.control._leadership import Fence, Leadership
from jujubeslip.control._role_balance import BUSY_SECONDS, Engines
from jujubeslip.control._roles import LOOK_SECONDS, RoleKeeper
from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.endpoints import EndpointError
from jujubeslip.interfaces import EndpointQuestion
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
from tests.control.test_roles import Asked, engines, pressure

ORDER_LEASE_SECONDS = 3.0
LEASE_SECONDS = 0.6
ACCEPTED = 202
REFUSED = 409
# How long the log has been led, in milliseconds.
FOUNDED_MS = 60_000


class SharedLog:
    """The log of all hosts: each command is committed once it is proposed."""

    def __init__(self, engine_table: EngineTable) -> None:
        self.engines = engine_table
        self.last_stamp_ms = 0

    def commit(self, command: EngineOrder | EngineLoads, stamp_ms: int) -> None:
        """Apply a command at this log time."""
        self.last_stamp_ms = stamp_ms
        if isinstance(command, EngineOrder):
            self.engines.note_order(command, stamp_ms)
        else:
            self.engines.note_loads(command, stamp_ms)


class Host:
    """A control host that leads when a test says so, and knows the log alone."""

    def __init__(
        self,
        log: SharedLog,
        book: EndpointBook,
        clock: VirtualClock,
        crashed: set[str],
        name: str,
    ) -> None:
        self.asked = Asked()
        self.answers_by_id: dict[str, int] = {}
        self._crashed = crashed
        self._book = book
        self.busy_readers = 0.0
        self.commit_seconds = 0.0
        self.has_lease = True
        self.orders = GivenOrders()
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
        self.keeper = RoleKeeper(
            replica,
            EngineLog(replica),
            book,
            watches,
            interface,
            ORDER_LEASE_SECONDS,
            lambda: {"model"},
            self.orders,
            lambda _: self.busy_readers,
            lambda: None,
            lambda _: EngineUse(self.busy_readers, 3 * self.busy_readers),
            reports_now=lambda item: item.endpoint_id not in crashed,
            answer_count=lambda item: self.answers_by_id.get(item.endpoint_id, 0),
        )
        self.keeper._ask = self._ask  # type: ignore[method-assign]

    def lead(self, term: int) -> None:
        """Begin a term."""
        stamp_ms = self._log.last_stamp_ms
        self._leadership = Leadership(term, "replica", 0, stamp_ms)

    def follow(self) -> None:
        """Lose the lead."""
        self._leadership = None

    def look(self, seconds: float = 0.0) -> None:
        """Look once, and again for so long."""
        self.keeper.look()
        for _ in range(round(seconds / LOOK_SECONDS)):
            self._clock.now += LOOK_SECONDS
            self._announce_again()
            self.keeper.look()

    def _announce_again(self) -> None:
        """Let all engines that stay be heard now."""
        now = self._clock.now
        self._book.take(
            replace(item, sequence=item.sequence + 1, heard_at=now)
            for item in self._book.endpoints()
            if item.stays
        )

    def _ask(self, endpoint: Endpoint, question: EndpointQuestion) -> tuple[int, bytes]:
        if endpoint.endpoint_id in self._crashed:
            raise EndpointError("connection refused")
        return self.asked(endpoint, question)

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
    """Control hosts with one log and one book of engines."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.crashed: set[str] = set()
        self.book = EndpointBook()
        self.log = SharedLog(EngineTable())
        # A cluster that was founded a while ago, and records what its leaders do.
        self.log.commit(EngineLoads([]), 0)
        self.log.last_stamp_ms = FOUNDED_MS
        self.new = partial(Host, self.log, self.book, clock, self.crashed)

    def announce(self, group: Engines) -> None:
        """Let all engines be heard now."""
        self.book.take([*group.prefill, *group.decode])


@pytest.fixture
def hosts() -> Iterator[Hosts]:
    with VirtualClock() as clock:
        yield Hosts(clock)


class TestOrderThatWasRefused:
    """Guards against an engine that nobody uses for an order that it has refused."""

    def refused(self, hosts: Hosts) -> Host:
        """Return the leader whose orders the engines have refused."""
        hosts.announce(engines(0, 3))
        leader = hosts.new("control-1")
        leader.lead(1)
        leader.asked.status = REFUSED
        leader.look()
        assert leader.asked.orders == 1
        hosts.clock.now += ORDER_LEASE_SECONDS
        return leader

    def test_is_over_for_the_next_leader(self, hosts: Hosts) -> None:
        self.refused(hosts).follow()
        successor = hosts.new("control-2")
        successor.lead(2)
        successor.look()
        group = engines(0, 3).decode
        assert [successor.orders.role_of(item) for item in group].count(
            EndpointRole.PREFILL
        ) == successor.asked.orders

    def test_is_over_for_the_leader_that_misses_its_lease_for_a_look(
        self, hosts: Hosts
    ) -> None:
        leader = self.refused(hosts)
        leader.has_lease = False
        leader.look()
        leader.has_lease = True
        leader.asked.status = ACCEPTED
        leader.look()
        roles = map(leader.orders.role_of, engines(0, 3).decode)
        assert list(roles).count(EndpointRole.PREFILL) == leader.asked.orders - 1

    def test_lets_another_engine_be_the_only_reader(self, hosts: Hosts) -> None:
        leader = self.refused(hosts)
        leader.asked.status = ACCEPTED
        leader.look()
        assert leader.asked.orders == 2


class TestOrderedEngineThatLeaves:
    """Guards against engines that all answer while the one ordered to read is gone."""

    def leader(self, hosts: Hosts) -> Host:
        """Return a leader whose only engine ordered to read leaves."""
        group = engines(0, 4)
        hosts.announce(group)
        leader = hosts.new("control-1")
        leader.lead(1)
        leader.look()
        ordered = next(item for item in group.decode if leader.orders.role_of(item))
        hosts.book.take([replace(ordered, leaving=True, sequence=2)])
        return leader

    def test_is_replaced_at_the_next_look(self, hosts: Hosts) -> None:
        leader = self.leader(hosts)
        leader.look(LOOK_SECONDS)
        assert leader.asked.orders == 2

    def test_is_replaced_by_the_same_host_in_a_later_lead(self, hosts: Hosts) -> None:
        leader = self.leader(hosts)
        leader.follow()
        leader.look(ORDER_LEASE_SECONDS)
        leader.lead(3)
        leader.look()
        assert leader.asked.orders == 2


class TestOrdersThatWereCarriedOutBeforeTheTakeover:
    """Guards against a wait for all engines after orders that were carried out."""

    def carried_out(self, hosts: Hosts, group: Engines, role: EndpointRole) -> None:
        """Let two engines of a role be ordered to it ten seconds ago."""
        stamp_ms = hosts.log.last_stamp_ms
        has_role = group.prefill if role is EndpointRole.PREFILL else group.decode
        for item in has_role[:2]:
            hosts.log.commit(EngineOrder(item.start_id, role), stamp_ms)
        hosts.log.last_stamp_ms += 10_000

    def test_let_another_engine_be_the_only_reader(self, hosts: Hosts) -> None:
        group = engines(0, 3)
        hosts.announce(group)
        self.carried_out(hosts, group, EndpointRole.DECODE)
        successor = hosts.new("control-2")
        successor.lead(2)
        successor.look()
        assert successor.asked.orders == 1

    @pytest.mark.parametrize("role", [EndpointRole.DECODE, EndpointRole.PREFILL])
    def test_let_idle_readers_be_ordered(
        self, hosts: Hosts, monkeypatch: pytest.MonkeyPatch, role: EndpointRole
    ) -> None:
        group = engines(6, 3)
        hosts.announce(group)
        self.carried_out(hosts, group, role)
        successor = hosts.new("control-2")
        load = SimpleNamespace(
            note=lambda *_: None, busiest=lambda _: 1.0, least=lambda _: 0.0
        )
        monkeypatch.setattr(successor.keeper, "_load", lambda _: load)
        successor.lead(2)
        successor.look()
        assert successor.asked.orders >= 1


class TestEngineThatHasCrashed:
    """Guards against orders to an engine that has no answers since it is gone."""

    def test_is_passed_over_for_one_that_answers(self, hosts: Hosts) -> None:
        hosts.announce(engines(0, 3))
        leader = hosts.new("control-1")
        leader.lead(1)
        leader.answers_by_id = {"d-0": 4, "d-2": 5}
        hosts.crashed.add("d-1")
        leader.look(2 * LOOK_SECONDS)
        assert leader.asked.orders == 1


class TestLogOfAnEarlierVersion:
    """Guards against two hosts that order one engine within the lease of orders.

    A leader of an earlier version records no orders, and hands the lead over.
    """

    def test_lets_the_next_leader_wait(self, hosts: Hosts) -> None:
        hosts.announce(engines(0, 3))
        hosts.log.engines = EngineTable()
        hosts.log.last_stamp_ms = FOUNDED_MS
        successor = hosts.new("control-2")
        successor.lead(2)
        successor.look(ORDER_LEASE_SECONDS - LOOK_SECONDS)
        assert successor.asked.orders == 0


class TestFirstLookOfTheNextLeader:
    """Guards against an order for prompts that one look alone has seen."""

    def test_orders_no_further_reader_for_prompts_of_a_moment(
        self, hosts: Hosts
    ) -> None:
        hosts.announce(engines(1, 6))
        successor = hosts.new("control-2")
        successor.lead(2)
        successor.busy_readers = 2.0
        successor.look()
        assert successor.asked.orders == 0

    def test_orders_one_once_prompts_need_it_for_long(self, hosts: Hosts) -> None:
        hosts.announce(engines(1, 6))
        successor = hosts.new("control-2")
        successor.lead(2)
        successor.busy_readers = 2.0
        successor.look(BUSY_SECONDS + LOOK_SECONDS)
        assert successor.asked.orders >= 1


class TestAgeOfAQuietLog:
    """Guards against a wait at each takeover while no request is asked for."""

    def test_counts_what_was_led_without_requests(self, hosts: Hosts) -> None:
        hosts.log.last_stamp_ms = 0
        group = engines(1, 3)
        hosts.announce(group)
        leader = hosts.new("control-1")
        leader.lead(1)
        leader.look(60.0)
        leader.follow()
        reader = hosts.book.find(group.prefill[0].endpoint_id)
        assert reader is not None
        hosts.book.take([replace(reader, leaving=True, sequence=reader.sequence + 1)])
        successor = hosts.new("control-2")
        successor.lead(2)
        successor.look()
        assert successor.asked.orders == 1


class TestLoadOfLongAgo:
    """Guards against orders by a load that is over."""

    def loaded(self, hosts: Hosts) -> Host:
        """Return the leader after some seconds of load."""
        hosts.announce(engines(2, 3))
        leader = hosts.new("control-1")
        leader.lead(1)
        leader.busy_readers = 1.5
        leader.look(10.0)
        return leader

    def test_is_forgotten_while_nothing_is_asked_for(self, hosts: Hosts) -> None:
        leader = self.loaded(hosts)
        leader.busy_readers = 0.0
        leader.look(60.0)
        leader.follow()
        successor = hosts.new("control-2")
        successor.lead(2)
        assert successor.keeper._load("model").busiest(hosts.clock.now) is None

    def test_does_not_last_through_leaders_that_see_none(self, hosts: Hosts) -> None:
        self.loaded(hosts).follow()
        for term in range(2, 12):
            successor = hosts.new(f"control-{term}")
            successor.lead(term)
            successor.look(3.0)
            successor.follow()
        last = hosts.new("control-12")
        last.lead(12)
        assert last.keeper._load("model").busiest(hosts.clock.now) is None


class TestOrderWhoseRecordIsSlow:
    """Guards against an order that no look sends while disks are slow."""

    def test_is_sent_while_the_lease_goes_on(self, hosts: Hosts) -> None:
        hosts.announce(engines(0, 3))
        leader = hosts.new("control-1")
        leader.lead(1)
        leader.commit_seconds = 0.4
        leader.look(1.0)
        assert leader.asked.orders == 1
