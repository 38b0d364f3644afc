"""Decodes clients' requests, and encodes refusals."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

from jujubeslip.interfaces import EncodedRefusal, Headers
from jujubeslip.kernel import Deadline, RequestRefusedError
from jujubeslip.platform._accounts import read_key
from jujubeslip.platform._headers import (
    AUTHORIZATION,
    DEADLINE,
    HOP_BY_HOP,
    SET_BY_SYSTEM,
)
from jujubeslip.routes import ForwardedRequest, PromptPart, PromptShape

# WSGI keys of headers that don't begin with HTTP_.
NAME_BY_KEY = {"CONTENT_TYPE": "Content-Type"}
HEADER_KEY_PREFIX = "HTTP_"


def read_request(environ: dict[str, Any]) -> ForwardedRequest:
    """Return a client's request with the headers that are forwarded."""
    dropped = HOP_BY_HOP | SET_BY_SYSTEM | _named_by_connection(environ)
    authorization = environ.get("HTTP_AUTHORIZATION", "")
    headers = tuple(
        (name, value)
        for name, value in _headers(environ)
        if name.lower() not in dropped | {"host", AUTHORIZATION.lower()}
    )
    return ForwardedRequest(
        request_id=environ.get("HTTP_REQUEST_ID", ""),
        method=environ["REQUEST_METHOD"],
        target=environ["REQUEST_URI"],
        host=environ.get("HTTP_HOST", "").partition(":")[0].lower(),
        headers=(("Host", environ.get("HTTP_HOST", "")), *headers),
        body=environ["wsgi.input"].read(),
        client_deadline=_deadline(environ.get("HTTP_DEADLINE_MS", "")),
        last_event_id=environ.get("HTTP_LAST_EVENT_ID", ""),
        prompt=_prompt(environ),
        authorization=authorization,
        api_key=read_key(authorization),
    )


def read_call(environ: dict[str, Any]) -> ForwardedRequest:
    """Return a call that another host has encoded, with the headers of the system."""
    dropped = HOP_BY_HOP | _named_by_connection(environ)
    headers = (item for item in _headers(environ) if item[0].lower() not in dropped)
    return replace(read_request(environ), headers=tuple(headers))


def call_headers(request: ForwardedRequest) -> Headers:
    """Return the headers of such a call, with the client's remaining time."""
    if request.client_deadline is None:
        return list(request.headers)
    others = [item for item in request.headers if item[0].lower() != DEADLINE.lower()]
    remaining_ms = max(1, request.client_deadline.remaining_ms())
    return [*others, (DEADLINE, str(remaining_ms))]


def encode_refusal(refusal: RequestRefusedError, request_id: str) -> EncodedRefusal:
    """Encode a refusal; clients accept Retry-After with fractions of a second."""
    headers = [("Content-Type", "application/json")]
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{refusal.retry_after:.2f}"))
    body = {
        "error": refusal.error_id,
        "message": refusal.message,
        "remedy": refusal.remedy,
        "ran": refusal.ran.value,
        "request": request_id,
    }
    return EncodedRefusal(refusal.status, headers, json.dumps(body).encode())


def _headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    headers = []
    for key, value in environ.items():
        if key.startswith(HEADER_KEY_PREFIX):
            name = key.removeprefix(HEADER_KEY_PREFIX).replace("_", "-").title()
            headers.append((name, value))
        elif key in NAME_BY_KEY and value:
            headers.append((NAME_BY_KEY[key], value))
    return headers


def _named_by_connection(environ: dict[str, Any]) -> set[str]:
    """Return the header names in Connection, which are for this hop only."""
    names = environ.get("HTTP_CONNECTION", "").split(",")
    return {name.strip().lower() for name in names}


def _deadline(text: str) -> Deadline | None:
    return Deadline.from_remaining_ms(int(text)) if text.isdigit() else None


def _prompt(environ: dict[str, Any]) -> PromptShape | None:
    """Return the lengths that the client sends, or None if absent or invalid."""
    try:
        counts = environ.get("HTTP_TOKEN_COUNT", "").split(",")
        prompt_tokens, output_tokens = (int(count) for count in counts)
        expected = environ.get("HTTP_LENGTH_HINT", "")
        return PromptShape(
            prompt_tokens,
            output_tokens,
            _parts(environ),
            int(expected) if expected.isdigit() else 0,
        )
    except ValueError:
        return None


def _parts(environ: dict[str, Any]) -> tuple[PromptPart, ...]:
    parts = []
    for item in environ.get("HTTP_PROMPT_PREFIX", "").split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
