"""Lines that say why no engine is ordered."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jujubeslip.control._order_log import BalanceInputs, NoOrderLog, NoOrderReason

INPUTS = BalanceInputs(2, 1, 0, 2, 2, 2, 0.5, 0.1, 0.2, True, 5)


class TestNoOrderLog:
    def note(self, log: NoOrderLog, inputs: BalanceInputs = INPUTS) -> None:
        log.note("model", NoOrderReason.BALANCED, inputs)

    def test_names_the_reason_and_what_decided_it(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        self.note(NoOrderLog())
        [line] = caplog.records
        assert line.getMessage() == "no engine ordered"
        assert line.__dict__["reason"] == "no other balance serves more"
        assert (line.__dict__["reading"], line.__dict__["answering"]) == (2, 1)

    def test_writes_again_only_what_has_changed(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        caplog.set_level("INFO")
        log = NoOrderLog()
        self.note(log)
        self.note(log, replace(INPUTS, waited=9))
        assert len(caplog.records) == 1
        self.note(log, replace(INPUTS, answering=2))
        assert len(caplog.records) == 2
