"""Which engine is ordered to another role, and who may order."""

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
from jujubeslip.control._engine_table import ORDER_SECONDS
from jujubeslip.control._given_orders import GivenOrders
from jujubeslip.control._leadership import Fence
from jujubeslip.control._role_balance import SHORT_SECONDS, WATCHED_SECONDS
from jujubeslip.control._roles import (
    FOUNDING_SECONDS,
    Engines,
    RoleKeeper,
    wanted_change,
)
from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.endpoints import EndpointOnHoldError
from jujubeslip.interfaces import EndpointQuestion, RoleOrder
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import EndpointRole, EngineLoad, ServicePressure
from jujubeslip.platform._endpoint_answers import read_report
from jujubeslip.platform._endpoint_calls import ask_report, order_role, read_head
from tests.fakes.engines import engine


def engines(prefill: int, decode: int) -> Engines:
    return Engines(
        tuple(engine(f"p-{number}", EndpointRole.PREFILL) for number in range(prefill)),
        tuple(engine(f"d-{number}", EndpointRole.DECODE) for number in range(decode)),
    )


def pressure(waited: int = 10, prompt_ms: int = 500) -> ServicePressure:
    return ServicePressure("model", waited, prompt_ms)


class TestWantedChange:
    """Two engines that answer are lost; two that only read prompts have time to spare.

    Half of the summaries are refused for want of memory, for the rest of the day.
    """

    def test_engine_that_reads_prompts_is_to_answer(self) -> None:
        change = wanted_change(engines(2, 2), pressure(), short_for=2.0)
        assert change is not None
        assert (change[0].endpoint_id, change[1]) == ("p-0", EndpointRole.DECODE)

    @pytest.mark.parametrize(
        ("prefill", "decode", "prompt_ms", "short_for"),
        [
            (2, 2, 500, 0.5),
            (2, 3, 500, 2.0),
            (1, 2, 500, 2.0),
            (2, 2, 900, 2.0),
        ],
        ids=["a moment", "would lack prompts", "the last one", "prompts take it all"],
    )
    def test_is_left_where_it_gains_nothing(
        self, prefill: int, decode: int, prompt_ms: int, short_for: float
    ) -> None:
        told = pressure(prompt_ms=prompt_ms)
        assert wanted_change(engines(prefill, decode), told, short_for) is None

    def test_last_reader_of_prompts_is_replaced(self) -> None:
        change = wanted_change(engines(0, 3), pressure(waited=0), short_for=0.0)
        assert change is not None and change[1] is EndpointRole.PREFILL


class TestEnginesThatChangeToAnswer:
    """Guards against an order to the only engine that answers meanwhile."""

    def test_leaves_the_last_one_that_answers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = engines(2, 1)
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        for changing in group.prefill:
            keeper._orders.note(changing, EndpointRole.DECODE)
        keeper.look()
        assert asked.orders == 0


class TestEngineWithFewestAnswers:
    """Guards against prompts that nobody reads until a full engine's answers end."""

    def test_is_ordered_to_read(self, monkeypatch: pytest.MonkeyPatch) -> None:
        group = engines(0, 3)
        book = EndpointBook()
        book.take(group.decode)
        answers_by_id = {"d-0": 9, "d-1": 1, "d-2": 4}
        keeper, _ = role_keeper(
            monkeypatch,
            book,
            {"model"},
            answer_count=lambda item: answers_by_id[item.endpoint_id],
        )
        keeper.look()
        assert keeper._orders.role_of(group.decode[1]) is EndpointRole.PREFILL


class TestOrder:
    def test_carries_its_fencing_number_and_what_is_known(self) -> None:
        order = RoleOrder("e-1", EndpointRole.DECODE, "control-1", 41, 2)
        question = order_role(order)
        assert json.loads(question.body) == {
            "op": "stage",
            "stage": "decode",
            "holder": "control-1",
            "fence": 41,
            "expect": 2,
        }
        assert ("Expect-Instance", "e-1") in question.headers

    def test_report_that_lacks_fields_is_refused(self) -> None:
        for body in (b"", b"[]", b"{}", b'{"runs": [[1]]}'):
            assert isinstance(read_report(body), Failure)


