"""Faults that a test sets at a stand-in: gates, refusals, wrong or late replies."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable

GATE_POLL_SECONDS = 0.1

COUNTED = frozenset(
    {
        "ignore_cancel",
        "fail_next_prefill",
        "fail_next_import",
        "fail_next_decode",
        "crossed_replies",
        "late_replies",
        "truncate_next_decode",
        "truncate_next_export",
        "refuse_next",
    }
)
VALUES = {"slow_factor": 1.0, "late_reply_ms": 0.0, "truncate_after_tokens": 1.0}


class Faults:
    """The active faults; a counted fault affects that many calls, then ends.

    A gate blocks every run that reaches its phase until the phase is resumed, so that
    a test can act while a request is in a known phase. For decode, the gate lets the
    first `after_tokens` tokens of each stream pass.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._count_by_name: Counter[str] = Counter()
        self._value_by_name = dict(VALUES)
        self._paused: set[str] = set()
        self._waiting: Counter[str] = Counter()
        self._pause_index = 0

    def change(self, body: dict) -> None:
        """Set the faults that an admin call names."""
        with self._changed:
            for name, value in body.items():
                self._change(name, value)
            self._changed.notify_all()

    def _change(self, name: str, value: object) -> None:
        if name == "pause_phase":
            self._paused.add(str(value))
        elif name == "resume_phase":
            self._paused.discard(str(value))
        elif name == "after_tokens":
            self._pause_index = int(str(value))
        elif name in self._value_by_name:
            self._value_by_name[name] = float(str(value))
        elif name in COUNTED:
            self._count_by_name[name] = int(str(value))
        else:
            raise ValueError(name)

    def take(self, name: str) -> bool:
        """Return whether the counted fault affects this call, and decrement it."""
        with self._changed:
            if self._count_by_name[name] <= 0:
                return False
            self._count_by_name[name] -= 1
            return True

    def value(self, name: str) -> float:
        """Return the value of a fault that has one."""
        return self._value_by_name[name]

    def wait_at_gate(self, phase: str, wanted: Callable[[], bool]) -> None:
        """Wait while the phase is paused and `wanted` returns true."""
        with self._changed:
            self._waiting[phase] += 1
            while phase in self._paused and wanted():
                self._changed.wait(GATE_POLL_SECONDS)
            self._waiting[phase] -= 1

    def holds_decode_at(self, index: int) -> bool:
        """Return whether the decode gate blocks the token at this index."""
        return "decode" in self._paused and index >= self._pause_index

    def as_json(self) -> dict:
        """Return the active faults and the number of runs that wait at each gate."""
        with self._changed:
            return {
                "counts": dict(self._count_by_name),
                "values": dict(self._value_by_name),
                "paused": sorted(self._paused),
                "waiting": dict(self._waiting),
            }
