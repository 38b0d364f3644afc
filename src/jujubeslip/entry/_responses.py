"""HTTP responses of the entry host: JSON, plain answers, refusals and events."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Iterable
from typing import Any

from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.requests import PlainServiceAnswer

Environ = dict[str, Any]
StartResponse = Callable[..., Any]

JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"
INTERNAL_STATUS = 500
REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def start_answer(
    start_response: StartResponse,
    status: int,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> None:
    """Start a response with its status and headers."""
    reason = REASON_BY_STATUS.get(status, "Status")
    head = [("Content-Type", content_type), ("Cache-Control", "no-store"), *headers]
    start_response(f"{status} {reason}", head)


def json_answer(
    start_response: StartResponse,
    status: int,
    fields: object,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Return a response with a JSON body."""
    body = json.dumps(fields).encode()
    length = ("Content-Length", str(len(body)))
    start_answer(start_response, status, JSON_TYPE, [length, *headers])
    return [body]


def plain_answer(
    start_response: StartResponse,
    answer: PlainServiceAnswer,
    headers: list[tuple[str, str]],
) -> Iterable[bytes]:
    """Return the answer of a plain service unchanged."""
    length = ("Content-Length", str(len(answer.body)))
    start_answer(start_response, answer.status, answer.content_type, [length, *headers])
    return [answer.body]


def refusal_fields(refusal: RequestRefusedError, request_id: str) -> dict[str, object]:
    """Return the JSON fields of a refusal."""
    return {
        "error_id": refusal.error_id,
        "message": refusal.message,
        "remedy": refusal.remedy,
        "ran": refusal.ran.value,
        "retry_after": refusal.retry_after,
        "request_id": request_id,
    }


def refuse(
    start_response: StartResponse, refusal: RequestRefusedError, request_id: str
) -> Iterable[bytes]:
    """Return a refusal as a complete HTTP response."""
    headers = []
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{max(1, math.ceil(refusal.retry_after))}"))
    if refusal.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    fields = {"error": refusal_fields(refusal, request_id)}
    return json_answer(start_response, refusal.status, fields, headers)


def event(name: str, fields: dict[str, object]) -> bytes:
    """Return one server-sent event."""
    return f"event: {name}\ndata: {json.dumps(fields)}\n\n".encode()


def internal_refusal() -> RequestRefusedError:
    """Return the refusal for a call that failed with an unexpected exception."""
    return RequestRefusedError(
        "internal",
        "The entry host failed on this request.",
        status=INTERNAL_STATUS,
        ran=Ran.UNKNOWN,
        remedy="Report it with the request id; see the entry host's log for details.",
    )
