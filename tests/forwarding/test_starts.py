"""What an entry host keeps of one start of an endpoint says nothing of the next."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace, TracebackType
from typing import Any, Self

import pytest

from jujubeslip.accounts import ENDPOINT_BOUNDS, HostSpending
from jujubeslip.admission import MemoryOptions
from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.endpoints import ConnectionPool, EndpointUnreachableError
from jujubeslip.forwarding._admissions import AdmissionAnswer
from jujubeslip.forwarding._budget import BudgetOptions, RetryBudgets
from jujubeslip.forwarding._choice import Chooser, LeastCost
from jujubeslip.forwarding._crashes import CrashWatch
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._engine_reports import EngineReports
from jujubeslip.forwarding._grants import Grant
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import Attempts
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._prompts import PromptLocation, PromptReader
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.forwarding._reservations import Reservation, Reservations
from jujubeslip.forwarding._sending import Sending
from jujubeslip.forwarding._shared_charges import SharedCharges
from jujubeslip.forwarding._stream_path import StreamPath
from jujubeslip.interfaces import EndpointCall, interfaces
from jujubeslip.kernel import Deadline, RequestRefusedError, load_plugins
from jujubeslip.peers import EndpointRole, PeerIdentity
from jujubeslip.quarantine import CrashBook, HarmlessContents
from tests.fakes.engines import engine
from tests.fakes.platform_worker import PlatformWorker
from tests.forwarding.test_grants import Leader, find

FIRST, SECOND = 1_700_000_000_000, 1_700_000_005_000


@pytest.fixture(autouse=True, scope="module")
def plugins() -> None:
    load_plugins()


def start(
    started_at_ms: int,
    role: EndpointRole = EndpointRole.DECODE,
    address: str = "127.0.0.1:1",
    endpoint_id: str = "engine",
) -> Endpoint:
    told = engine(endpoint_id, role, started_at_ms=started_at_ms)
    return replace(told, address=address)


def book_of(*endpoints: Endpoint) -> EndpointBook:
    book = EndpointBook()
    book.take(endpoints)
    return book


def build_sender(book: EndpointBook) -> Sending:
    health = EndpointHealth()
    crash_book, harmless = CrashBook(), HarmlessContents()
    contact = LeaderContact(PeerIdentity("host", 1, "secret"), lambda _: False)
    charges = SharedCharges(contact, HostSpending(ENDPOINT_BOUNDS, lambda: 1, 0.0))
    return Sending(
        interfaces.get("platform"),
        ConnectionPool(),
        Chooser(book, health, LeastCost(health, "zone-1"), 10.0),
        health,
        RetryBudgets(BudgetOptions(0.1, 10.0, 100), lambda: 1),
        CrashWatch(book, crash_book, harmless, lambda: None),
        Quarantine(crash_book, harmless),
        EndpointLimits(charges, "host", lambda: 1),
    )


class TestStartThatWasPassedOver:
    """An endpoint dies, another one answers at its address, and it starts again.

    Passed over by its id, the new start would get nothing for an hour.
    """

    def test_next_start_is_used(self) -> None:
        earlier, later = start(FIRST), start(SECOND, address="127.0.0.1:2")
        book = book_of(earlier)
        sender = build_sender(book)
        sender.health.note_replaced(earlier.start_id)
        sender.health.note_failure(earlier.start_id)
        assert sender.chooser.choose_healthy("model", EndpointRole.DECODE) is None
        book.take([later])
        found = sender.chooser.choose_healthy("model", EndpointRole.DECODE)
        assert found is not None and found.start_id == later.start_id
        assert sender.health.failure_share(later.start_id) == 0

    def test_request_that_it_refused_may_go_to_the_next(self) -> None:
        earlier = start(FIRST)
        book = book_of(earlier)
        chooser = build_sender(book).chooser
        tried = {earlier.start_id}
        assert chooser.choose("model", EndpointRole.DECODE, tried) is None
        book.take([start(SECOND)])
        assert chooser.choose("model", EndpointRole.DECODE, tried) is not None


class TestGrantAtAnotherStart:
    """The leader and this host have not heard of the same starts of an engine.

    Sent there all the same, the request would go to an address of before, or to a
    start whose memory the leader has counted for the one before.
    """

    @pytest.mark.parametrize(("granted", "heard"), [(FIRST, SECOND), (SECOND, FIRST)])
    def test_is_given_back(self, granted: int, heard: int) -> None:
        class LeaderOfThatStart(Leader):
            def ask(self, *_: object) -> AdmissionAnswer:
                return AdmissionAnswer(start(granted).start_id, "", 0.0, 0.1)

        leader = LeaderOfThatStart()
        assert find(book_of(start(heard)), leader) is None
        assert leader.ended == [("r-1", 0)]


class TestReservationOfTheEarlierStart:
    """An engine with a reservation is killed, and its next start counts from one.

    Given back there, the same name would take the room of another request.
    """

    @pytest.mark.parametrize("known", [True, False])
    def test_is_not_given_back_to_the_next(self, known: bool) -> None:
        with PlatformWorker("engine", "model", "decode") as worker:
            worker.reservations["r1"] = 500
            earlier = start(FIRST, address=worker.address)
            book = book_of(earlier)
            if known:
                book.take([start(SECOND, address=worker.address)])
            options = MemoryOptions(margin=0.05, caution=1.5)
            context: Any = SimpleNamespace(
                request=SimpleNamespace(request_id="r"), gone=lambda: False
            )
            reservations = Reservations(build_sender(book), options, "zone-1")
            reservations.release(context, Reservation(earlier, "r1"))
            assert ("r1" in worker.reservations) is known


class TestReportOfAnotherStart:
    @pytest.mark.parametrize("reports", [FIRST, SECOND, None])
    def test_is_not_taken(self, reports: int | None) -> None:
        """The next start answers at the same address, by the same id."""
        worker = PlatformWorker("engine", "model", "decode", started_at_ms=reports)
        with worker:
            earlier = start(FIRST, address=worker.address)
            kept = EngineReports(build_sender(book_of(earlier)))
            context: Any = SimpleNamespace(gone=lambda: False)
            taken = kept.get(context, earlier)
            assert (taken is None) is (reports == SECOND)


class TestConnectionToTheEarlierStart:
    def test_is_not_used_for_the_next(self) -> None:
        """A request sent over it would be lost, and may have run for all one knows."""
        with PlatformWorker("engine", "model", "decode") as worker:
            earlier = start(FIRST, address=worker.address)
            later = start(SECOND, address=worker.address)
            pool = ConnectionPool()
            kept = pool.take(earlier.start_id, earlier.address)
            pool.give_back(earlier.start_id, kept, None)
            fresh = pool.take(later.start_id, later.address)
            assert fresh is not kept
            assert pool.take(earlier.start_id, earlier.address) is kept
            fresh.close()
            kept.close()

    def test_is_kept_for_that_one_alone(self) -> None:
        with PlatformWorker("engine", "model", "decode") as worker:
            sender = build_sender(book_of())
            for started_at_ms in (FIRST, FIRST, SECOND):
                asked = start(started_at_ms, address=worker.address)
                question = sender.interface.ask_report("engine")
                sender.ask(asked, question, Deadline.after(2))
            assert sender.pool.idle_count == len(worker.sockets) == 2
            sender.pool.close_all()


class FailingExchange:
    """Notes the call, lets something happen, and reaches nobody."""

    def __init__(self, calls: list[EndpointCall], happens: Any) -> None:
        self._calls = calls
        self._happens = happens

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        pass

    def call(self, call: EndpointCall, deadline: Deadline) -> None:
        self._calls.append(call)
        self._happens()
        raise EndpointUnreachableError("nobody there")


class TestPromptThatTheEarlierStartRead:
    """An engine reads a prompt, and starts again before it is fetched.

    The engine that was to answer can't be reached, and another one is granted then.
    By the same handle, the next start may keep another request's prompt: a passenger
    would read the answer to somebody else.
    """

    @pytest.mark.parametrize("restarts", [True, False])
    def test_is_not_fetched_from_the_next(
        self, monkeypatch: pytest.MonkeyPatch, restarts: bool
    ) -> None:
        reader = start(FIRST, EndpointRole.PREFILL, endpoint_id="reader")
        later = start(SECOND, EndpointRole.PREFILL, endpoint_id="reader")
        book = book_of(reader, start(FIRST))
        sender = build_sender(book)
        prompts = PromptReader(sender, True, Pressures())
        monkeypatch.setattr(prompts, "prefill", lambda *_: PromptLocation(reader, "h1"))
        calls: list[EndpointCall] = []
        asked: list[bool] = []

        def grant(_: object, __: object, reads_itself: bool) -> Grant:
            asked.append(reads_itself)
            answers = start(FIRST, endpoint_id=f"engine-{len(asked)}")
            return Grant(answers, None if reads_itself else reader)

        happens = (lambda: book.take([later])) if restarts else (lambda: None)
        stubbed: Any = SimpleNamespace(
            is_open=lambda *_: len(calls) < 2,
            may_send=lambda *_: True,
            chooser=sender.chooser,
            health=sender.health,
            note_request_error=sender.note_request_error,
            quarantine=sender.quarantine,
            charge_endpoint_limit=lambda *_: True,
            is_on_hold=lambda *_: False,
            refusal=sender.refusal,
            exchange=lambda *_: FailingExchange(calls, happens),
        )
        grants: Any = SimpleNamespace(find=grant)
        context: Any = SimpleNamespace(
            end_by=Deadline.after(5),
            service_name="model",
            request=SimpleNamespace(prompt=None),
            route=SimpleNamespace(repeatable=False, maximum_attempts=1),
            check_account=lambda: None,
        )
        path = StreamPath(stubbed, prompts, grants)
        with pytest.raises(RequestRefusedError):
            path.answer(context, Attempts())
        location = f"{reader.address}/h1"
        assert [call.prompt_at for call in calls] == [
            location,
            "" if restarts else location,
        ]
        # Nobody has it any more: the leader is asked for an engine that reads it.
        assert asked == ([False, False, True] if restarts else [False, False])


class TestEngineThatStartsAgainWhileThePromptIsRead:
    """An engine is granted, and is back at another address before the prompt is read.

    Sent to the address of before, the request waits for a connection in vain, or
    reaches whoever has that address now.
    """

    def test_gets_nothing_at_its_earlier_address(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        reader = start(FIRST, EndpointRole.PREFILL, endpoint_id="reader")
        earlier, later = start(FIRST), start(SECOND, address="127.0.0.1:2")
        book = book_of(reader, earlier)
        sender = build_sender(book)
        prompts = PromptReader(sender, True, Pressures())

        def read(*_: object) -> PromptLocation:
            book.take([later])
            return PromptLocation(reader, "h1")

        monkeypatch.setattr(prompts, "prefill", read)
        given = [Grant(earlier, reader), Grant(later, reader)]
        calls: list[EndpointCall] = []
        sent_to: list[str] = []

        def exchange(_: object, endpoint: Endpoint) -> FailingExchange:
            sent_to.append(endpoint.address)
            return FailingExchange(calls, lambda: None)

        stubbed: Any = SimpleNamespace(
            is_open=lambda *_: not calls,
            may_send=lambda *_: True,
            chooser=sender.chooser,
            health=sender.health,
            note_request_error=sender.note_request_error,
            quarantine=sender.quarantine,
            charge_endpoint_limit=lambda *_: True,
            is_on_hold=lambda *_: False,
            refusal=sender.refusal,
            exchange=exchange,
        )
        grants: Any = SimpleNamespace(find=lambda *_: given.pop(0))
        context: Any = SimpleNamespace(
            end_by=Deadline.after(5),
            service_name="model",
            request=SimpleNamespace(prompt=None),
            route=SimpleNamespace(repeatable=False, maximum_attempts=1),
            check_account=lambda: None,
        )
        with pytest.raises(RequestRefusedError):
            StreamPath(stubbed, prompts, grants).answer(context, Attempts())
        assert sent_to == [later.address]
