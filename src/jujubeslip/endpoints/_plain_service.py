"""Calls to plain services."""

from __future__ import annotations

from functools import partial

from jujubeslip.endpoints._engine_adapter import EngineAdapter
from jujubeslip.endpoints._errors import (
    EndpointAnswerError,
    EndpointRefusedError,
    EndpointTimeoutError,
)
from jujubeslip.endpoints._http import REQUEST_ID, Call, Interrupted
from jujubeslip.endpoints._models import PlainAnswer, RequestRef
from jujubeslip.endpoints._process_end import check_regular_end, has_ended
from jujubeslip.kernel import Deadline

RUNNING = "run"
IDENTITY = "identity"
HTTP_UNAVAILABLE = 503
HTTP_SERVER_ERROR = 500


def call_plain_service(
    address: str,
    path: str,
    ref: RequestRef,
    body: bytes,
    idempotency_key: str,
    deadline: Deadline,
    interrupted: Interrupted,
) -> PlainAnswer:
    """Send the client's body and return the service's complete answer.

    Raises EndpointRefusedError with `may_have_run` False if the service reports that
    it did not run the request.
    """
    headers = {
        "Content-Type": "application/json",
        REQUEST_ID: ref.request_id,
        "X-Attempt": str(ref.attempt),
    }
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
    call = Call(address, deadline, interrupted)
    try:
        call.send("POST", path, body, headers)
        head = call.response(partial(_check_running, address, ref))
        answer = call.read_rest()
    finally:
        call.close()
    echoed = (head.only_value(REQUEST_ID), head.only_value("X-Attempt"))
    if echoed != (ref.request_id, str(ref.attempt)):
        raise EndpointAnswerError(f"{address}: the answer is for another attempt.")
    if head.status == HTTP_UNAVAILABLE and head.only_value("X-Ran") == "no":
        raise EndpointRefusedError(head.status, "not run", may_have_run=False)
    if head.status >= HTTP_SERVER_ERROR:
        raise EndpointRefusedError(head.status, "failed", may_have_run=True)
    if any(value != IDENTITY for value in head.values("Content-Encoding")):
        raise EndpointAnswerError(f"{address}: the answer is encoded, unasked.")
    check_regular_end(head, address, partial(has_ended, address))
    content_type = head.only_value("Content-Type") or "application/octet-stream"
    return PlainAnswer(head.status, content_type, answer)


def _check_running(address: str, ref: RequestRef) -> None:
    if EngineAdapter(address).phase_of(ref) != RUNNING:
        raise EndpointTimeoutError(f"{address}: the answer was lost.")
