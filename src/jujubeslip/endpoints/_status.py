"""Parses the status and cache events that endpoints report."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from jujubeslip.endpoints._errors import EndpointAnswerError
from jujubeslip.endpoints._models import CacheEvent, EndpointStatus, HeldItem
from jujubeslip.peers import EndpointRole

ROLE_BY_NAME = {
    "prefill": EndpointRole.PREFILL,
    "decode": EndpointRole.DECODE,
    "plain": EndpointRole.PLAIN,
}


def status_from_json(answer: Mapping[str, Any], address: str) -> EndpointStatus:
    """Return the status, or raise EndpointAnswerError if it is invalid."""
    try:
        return _status(answer)
    except (KeyError, TypeError, ValueError) as error:
        raise EndpointAnswerError(f"{address}: status: {error!r}.") from error


def cache_events_from_json(
    answer: Mapping[str, Any], after: int, address: str
) -> tuple[tuple[CacheEvent, ...], int]:
    """Return the cache events, and the number for the next call."""
    try:
        events = tuple(_event(item) for item in answer["events"])
        return events, int(answer.get("next", after))
    except (KeyError, TypeError, ValueError) as error:
        raise EndpointAnswerError(f"{address}: events: {error!r}.") from error


def _event(item: Mapping[str, Any]) -> CacheEvent:
    return CacheEvent(
        int(item["number"]),
        item["kind"] == "stored",
        str(item["prefix_hash"]),
        int(item["tokens"]),
    )


def _status(answer: Mapping[str, Any]) -> EndpointStatus:
    load = answer.get("load", {})
    return EndpointStatus(
        endpoint_id=str(answer["endpoint_id"]),
        incarnation=int(answer["incarnation"]),
        role=ROLE_BY_NAME[answer["role"]],
        leaving=bool(answer["leaving"]),
        slots=int(answer["slots"]),
        held=tuple(
            HeldItem(
                str(item["request_id"]),
                int(item["attempt"]),
                str(item["owner"]),
                str(item["phase"]),
                int(item.get("tokens", 0)),
                int(item.get("age_ms", 0)),
            )
            for item in answer["held"]
        ),
        queued=int(load.get("queued", 0)),
        running=int(load.get("running", 0)),
    )
