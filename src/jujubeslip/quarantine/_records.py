"""Conversion of crash histories to and from the records sent between hosts."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator, Sequence
from typing import Annotated

from pydantic import Field, StringConstraints
from returns.result import Failure

from jujubeslip.kernel import StrictModel, Text, Whole, read_fields, steady_seconds
from jujubeslip.peers import CrashRecord, RequestCrash
from jujubeslip.quarantine._fingerprints import FINGERPRINT_DIGITS
from jujubeslip.quarantine._models import Crash, CrashHistory
from jujubeslip.quarantine._registry import MAXIMUM_CRASHES

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# The maximum length of a fingerprint in a log line, in characters.
MAXIMUM_LOGGED_CHARACTERS = 64

_Fingerprint = Annotated[
    str, StringConstraints(pattern=rf"^[0-9a-f]{{{FINGERPRINT_DIGITS}}}$")
]


class _ReportedCrash(StrictModel):
    start_id: Text
    sent_ago_ms: Whole
    crashed_ago_ms: Whole
    answered: bool | None = None
    """None if the record is from a host of an older version."""


class _ReportedHistory(StrictModel):
    """The fields of a record, which Thrift itself does not require to be set."""

    fingerprint: _Fingerprint
    crashes: Annotated[list[_ReportedCrash], Field(max_length=MAXIMUM_CRASHES)]
    cleared_ago_ms: Whole | None


def to_crash_record(history: CrashHistory) -> CrashRecord:
    """Return the record of a history that is sent to other hosts."""
    now = steady_seconds()
    crashes = [
        RequestCrash(
            crash.start_id,
            _milliseconds(now - crash.sent_at),
            _milliseconds(now - crash.crashed_at),
            crash.answered,
        )
        for crash in history.crashes
    ]
    is_cleared = history.cleared_at > -math.inf
    cleared_ago = _milliseconds(now - history.cleared_at) if is_cleared else None
    return CrashRecord(history.fingerprint, crashes, cleared_ago)


def usable_histories(
    sender: str, records: Sequence[CrashRecord]
) -> Iterator[CrashHistory]:
    """Yield the histories of the valid records, with times of this host's clock.

    Invalid records are logged and skipped: a record from a host of another version must
    not invalidate the other records.
    """
    now = steady_seconds()
    for record in records:
        values = vars(record)
        crashes = [vars(crash) for crash in values.get("crashes") or ()]
        fields = read_fields(_ReportedHistory, {**values, "crashes": crashes})
        if isinstance(fields, Failure):
            extra = {
                "teller": sender,
                "fingerprint": str(record.fingerprint)[:MAXIMUM_LOGGED_CHARACTERS],
                "problem": fields.failure(),
            }
            logger.info("crash history not usable", extra=extra)
            continue
        yield _history(fields.unwrap(), now)


def _history(reported: _ReportedHistory, now: float) -> CrashHistory:
    crashes = tuple(
        Crash(
            crash.start_id,
            now - crash.sent_ago_ms / MILLISECONDS,
            now - crash.crashed_ago_ms / MILLISECONDS,
            bool(crash.answered),
        )
        for crash in reported.crashes
    )
    cleared_ago = reported.cleared_ago_ms
    cleared_at = -math.inf if cleared_ago is None else now - cleared_ago / MILLISECONDS
    return CrashHistory(reported.fingerprint, crashes, cleared_at)


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * MILLISECONDS))
