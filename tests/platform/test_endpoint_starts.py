"""Decoding the start that announcements, reports and removals name."""

from __future__ import annotations

import json
from typing import Any

import pytest
from returns.result import Failure, Success

from jujubeslip.platform._announcements import read_announcement, read_removal
from jujubeslip.platform._endpoint_answers import read_report

STARTED_AT_MS = 1_700_000_000_123
ANNOUNCEMENT = {
    "service": "plain",
    "address": "10.0.0.1:80",
    "zone": "zone-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "decode",
    "models": [],
    "seq": 1,
}
REPORT = {
    "stage": "decode",
    "busy": False,
    "seq": 0,
    "queued": 0,
    "kvUsed": 0,
    "kvCapacity": 9,
    "runs": [],
}
INVALID_INTEGERS = [1.5, 1e3, "1700000000123", None, True, -1, 2**63, [], {}]


def body(fields: dict[str, Any], **more: Any) -> bytes:
    return json.dumps({**fields, **more}).encode()


class TestStartOfAnAnnouncement:
    def test_is_read(self) -> None:
        read = read_announcement("e", body(ANNOUNCEMENT, born=STARTED_AT_MS))
        assert read.unwrap().started_at_ms == STARTED_AT_MS

    def test_that_is_missing_is_none(self) -> None:
        assert read_announcement("e", body(ANNOUNCEMENT)).unwrap().started_at_ms == 0

    @pytest.mark.parametrize("born", INVALID_INTEGERS)
    def test_that_is_no_integer_is_refused(self, born: Any) -> None:
        """Decoded as 0, the announcement would count as older than all others."""
        assert isinstance(
            read_announcement("e", body(ANNOUNCEMENT, born=born)), Failure
        )


class TestStartOfAReport:
    @pytest.mark.parametrize(("fields", "read"), [({"born": 7}, 7), ({}, 0)])
    def test_is_read(self, fields: dict[str, int], read: int) -> None:
        assert read_report(body(REPORT, **fields)).unwrap().started_at_ms == read

    @pytest.mark.parametrize("born", INVALID_INTEGERS)
    def test_that_is_no_integer_invalidates_the_report(self, born: Any) -> None:
        assert isinstance(read_report(body(REPORT, born=born)), Failure)


class TestRemoval:
    @pytest.mark.parametrize(
        ("content", "read"), [(b"", 0), (b"{}", 0), (b'{"born": 7}', 7)]
    )
    def test_names_a_start_or_none(self, content: bytes, read: int) -> None:
        assert read_removal(content) == Success(read)

    @pytest.mark.parametrize("content", [b"{", b"[]", b'{"born": "7"}', b"\xff"])
    def test_that_is_invalid_is_refused(self, content: bytes) -> None:
        assert isinstance(read_removal(content), Failure)
