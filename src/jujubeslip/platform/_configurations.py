"""The operator's configurations."""

from __future__ import annotations

import json
from typing import Any

from returns.result import Failure, Result, Success

from jujubeslip.platform._accounts import read_accounts
from jujubeslip.routes import (
    EngineService,
    ForwardService,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
    find_problem,
)

MILLISECONDS_OF_TARGET = "sloMs"
# Clients leave a stream after a pause of this long, four targets, or eight of the
# longest pauses that are in time, whichever is longest; so the platform's pages say.
LEAST_PATIENCE_MS = 2000

# What clients may send, and how long they may take, in bytes and milliseconds.
CLIENT_LIMITS = ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs")


def read_routes(content: str) -> Result[RouteTable, str]:
    """Return the routes of a configuration, or what is wrong with it.

    Fields that are not known here are passed over.
    """
    try:
        fields = json.loads(content)
        table = _table(fields)
        _check_unused(fields)
    except KeyError as error:
        return Failure(f"The field {error} is missing; add it.")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(f"The configuration can't be read: {error}.")
    problem = find_problem(table)
    return Failure(problem) if problem else Success(table)


def _table(fields: dict[str, Any]) -> RouteTable:
    services = [_service(item) for item in fields["services"]]
    return RouteTable(
        version=_integer(fields["version"]),
        routes=tuple(_route(item) for item in fields["routes"]),
        service_by_name={service.name: service for service in services},
        accounts=read_accounts(fields),
    )


def _route(fields: dict[str, Any]) -> Route:
    target_ms = _integer(fields.get(MILLISECONDS_OF_TARGET, fields["timeoutMs"]))
    gap_ms = _integer(fields.get("gapSloMs", 0))
    return Route(
        name=str(fields["name"]),
        host=str(fields["host"]).lower(),
        path_prefix=str(fields["pathPrefix"]),
        kind=RouteKind(fields["kind"]),
        shares=_shares(fields),
        timeout_ms=_integer(fields["timeoutMs"]),
        target_ms=target_ms,
        maximum_attempts=_integer(fields.get("maxAttempts", 1)),
        resumable=bool(fields.get("resumable", False)),
        patience_ms=max(LEAST_PATIENCE_MS, 4 * target_ms, 8 * gap_ms),
        maximum_gap_ms=gap_ms,
        public=bool(fields.get("public", False)),
    )


def _shares(fields: dict[str, Any]) -> tuple[ServiceShare, ...]:
    split = fields.get("split")
    if split:
        return tuple(
            ServiceShare(str(item["service"]), _integer(item["weight"]))
            for item in split
        )
    return (ServiceShare(str(fields["service"]), 1),)


def _service(fields: dict[str, Any]) -> ForwardService:
    engine = fields.get("engine")
    return ForwardService(
        name=str(fields["name"]),
        engine=None if engine is None else _engine(engine),
    )


def _engine(fields: dict[str, Any]) -> EngineService:
    return EngineService(
        slots=_integer(fields["slots"]),
        event_tokens=_integer(fields.get("stride", 1)),
        reservation_ms=int(fields.get("holdMs", 0)),
    )


def _check_unused(fields: dict[str, Any]) -> None:
    """Raise an error where a field that the product doesn't use can't be read.

    Its operator learns of the mistake at once, and not from what the field harms once
    something uses it.
    """
    for route in fields["routes"]:
        _integer(route.get("priority", 0))
    for service in fields["services"]:
        _integer(service.get("maxConns", 0))
        engine = service.get("engine")
        if engine is not None:
            _integer(engine["kvTokens"])
            float(engine["kvTtlS"])
    for name in CLIENT_LIMITS:
        _integer(fields["limits"][name])


def _integer(value: Any) -> int:
    """Return a whole number; true, text and fractions are none."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    return value