class Asked:
    """Stands in for the engines: counts the orders that reach them."""

    def __init__(self) -> None:
        self.orders = 0
        self.status = 202
        self.report: dict[str, object] = REPORT

    def __call__(
        self, endpoint: Endpoint, question: EndpointQuestion
    ) -> tuple[int, bytes]:
        if question.method == "GET":
            return 200, json.dumps(self.report).encode()
        self.orders += 1
        return self.status, b""


class NotedOrders(EngineLog):
    """Stands in for the log's part on engines: holds what an earlier leader wrote."""

    def __init__(
        self, pending: Sequence[PendingOrder] = (), load: EngineLoad | None = None
    ) -> None:
        self.recorded: list[str] = []
        self.commits = True
        self.age = 3600.0
        self._pending = pending
        self._load = load

    def record_order(self, start_id: str, role: EndpointRole, by: Deadline) -> bool:
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
        return self._load


REPORT: dict[str, object] = {
    "stage": "prefill",
    "queued": 0,
    "kvUsed": 0,
    "kvCapacity": 100,
    "runs": [],
    "seq": 0,
    "busy": False,
}


class TestEnginesOfAnotherWriter:
    """Another program announces three engines of a service that no configuration names.

    Ordered to take another role, they would do work that nobody asked of them. So would
    those that say to answer for a service that is configured without engines.
    """

    @pytest.mark.parametrize(("named", "orders"), [(set(), 0), ({"model"}, 1)])
    def test_get_orders_only_for_a_configured_service(
        self, monkeypatch: pytest.MonkeyPatch, named: set[str], orders: int
    ) -> None:
        book = EndpointBook()
        book.take(engines(0, 3).decode)
        keeper, asked = role_keeper(monkeypatch, book, named)
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        keeper.look()
        assert asked.orders == orders


class TestReportThatIsNotUsable:
    """An engine says with a text how many orders it has accepted.

    Taken for a number, or for none, it would be ordered with a number that is wrong.
    """

    def test_brings_no_order(self, monkeypatch: pytest.MonkeyPatch) -> None:
        book = EndpointBook()
        book.take(engines(0, 3).decode)
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        asked.report = {**REPORT, "seq": "0"}
        keeper.look()
        assert asked.orders == 0
        asked.report = REPORT
        keeper.look()
        assert asked.orders == 1


def role_keeper(
    monkeypatch: pytest.MonkeyPatch,
    book: EndpointBook,
    named: set[str],
    notices: EndpointNotices | None = None,
    reports_now: Callable[[Endpoint], bool] = lambda _: True,
    engine_log: NotedOrders | None = None,
    answer_count: Callable[[Endpoint], int] = lambda _: 0,
) -> tuple[RoleKeeper, Asked]:
    """Return a keeper of these services' roles, and what engines are asked by it."""
    watches: Any = SimpleNamespace(pressure_of=lambda name: pressure())
    replica: Any = SimpleNamespace(
        settings=SimpleNamespace(host_id="control-1"),
        lock=nullcontext(),
        fence=lambda: Fence(1, Deadline.after(10)),
    )
    interface: Any = SimpleNamespace(
        ask_report=ask_report, read_report=read_report, order_role=order_role
    )
    keeper = RoleKeeper(
        replica,
        engine_log or NotedOrders(),
        book,
        watches,
        interface,
        3.0,
        lambda: named,
        GivenOrders(),
        lambda _: 0.0,
        lambda: None,
        lambda _: EngineUse(0.0, 0.0),
        notices,
        reports_now,
        answer_count,
    )
    asked = Asked()
    monkeypatch.setattr(keeper, "_ask", asked)
    return keeper, asked


