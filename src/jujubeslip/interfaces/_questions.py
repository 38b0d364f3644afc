"""Questions to endpoints that are no requests of clients."""

from __future__ import annotations

from typing import Protocol

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    ConnectionPool,
    EndpointOnHoldError,
    Interrupted,
    never_interrupted,
)
from jujubeslip.interfaces._models import EndpointHead, EndpointQuestion, Interface
from jujubeslip.kernel import Deadline


class Notices(Protocol):
    """What endpoints have said of themselves."""

    def in_backoff(self, start_id: str) -> bool:
        """Say whether a start wants no requests from this host for a while."""

    def note_other_answer(self, endpoint: Endpoint, head: EndpointHead) -> None:
        """Note what an answer says that is no answer to a client's request."""


def ask_endpoint(
    pool: ConnectionPool,
    interface: Interface,
    notices: Notices,
    endpoint: Endpoint,
    question: EndpointQuestion,
    deadline: Deadline,
    gone: Interrupted = never_interrupted,
) -> tuple[int, bytes]:
    """Return status and body of an endpoint's answer; its connection is kept.

    Raises EndpointError when no answer comes in time or the endpoint wants no
    questions now, and CallerGoneError once `gone` says that nobody waits any more.
    """
    if notices.in_backoff(endpoint.start_id):
        raise EndpointOnHoldError(endpoint.address)
    connection = pool.take(endpoint.start_id, endpoint.address)
    whole = False
    try:
        headers = [("Host", endpoint.address), *question.headers]
        connection.send(question.method, question.target, headers, question.body)
        connection.watch(deadline, gone)
        response = connection.read_head()
        head = interface.read_head(response.status, response.getheaders())
        if not head.misdirected:
            notices.note_other_answer(endpoint, head)
        body = connection.read_rest(response)
        whole = not response.will_close
    finally:
        # An answer that was not read whole would be read as that of the next question.
        if not whole:
            connection.close()
    if whole:
        pool.give_back(endpoint.start_id, connection, head.idle_seconds)
    return response.status, body
