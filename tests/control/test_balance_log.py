"""Tests of the log lines on why no engine is ordered."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jujubeslip.control._balance_log import BalanceInputs, BalanceLog, NoOrderReason

INPUTS = BalanceInputs(2, 1, 0, 2, 2, 2, 0.5, 0.1, 0.2, True, 5)


class TestBalanceLog:
    def record(self, log: BalanceLog, inputs: BalanceInputs = INPUTS) -> None:
        log.record("model", NoOrderReason.BALANCED, inputs)

    def test_names_the_reason_and_the_inputs(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        self.record(BalanceLog())
        [line] = caplog.records
        assert line.getMessage() == "no engine ordered"
        assert line.__dict__["reason"] == "no other balance serves more"
        assert (line.__dict__["reading"], line.__dict__["answering"]) == (2, 1)

    def test_logs_again_only_after_a_change(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        log = BalanceLog()
        self.record(log)
        self.record(log, replace(INPUTS, waited=9))
        assert len(caplog.records) == 1
        self.record(log, replace(INPUTS, decode_engines=2))
        assert len(caplog.records) == 2