class TestOrderThatIsNotSent:
    """The leader's lease is about to end when an engine is to be ordered.

    The order waits for the next lease, a moment later. Counted as given, it would keep
    the engine from answering for another thirteen seconds.
    """

    def test_is_given_at_the_next_look(self, monkeypatch: pytest.MonkeyPatch) -> None:
        group = engines(2, 2)
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        monkeypatch.setattr(keeper, "_short_for", lambda name, told: 2.0)
        leases = [Deadline.after(0.1), Deadline.after(10), Deadline.after(10)]
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, leases.pop(0)))
        keeper.look()
        assert asked.orders == 0
        keeper.look()
        assert asked.orders == 1
        keeper.look()
        assert asked.orders == 1


class TestOrderAcrossARestart:
    """An engine starts again between the announcement and the order.

    Its next start answers for the report by the same id, with no orders accepted. The
    order was weighed for the role of the start before, and would be carried out.
    """

    @pytest.mark.parametrize(("reports", "orders"), [(5, 1), (9, 0), (None, 1)])
    def test_start_that_was_not_weighed_is_not_ordered(
        self, monkeypatch: pytest.MonkeyPatch, reports: int | None, orders: int
    ) -> None:
        ordered = engine("p-0", EndpointRole.PREFILL, started_at_ms=5)
        book = EndpointBook()
        book.take([ordered, *engines(0, 2).decode, *engines(2, 0).prefill[1:]])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        asked.report = REPORT if reports is None else {**REPORT, "born": reports}
        monkeypatch.setattr(keeper, "_short_for", lambda name, told: 2.0)
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        keeper.look()
        assert asked.orders == orders


