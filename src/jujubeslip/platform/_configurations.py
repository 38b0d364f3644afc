"""Decodes the operator's configurations into route tables."""

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

TARGET_MS_FIELD = "sloMs"
# The platform's documentation says that clients close a stream after a pause of this
# long, 4 times the target or 8 times the longest timely gap, whichever is longest.
MINIMUM_CLIENT_TIMEOUT_MS = 2000

# Fields that bound the size of clients' requests, in bytes, and how long clients may
# take, in milliseconds.
CLIENT_LIMITS = ("maxHeaderBytes", "maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs")


def read_routes(content: str) -> Result[RouteTable, str]:
    """Return the routes of a configuration, or what is wrong with it.

    Unknown fields are ignored.
    """
    try:
        fields = json.loads(content)
        table = _table(fields)
        _check_unused_fields(fields)
    except KeyError as error:
        return Failure(f"The field {error} is missing; add it.")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(f"The configuration is invalid: {error}.")
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
    target_ms = _integer(fields.get(TARGET_MS_FIELD, fields["timeoutMs"]))
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
        client_timeout_ms=max(MINIMUM_CLIENT_TIMEOUT_MS, 4 * target_ms, 8 * gap_ms),
        maximum_gap_ms=gap_ms,
        public=bool(fields.get("public", False)),
        priority=_integer(fields.get("priority", 0)),
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


def _check_unused_fields(fields: dict[str, Any]) -> None:
    """Raise an error if a field that this program doesn't use is invalid.

    The operator learns of the mistake at once, instead of from a fault after a later
    version starts to use the field.
    """
    for service in fields["services"]:
        _integer(service.get("maxConns", 0))
        engine = service.get("engine")
        if engine is not None:
            _integer(engine["kvTokens"])
            float(engine["kvTtlS"])
    for name in CLIENT_LIMITS:
        _integer(fields["limits"][name])


def _integer(value: Any) -> int:
    """Return an integer; booleans, strings and floats are refused."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not an integer")
    return value
