"""Sends requests to endpoints that don't come from clients."""

from __future__ import annotations

import http
from typing import Protocol

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    Connections,
    EndpointAnswerError,
    EndpointOnHoldError,
    EndpointUnreachableError,
    Interrupted,
    never_interrupted,
)
from jujubeslip.interfaces._models import EndpointHead, Interface, InternalRequest
from jujubeslip.kernel import Deadline


class Notices(Protocol):
    """The notices that endpoints have sent."""

    def in_backoff(self, start_id: str) -> bool:
        """Return whether a start has asked this host for backoff."""

    def record_internal_answer(self, endpoint: Endpoint, head: EndpointHead) -> None:
        """Record the notices in an answer to a request that isn't a client's."""


def _is_grant(method: str, status: int) -> bool:
    """Return whether an answer without a request id grants what only one may use.

    An endpoint may send it a second time, and the copy would grant the same to the next
    request, so its connection must be closed. Copies of other answers do no harm: that
    of a refusal makes the next request fail, a report can't be read as a grant, and
    requests that may be repeated are granted nothing.
    """
    return method == "POST" and status < http.HTTPStatus.MULTIPLE_CHOICES


def send_internal_request(
    pool: Connections,
    interface: Interface,
    notices: Notices,
    endpoint: Endpoint,
    internal_request: InternalRequest,
    deadline: Deadline,
    interrupted: Interrupted = never_interrupted,
) -> tuple[int, bytes]:
    """Return status and body of an endpoint's answer; keep its connection if possible.

    Raises EndpointError if no answer arrives in time or the endpoint has asked for
    backoff, EndpointUnreachableError if the connection opens too late to send it, and
    ClientDisconnectedError once `interrupted` returns True.
    """
    if notices.in_backoff(endpoint.start_id):
        raise EndpointOnHoldError(endpoint.address)
    connection = pool.take(endpoint.start_id, endpoint.address)
    if deadline.expired:
        pool.give_back(endpoint.start_id, connection, None)
        message = f"{endpoint.address}: the connection opened too late."
        raise EndpointUnreachableError(message)
    may_be_kept = False
    try:
        headers = [("Host", endpoint.address), *internal_request.headers]
        connection.watch(deadline, interrupted)
        connection.send(
            internal_request.method,
            internal_request.target,
            headers,
            internal_request.body,
        )
        answer = connection.read_head()
        head = interface.read_head(answer.status, answer.headers)
        if head.request_id:
            raise EndpointAnswerError(
                f"{endpoint.address}: the answer is for request {head.request_id}."
            )
        if not head.misdirected:
            notices.record_internal_answer(endpoint, head)
        body = connection.read_rest(answer)
        grants = _is_grant(internal_request.method, answer.status)
        may_be_kept = not answer.will_close and not grants
    finally:
        # The rest of this answer would be read as the answer to the next request.
        if not may_be_kept:
            connection.close()
    if may_be_kept:
        pool.give_back(endpoint.start_id, connection, head.idle_seconds)
    return answer.status, body
