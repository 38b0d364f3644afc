"""Decodes the answers of endpoints to the system's own requests."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field
from returns.result import Result

from jujubeslip.kernel import Id, NotNull, StrictModel, Whole, read_json
from jujubeslip.platform._endpoint_calls import PREFILL_STAGE
from jujubeslip.routes import EngineReport, PrefilledPrompt, RunningAnswer


def _truncate_run(item: Any) -> Any:
    """Keep the three parts of a run that are read; later versions may append more."""
    return tuple(item[:3]) if isinstance(item, list) else item


# Request id, tokens in memory, events generated. The client chooses the id, so its
# length is not bounded: a long id must not invalidate the engine's whole report.
_WireRun = Annotated[tuple[str, Whole, Whole], BeforeValidator(_truncate_run)]


class _WireReport(StrictModel):
    stage: Literal["prefill", "decode"]
    busy: bool
    """Whether it is executing an order."""
    seq: Whole
    """Orders accepted since its start."""
    queued: Whole
    kv_used: Whole = Field(alias="kvUsed")
    """Memory of running answers and reservations, in tokens."""
    kv_capacity: Whole = Field(alias="kvCapacity")
    runs: tuple[_WireRun, ...]
    born: Annotated[Whole | None, NotNull] = None
    """When it started, in milliseconds of Unix time."""


class _WirePrefilled(StrictModel):
    kv_handle: Id = Field(alias="kvHandle")
    tokens: Whole


class _WireReservation(StrictModel):
    hold: Id


def read_prefilled(body: bytes) -> Result[PrefilledPrompt, str]:
    """Return the prompt that an endpoint has prefilled, or what is wrong."""
    return read_json(_WirePrefilled, body).map(
        lambda answer: PrefilledPrompt(answer.kv_handle, answer.tokens)
    )


def read_reservation(body: bytes) -> Result[str, str]:
    """Return the id of the reservation, or what is wrong with the answer."""
    return read_json(_WireReservation, body).map(lambda answer: answer.hold)


def read_report(body: bytes) -> Result[EngineReport, str]:
    """Return an engine's state, or what is wrong with its report."""
    return read_json(_WireReport, body).map(_report)


def _report(report: _WireReport) -> EngineReport:
    return EngineReport(
        capacity_tokens=report.kv_capacity,
        used_tokens=report.kv_used,
        waiting=report.queued,
        running=tuple(
            RunningAnswer(tokens, events, request_id)
            for request_id, tokens, events, *_ in report.runs
        ),
        orders=report.seq,
        busy=report.busy,
        is_prefill_engine=report.stage == PREFILL_STAGE,
        started_at_ms=report.born or 0,
    )
