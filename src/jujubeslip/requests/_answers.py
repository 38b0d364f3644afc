"""Complete answers, as recorded for resends with the same idempotency key."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from functools import singledispatch


@dataclass(frozen=True)
class ModelAnswer:
    """All tokens of a model's answer, and the name of the rule that was applied."""

    tokens: tuple[str, ...]
    rule_name: str


@dataclass(frozen=True)
class PlainServiceAnswer:
    """The unchanged answer of a plain service."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True)
class UnknownAnswer:
    """The outcome of a run that ended without telling whether the service ran it.

    `reason` is part of the error message that the client gets.
    """

    reason: str


Answer = ModelAnswer | PlainServiceAnswer | UnknownAnswer


@singledispatch
def encode_answer(answer: object) -> bytes:
    """Return the answer encoded as bytes for recording."""
    raise TypeError(f"Not an answer: {answer!r}")


@encode_answer.register
def _(answer: ModelAnswer) -> bytes:
    fields = {"kind": "model", "tokens": answer.tokens, "rule": answer.rule_name}
    return json.dumps(fields).encode()


@encode_answer.register
def _(answer: PlainServiceAnswer) -> bytes:
    fields = {
        "kind": "plain",
        "status": answer.status,
        "content_type": answer.content_type,
        "body": base64.b64encode(answer.body).decode(),
    }
    return json.dumps(fields).encode()


@encode_answer.register
def _(answer: UnknownAnswer) -> bytes:
    return json.dumps({"kind": "unknown", "reason": answer.reason}).encode()


def decode_answer(record: bytes) -> Answer:
    """Return the answer that was encoded by `encode_answer`."""
    fields = json.loads(record)
    if fields["kind"] == "model":
        return ModelAnswer(tuple(fields["tokens"]), fields["rule"])
    if fields["kind"] == "unknown":
        return UnknownAnswer(fields["reason"])
    body = base64.b64decode(fields["body"])
    return PlainServiceAnswer(fields["status"], fields["content_type"], body)
