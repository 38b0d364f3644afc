"""The task that asks one engine for its reports."""

from __future__ import annotations

import json
import logging
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.admission import _engine_follower
from jujubeslip.admission._engine_follower import EngineReportPoller
from jujubeslip.endpoints import AnswerCutError, EndpointUnreachableError
from jujubeslip.interfaces import interfaces
from jujubeslip.kernel import load_plugins
from jujubeslip.notices import EndpointNotices
from jujubeslip.platform._endpoint_answers import read_report
from jujubeslip.platform._endpoint_calls import ask_report, read_head
from jujubeslip.routes import EngineReport
from tests.fakes.engines import engine
from tests.fakes.platform_worker import PlatformWorker

REPORT = {
    "stage": "decode",
    "busy": False,
    "seq": 0,
    "queued": 0,
    "kvUsed": 10,
    "kvCapacity": 100,
    "runs": [],
}


class TestReportThatIsNotUsable:
    """An engine leaves its capacity out of some reports, and then gives it again.

    The leader grants nothing by such a report and goes on asking; one line tells the
    field and a second one that all is well again.
    """

    def test_is_passed_over_until_one_is_usable(
        self, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
    ) -> None:
        broken = {key: value for key, value in REPORT.items() if key != "kvCapacity"}
        answers = [broken, broken, REPORT]
        monkeypatch.setattr(
            _engine_follower,
            "ask_endpoint",
            lambda *_: (200, json.dumps(answers.pop(0)).encode()),
        )
        interface: Any = SimpleNamespace(ask_report=ask_report, read_report=read_report)
        process: Any = None
        taken: list[EngineReport] = []
        poller = EngineReportPoller(
            engine("e"),
            interface,
            process,
            lambda _, report: taken.append(report),
            lambda _: pytest.fail("the engine was reached"),
        )
        with caplog.at_level(logging.INFO):
            for _ in range(3):
                poller._request_report()
        assert [report.capacity_tokens for report in taken] == [100]
        first, second = caplog.records
        assert "'kvCapacity'" in vars(first)["error"]
        assert second.message == "engine reports again"


class TestEngineThatEnds:
    """Two of five engines crash in a burst, and half of the summaries are refused.

    Their answers end with them, so that they look empty: `grant at an engine` names no
    others, with a fill of 0.1 and a report up to 1.5 s old. Prompts are read for them
    in vain (0.067 of a day's worth), and by the time that the send is refused
    (`endpoint_unreachable`, later `endpoint_replaced`) their target has passed.
    """

    @pytest.fixture
    def lost(self) -> list[str]:
        return []

    @pytest.fixture
    def poller(
        self, monkeypatch: pytest.MonkeyPatch, lost: list[str]
    ) -> EngineReportPoller:
        monkeypatch.setattr(_engine_follower, "ask_endpoint", self.answer)
        self.answers: list[object] = []
        interface: Any = SimpleNamespace(ask_report=ask_report, read_report=read_report)
        process: Any = None
        return EngineReportPoller(
            engine("e", started_at_ms=7),
            interface,
            process,
            lambda *_: None,
            lambda ended: lost.append(ended.endpoint_id),
        )

    def answer(self, *_: object) -> tuple[int, bytes]:
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        assert isinstance(answer, tuple)
        return answer

    GOOD = (200, json.dumps(REPORT).encode())
    OTHER_START = (200, json.dumps({**REPORT, "born": 8}).encode())
    MISDIRECTED = (421, b"")
    REFUSED = EndpointUnreachableError("connection refused")
    DROPPED = AnswerCutError("the kept connection was reset")

    @pytest.mark.parametrize(
        "answers",
        [(DROPPED, REFUSED), (REFUSED, REFUSED), (MISDIRECTED, MISDIRECTED)],
        ids=["reset, then refused", "refused", "another endpoint has the address"],
    )
    def test_is_told_lost_at_the_first_look(
        self, poller: EngineReportPoller, lost: list[str], answers: tuple[object, ...]
    ) -> None:
        self.answers += answers
        poller._poll()
        assert lost == ["e"]

    def test_is_told_lost_when_another_start_answers(
        self, poller: EngineReportPoller, lost: list[str]
    ) -> None:
        self.answers += [self.OTHER_START, self.OTHER_START]
        poller._poll()
        assert lost == ["e"]

    def test_is_kept_when_only_a_connection_was_dropped(
        self, poller: EngineReportPoller, lost: list[str]
    ) -> None:
        self.answers += [self.DROPPED, self.GOOD]
        poller._poll()
        assert lost == []

    def test_is_told_lost_once_each_time(
        self, poller: EngineReportPoller, lost: list[str]
    ) -> None:
        self.answers += [self.REFUSED] * 3 + [self.GOOD] + [self.REFUSED] * 2
        for _ in range(4):
            poller._poll()
        assert lost == ["e", "e"]
        assert self.answers == []


class TestEngineThatAskedForBackoff:
    """Guards against reports that a control host asks an engine in backoff for."""

    def test_is_asked_nothing_until_its_end(self) -> None:
        load_plugins()
        with PlatformWorker("e", "model", "decode") as worker:
            followed = replace(engine("e"), address=worker.address)
            notices = EndpointNotices()
            process: Any = None
            poller = EngineReportPoller(
                followed,
                interfaces.get("platform"),
                process,
                lambda *_: None,
                lambda _: pytest.fail("the engine was reached"),
                notices,
            )
            refusal = read_head(503, [("Retry-After", "0.3")])
            notices.note_other_answer(followed, refusal)
            for _ in range(3):
                poller._poll()
            assert worker.questions == []
            time.sleep(0.35)
            poller._poll()
            assert worker.questions == ["report"]
