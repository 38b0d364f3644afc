"""State kept for one start of an endpoint is not used for its next start."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace, TracebackType
from typing import Any, Self

import pytest

from jujubeslip.accounts import ENDPOINT_BOUNDS, HostSpending
from jujubeslip.admission import MemoryOptions
from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import ConnectionPool, EndpointUnreachableError
from jujubeslip.forwarding._admissions import AdmissionAnswer
from jujubeslip.forwarding._choice import Chooser, LeastCost
from jujubeslip.forwarding._crash_detector import CrashDetector
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._engine_reports import EngineReports
from jujubeslip.forwarding._grants import Grant
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import Attempts
from jujubeslip.forwarding._prefill import Prefiller, PromptLocation
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.forwarding._reservations import Reservation, Reservations
from jujubeslip.forwarding._retry_budgets import BudgetOptions, RetryBudgets
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.forwarding._shared_charges import SharedCharges
from jujubeslip.forwarding._stream_path import StreamPath
from jujubeslip.interfaces import EndpointCall, interfaces
from jujubeslip.kernel import Deadline, RequestRefusedError, load_plugins
from jujubeslip.peers import EndpointRole, PeerIdentity
from jujubeslip.quarantine import CrashRegistry, HarmlessContents
from jujubeslip.relays import EndpointReach
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
    announced = engine(endpoint_id, role, started_at_ms=started_at_ms)
    return replace(announced, address=address)


def registry_of(*endpoints: Endpoint) -> EndpointRegistry:
    registry = EndpointRegistry()
    registry.merge(endpoints)
    return registry


def build_sender(registry: EndpointRegistry) -> EndpointSender:
    health = EndpointHealth()
    crash_registry, harmless = CrashRegistry(), HarmlessContents()
    contact = LeaderContact(PeerIdentity("host", 1, "secret"), lambda _: False)
    charges = SharedCharges(contact, HostSpending(ENDPOINT_BOUNDS, lambda: 1, 0.0))
    return EndpointSender(
        interfaces.get("platform"),
        ConnectionPool(),
        Chooser(registry, health, LeastCost(health, "zone-1"), 10.0),
        health,
        RetryBudgets(BudgetOptions(0.1, 10.0, 100), lambda: 1),
        CrashDetector(registry, crash_registry, harmless, lambda: None),
        Quarantine(crash_registry, harmless),
        EndpointLimits(charges, "host", lambda: 1),
        EndpointReach(registry),
    )


class TestStartThatWasSkipped:
    """Guards against skipping an endpoint for failures of its earlier start.

    An endpoint crashes, another one answers at its address, and it starts again. If it
    were skipped by its endpoint id, the new start would get no requests for an hour.
    """

    def test_next_start_is_used(self) -> None:
        earlier, later = start(FIRST), start(SECOND, address="127.0.0.1:2")
        registry = registry_of(earlier)
        sender = build_sender(registry)
        sender.health.note_replaced(earlier.start_id)
        sender.health.note_failure(earlier.start_id)
        assert sender.chooser.choose_healthy("model", EndpointRole.DECODE) is None
        registry.merge([later])
        found = sender.chooser.choose_healthy("model", EndpointRole.DECODE)
        assert found is not None and found.start_id == later.start_id
        assert sender.health.failure_share(later.start_id) == 0

    def test_request_that_it_refused_may_go_to_the_next_start(self) -> None:
        earlier = start(FIRST)
        registry = registry_of(earlier)
        chooser = build_sender(registry).chooser
        tried = {earlier.start_id}
        assert chooser.choose("model", EndpointRole.DECODE, tried) is None
        registry.merge([start(SECOND)])
        assert chooser.choose("model", EndpointRole.DECODE, tried) is not None


class TestGrantAtAnotherStart:
    """Guards against requests sent to a start other than the granted one.

    The leader and this host know different starts of an engine. The request would go to
    an outdated address, or to a start whose memory the leader has not accounted for.
    """

    @pytest.mark.parametrize(("granted", "known"), [(FIRST, SECOND), (SECOND, FIRST)])
    def test_is_returned(self, granted: int, known: int) -> None:
        class LeaderOfThatStart(Leader):
            def ask(self, *_: object) -> AdmissionAnswer:
                return AdmissionAnswer(start(granted).start_id, "", 0.0, 0.1)

        leader = LeaderOfThatStart()
        assert find(registry_of(start(known)), leader) is None
        assert leader.ended == [("r-1", 0)]


class TestReservationOfTheEarlierStart:
    """Guards against releasing the reservation of another request.

    An engine with a reservation is killed, and its next start numbers reservations from
    one again. A release there would free the reservation with the same token.
    """

    @pytest.mark.parametrize("known", [True, False])
    def test_is_not_released_at_the_next_start(self, known: bool) -> None:
        with PlatformWorker("engine", "model", "decode") as worker:
            worker.reservations["r1"] = 500
            earlier = start(FIRST, address=worker.address)
            registry = registry_of(earlier)
            if known:
                registry.merge([start(SECOND, address=worker.address)])
            options = MemoryOptions(margin=0.05, safety_deviations=1.5)
            context: Any = SimpleNamespace(
                request=SimpleNamespace(request_id="r"),
                client_disconnected=lambda: False,
            )
            reservations = Reservations(build_sender(registry), options, "zone-1")
            reservations.release(context, Reservation(earlier, "r1"))
            assert ("r1" in worker.reservations) is known


class TestReportOfAnotherStart:
    @pytest.mark.parametrize("reports", [FIRST, SECOND, None])
    def test_is_not_used(self, reports: int | None) -> None:
        """The next start answers at the same address under the same id."""
        worker = PlatformWorker("engine", "model", "decode", started_at_ms=reports)
        with worker:
            earlier = start(FIRST, address=worker.address)
            kept = EngineReports(build_sender(registry_of(earlier)))
            context: Any = SimpleNamespace(client_disconnected=lambda: False)
            taken = kept.get(context, earlier)
            assert (taken is None) is (reports == SECOND)


class TestConnectionToTheEarlierStart:
    def test_is_not_used_for_the_next_start(self) -> None:
        """A request sent over it would be lost, with unknown outcome."""
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

    def test_is_kept_for_its_own_start_only(self) -> None:
        with PlatformWorker("engine", "model", "decode") as worker:
            sender = build_sender(registry_of())
            for started_at_ms in (FIRST, FIRST, SECOND):
                asked = start(started_at_ms, address=worker.address)
                internal_request = sender.interface.ask_report("engine")
                sender.ask(asked, internal_request, Deadline.after(2))
            assert isinstance(sender.pool, ConnectionPool)
            assert sender.pool.idle_count == len(worker.sockets) == 2
            sender.pool.close_all()


class FailingExchange:
    """Records the call, runs a callback, and fails as unreachable."""

    def __init__(self, calls: list[EndpointCall], callback: Any) -> None:
        self._calls = calls
        self._callback = callback

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
        self._callback()
        raise EndpointUnreachableError("connection refused")


class TestPromptPrefilledByTheEarlierStart:
    """Guards against answers made from another request's prompt.

    A prefill engine restarts before the decode engine fetches the KV cache; the decode
    engine is unreachable, and another one is granted. Under the same handle, the next
    start may hold another request's prompt, and the client would get its answer.
    """

    @pytest.mark.parametrize("restarts", [True, False])
    def test_is_not_fetched_from_the_next_start(
        self, monkeypatch: pytest.MonkeyPatch, restarts: bool
    ) -> None:
        prefill_engine = start(FIRST, EndpointRole.PREFILL, endpoint_id="reader")
        later = start(SECOND, EndpointRole.PREFILL, endpoint_id="reader")
        registry = registry_of(prefill_engine, start(FIRST))
        sender = build_sender(registry)
        prefiller = Prefiller(sender, True, Pressures())
        monkeypatch.setattr(
            prefiller, "prefill", lambda *_: PromptLocation(prefill_engine, "h1")
        )
        calls: list[EndpointCall] = []
        asked: list[bool] = []

        def grant(_: object, __: object, reads_itself: bool) -> Grant:
            asked.append(reads_itself)
            answers = start(FIRST, endpoint_id=f"engine-{len(asked)}")
            return Grant(answers, None if reads_itself else prefill_engine)

        callback = (lambda: registry.merge([later])) if restarts else (lambda: None)
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
            exchange=lambda *_: FailingExchange(calls, callback),
        )
        grants: Any = SimpleNamespace(find=grant)
        context: Any = SimpleNamespace(
            end_by=Deadline.after(5),
            service_name="model",
            request=SimpleNamespace(prompt=None),
            route=SimpleNamespace(repeatable=False, maximum_attempts=1),
            check_account=lambda: None,
            endpoint_priority=None,
        )
        path = StreamPath(stubbed, prefiller, grants)
        with pytest.raises(RequestRefusedError):
            path.answer(context, Attempts())
        location = f"{prefill_engine.address}/h1"
        assert [call.prefilled_at for call in calls] == [
            location,
            "" if restarts else location,
        ]
        # No engine has it any more, so the grant has to be for an engine that prefills
        # it.
        assert asked == ([False, False, True] if restarts else [False, False])


class TestEngineThatRestartsDuringThePrefill:
    """Guards against requests sent to the earlier address of a restarted engine.

    A granted engine restarts at another address before the prefill is done. At the
    earlier address the request would wait for a connection that cannot be opened, or
    reach another endpoint that has this address now.
    """

    def test_gets_nothing_at_its_earlier_address(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        prefill_engine = start(FIRST, EndpointRole.PREFILL, endpoint_id="reader")
        earlier, later = start(FIRST), start(SECOND, address="127.0.0.1:2")
        registry = registry_of(prefill_engine, earlier)
        sender = build_sender(registry)
        prefiller = Prefiller(sender, True, Pressures())

        def prefill(*_: object) -> PromptLocation:
            registry.merge([later])
            return PromptLocation(prefill_engine, "h1")

        monkeypatch.setattr(prefiller, "prefill", prefill)
        given = [Grant(earlier, prefill_engine), Grant(later, prefill_engine)]
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
            endpoint_priority=None,
        )
        with pytest.raises(RequestRefusedError):
            StreamPath(stubbed, prefiller, grants).answer(context, Attempts())
        assert sent_to == [later.address]
