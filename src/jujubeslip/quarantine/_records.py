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
    """None, like the following, if the record is from a host of an older version."""
    content: _Fingerprint | None = None
    service_name: Text | None = None


class _ReportedHistory(StrictModel):
    """The fields of a record, which Thrift itself does not require to be set."""

    fingerprint: _Fingerprint
    crashes: Annotated[list[_ReportedCrash], Field(max_length=MAXIMUM_CRASHES)]
    cleared_ago_ms: Whole | None
    others_ran_ago_ms: Whole | None = None


def to_crash_record(history: CrashHistory) -> CrashRecord:
    """Return the record of a history that is sent to other hosts."""
    now = steady_seconds()
    crashes = [
        RequestCrash(
            crash.start_id,
            _milliseconds(now - crash.sent_at),
            _milliseconds(now - crash.crashed_at),
            crash.answered,
            crash.content or None,
            crash.service_name or None,
        )
        for crash in history.crashes
    ]
    return CrashRecord(
        history.fingerprint,
        crashes,
        _milliseconds_since(history.cleared_at, now),
        _milliseconds_since(history.others_ran_at, now),
        sorted(history.companions) or None,
    )


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
            crash.content or "",
            crash.service_name or "",
        )
        for crash in reported.crashes
    )
    return CrashHistory(
        reported.fingerprint,
        crashes,
        _time_before(reported.cleared_ago_ms, now),
        others_ran_at=_time_before(reported.others_ran_ago_ms, now),
    )


def _milliseconds_since(at: float, now: float) -> int | None:
    return None if at == -math.inf else _milliseconds(now - at)


def _time_before(ago_ms: int | None, now: float) -> float:
    return -math.inf if ago_ms is None else now - ago_ms / MILLISECONDS


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * MILLISECONDS))
