"""Refusals of what the HTTP library finds wrong before a call reaches the program."""

from __future__ import annotations

import json

from waitress.channel import HTTPChannel
from waitress.task import ErrorTask

from jujubeslip.entry._responses import (
    INTERNAL_STATUS,
    JSON_TYPE,
    internal_refusal,
    refusal_fields,
)
from jujubeslip.kernel import RequestRefusedError

BODY_TOO_LONG = 413
HEADERS_TOO_LONG = 431


class RefusalTask(ErrorTask):
    """Answers with the same fields as every other refusal.

    The library would answer with a page of text, in which a client that reads
    `error_id` and `remedy` from each refusal finds neither.
    """

    def execute(self) -> None:
        """Write the refusal and close the connection."""
        error = self.request.error
        refusal = _refusal_of(error.code, str(error.body))
        body = json.dumps({"error": refusal_fields(refusal, "")}).encode()
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", JSON_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class RefusingChannel(HTTPChannel):
    """A client's connection whose errors are refusals."""

    error_task_class = RefusalTask


def _refusal_of(status: int, detail: str) -> RequestRefusedError:
    if status == BODY_TOO_LONG:
        return RequestRefusedError(
            "body_too_long",
            "The body is longer than this entry host takes.",
            status=status,
            remedy="Send less, or ask the operators about `maximum_body_bytes`.",
        )
    if status == HEADERS_TOO_LONG:
        return RequestRefusedError(
            "headers_too_long",
            "The headers are longer than this entry host takes.",
            status=status,
            remedy="Send fewer or shorter headers.",
        )
    if status == INTERNAL_STATUS:
        return internal_refusal()
    return RequestRefusedError(
        "http_invalid",
        f"The request is not valid HTTP: {detail[:200]}",
        status=status,
        remedy="Correct the client, or what stands between it and the entry host.",
    )
