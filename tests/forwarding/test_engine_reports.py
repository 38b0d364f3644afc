"""Reports of engines, of which one can't be used."""

from __future__ import annotations

import json
import logging
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._engine_reports import EngineReports
from jujubeslip.interfaces import EndpointQuestion
from jujubeslip.platform._endpoint_answers import read_report
from jujubeslip.platform._endpoint_calls import ask_report
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


class Asked:
    """Stands in for two engines, of which `foreign` gives its memory as text."""

    def __init__(self) -> None:
        self.interface = SimpleNamespace(ask_report=ask_report, read_report=read_report)
        self.ids: list[str] = []

    def ask(
        self, endpoint: Endpoint, question: EndpointQuestion, *_: object
    ) -> tuple[int, bytes]:
        self.ids.append(endpoint.endpoint_id)
        used: object = "10" if endpoint.endpoint_id == "foreign" else 10
        return 200, json.dumps({**REPORT, "kvUsed": used}).encode()


class TestReportThatIsNotUsable:
    """An engine gives what it uses of its memory as text, in each of its reports.

    Each request would ask it once more and write a line; the other engines' reports
    would still be good.
    """

    def test_is_told_once_and_the_others_hold(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        asked: Any = Asked()
        context: Any = SimpleNamespace(
            gone=lambda: False, request=SimpleNamespace(request_id="r-1")
        )
        reports = EngineReports(asked)
        with caplog.at_level(logging.INFO):
            for _ in range(5):
                assert reports.get(context, engine("foreign")) is None
                sound = reports.get(context, engine("sound"))
                assert sound is not None and sound.used_tokens == 10
        assert asked.ids == ["foreign", "sound"]
        [line] = caplog.records
        fields = vars(line)
        assert (fields["endpoint_id"], fields["request_id"]) == ("foreign", "r-1")
        assert "'kvUsed'" in fields["problem"]
