"""Answers of endpoints to the system's own requests, invalid field by field."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from jujubeslip.platform._endpoint_answers import (
    read_prefilled,
    read_report,
    read_reservation,
)
from jujubeslip.routes import EngineReport, PrefilledPrompt, RunningAnswer
from tests.fakes.broken_fields import (
    INVALID_FLAGS,
    INVALID_LISTS,
    INVALID_NUMBERS,
    INVALID_TEXTS,
    INVALID_WORDS,
    UNREADABLE_BODIES,
    BrokenField,
    broken_field_cases,
    json_values,
)

REPORT: dict[str, Any] = {
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "busy": False,
    "seq": 2,
    "queued": 1,
    "running": 1,
    "kvUsed": 41_000,
    "kvCapacity": 90_000,
    "kvHandles": 0,
    "runs": [["9c41", 1500, 3, 5]],
}
PREFILLED = {"kvHandle": "3fa09c41b7d5", "tokens": 1460, "version": 1}
RESERVED = {"hold": "r-1"}
# Any string is valid, since clients choose the ids.
NO_RUN_ID = tuple(value for value in INVALID_TEXTS if not isinstance(value, str))
NO_RUNS = (*INVALID_LISTS, [["9c41"]], [["9c41", 1500]], [{"9c41": 1}])

Reader = Callable[[bytes], Result[Any, str]]
CASES: list[tuple[Reader, dict[str, Any], list[BrokenField]]] = [
    (
        read_report,
        REPORT,
        broken_field_cases(
            {
                ("stage",): INVALID_WORDS,
                ("busy",): INVALID_FLAGS,
                ("seq",): INVALID_NUMBERS,
                ("queued",): INVALID_NUMBERS,
                ("kvUsed",): INVALID_NUMBERS,
                ("kvCapacity",): INVALID_NUMBERS,
                ("runs",): NO_RUNS,
                ("runs", 0, 0): NO_RUN_ID,
                ("runs", 0, 1): INVALID_NUMBERS,
                ("runs", 0, 2): INVALID_NUMBERS,
            }
        ),
    ),
    (
        read_prefilled,
        PREFILLED,
        broken_field_cases(
            {("kvHandle",): (*INVALID_TEXTS, "a\r\nX: y"), ("tokens",): INVALID_NUMBERS}
        ),
    ),
    (
        read_reservation,
        RESERVED,
        broken_field_cases({("hold",): (*INVALID_TEXTS, "a\r\nX: y", "a/b")}),
    ),
]
READERS = [read for read, _, _ in CASES]
BROKEN = [
    pytest.param(read, valid, item, id=f"{read.__name__}-{item}")
    for read, valid, items in CASES
    for item in items
]


class TestBrokenAnswer:
    """Guards against an engine that reports memory as text, or a run of -1 tokens.

    Accepted as a number, it would attract every request of its service. An answer that
    is not a report would end the polling task for this engine and those after it.
    """

    @pytest.mark.parametrize(("read", "valid", "broken"), BROKEN)
    def test_is_refused_and_names_its_field(
        self, read: Reader, valid: dict[str, Any], broken: BrokenField
    ) -> None:
        found = read(broken.apply(valid))
        assert isinstance(found, Failure)
        assert f"'{broken.field}" in found.failure()
        assert len(found.failure()) < 1000

    @pytest.mark.parametrize("read", READERS)
    @pytest.mark.parametrize(
        "body", UNREADABLE_BODIES, ids=lambda body: ascii(body[:12])
    )
    def test_that_can_t_be_read_is_refused(self, read: Reader, body: bytes) -> None:
        assert isinstance(read(body), Failure)

    @pytest.mark.parametrize("read", READERS)
    @given(body=st.binary(max_size=200))
    @settings(deadline=None, max_examples=60)
    def test_of_any_bytes_is_refused(self, read: Reader, body: bytes) -> None:
        assert isinstance(read(body), Failure)


class TestValidAnswer:
    def test_that_reports_a_state_is_read(self) -> None:
        assert read_report(json.dumps(REPORT).encode()) == Success(
            EngineReport(
                capacity_tokens=90_000,
                used_tokens=41_000,
                waiting=1,
                running=(RunningAnswer(1500, 3, "9c41"),),
                orders=2,
                busy=False,
                is_prefill_engine=False,
            )
        )

    def test_that_reserves_or_prefills_is_read(self) -> None:
        assert read_reservation(json.dumps(RESERVED).encode()) == Success("r-1")
        prefilled = read_prefilled(json.dumps(PREFILLED).encode())
        assert prefilled == Success(PrefilledPrompt("3fa09c41b7d5", 1460))

    @given(name=st.text(st.characters(codec="utf-8"), max_size=8), value=json_values)
    @settings(deadline=None, max_examples=60)
    def test_may_have_unknown_fields(self, name: str, value: Any) -> None:
        longer = {f"new{name}": value, **REPORT, "runs": [["9c41", 1500, 3, 5, value]]}
        found = read_report(json.dumps(longer).encode())
        assert isinstance(found, Success)
