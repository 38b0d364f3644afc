"""The task that asks one engine for its reports."""

from __future__ import annotations

import json
import logging
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.admission import _engine_follower
from jujubeslip.admission._engine_follower import EngineFollower
from jujubeslip.platform._endpoint_answers import read_report
from jujubeslip.platform._endpoint_calls import ask_report
from jujubeslip.routes import EngineReport
from tests.fakes.engines import engine

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
        follower = EngineFollower(
            engine("e"), interface, process, lambda _, report: taken.append(report)
        )
        with caplog.at_level(logging.INFO):
            for _ in range(3):
                follower._ask()
        assert [report.capacity_tokens for report in taken] == [100]
        first, second = caplog.records
        assert "'kvCapacity'" in vars(first)["error"]
        assert second.message == "engine reports again"
