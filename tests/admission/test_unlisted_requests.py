"""Grants at engines that may run requests which no report has listed yet."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from bench.replay._clock import VirtualClock
from jujubeslip.admission import AdmissionHome, MemoryOptions, _home, lengths_of
from jujubeslip.admission._engine_memory import UNLISTED_SECONDS
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._home import ACTIVE_SECONDS, FIRST_REPORT_SECONDS
from jujubeslip.admission._models import GrantRequest
from jujubeslip.discovery import EndpointRegistry
from jujubeslip.kernel import Deadline
from jujubeslip.peers import (
    AdmissionNews,
    AdmissionReply,
    AdmissionRequest,
    AdmissionStatus,
    AdmissionStep,
    PeerRefusal,
)
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.admission.test_home import ImmediatePoller, ImmediateProcess
from tests.fakes.engines import engine

OPTIONS = MemoryOptions(margin=0.05, safety_deviations=1.5)
FREE = EngineReport(100_000, 0, 0, ())


class SilentPoller(ImmediatePoller):
    """Polls an engine that never reports."""

    def run(self) -> None:
        pass


def build_home(leads: bool = True) -> AdmissionHome:
    registry = EndpointRegistry()
    registry.merge([engine("engine")])
    process: Any = ImmediateProcess()
    interface: Any = None
    return AdmissionHome(
        process, registry, interface, OPTIONS, lambda: leads, lambda: {"model"}
    )


def ask(home: AdmissionHome, name: str, interim: bool = False) -> AdmissionReply:
    request = AdmissionRequest(
        name, "model", 100, 130, 65, 0, 64, 900, 600, 0, [], attempt=1
    )
    request.interim = interim
    return home.admit(request)


class TestControlHostThatBeginsToDecide:
    """Guards against memory that is granted again before reports list its requests."""

    @pytest.fixture(autouse=True)
    def immediate_reports(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_home, "EngineReportPoller", ImmediatePoller)

    def test_lets_the_engine_confirm_its_grants(self) -> None:
        with VirtualClock():
            reply = ask(build_home(leads=False), "r-1", interim=True)
            assert reply.status == AdmissionStatus.ADMITTED
            assert reply.needs_reservation

    def test_grants_alone_as_the_leader(self) -> None:
        with VirtualClock() as clock:
            home = build_home()
            ask(home, "r-1")
            reply = self.ask_later(home, clock, interim=False)
            assert not reply.needs_reservation

    def test_never_grants_alone_without_leading(self) -> None:
        with VirtualClock() as clock:
            home = build_home(leads=False)
            ask(home, "r-1", interim=True)
            reply = self.ask_later(home, clock, interim=True)
            assert reply.needs_reservation

    def ask_later(
        self, home: AdmissionHome, clock: VirtualClock, interim: bool
    ) -> AdmissionReply:
        """Ask for a grant once the first request has ended and reports list others."""
        home.take([AdmissionNews("r-1", 1, AdmissionStep.ENDED)])
        clock.now += UNLISTED_SECONDS
        home._take_report(engine("engine"), FREE)
        reply = ask(home, "r-2", interim)
        assert reply.status == AdmissionStatus.ADMITTED
        return reply


class TestFirstReports:
    """Guards against requests that leave the queue before the engines have reported."""

    @pytest.fixture(autouse=True)
    def no_reports(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_home, "EngineReportPoller", SilentPoller)

    def test_are_waited_for(self) -> None:
        with VirtualClock():
            assert ask(build_home(), "r-1").status == AdmissionStatus.WAITING

    def test_that_never_come_end_the_wait(self) -> None:
        with VirtualClock() as clock:
            home = build_home()
            ask(home, "r-1")
            clock.now += FIRST_REPORT_SECONDS
            with pytest.raises(PeerRefusal, match="engines_unknown"):
                ask(home, "r-1")

    def test_are_waited_for_again_after_a_calm(self) -> None:
        with VirtualClock() as clock:
            home = build_home()
            ask(home, "r-1")
            clock.now += ACTIVE_SECONDS
            assert ask(home, "r-2").status == AdmissionStatus.WAITING


class TestEngineThatRefusesAReservation:
    """Guards against grants that go on at an engine which has no memory for them."""

    def request(self, attempt: int, refused_start_id: str = "") -> GrantRequest:
        return GrantRequest(
            "r-1",
            attempt,
            100,
            65,
            lengths_of(130, 60),
            64,
            Deadline.after(0.9),
            Deadline.after(0.6),
            False,
            refused_start_id=refused_start_id,
        )

    def test_is_granted_again_once_it_has_reported(self) -> None:
        with VirtualClock():
            pool = EnginePool("model", OPTIONS)
            pool.set_engines([engine("engine")], [])
            pool.take_report("engine", FREE)
            assert pool.ask(self.request(1), (), Deadline.after(0)).grant is not None
            again = self.request(2, refused_start_id="engine")
            assert pool.ask(again, (), Deadline.after(0)).grant is None
            pool.take_report("engine", FREE)
            again = replace(again, refused_start_id="")
            assert pool.ask(again, (), Deadline.after(0)).grant is not None


class TestOwnPrefillsWhileNoneLeads:
    """Guards against prompts that a partitioned zone refuses beside a few answers.

    A host that has just begun to decide has measured no speed, and assumes one at which
    most prompts would pause the answers for too long.
    """

    @pytest.mark.parametrize(
        ("interim", "status"),
        [(True, AdmissionStatus.ADMITTED), (False, AdmissionStatus.WAITING)],
    )
    def test_may_pause_answers(
        self, monkeypatch: pytest.MonkeyPatch, interim: bool, status: AdmissionStatus
    ) -> None:
        monkeypatch.setattr(_home, "EngineReportPoller", ImmediatePoller)
        with VirtualClock():
            home = build_home(leads=not interim)
            ask(home, "r-1", interim)
            home.take([AdmissionNews("r-1", 1, AdmissionStep.ENDED)])
            running = (RunningAnswer(5_000, 20, "r-0"),)
            home._take_report(
                engine("engine"), EngineReport(100_000, 5_000, 0, running)
            )
            request = AdmissionRequest(
                "r-2", "model", 9_000, 130, 65, 0, 64, 900, 600, 0, [], attempt=1
            )
            request.interim, request.maximum_gap_ms = interim, 300
            assert home.admit(request).status == status
