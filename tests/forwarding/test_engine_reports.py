"""Reports of engines, one of which sends invalid ones."""

from __future__ import annotations

import json
import logging
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._engine_reports import EngineReports
from jujubeslip.interfaces import InternalRequest
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


class FakeEngines:
    """Stands in for two engines, of which `foreign` sends its memory use as text."""

    def __init__(self) -> None:
        self.interface = SimpleNamespace(ask_report=ask_report, read_report=read_report)
        self.ids: list[str] = []

    def ask(
        self, endpoint: Endpoint, internal_request: InternalRequest, *_: object
    ) -> tuple[int, bytes]:
        self.ids.append(endpoint.endpoint_id)
        used: object = "10" if endpoint.endpoint_id == "foreign" else 10
        return 200, json.dumps({**REPORT, "kvUsed": used}).encode()


class TestInvalidReport:
    """Guards against a call and a log line per request for an invalid report.

    An engine sends its memory use as text in each of its reports. The other engines'
    reports must stay in use.
    """

    def test_is_logged_once_and_the_others_are_used(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        engines: Any = FakeEngines()
        context: Any = SimpleNamespace(
            client_disconnected=lambda: False, request=SimpleNamespace(request_id="r-1")
        )
        reports = EngineReports(engines)
        with caplog.at_level(logging.INFO):
            for _ in range(5):
                assert reports.get(context, engine("foreign")) is None
                report = reports.get(context, engine("sound"))
                assert report is not None and report.used_tokens == 10
        assert engines.ids == ["foreign", "sound"]
        [line] = caplog.records
        fields = vars(line)
        assert (fields["endpoint_id"], fields["request_id"]) == ("foreign", "r-1")
        assert "'kvUsed'" in fields["problem"]
