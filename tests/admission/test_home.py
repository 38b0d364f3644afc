"""The leader's home of admissions and the engines that it polls."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from jujubeslip.admission import AdmissionHome, MemoryOptions, _home
from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import (
    AdmissionRequest,
    AdmissionStatus,
    EndpointRole,
    PeerRefusal,
)
from jujubeslip.platform._endpoint_calls import read_head
from jujubeslip.routes import EngineReport
from tests.fakes.engines import engine

REQUEST_NUMBERS = itertools.count()


class ImmediateProcess:
    """A process that runs each task synchronously when it is started."""

    def start_task(self, task: Callable[[], None]) -> None:
        task()


class ImmediatePoller:
    """Delivers an engine's report as soon as it is started."""

    def __init__(
        self,
        polled: Endpoint,
        interface: object,
        process: object,
        on_report: Callable[[Endpoint, EngineReport], None],
        on_lost: Callable[[Endpoint], None],
        *_: object,
    ) -> None:
        self._engine = polled
        self._on_report = on_report

    def stop(self) -> None:
        pass

    def run(self) -> None:
        is_prefill_engine = self._engine.role == EndpointRole.PREFILL
        report = EngineReport(100_000, 0, 0, (), is_prefill_engine=is_prefill_engine)
        self._on_report(self._engine, report)


class TestImmediateReport:
    """Guards against losing a report that arrives as soon as polling starts.

    A prefill engine reports within a millisecond after it is found. If the pool did not
    know the engine yet, the report would be lost, and decode engines would prefill
    prompts until the next one, a quarter of a second later.
    """

    def test_is_not_lost(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_home, "EngineReportPoller", ImmediatePoller)
        registry = EndpointRegistry()
        registry.merge([engine("engine"), engine("reader", EndpointRole.PREFILL)])
        process: Any = ImmediateProcess()
        interface: Any = None
        options = MemoryOptions(margin=0.05, safety_deviations=1.5)
        home = AdmissionHome(
            process, registry, interface, options, lambda: True, lambda: {"model"}
        )
        request = AdmissionRequest(
            "r-1", "model", 100, 130, 65, 0, 64, 900, 600, 0, [], attempt=1
        )
        with pytest.raises(PeerRefusal):
            home.admit(request)
        reply = home.admit(request)
        assert reply.status == AdmissionStatus.ADMITTED
        assert (reply.start_id, reply.reader_start_id) == ("engine", "reader")


class TestEnginesOfAnUnconfiguredService:
    """Guards against polling engines of a service that no configuration names.

    Any program can announce such an engine, at any address. It would be polled four
    times a second and used.
    """

    def test_are_not_polled(self, monkeypatch: pytest.MonkeyPatch) -> None:
        polled: list[str] = []

        class Poller(ImmediatePoller):
            def run(self) -> None:
                polled.append(self._engine.endpoint_id)

        monkeypatch.setattr(_home, "EngineReportPoller", Poller)
        registry = EndpointRegistry()
        registry.merge([engine("foreign")])
        registry.merge([replace(engine("known"), service_name="named")])
        process: Any = ImmediateProcess()
        interface: Any = None
        options = MemoryOptions(margin=0.05, safety_deviations=1.5)
        home = AdmissionHome(
            process, registry, interface, options, lambda: True, lambda: {"named"}
        )
        request = AdmissionRequest(
            "r-1", "model", 100, 130, 65, 0, 64, 900, 600, 0, [], attempt=1
        )
        with pytest.raises(PeerRefusal):
            home.admit(request)
        assert polled == ["known"]


def home_with_two_prefill_engines(
    monkeypatch: pytest.MonkeyPatch,
    ordered_role: Callable[[Endpoint], EndpointRole | None],
    notices: EndpointNotices | None = None,
) -> AdmissionHome:
    """Return a home of one decode engine and two prefill engines."""
    monkeypatch.setattr(_home, "EngineReportPoller", ImmediatePoller)
    registry = EndpointRegistry()
    prefill_engines = [
        engine(name, EndpointRole.PREFILL) for name in ("first", "other")
    ]
    registry.merge([engine("engine"), *prefill_engines])
    process: Any = ImmediateProcess()
    interface: Any = None
    return AdmissionHome(
        process,
        registry,
        interface,
        MemoryOptions(margin=0.05, safety_deviations=1.5),
        lambda: True,
        lambda: {"model"},
        ordered_role,
        notices=notices,
    )


def granted_prefill_engines(home: AdmissionHome) -> set[str]:
    """Return the prefill engines that some requests are granted.

    Each request gets the engine with the least pending prefill.
    """
    found = set()
    for number in itertools.islice(REQUEST_NUMBERS, 8):
        request = AdmissionRequest(
            f"r-{number}", "model", 100, 130, 65, 0, 64, 900, 600, 0, [], attempt=1
        )
        try:
            found.add(home.admit(request).reader_start_id)
        except PeerRefusal:
            # The first call finds the engines.
            continue
    return found


class TestPrefillEngineOrderedToDecode:
    """Guards against prompts for a prefill engine that was ordered to decode.

    It refuses prompts as soon as it is ordered, and its reports show that about a
    second later. Even under low load, five prompts were sent there meanwhile and
    refused, and their requests had to wait again.
    """

    def home(
        self, monkeypatch: pytest.MonkeyPatch, role: EndpointRole | None
    ) -> AdmissionHome:
        """Return a home whose first prefill engine is ordered to a role."""
        return home_with_two_prefill_engines(
            monkeypatch, lambda asked: role if asked.endpoint_id == "first" else None
        )

    def test_gets_no_prompts(self, monkeypatch: pytest.MonkeyPatch) -> None:
        home = self.home(monkeypatch, EndpointRole.DECODE)
        assert granted_prefill_engines(home) == {"other"}

    @pytest.mark.parametrize("role", [None, EndpointRole.PREFILL])
    def test_gets_prompts_without_another_role_ordered(
        self, monkeypatch: pytest.MonkeyPatch, role: EndpointRole | None
    ) -> None:
        assert granted_prefill_engines(self.home(monkeypatch, role)) == {
            "first",
            "other",
        }


class TestLeavingEngine:
    """Guards against grants at engines that announced that they are leaving."""

    def test_is_not_granted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        notices = EndpointNotices()
        home = home_with_two_prefill_engines(monkeypatch, lambda _: None, notices)
        assert granted_prefill_engines(home) == {"first", "other"}
        leaving = engine("first", EndpointRole.PREFILL)
        notices.record_internal_answer(
            leaving, read_head(200, [("Server-Leaving", "1")])
        )
        home.run_once()
        assert granted_prefill_engines(home) == {"other"}
