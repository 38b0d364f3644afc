"""Refusals for requests that the HTTP library rejects before they reach the app."""

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
    """Sends an error of the HTTP library with the same fields as other refusals.

    The library itself would answer with a text page, which lacks the `error_id` and
    `remedy` that clients read from each refusal.
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
    """A client connection whose HTTP errors are sent as refusals."""

    error_task_class = RefusalTask


def _refusal_of(status: int, detail: str) -> RequestRefusedError:
    if status == BODY_TOO_LONG:
        return RequestRefusedError(
            "body_too_long",
            "The body exceeds the size limit of this entry host.",
            status=status,
            remedy="Send less, or ask the operators about `maximum_body_bytes`.",
        )
    if status == HEADERS_TOO_LONG:
        return RequestRefusedError(
            "headers_too_long",
            "The headers exceed the size limit of this entry host.",
            status=status,
            remedy="Send fewer or shorter headers.",
        )
    if status == INTERNAL_STATUS:
        return internal_refusal()
    return RequestRefusedError(
        "http_invalid",
        f"The request is not valid HTTP: {detail[:200]}",
        status=status,
        remedy="Correct the client, or the proxy between it and the entry host.",
    )
