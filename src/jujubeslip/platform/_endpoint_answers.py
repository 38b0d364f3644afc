"""Answers of endpoints to the system's own calls."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field
from returns.result import Result

from jujubeslip.kernel import Id, StrictModel, Whole, read_json
from jujubeslip.platform._endpoint_calls import PREFILL_STAGE
from jujubeslip.routes import EngineReport, PrefilledPrompt, RunningAnswer


def _cut_run(item: Any) -> Any:
    """Leave out what is behind the parts of a run that are read, or may be added."""
    return tuple(item[:3]) if isinstance(item, list) else item


# Request id, tokens in memory, events made. The id is the client's own, so that it is
# bounded by nothing: a long one must not make the engine's report unusable for all.
_WireRun = Annotated[tuple[str, Whole, Whole], BeforeValidator(_cut_run)]


class _WireReport(StrictModel):
    stage: Literal["prefill", "decode"]
    busy: bool
    """Whether it is carrying out an order."""
    seq: Whole
    """Orders accepted since its start."""
    queued: Whole
    kv_used: Whole = Field(alias="kvUsed")
    """Memory of running answers and reservations, in tokens."""
    kv_capacity: Whole = Field(alias="kvCapacity")
    runs: tuple[_WireRun, ...]


class _WirePrefilled(StrictModel):
    kv_handle: Id = Field(alias="kvHandle")
    tokens: Whole


class _WireReservation(StrictModel):
    hold: Id


def read_prefilled(body: bytes) -> Result[PrefilledPrompt, str]:
    """Return what an endpoint says of a prompt that it has read, or what is wrong."""
    return read_json(_WirePrefilled, body).map(
        lambda told: PrefilledPrompt(told.kv_handle, told.tokens)
    )


def read_reservation(body: bytes) -> Result[str, str]:
    """Return the id of what was reserved, or what is wrong with the answer."""
    return read_json(_WireReservation, body).map(lambda told: told.hold)


def read_report(body: bytes) -> Result[EngineReport, str]:
    """Return an engine's state, or what is wrong with its report."""
    return read_json(_WireReport, body).map(_report)


def _report(told: _WireReport) -> EngineReport:
    return EngineReport(
        capacity_tokens=told.kv_capacity,
        used_tokens=told.kv_used,
        waiting=told.queued,
        running=tuple(
            RunningAnswer(tokens, events, request_id)
            for request_id, tokens, events, *_ in told.runs
        ),
        orders=told.seq,
        busy=told.busy,
        reads_prompts=told.stage == PREFILL_STAGE,
    )
