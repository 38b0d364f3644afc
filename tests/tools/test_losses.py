"""The causes of late and lost requests, from the lines at the end of attempts."""

from __future__ import annotations

import json

import pytest

from tools.losses import Cause, cause_of, read_attempt_ends, table_of

STREAM: dict[str, object] = {
    "message": "request ended",
    "request_id": "r-1",
    "outcome": "whole",
    "sends": ["2 ms i-1: grant", "150 ms i-2: prompt read", "170 ms i-1: streams"],
    "duration_ms": 3000,
    "granted_ms": 2,
    "first_event_ms": 170,
    "target_ms": 900,
    "came_back": False,
    "longest_gap_ms": 90,
    "maximum_gap_ms": 300,
}
REFUSED: dict[str, object] = {
    "outcome": "no_room",
    "sends": ["652 ms -: no grant in time"],
}


def line(fields: dict[str, object]) -> str:
    return f"   9.5 front-1 {json.dumps(fields)}\n"


def cause(*changes: dict[str, object]) -> Cause | None:
    """Return the cause of the last line; each line is a change of an in-time stream."""
    lines = [line(STREAM | change) for change in changes]
    return cause_of(list(read_attempt_ends(lines))[-1])


class TestCause:
    def test_is_none_for_a_stream_in_time(self) -> None:
        assert cause({}) is None

    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            ({"came_back": True}, Cause.CLIENT_RETRIED),
            ({"longest_gap_ms": 400}, Cause.LONG_PAUSE),
            ({"first_event_ms": 1000, "granted_ms": 800}, Cause.WAITED_FOR_CAPACITY),
            ({"first_event_ms": 1000, "granted_ms": 20}, Cause.SLOW_ANSWER),
            (REFUSED, Cause.NO_MEMORY),
            ({"outcome": "500", "maximum_gap_ms": 0}, Cause.ENDPOINT_ERROR),
            ({"outcome": "answer_lost"}, Cause.ANSWER_CUT),
            (
                {"outcome": "no_room", "sends": ["9 ms i-1: endpoint_replaced"]},
                Cause.ENGINE_REPLACED,
            ),
            ({"outcome": "something_new"}, Cause.UNKNOWN),
        ],
    )
    def test_follows_from_the_line(
        self, change: dict[str, object], expected: Cause
    ) -> None:
        assert cause(change) is expected

    def test_follows_from_the_missing_resource(self) -> None:
        refusal: dict[str, object] = {
            "message": "no grant at an engine",
            "lacked": "reader",
        }
        assert cause(refusal, REFUSED) is Cause.NO_PREFILL_ENGINE
        refusal["lacked"] = "may read"
        assert cause(refusal, REFUSED) is Cause.NO_OWN_PREFILL

    def test_follows_from_the_wait_for_a_configuration(self) -> None:
        waited: dict[str, object] = {
            "message": "request waited for the first configuration"
        }
        late: dict[str, object] = {"first_event_ms": 1200, "granted_ms": 1000}
        assert cause(waited, late) is Cause.NO_CONFIGURATION

    def test_follows_from_the_wait_for_the_first_endpoints(self) -> None:
        waited: dict[str, object] = {
            "message": "request waited for the first endpoints"
        }
        late: dict[str, object] = {"first_event_ms": 1200, "granted_ms": 1000}
        assert cause(waited, late) is Cause.NO_ENDPOINT
        assert cause({"outcome": "no_endpoint", "sends": []}) is Cause.NO_ENDPOINT


class TestTable:
    def test_has_a_row_for_each_cause(self) -> None:
        lines = [line(STREAM), line(STREAM | REFUSED), "not a line of a host\n"]
        table = table_of(read_attempt_ends(lines)).splitlines()
        assert table[2:] == [f"| {Cause.NO_MEMORY.value} | 1 | 1 |"]
