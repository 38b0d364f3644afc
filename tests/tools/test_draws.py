"""The events of engines in the log lines of a play."""

from __future__ import annotations

import json
from typing import Any

from tools.draws import engine_events


def line(at: float, message: str, **extra: Any) -> str:
    return f"{at:9.4f} core-1 {json.dumps({'message': message, **extra})}"


def changed(at: float, endpoint_id: str, role: str, **extra: Any) -> str:
    fields = {"address": f"{endpoint_id}:1", "leaving": False, "started_at_ms": 1}
    return line(
        at,
        "endpoint changed",
        endpoint_id=endpoint_id,
        role=role,
        **{**fields, **extra},
    )


class TestEngineEvents:
    def test_count_the_remaining_engines(self) -> None:
        lost = "engine lost, no requests granted until it returns"
        lines = [
            changed(-9, "e-1", "PREFILL"),
            changed(-9, "e-2", "DECODE"),
            changed(-9, "e-2", "DECODE"),
            changed(-9, "plain", "PLAIN"),
            changed(5, "e-1", "PREFILL", leaving=True),
            line(6, lost, endpoint_id="e-2"),
            changed(8, "e-3", "DECODE", address="e-2:1"),
            line(9, "engine ordered", endpoint_id="e-3", role="PREFILL"),
            changed(15, "e-3", "PREFILL", address="e-2:1"),
        ]
        events = list(engine_events(lines))
        assert [event.description for event in events] == [
            "joined, PREFILL",
            "joined, DECODE",
            "leaves, PREFILL",
            "lost, DECODE",
            "joined, DECODE",
            "ordered to PREFILL",
            "changed to PREFILL",
        ]
        assert [(event.prefill_count, event.decode_count) for event in events] == [
            (1, 0),
            (1, 1),
            (0, 1),
            (0, 0),
            (0, 1),
            (0, 1),
            (1, 0),
        ]

    def test_count_a_returned_engine_unless_its_address_is_taken(self) -> None:
        lost = "engine lost, no requests granted until it returns"
        lines = [
            changed(-9, "e-1", "DECODE"),
            line(5, lost, endpoint_id="e-1"),
            line(7, "engine reports again", endpoint_id="e-1"),
            line(8, lost, endpoint_id="e-1"),
            changed(9, "e-2", "PREFILL", address="e-1:1"),
            line(10, "engine reports again", endpoint_id="e-1"),
        ]
        events = list(engine_events(lines))
        assert [(event.prefill_count, event.decode_count) for event in events] == [
            (0, 1),
            (0, 0),
            (0, 1),
            (0, 0),
            (1, 0),
        ]
