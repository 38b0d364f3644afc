"""Parsing and validation of a client's request."""

from __future__ import annotations

import json
import re
import uuid
from typing import Any

from jujubeslip.declaration import (
    Client,
    Declaration,
    PriorityClass,
    Service,
    ServiceKind,
)
from jujubeslip.kernel import RequestRefusedError
from jujubeslip.requests._models import ClientRequest

MAXIMUM_KEY_LENGTH = 200
_IDENTIFIER = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
_KNOWN_KEYS = frozenset(
    {"prompt", "max_tokens", "model", "adapter", "priority", "repeatable", "stream"}
)
REMEDY = "See docs/reference/http.md for the keys of a request."


def parse_request(
    declaration: Declaration,
    client: Client,
    service_name: str,
    body: bytes,
    request_id: str,
    idempotency_key: str,
) -> ClientRequest:
    """Return the request, or raise RequestRefusedError with the reason."""
    service = declaration.service_by_name.get(service_name)
    if service is None:
        raise RequestRefusedError(
            "service_unknown",
            f"There is no service {service_name[:64]!r}.",
            status=404,
            remedy="Ask the operators for the name of the service.",
        )
    message = _parse_object(body)
    repeatable = _typed(message, "repeatable", bool, True)
    if service.kind is ServiceKind.MODEL:
        _refuse_unknown_keys(message)
    return ClientRequest(
        request_id=_unique_id(_checked_id(request_id)),
        client=client,
        service=service,
        model=_typed(message, "model", str, service.model) or service.model,
        adapter=_typed(message, "adapter", str, service.adapter),
        priority=_priority(message),
        prompt=_prompt(message, service),
        max_tokens=_max_tokens(message, service),
        repeatable=repeatable,
        stream=_typed(message, "stream", bool, True),
        idempotency_key=_checked_key(idempotency_key),
        body=body,
    )


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        message = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _invalid("The body is not valid JSON.") from error
    if not isinstance(message, dict):
        raise _invalid("The body is not a JSON object.")
    return message


def _refuse_unknown_keys(message: dict[str, Any]) -> None:
    unknown = sorted(set(message) - _KNOWN_KEYS)
    if unknown:
        raise _invalid(f"There is no key {unknown[0][:64]!r}.")


def _typed(message: dict[str, Any], key: str, kind: type, default: Any) -> Any:
    value = message.get(key, default)
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise _invalid(f"{key!r} is not of type {kind.__name__}.")
    return value


def _priority(message: dict[str, Any]) -> PriorityClass:
    try:
        return PriorityClass(message.get("priority", "standard"))
    except ValueError as error:
        raise _invalid("'priority' is not urgent, standard or bulk.") from error


def _prompt(message: dict[str, Any], service: Service) -> str:
    if service.kind is ServiceKind.PLAIN:
        return ""
    prompt: str = _typed(message, "prompt", str, "")
    tokens = len(prompt.split())
    if tokens == 0:
        raise _invalid("'prompt' is empty.")
    if not _is_text(prompt):
        raise _invalid("'prompt' contains an unpaired surrogate, which is not text.")
    if tokens > service.maximum_prompt_tokens:
        raise _invalid(
            f"'prompt' has {tokens} tokens; the service takes "
            f"{service.maximum_prompt_tokens}."
        )
    return prompt


def _is_text(value: str) -> bool:
    """Return whether the string can be encoded; JSON escapes allow lone surrogates."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _max_tokens(message: dict[str, Any], service: Service) -> int:
    if service.kind is ServiceKind.PLAIN:
        return 1
    default = min(256, service.maximum_output_tokens)
    value: int = _typed(message, "max_tokens", int, default)
    if not 1 <= value <= service.maximum_output_tokens:
        raise _invalid(
            f"'max_tokens' is not between 1 and {service.maximum_output_tokens}."
        )
    return value


def _checked_id(request_id: str) -> str:
    if request_id and not _IDENTIFIER.match(request_id):
        raise _invalid("X-Request-Id is not 1 to 128 letters, digits, `.`, `_`, `-`.")
    return request_id


def _unique_id(given: str) -> str:
    """Return a unique id, even if a client sends the same id twice.

    The id distinguishes runs at engines and in claims of keys. Of two requests with the
    same id, cancelling one could cancel the other, or both could be taken for the first
    run of a key.
    """
    unique = uuid.uuid4().hex
    return f"{given}.{unique[:12]}" if given else unique


def _checked_key(key: str) -> str:
    if len(key) > MAXIMUM_KEY_LENGTH:
        raise _invalid(f"Idempotency-Key is longer than {MAXIMUM_KEY_LENGTH}.")
    return key


def _invalid(message: str) -> RequestRefusedError:
    return RequestRefusedError("request_invalid", message, status=400, remedy=REMEDY)
