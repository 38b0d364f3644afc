"""Crash histories as hosts tell them to each other."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterator, Sequence
from typing import Annotated

from pydantic import Field, StringConstraints
from returns.result import Failure

from jujubeslip.kernel import StrictModel, Text, Whole, read_fields, steady_seconds
from jujubeslip.peers import CrashRecord, RequestCrash
from jujubeslip.quarantine._book import MAXIMUM_CRASHES
from jujubeslip.quarantine._fingerprints import DIGITS
from jujubeslip.quarantine._models import Crash, CrashHistory

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
# Longest fingerprint in a log line, in characters.
MAXIMUM_LOGGED = 64

_Fingerprint = Annotated[str, StringConstraints(pattern=rf"^[0-9a-f]{{{DIGITS}}}$")]


class _ToldCrash(StrictModel):
    start_id: Text
    sent_ago_ms: Whole
    crashed_ago_ms: Whole
    answered: bool | None = None
    """None where a host of an older version tells it."""


class _ToldHistory(StrictModel):
    """The fields of a record, none of which Thrift itself insists on."""

    fingerprint: _Fingerprint
    crashes: Annotated[list[_ToldCrash], Field(max_length=MAXIMUM_CRASHES)]
    cleared_ago_ms: Whole | None


def to_crash_record(history: CrashHistory) -> CrashRecord:
    """Return what this host tells others of a history."""
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
    teller: str, records: Sequence[CrashRecord]
) -> Iterator[CrashHistory]:
    """Yield the histories of usable records, in instants of this host's clock.

    Each other record is logged: one of a host of another version must not cost the
    others.
    """
    now = steady_seconds()
    for record in records:
        values = vars(record)
        crashes = [vars(crash) for crash in values.get("crashes") or ()]
        read = read_fields(_ToldHistory, {**values, "crashes": crashes})
        if isinstance(read, Failure):
            extra = {
                "teller": teller,
                "fingerprint": str(record.fingerprint)[:MAXIMUM_LOGGED],
                "problem": read.failure(),
            }
            logger.info("crash history not usable", extra=extra)
            continue
        yield _history(read.unwrap(), now)


def _history(told: _ToldHistory, now: float) -> CrashHistory:
    crashes = tuple(
        Crash(
            crash.start_id,
            now - crash.sent_ago_ms / MILLISECONDS,
            now - crash.crashed_ago_ms / MILLISECONDS,
            bool(crash.answered),
        )
        for crash in told.crashes
    )
    cleared_ago = told.cleared_ago_ms
    cleared_at = -math.inf if cleared_ago is None else now - cleared_ago / MILLISECONDS
    return CrashHistory(told.fingerprint, crashes, cleared_at)


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * MILLISECONDS))
