"""Questions to endpoints that are no requests of clients."""

from __future__ import annotations

from collections.abc import Callable

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import ConnectionPool, Interrupted, never_interrupted
from jujubeslip.interfaces._models import EndpointHead, EndpointQuestion, Interface
from jujubeslip.kernel import Deadline


def _ignore(_: Endpoint, __: EndpointHead) -> None:
    pass


def ask_endpoint(
    pool: ConnectionPool,
    interface: Interface,
    endpoint: Endpoint,
    question: EndpointQuestion,
    deadline: Deadline,
    gone: Interrupted = never_interrupted,
    on_answer: Callable[[Endpoint, EndpointHead], None] = _ignore,
) -> tuple[int, bytes]:
    """Return status and body of an endpoint's answer; its connection is kept.

    Raises EndpointError when no answer comes in time, and CallerGoneError once `gone`
    says that nobody waits for it any more. `on_answer` gets the head of an answer of
    the endpoint itself.
    """
    connection = pool.take(endpoint.start_id, endpoint.address)
    whole = False
    try:
        headers = [("Host", endpoint.address), *question.headers]
        connection.send(question.method, question.target, headers, question.body)
        connection.watch(deadline, gone)
        response = connection.read_head()
        head = interface.read_head(response.status, response.getheaders())
        if not head.misdirected:
            on_answer(endpoint, head)
        body = connection.read_rest(response)
        whole = not response.will_close
    finally:
        # An answer that was not read whole would be read as that of the next question.
        if not whole:
            connection.close()
    if whole:
        pool.give_back(endpoint.start_id, connection, head.idle_seconds)
    return response.status, body
