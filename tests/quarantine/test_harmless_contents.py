"""Contents that this host has seen run without a crash."""

from __future__ import annotations

import pytest

from jujubeslip.quarantine import HarmlessContents, _harmless_contents
from jujubeslip.quarantine._harmless_contents import HARMLESS_SECONDS, MAXIMUM_CONTENTS
from tests.fakes.clock import Clock


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_harmless_contents, "steady_seconds", clock.steady_seconds)
    return clock


class TestHarmlessContents:
    def test_expires(self, clock: Clock) -> None:
        harmless = HarmlessContents()
        assert not harmless.holds("content")
        harmless.note("content")
        clock.now += HARMLESS_SECONDS - 1
        assert harmless.holds("content")
        clock.now += 2
        assert not harmless.holds("content")

    def test_keeps_the_latest_of_many(self, clock: Clock) -> None:
        harmless = HarmlessContents()
        for number in range(MAXIMUM_CONTENTS + 10):
            harmless.note("often")
            harmless.note(str(number))
        assert harmless.holds("often")
        assert not harmless.holds("0")
        assert harmless.holds(str(MAXIMUM_CONTENTS))
