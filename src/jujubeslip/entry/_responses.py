"""Answers of the HTTP interface: heads, JSON bodies, refusals, stream events."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from jujubeslip.kernel import RequestRefusedError
from jujubeslip.requests import PlainServiceAnswer

Environ = dict[str, Any]
StartResponse = Callable[..., Any]

JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"
REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


def start(
    start_response: StartResponse,
    status: int,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> None:
    """Begin an answer with its status, type and headers."""
    reason = REASON_BY_STATUS.get(status, "Status")
    head = [("Content-Type", content_type), ("Cache-Control", "no-store"), *headers]
    start_response(f"{status} {reason}", head)


def json_answer(
    start_response: StartResponse,
    status: int,
    fields: object,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    """Answer with a JSON body."""
    body = json.dumps(fields).encode()
    length = ("Content-Length", str(len(body)))
    start(start_response, status, JSON_TYPE, [length, *headers])
    return [body]


def plain_answer(
    start_response: StartResponse,
    answer: PlainServiceAnswer,
    headers: list[tuple[str, str]],
) -> Iterable[bytes]:
    """Pass a plain service's answer on."""
    length = ("Content-Length", str(len(answer.body)))
    start(start_response, answer.status, answer.content_type, [length, *headers])
    return [answer.body]


def refusal_fields(refusal: RequestRefusedError, request_id: str) -> dict[str, object]:
    """Return the fields that tell a client of its refusal."""
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
    """Answer with a refusal, and with when to ask again."""
    headers = []
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{max(1, round(refusal.retry_after))}"))
    if refusal.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    fields = {"error": refusal_fields(refusal, request_id)}
    return json_answer(start_response, refusal.status, fields, headers)


def event(name: str, fields: dict[str, object]) -> bytes:
    """Return one event of a stream."""
    return f"event: {name}\ndata: {json.dumps(fields)}\n\n".encode()


def require_method(environ: Environ, method: str) -> None:
    """Refuse a call whose path does not take its method."""
    if environ.get("REQUEST_METHOD") != method:
        raise RequestRefusedError(
            "method_unknown",
            "The path does not take this method.",
            status=405,
            remedy=f"Use {method}.",
        )
