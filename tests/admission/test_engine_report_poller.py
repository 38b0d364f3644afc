"""The task that polls one engine for its reports."""

from __future__ import annotations

import json
import logging
import time
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.admission import _engine_report_poller
from jujubeslip.admission._engine_report_poller import EngineReportPoller
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


class TestUnusableReport:
    """Guards against using a report without capacity, and against logging each one.

    An engine omits its capacity from some reports. The leader ignores those and keeps
    polling; one log line names the missing field and a second one the recovery.
    """

    def test_is_skipped_until_one_is_usable(
        self, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
    ) -> None:
        broken = {key: value for key, value in REPORT.items() if key != "kvCapacity"}
        replies = [broken, broken, REPORT]
        monkeypatch.setattr(
            _engine_report_poller,
            "send_internal_request",
            lambda *_: (200, json.dumps(replies.pop(0)).encode()),
        )
        interface: Any = SimpleNamespace(ask_report=ask_report, read_report=read_report)
        process: Any = None
        reports: list[EngineReport] = []
        poller = EngineReportPoller(
            engine("e"),
            interface,
            process,
            lambda _, report: reports.append(report),
            lambda _: pytest.fail("the engine was reached"),
        )
        with caplog.at_level(logging.INFO):
            for _ in range(3):
                poller._request_report()
        assert [report.capacity_tokens for report in reports] == [100]
        first, second = caplog.records
        assert "'kvCapacity'" in vars(first)["error"]
        assert second.message == "engine reports again"


class TestUnreachableEngine:
    """Guards against grants at crashed engines, whose answers have ended with them.

    Two of five engines crash in a burst, and half of the summaries are refused. All
    log lines `grant at an engine` name the crashed engines, with a fill of 0.1 and a
    report up to 1.5 s old. The prefill of these prompts is wasted (0.067 of a day's
    worth). When the call to the engine fails (`endpoint_unreachable`, later
    `endpoint_replaced`), the target of the request has passed.
    """

    @pytest.fixture
    def lost(self) -> list[str]:
        return []

    @pytest.fixture
    def poller(
        self, monkeypatch: pytest.MonkeyPatch, lost: list[str]
    ) -> EngineReportPoller:
        monkeypatch.setattr(_engine_report_poller, "send_internal_request", self.reply)
        self.replies: list[object] = []
        interface: Any = SimpleNamespace(ask_report=ask_report, read_report=read_report)
        process: Any = None
        return EngineReportPoller(
            engine("e", started_at_ms=7),
            interface,
            process,
            lambda *_: None,
            lambda ended: lost.append(ended.endpoint_id),
        )

    def reply(self, *_: object) -> tuple[int, bytes]:
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        assert isinstance(reply, tuple)
        return reply

    GOOD = (200, json.dumps(REPORT).encode())
    OTHER_START = (200, json.dumps({**REPORT, "born": 8}).encode())
    MISDIRECTED = (421, b"")
    REFUSED = EndpointUnreachableError("connection refused")
    DROPPED = AnswerCutError("the kept connection was reset")

    @pytest.mark.parametrize(
        "replies",
        [(DROPPED, REFUSED), (REFUSED, REFUSED), (MISDIRECTED, MISDIRECTED)],
        ids=["reset, then refused", "refused", "another endpoint has the address"],
    )
    def test_is_reported_lost_by_the_first_poll(
        self, poller: EngineReportPoller, lost: list[str], replies: tuple[object, ...]
    ) -> None:
        self.replies += replies
        poller._poll()
        assert lost == ["e"]

    def test_is_reported_lost_when_another_start_replies(
        self, poller: EngineReportPoller, lost: list[str]
    ) -> None:
        self.replies += [self.OTHER_START, self.OTHER_START]
        poller._poll()
        assert lost == ["e"]

    def test_is_not_reported_lost_when_only_a_connection_was_dropped(
        self, poller: EngineReportPoller, lost: list[str]
    ) -> None:
        self.replies += [self.DROPPED, self.GOOD]
        poller._poll()
        assert lost == []

    def test_is_reported_lost_once_per_outage(
        self, poller: EngineReportPoller, lost: list[str]
    ) -> None:
        self.replies += [self.REFUSED] * 3 + [self.GOOD] + [self.REFUSED] * 2
        for _ in range(4):
            poller._poll()
        assert lost == ["e", "e"]
        assert self.replies == []


class TestEngineInBackoff:
    """Guards against a control host that polls an engine during its backoff."""

    def test_is_not_polled_until_the_backoff_ends(self) -> None:
        load_plugins()
        with PlatformWorker("e", "model", "decode") as worker:
            polled = replace(engine("e"), address=worker.address)
            notices = EndpointNotices()
            process: Any = None
            poller = EngineReportPoller(
                polled,
                interfaces.get("platform"),
                process,
                lambda *_: None,
                lambda _: pytest.fail("the engine was reached"),
                notices,
            )
            refusal = read_head(503, [("Retry-After", "0.3")])
            notices.record_internal_answer(polled, refusal)
            for _ in range(3):
                poller._poll()
            assert worker.system_calls == []
            time.sleep(0.35)
            poller._poll()
            assert worker.system_calls == ["report"]
