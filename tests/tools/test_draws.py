"""Which engines a play took away."""

from __future__ import annotations

import json
from typing import Any

from tools.draws import engine_events


def line(at: float, message: str, **extra: Any) -> str:
    return f"{at:9.4f} core-1 {json.dumps({'message': message, **extra})}"


def changed(at: float, endpoint_id: str, role: str, **extra: Any) -> str:
    told = {"address": f"{endpoint_id}:1", "leaving": False, "started_at_ms": 1}
    return line(
        at, "endpoint changed", endpoint_id=endpoint_id, role=role, **{**told, **extra}
    )


class TestEngineEvents:
    def test_count_the_engines_that_are_left(self) -> None:
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
        assert [event.what for event in events] == [
            "came, PREFILL",
            "came, DECODE",
            "leaves, PREFILL",
            "lost, DECODE",
            "came, DECODE",
            "ordered to PREFILL",
            "changed to PREFILL",
        ]
        assert [(event.reading, event.answering) for event in events] == [
            (1, 0),
            (1, 1),
            (0, 1),
            (0, 0),
            (0, 1),
            (0, 1),
            (1, 0),
        ]

    def test_count_an_engine_that_is_back_unless_its_address_is_taken(self) -> None:
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
        assert [(event.reading, event.answering) for event in events] == [
            (0, 1),
            (0, 0),
            (0, 1),
            (0, 0),
            (1, 0),
        ]
