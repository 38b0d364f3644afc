"""One HTTP exchange with an endpoint: connection, head and body of the answer."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    AnswerCutError,
    AnswerHead,
    ClientDisconnectedError,
    Connection,
    Connections,
    EndpointAnswerError,
    EndpointOnHoldError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointRoleError,
    Interrupted,
    RefusalUnprovenError,
    never_interrupted,
)
from jujubeslip.forwarding._unproven_answers import record_unproven_answer
from jujubeslip.interfaces import (
    EndpointCall,
    EndpointHead,
    Headers,
    Interface,
)
from jujubeslip.kernel import Deadline, Ran, steady_seconds
from jujubeslip.notices import EndpointNotices
from jujubeslip.routes import ForwardedRequest

logger = logging.getLogger(__name__)

SUCCESS = range(200, 300)
# Maximum number of late answers to other requests that are skipped for one answer.
MAXIMUM_SKIPPED = 16


class Exchange:
    """Sends a request to one endpoint and reads its answer.

    Used as a context manager: a connection whose answer was not read whole is closed,
    which also makes the endpoint stop working on it. The endpoint's notices are checked
    once its connection is open, because opening one may take long.
    """

    def __init__(
        self,
        pool: Connections,
        interface: Interface,
        endpoint: Endpoint,
        request: ForwardedRequest,
        client_disconnected: Interrupted,
        notices: EndpointNotices,
    ) -> None:
        self._notices = notices
        self._pool = pool
        self._interface = interface
        self._endpoint = endpoint
        self._request = request
        self._client_disconnected = client_disconnected
        self._connection: Connection | None = None
        self._sent_over: Connection | None = None
        """The connection of the request, also once it is closed or kept."""
        self._answer: AnswerHead | None = None
        self._head: EndpointHead | None = None
        self.sent_at = float("-inf")
        """When the request was sent, on the steady clock in seconds."""

    def __enter__(self) -> Exchange:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def call(self, call: EndpointCall, deadline: Deadline) -> EndpointHead:
        """Send the request and return the head of its answer.

        Raises EndpointRefusedError if the endpoint reports that it did not run the
        request, and EndpointOnHoldError if it accepts no requests by now.
        """
        self.send(call, deadline)
        return self.read_head(call)

    def send(
        self,
        call: EndpointCall,
        deadline: Deadline,
        is_cancelled: Interrupted = never_interrupted,
    ) -> None:
        """Send the request; raise EndpointOnHoldError if the endpoint accepts none.

        Raises ClientDisconnectedError if it was cancelled while a connection opened.
        """
        encode = partial(self._interface.endpoint_headers, self._request, call)
        self._send(encode, deadline, is_cancelled)

    def wait_for_answer(self, limit: Deadline) -> bool:
        """Wait until the answer begins; return False if it doesn't by the limit."""
        assert self._connection is not None
        return self._connection.wait_for_answer(limit)

    def read_head(self, call: EndpointCall) -> EndpointHead:
        """Return the head of the answer to the request that was sent; see `call`."""
        assert self._connection is not None
        head = self._read_own_head(self._connection)
        if not head.misdirected:
            self._notices.record_answer(self._endpoint, head, self.sent_at)
        if head.not_run:
            self.read_rest()
            raise _refusal(head, self._endpoint)
        if head.status in SUCCESS and not head.proves_origin and not call.prefill_only:
            with self.recorded_errors():
                raise self._not_accepted("the answer has no proof of its origin")
        return head

    def pass_on(
        self, encode_headers: Callable[[], Headers], deadline: Deadline
    ) -> EndpointHead:
        """Send the request and return the head of any answer.

        The headers are encoded once the connection is open. Raises EndpointOnHoldError
        if the endpoint accepts no requests by then.
        """
        return self._read_own_head(self._send(encode_headers, deadline))

    def _send(
        self,
        encode_headers: Callable[[], Headers],
        deadline: Deadline,
        is_cancelled: Interrupted = never_interrupted,
    ) -> Connection:
        start_id = self._endpoint.start_id
        request = self._request
        connection = self._pool.take(
            start_id, self._endpoint.address, request.request_id
        )
        if self._notices.hold_of(start_id) is not None:
            self._pool.give_back(start_id, connection, None)
            raise EndpointOnHoldError(self._endpoint.address)
        if is_cancelled():
            self._pool.give_back(start_id, connection, None)
            raise ClientDisconnectedError("The answer is not needed any more.", Ran.NO)
        self._connection = self._sent_over = connection
        if connection.relayed_by:
            self._log_relayed(connection)
        self.sent_at = steady_seconds()
        connection.watch(deadline, self._client_disconnected)
        connection.send(request.method, request.target, encode_headers(), request.body)
        return connection

    def _log_relayed(self, connection: Connection) -> None:
        extra = {
            "request_id": self._request.request_id,
            "start_id": self._endpoint.start_id,
            "relay": connection.relayed_by,
        }
        logger.info("request sent through another host", extra=extra)

    def watch(self, deadline: Deadline) -> None:
        """Set the deadline of the following reads."""
        assert self._connection is not None
        self._connection.watch(deadline, self._client_disconnected)

    def read_some(self) -> bytes:
        """Return the next bytes of the body, empty at its regular end."""
        assert self._connection is not None and self._answer is not None
        with self.recorded_errors():
            return self._connection.read_some(self._answer)

    def read_rest(self) -> bytes:
        """Return the rest of the body, and keep the connection if it is reusable."""
        assert self._connection is not None and self._answer is not None
        with self.recorded_errors():
            body = self._connection.read_rest(self._answer)
        self.keep_connection()
        return body

    def check_refusal(self) -> None:
        """Raise RefusalUnprovenError if the status alone tells that nothing ran.

        The client would send its request again, and the endpoint may have run it.
        """
        head = self._head
        if head is None or head.not_run or not head.reads_as_not_run:
            return
        with self.recorded_errors():
            raise RefusalUnprovenError(self._endpoint.address, head.status)

    @property
    def is_relayed(self) -> bool:
        """Return whether another entry host relays the request."""
        return self._connection is not None and bool(self._connection.relayed_by)

    @property
    def answer(self) -> AnswerHead:
        """Return the status line and headers of the answer, once they were read."""
        assert self._answer is not None
        return self._answer

    def keep_connection(self) -> None:
        """Keep the connection for the next request, after the answer was read whole."""
        connection, self._connection = self._connection, None
        assert connection is not None and self._answer is not None
        if self._answer.will_close or not self._is_identified:
            connection.close()
            return
        idle_seconds = self._head.idle_seconds if self._head else None
        self._pool.give_back(self._endpoint.start_id, connection, idle_seconds)

    @property
    def _is_identified(self) -> bool:
        """Return whether the answer named its request.

        A late second copy of an answer that doesn't would pass for the answer to the
        next request. Answers to a request without an id never do.
        """
        request_id = self._request.request_id
        return self._head is not None and self._head.request_id == request_id != ""

    def close(self) -> None:
        """Close the connection, unless it was kept."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _read_own_head(self, connection: Connection) -> EndpointHead:
        """Return the head of this request's answer, skipping late answers to others.

        An endpoint may answer an earlier request a second time, just where this
        request's answer is expected. The request id that it echoes tells them apart.
        """
        with self.recorded_errors():
            for _ in range(MAXIMUM_SKIPPED + 1):
                answer = self._read_any_head(connection)
                head = self._interface.read_head(answer.status, answer.headers)
                if self._is_own(connection, head):
                    self._head = head
                    return head
                extra = {
                    "request_id": self._request.request_id,
                    "start_id": self._endpoint.start_id,
                    "answers": head.request_id,
                    "status": head.status,
                }
                logger.info("late answer to another request skipped", extra=extra)
                connection.read_rest(answer)
                if answer.will_close:
                    break
            raise self._not_accepted("the answer is for another request")

    def _read_any_head(self, connection: Connection) -> AnswerHead:
        self._answer = None
        self._answer = connection.read_head()
        return self._answer

    def _is_own(self, connection: Connection, head: EndpointHead) -> bool:
        """Return whether the answer is this request's; raise if that can't be told.

        Some endpoints name no request in a refusal or failure. On a connection that has
        carried others, it may be a late second answer to one of these.
        """
        if head.is_ambiguous:
            raise self._not_accepted("the answer repeats a header that identifies it")
        if head.request_id:
            return head.request_id == self._request.request_id
        self._note_unnamed(head)
        if connection.has_carried_others:
            if not head.misdirected:
                self._notices.record_internal_answer(self._endpoint, head)
            raise self._not_accepted("the answer may be for an earlier request")
        return True

    def _note_unnamed(self, head: EndpointHead) -> None:
        if not self._request.request_id:
            return
        self._pool.note_unnamed(self._endpoint.start_id)
        extra = {
            "request_id": self._request.request_id,
            "start_id": self._endpoint.start_id,
            "status": head.status,
        }
        logger.info("answer names no request", extra=extra)

    def _not_accepted(self, reason: str) -> EndpointAnswerError:
        return EndpointAnswerError(f"{self._endpoint.address}: {reason}.")

    @contextmanager
    def recorded_errors(self) -> Iterator[None]:
        """Record an answer that turns out not to be whole, valid or this request's.

        An unproven refusal is recorded, too.
        """
        try:
            yield
        except (AnswerCutError, EndpointAnswerError, RefusalUnprovenError) as error:
            assert self._sent_over is not None
            record_unproven_answer(
                self._request, self._endpoint, self._sent_over, self._answer, error
            )
            raise


def _refusal(head: EndpointHead, endpoint: Endpoint) -> EndpointRefusedError:
    if not head.misdirected:
        return EndpointRefusedError(head.status, "not run", False)
    if head.answered_by in ("", endpoint.endpoint_id):
        return EndpointRoleError()
    return EndpointReplacedError(head.answered_by)
