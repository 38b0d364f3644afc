"""Encodes requests to endpoints, and decodes the heads of their answers."""

from __future__ import annotations

import json
import re
from collections import Counter
from collections.abc import Iterable

from jujubeslip.interfaces import (
    EndpointCall,
    EndpointHead,
    Headers,
    InternalRequest,
    RoleOrder,
)
from jujubeslip.peers import EndpointRole
from jujubeslip.platform import _headers as names
from jujubeslip.routes import ForwardedRequest

PREFILL_STAGE = "prefill"
STAGE_BY_ROLE = {EndpointRole.PREFILL: PREFILL_STAGE, EndpointRole.DECODE: "decode"}
# The lowest priority that endpoints know.
LOWEST_PRIORITY = 9
MISDIRECTED = 421
UNAVAILABLE = 503
# Statuses that promise a client that its request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED, 429, UNAVAILABLE})
# Lowest limit of an endpoint, in requests per second. One that accepts nothing still
# gets an occasional request, which shows when it accepts requests again.
MINIMUM_LIMIT_PER_SECOND = 0.05
_SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)


def endpoint_headers(request: ForwardedRequest, call: EndpointCall) -> Headers:
    """Return the client's headers with those of this call added."""
    dropped = {names.LAST_EVENT_ID.lower()} if call.resume_after else set()
    headers = [item for item in request.headers if item[0].lower() not in dropped]
    if request.authorization:
        headers.append((names.AUTHORIZATION, request.authorization))
    if request.account_name:
        headers.append((names.ACCOUNT, request.account_name))
    headers.append((names.DEADLINE, str(max(1, call.remaining_ms))))
    headers.append((names.EXPECTED_ENDPOINT, call.endpoint_id))
    if call.priority is not None:
        priority = min(LOWEST_PRIORITY, max(0, call.priority))
        headers.append((names.PRIORITY, str(priority)))
    if call.prefill_only:
        headers.append((names.STAGE, PREFILL_STAGE))
    if call.prefilled_at:
        headers.append((names.PREFILLED_AT, call.prefilled_at))
    if call.reservation:
        headers.append((names.RESERVATION, call.reservation))
    if call.resume_after:
        headers.append((names.LAST_EVENT_ID, call.resume_after))
    return headers


def read_head(status: int, headers: Iterable[tuple[str, str]]) -> EndpointHead:
    """Decode the status and headers of an endpoint's answer."""
    received = list(headers)
    value_by_name = {name.lower(): value for name, value in received}
    count_by_name = Counter(name.lower() for name, _ in received)
    connection_headers = value_by_name.get(names.CONNECTION.lower(), "")
    dropped = names.HOP_BY_HOP | {
        name.strip().lower() for name in connection_headers.split(",")
    }
    return EndpointHead(
        status=status,
        request_id=value_by_name.get(names.REQUEST_ID.lower(), ""),
        not_run=names.NOT_RUN.lower() in value_by_name or status == MISDIRECTED,
        answered_by=value_by_name.get(names.ENDPOINT_ID.lower(), ""),
        misdirected=status == MISDIRECTED,
        proves_origin=value_by_name.get(names.ORIGIN_MARK.lower(), "") != ""
        and names.CONTENT_ENCODING.lower() not in value_by_name,
        is_ambiguous=any(count_by_name[name] > 1 for name in names.SINGLE),
        idle_seconds=_idle_seconds(value_by_name.get(names.KEEP_ALIVE.lower(), "")),
        headers=tuple(item for item in received if item[0].lower() not in dropped),
        reads_as_not_run=status in NOT_RUN_STATUSES,
        limit_per_second=_limit(value_by_name.get(names.ENDPOINT_LIMIT.lower(), "")),
        backoff_seconds=_backoff(
            status, value_by_name.get(names.RETRY_AFTER.lower(), "")
        ),
        is_leaving=value_by_name.get(names.ENDPOINT_LEAVING.lower(), "").strip() == "1",
    )


def reserve(endpoint_id: str, tokens: int, ttl_ms: int) -> InternalRequest:
    """Return the request that reserves a slot and this much memory."""
    body = json.dumps({"tokens": tokens, "ttl_ms": ttl_ms}).encode()
    headers = [("Content-Type", "application/json")]
    return InternalRequest(
        "POST", "/hold-take", [*headers, (names.EXPECTED_ENDPOINT, endpoint_id)], body
    )


def ask_report(endpoint_id: str) -> InternalRequest:
    """Return the request for an engine's report."""
    return InternalRequest("GET", "/report", [(names.EXPECTED_ENDPOINT, endpoint_id)])


def order_role(order: RoleOrder) -> InternalRequest:
    """Return the request that orders an engine to change its role."""
    body = {
        "op": "stage",
        "stage": STAGE_BY_ROLE[order.role],
        "holder": order.holder,
        "fence": order.fencing_number,
        "expect": order.known_orders,
    }
    headers = [
        ("Content-Type", "application/json"),
        (names.EXPECTED_ENDPOINT, order.endpoint_id),
    ]
    return InternalRequest("POST", "/order", headers, json.dumps(body).encode())


def release(endpoint_id: str, reservation: str) -> InternalRequest:
    """Return the request that releases a reservation."""
    headers = [(names.EXPECTED_ENDPOINT, endpoint_id)]
    return InternalRequest("DELETE", f"/hold-drop/{reservation}", headers)


def _limit(text: str) -> float | None:
    """Return the endpoint's limit, or None if the header is absent or invalid."""
    if not _DECIMAL.fullmatch(text.strip()):
        return None
    return max(MINIMUM_LIMIT_PER_SECOND, float(text))


def _backoff(status: int, text: str) -> float:
    """Return the backoff in seconds that a refusal asks for, or 0 if it has none."""
    if status != UNAVAILABLE or not _SECONDS.fullmatch(text.strip()):
        return 0.0
    return float(text)


def _idle_seconds(keep_alive: str) -> float | None:
    match = _KEEP_ALIVE_TIMEOUT.search(keep_alive)
    return float(match.group(1)) if match else None
