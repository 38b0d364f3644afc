"""Converts what hosts tell of slow endpoints, and validates what they receive."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from typing import Annotated

from pydantic import Field
from returns.result import Failure

from jujubeslip.discovery._slow_endpoints import (
    MAXIMUM_LISTED,
    AnswerReport,
    SlowEndpoint,
)
from jujubeslip.kernel import StrictModel, Text, read_fields
from jujubeslip.peers import AnswerTimesRecord, SlowEndpointRecord

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
PERCENT = 100
# Longest answer time that is believed, in milliseconds.
MAXIMUM_ANSWER_MS = 600_000
# Largest number of answers that one host reports of a start.
MAXIMUM_ANSWERS = 1000

_Milliseconds = Annotated[int, Field(ge=0, le=MAXIMUM_ANSWER_MS)]
_Answers = Annotated[int, Field(ge=0, le=MAXIMUM_ANSWERS)]


class _ReportFields(StrictModel):
    start_id: Text
    answer_ms: _Milliseconds
    slow_from_ms: _Milliseconds
    answers: _Answers
    failures: _Answers


class _ListedFields(StrictModel):
    start_id: Text
    answer_ms: _Milliseconds
    failed_percent: Annotated[int, Field(ge=0, le=PERCENT)]


def to_answer_times_record(report: AnswerReport) -> AnswerTimesRecord:
    """Return the record that tells a control host of the report."""
    return AnswerTimesRecord(
        report.start_id,
        min(MAXIMUM_ANSWER_MS, round(report.seconds * MILLISECONDS)),
        min(MAXIMUM_ANSWER_MS, round(report.slow_from_seconds * MILLISECONDS)),
        report.answers,
        report.failures,
    )


def usable_reports(
    sender: str, records: Sequence[AnswerTimesRecord]
) -> Iterator[AnswerReport]:
    """Yield the reports of the valid records; invalid ones are logged."""
    for record in records[:MAXIMUM_LISTED]:
        if not _is_valid(sender, _ReportFields, record):
            continue
        yield AnswerReport(
            record.start_id,
            record.answer_ms / MILLISECONDS,
            record.slow_from_ms / MILLISECONDS,
            max(record.answers, record.failures),
            record.failures,
        )


def to_slow_endpoint_record(endpoint: SlowEndpoint) -> SlowEndpointRecord:
    """Return the record that tells an entry host of the endpoint."""
    return SlowEndpointRecord(
        endpoint.start_id,
        round(endpoint.seconds * MILLISECONDS),
        round(endpoint.failure_share * PERCENT),
    )


def usable_slow_endpoints(
    sender: str, records: Sequence[SlowEndpointRecord]
) -> Iterator[SlowEndpoint]:
    """Yield the endpoints of the valid records; invalid ones are logged."""
    for record in records[:MAXIMUM_LISTED]:
        if _is_valid(sender, _ListedFields, record):
            yield SlowEndpoint(
                record.start_id,
                record.answer_ms / MILLISECONDS,
                record.failed_percent / PERCENT,
            )


def _is_valid(
    sender: str,
    fields: type[StrictModel],
    record: AnswerTimesRecord | SlowEndpointRecord,
) -> bool:
    read = read_fields(fields, vars(record))
    if isinstance(read, Failure):
        extra = {"teller": sender, "problem": read.failure()}
        logger.info("answer times invalid", extra=extra)
        return False
    return True
