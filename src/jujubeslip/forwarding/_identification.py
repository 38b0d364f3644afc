"""Identifies the client account of a request by its key."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from jujubeslip.accounts import ClientAccount, unknown_key
from jujubeslip.routes import ForwardedRequest, Route, RouteTable

logger = logging.getLogger(__name__)

REMEDY = "Send the key of a client account in the Authorization header."


def identify(
    table: RouteTable, route: Route, request: ForwardedRequest
) -> tuple[ForwardedRequest, ClientAccount | None]:
    """Return the request without its key, as endpoints see it, and its client account.

    The account is None on a public route if the client sent no known key, and if the
    configuration has no accounts. Raises RequestRefusedError without a valid key.
    """
    if table.accounts is None:
        return request, None
    account = table.accounts.holder_of(request.api_key)
    if account is None and not route.public:
        _log_refusal(table, route, request, "no account holds the key")
        raise unknown_key(REMEDY)
    name = account.name if account else ""
    return replace(request, authorization="", account_name=name), account


def check_account(
    current_table: Callable[[], RouteTable | None],
    route: Route,
    request: ForwardedRequest,
) -> None:
    """Raise RequestRefusedError if the key was revoked since the request arrived.

    A request may wait for seconds before it is first sent. It must not run after the
    operator has revoked its key.
    """
    table = current_table()
    if table is None or table.accounts is None or route.public:
        return
    account = table.accounts.holder_of(request.api_key)
    if account is None or account.name != request.account_name:
        _log_refusal(table, route, request, "its key was revoked while it waited")
        raise unknown_key(REMEDY)


def _log_refusal(
    table: RouteTable, route: Route, request: ForwardedRequest, reason: str
) -> None:
    extra = {
        "request_id": request.request_id,
        "route": route.name,
        "has_key": bool(request.api_key),
        "account": request.account_name,
        "version": table.version,
        "reason": reason,
    }
    logger.info("key not accepted", extra=extra)
