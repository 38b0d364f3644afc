"""What the table of losses says of the ends that hosts wrote."""

from __future__ import annotations

import json

import pytest

from tools.losses import Cause, cause_of, read_ended, table_of

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


def line(told: dict[str, object]) -> str:
    return f"   9.5 front-1 {json.dumps(told)}\n"


def cause(*changes: dict[str, object]) -> Cause | None:
    """Return the cause of the last line; each differs from a stream in time."""
    lines = [line(STREAM | change) for change in changes]
    return cause_of(list(read_ended(lines))[-1])


class TestCause:
    def test_is_none_for_a_stream_in_time(self) -> None:
        assert cause({}) is None

    @pytest.mark.parametrize(
        ("change", "found"),
        [
            ({"came_back": True}, Cause.CAME_BACK),
            ({"longest_gap_ms": 400}, Cause.PAUSED),
            ({"first_event_ms": 1000, "granted_ms": 800}, Cause.WAITED),
            ({"first_event_ms": 1000, "granted_ms": 20}, Cause.SLOW_ANSWER),
            (REFUSED, Cause.NO_MEMORY),
            ({"outcome": "500", "maximum_gap_ms": 0}, Cause.OWN_ERROR),
            ({"outcome": "answer_lost"}, Cause.CUT),
            (
                {"outcome": "no_room", "sends": ["9 ms i-1: endpoint_replaced"]},
                Cause.REPLACED,
            ),
            ({"outcome": "something_new"}, Cause.UNKNOWN),
        ],
    )
    def test_is_told_by_the_line(self, change: dict[str, object], found: Cause) -> None:
        assert cause(change) is found

    def test_is_told_by_what_was_lacked(self) -> None:
        lacked: dict[str, object] = {
            "message": "no grant at an engine",
            "lacked": "reader",
        }
        assert cause(lacked, REFUSED) is Cause.NO_READER
        lacked["lacked"] = "may read"
        assert cause(lacked, REFUSED) is Cause.MAY_NOT_READ

    def test_is_told_by_the_wait_for_a_configuration(self) -> None:
        waited: dict[str, object] = {
            "message": "request waited for the first configuration"
        }
        late: dict[str, object] = {"first_event_ms": 1200, "granted_ms": 1000}
        assert cause(waited, late) is Cause.NO_CONFIGURATION

    def test_is_told_by_the_wait_for_the_first_endpoints(self) -> None:
        waited: dict[str, object] = {
            "message": "request waited for the first endpoints"
        }
        late: dict[str, object] = {"first_event_ms": 1200, "granted_ms": 1000}
        assert cause(waited, late) is Cause.NO_ENDPOINT
        assert cause({"outcome": "no_endpoint", "sends": []}) is Cause.NO_ENDPOINT


class TestTable:
    def test_has_a_row_for_each_cause(self) -> None:
        lines = [line(STREAM), line(STREAM | REFUSED), "not a line of a host\n"]
        table = table_of(read_ended(lines)).splitlines()
        assert table[2:] == [f"| {Cause.NO_MEMORY.value} | 1 | 1 |"]