class TestReadersThatWouldBeIdle:
    """Two of four readers are idle; each order is given once, and weighed as done.

    Given to a third and a fourth reader, while the first two still change, orders would
    leave nobody who reads.
    """

    def keeper(
        self, monkeypatch: pytest.MonkeyPatch, readers: int
    ) -> tuple[RoleKeeper, Asked]:
        """Return a keeper that may order, of readers of which one is busy."""
        group = engines(readers, 5)
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        load = SimpleNamespace(
            note=lambda *_: None, busiest=lambda _: 1.0, least=lambda _: 0.0
        )
        monkeypatch.setattr(keeper, "_load", lambda _: load)
        return keeper, asked

    def test_are_ordered_once(self, monkeypatch: pytest.MonkeyPatch) -> None:
        keeper, asked = self.keeper(monkeypatch, readers=4)
        for _ in range(3):
            keeper.look()
        assert asked.orders == 2

    def test_are_weighed_anew_after_a_refusal(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        keeper, asked = self.keeper(monkeypatch, readers=3)
        asked.status = 409
        keeper.look()
        asked.status = 202
        keeper.look()
        keeper.look()
        assert asked.orders == 2

    def test_are_ordered_few_at_a_time(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An engine works in neither role until it is known to have changed."""
        keeper, asked = self.keeper(monkeypatch, readers=6)
        keeper.look()
        keeper.look()
        assert asked.orders == 2

    def test_are_ordered_on_once_the_first_have_changed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        keeper, asked = self.keeper(monkeypatch, readers=6)
        keeper.look()
        assert asked.orders == 2
        group = engines(6, 5)
        for changed in group.prefill[:2]:
            keeper._book.take([replace(changed, role=EndpointRole.DECODE, sequence=9)])
        keeper.look()
        assert asked.orders == 4


class TestReaderThatIsBackWhileAnotherChanges:
    """One of two readers crashes, and an engine that answers is ordered to read.

    Half a second later the crashed one is back. With three readers by their orders, the
    one that was left was ordered to answer. For 26.7 s no prompt was granted a reader,
    and 215 of the day's 573 attempts were refused for want of memory.
    """

    @pytest.mark.parametrize(("changes", "orders"), [(True, 1), (False, 2)])
    def test_leaves_the_readers_that_read(
        self, monkeypatch: pytest.MonkeyPatch, changes: bool, orders: int
    ) -> None:
        group = engines(1, 6)
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        busy = [1.0]
        load = SimpleNamespace(
            note=lambda *_: None, busiest=lambda _: 1.0, least=lambda _: busy[0]
        )
        monkeypatch.setattr(keeper, "_load", lambda _: load)
        keeper.look()
        assert asked.orders == 1
        busy[0] = 0.0
        back = engine("back", EndpointRole.PREFILL)
        book.take([replace(back, address="127.0.0.1:2")])
        if not changes:
            ordered = next(
                item for item in group.decode if keeper._orders.role_of(item)
            )
            book.take([replace(ordered, role=EndpointRole.PREFILL, sequence=9)])
        keeper.look()
        assert asked.orders == orders


class TestReaderThatHasCrashed:
    """Guards against an order to the last reader beside one that is only remembered."""

    @pytest.mark.parametrize(("reports", "orders"), [(True, 1), (False, 0)])
    def test_does_not_count_as_one_that_stays(
        self, monkeypatch: pytest.MonkeyPatch, reports: bool, orders: int
    ) -> None:
        group = engines(3, 9)
        crashed = group.prefill[2].start_id
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(
            monkeypatch,
            book,
            {"model"},
            reports_now=lambda item: reports or item.start_id != crashed,
        )
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        load = SimpleNamespace(
            note=lambda *_: None, busiest=lambda _: 1.0, least=lambda _: 0.0
        )
        monkeypatch.setattr(keeper, "_load", lambda _: load)
        keeper.look()
        assert asked.orders == orders


class TestReadersThatAreMissing:
    """One engine was ordered to read, and takes ten seconds to begin.

    Prompts need one more by then. The leader wrote "prompts need a further reader" at
    eight looks in a row, each time for the engine that was ordered already.
    """

    def test_are_ordered_beside_one_that_still_changes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = engines(2, 12)
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        least = [2.0]
        load = SimpleNamespace(
            note=lambda *_: None, busiest=lambda _: None, least=lambda _: least[0]
        )
        monkeypatch.setattr(keeper, "_load", lambda _: load)
        keeper.look()
        assert asked.orders == 1
        keeper.look()
        assert asked.orders == 1
        least[0] = 4.0
        keeper.look()
        assert asked.orders == 2


class TestLeadThatComesBack:
    """A control host leads, loses its lease in a network partition, and leads again.

    What it saw before says nothing of the load now; in between it saw none at all.
    """

    def test_begins_to_watch_anew(self, monkeypatch: pytest.MonkeyPatch) -> None:
        book = EndpointBook()
        book.take([*engines(6, 5).prefill, *engines(6, 5).decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        keeper._load("model").note(0.0, 1.0)
        monkeypatch.setattr(keeper._replica, "fence", lambda: None)
        keeper.look()
        assert keeper._load("model").busiest(WATCHED_SECONDS) is None
        assert asked.orders == 0


class TestEngineThatLeavesOrAskedForBackoff:
    """Guards against orders to engines that said they leave, or asked for backoff."""

    def test_is_given_no_order(self, monkeypatch: pytest.MonkeyPatch) -> None:
        group = engines(0, 3)
        book, notices = EndpointBook(), EndpointNotices()
        book.take(group.decode)
        for leaving in group.decode:
            head = read_head(200, [("Server-Leaving", "1")])
            notices.note_other_answer(leaving, head)
        keeper, asked = role_keeper(monkeypatch, book, {"model"}, notices)
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        keeper.look()
        assert asked.orders == 0

    def test_is_asked_nothing(self, monkeypatch: pytest.MonkeyPatch) -> None:
        notices, refusing = EndpointNotices(), engine("refusing")
        notices.note_other_answer(refusing, read_head(503, [("Retry-After", "9")]))
        keeper, _ = role_keeper(monkeypatch, EndpointBook(), {"model"}, notices)
        monkeypatch.undo()
        with pytest.raises(EndpointOnHoldError):
            keeper._ask(refusing, ask_report("refusing"))


class TestChosenEngineThatStillChanges:
    """Guards against an earlier order that keeps another engine from being ordered."""

    def keeper(
        self, monkeypatch: pytest.MonkeyPatch, group: Engines
    ) -> tuple[RoleKeeper, Asked]:
        """Return a keeper whose first engine that reads is ordered to answer."""
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        keeper._orders.note(group.prefill[0], EndpointRole.DECODE)
        return keeper, asked

    def test_another_one_replaces_the_last_reader(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        keeper, asked = self.keeper(monkeypatch, engines(1, 2))
        for _ in range(2):
            keeper.look()
        assert asked.orders == 1

    def test_another_one_is_the_further_reader_that_prompts_need(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        keeper, asked = self.keeper(monkeypatch, engines(3, 12))
        load = SimpleNamespace(
            note=lambda *_: None, busiest=lambda _: None, least=lambda _: 2.0
        )
        monkeypatch.setattr(keeper, "_load", lambda _: load)
        for _ in range(2):
            keeper.look()
        assert asked.orders == 1


class TestShortageThatBeganBeforeTheHostMayOrder:
    """Guards against a shortage that counts only from the end of a takeover."""

    def test_is_answered_at_the_first_look_that_may_order(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        group = engines(2, 2)
        book = EndpointBook()
        book.take([*group.prefill, *group.decode])
        keeper, asked = role_keeper(monkeypatch, book, {"model"})
        now = steady_seconds()
        monkeypatch.setattr("jujubeslip.control._roles.steady_seconds", lambda: now)
        monkeypatch.setattr(keeper, "_fence", lambda: None)
        keeper.look()
        now += 2 * SHORT_SECONDS
        monkeypatch.setattr(keeper, "_fence", lambda: Fence(1, Deadline.after(10)))
        keeper.look()
        assert asked.orders == 1


class TestNextLeader:
    """Guards against a next leader that waits, or repeats orders of the last one."""

    def keeper(
        self, monkeypatch: pytest.MonkeyPatch, engine_log: NotedOrders
    ) -> tuple[RoleKeeper, Asked]:
        """Return the keeper of a host that has led for a moment, of three engines."""
        book = EndpointBook()
        book.take(engines(0, 3).decode)
        keeper, asked = role_keeper(monkeypatch, book, {"model"}, engine_log=engine_log)
        return keeper, asked

    def test_orders_at_its_first_look(self, monkeypatch: pytest.MonkeyPatch) -> None:
        keeper, asked = self.keeper(monkeypatch, NotedOrders())
        keeper.look()
        assert asked.orders == 1

    def test_leaves_an_engine_that_was_ordered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        until = Deadline.after(ORDER_SECONDS)
        pending = PendingOrder("d-0", EndpointRole.PREFILL, Deadline.after(0), until)
        keeper, asked = self.keeper(monkeypatch, NotedOrders([pending]))
        keeper.look()
        assert asked.orders == 0

    def test_leaves_it_though_it_has_the_role(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Two hosts must not order one engine within the lease of orders."""
        until = Deadline.after(ORDER_SECONDS)
        pending = [
            PendingOrder(f"d-{number}", EndpointRole.DECODE, Deadline.after(0), until)
            for number in range(3)
        ]
        keeper, asked = self.keeper(monkeypatch, NotedOrders(pending))
        keeper.look()
        assert asked.orders == 0

    def test_sends_no_order_that_is_not_in_the_log(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        engine_log = NotedOrders()
        engine_log.commits = False
        keeper, asked = self.keeper(monkeypatch, engine_log)
        keeper.look()
        assert engine_log.recorded and asked.orders == 0

    def test_waits_where_the_log_was_founded_anew(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        engine_log = NotedOrders()
        keeper, asked = self.keeper(monkeypatch, engine_log)
        engine_log.age = 3.0
        keeper.look()
        assert asked.orders == 0
        engine_log.age = 3.0 + FOUNDING_SECONDS
        keeper.look()
        assert asked.orders == 1

    def test_knows_the_load_that_the_last_one_saw(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        load = EngineLoad("model", 0.7, 0.1, 1.9)
        keeper, _ = self.keeper(monkeypatch, NotedOrders(load=load))
        keeper.look()
        now = steady_seconds()
        assert keeper._load("model").busiest(now) == load.busiest_readers
        assert keeper._shares("model").reading_share(now) == pytest.approx(
            load.reading / (load.reading + load.answering), abs=0.01
        )
