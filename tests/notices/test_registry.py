"""Notices of endpoints in their answers, and how long they are in effect."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.interfaces import EndpointHead
from jujubeslip.kernel import steady_seconds
from jujubeslip.notices import EndpointNotices, HoldReason, _models, _registry
from jujubeslip.notices._models import LONGEST_BACKOFF_SECONDS
from jujubeslip.notices._registry import MAXIMUM_UNKNOWN_STARTS
from jujubeslip.platform._endpoint_calls import read_head
from tests.fakes.engines import engine

ENDPOINT = engine("e", started_at_ms=7)
NEXT_START = engine("e", started_at_ms=8)


def head(status: int = 503, **headers: str) -> EndpointHead:
    named = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return read_head(status, named)


@pytest.fixture
def now(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list whose only item is the time of all clocks."""
    current_time = [1000.0]
    for module in (_registry, _models):
        monkeypatch.setattr(
            module, "steady_seconds", lambda: current_time[0], raising=False
        )
    monkeypatch.setattr(
        "jujubeslip.kernel._deadlines.steady_seconds", lambda: current_time[0]
    )
    return current_time


def after_refusal(backoff: str, known: Endpoint = ENDPOINT) -> EndpointNotices:
    endpoint_registry = EndpointRegistry()
    # The registry forgets a start that it has not heard from for some minutes.
    endpoint_registry.merge([replace(known, heard_at=steady_seconds())])
    notices = EndpointNotices(endpoint_registry)
    notices.record_answer(ENDPOINT, head(Retry_After=backoff), 999.0)
    return notices


class TestBackoff:
    """Guards against requests to an endpoint before its requested backoff has ended."""

    @pytest.mark.parametrize("backoff", [("3", 3.0), ("0.25", 0.25), (".5", 0.5)])
    def test_is_in_effect_until_it_ends(
        self, now: list[float], backoff: tuple[str, float]
    ) -> None:
        text, seconds = backoff
        notices = after_refusal(text)
        now[0] += seconds - 0.01
        hold = notices.hold_of(ENDPOINT.start_id)
        assert hold is not None and hold.reason is HoldReason.BACKOFF
        assert hold.until is not None and hold.until.remaining() == pytest.approx(0.01)
        now[0] += 0.02
        assert notices.hold_of(ENDPOINT.start_id) is None

    @pytest.mark.parametrize(
        "backoff", ["", "-1", "0", "nan", "inf", "1e9", "soon", "3, 5", "٣"]
    )
    def test_is_none_without_valid_seconds(
        self, now: list[float], backoff: str
    ) -> None:
        assert after_refusal(backoff).hold_of(ENDPOINT.start_id) is None

    @pytest.mark.parametrize("backoff", ["99999999", "9" * 400, "100000.5"])
    def test_is_limited_to_the_maximum_length(
        self, now: list[float], backoff: str
    ) -> None:
        notices = after_refusal(backoff)
        now[0] += LONGEST_BACKOFF_SECONDS - 1
        assert notices.hold_of(ENDPOINT.start_id) is not None
        now[0] += 2
        assert notices.hold_of(ENDPOINT.start_id) is None

    def test_is_not_shortened_by_a_later_answer(self, now: list[float]) -> None:
        notices = after_refusal("3")
        notices.record_answer(ENDPOINT, head(Retry_After="0.1"), 1000.0)
        notices.record_answer(ENDPOINT, head(200), 1000.0)
        now[0] += 2.9
        assert notices.hold_of(ENDPOINT.start_id) is not None

    def test_is_only_read_from_refusals(self, now: list[float]) -> None:
        notices = EndpointNotices()
        for status in (200, 429, 500):
            notices.record_answer(ENDPOINT, head(status, Retry_After="3"), 999.0)
        assert notices.hold_of(ENDPOINT.start_id) is None

    def test_is_read_from_answers_to_other_calls(self, now: list[float]) -> None:
        notices = EndpointNotices()
        notices.record_internal_answer(ENDPOINT, head(Retry_After="3"))
        assert notices.hold_of(ENDPOINT.start_id) is not None

    def test_ends_with_its_start(self, now: list[float]) -> None:
        assert after_refusal("3").hold_of(NEXT_START.start_id) is None


class TestLeaving:
    """Guards against requests to an endpoint that announced that it is leaving."""

    def test_is_final_for_the_start(self, now: list[float]) -> None:
        notices = EndpointNotices()
        notices.record_answer(ENDPOINT, head(200, Server_Leaving="1"), 999.0)
        notices.record_answer(ENDPOINT, head(200), 1000.0)
        now[0] += 10_000
        notices.forget_old()
        hold = notices.hold_of(ENDPOINT.start_id)
        assert hold is not None and hold.reason is HoldReason.LEAVING
        assert notices.hold_of(NEXT_START.start_id) is None

    @pytest.mark.parametrize("value", ["0", "", "no"])
    def test_is_not_read_from_other_values(self, value: str) -> None:
        assert not head(200, Server_Leaving=value).is_leaving


class TestStorage:
    """Guards against notices that are kept longer than they are in effect."""

    def test_ends_with_the_notice(self, now: list[float]) -> None:
        notices = after_refusal("3")
        now[0] += 4
        notices.forget_old()
        assert not notices._notice_by_start

    def test_includes_unknown_endpoints(self, now: list[float]) -> None:
        notices = after_refusal("5000", known=replace(NEXT_START, started_at_ms=9))
        now[0] += 4999
        notices.forget_old()
        assert notices.hold_of(ENDPOINT.start_id) is not None
        now[0] += 2
        notices.forget_old()
        assert not notices._notice_by_start

    def test_is_limited_for_unknown_endpoints(self, now: list[float]) -> None:
        notices = after_refusal("5000")
        for number in range(MAXIMUM_UNKNOWN_STARTS + 20):
            now[0] += 0.01
            unknown = engine(f"unknown-{number}")
            notices.record_answer(unknown, head(200, Server_Leaving="1"), 999.0)
        notices.forget_old()
        kept = notices._notice_by_start
        assert len(kept) == MAXIMUM_UNKNOWN_STARTS + 1
        assert ENDPOINT.start_id in kept
        assert engine("unknown-19").start_id not in kept

    def test_excludes_answers_without_notice(self) -> None:
        notices = EndpointNotices()
        notices.record_answer(ENDPOINT, head(200), 999.0)
        notices.record_internal_answer(ENDPOINT, head(503))
        assert not notices._notice_by_start
