"""The WSGI application that relays calls to endpoints for other entry hosts."""

from __future__ import annotations

import hmac
import logging
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass, replace

from opentelemetry import metrics

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import (
    AnswerCutError,
    ClientDisconnectedError,
    ConnectionPool,
    EndpointError,
    EndpointOnHoldError,
    EndpointUnreachableError,
    has_ended,
)
from jujubeslip.forwarding._answer_ends import HasEnded, check_end
from jujubeslip.forwarding._app import OpenRequests, StreamedBody, start_answer
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.http_server import AnswerAbandonedError
from jujubeslip.interfaces import (
    EndpointHead,
    Environ,
    Interface,
    StartResponse,
)
from jujubeslip.kernel import Deadline
from jujubeslip.notices import EndpointNotices
from jujubeslip.relays import (
    REFUSAL_STATUS,
    EndpointReach,
    RelayHeaders,
    RelayRefusal,
    without_relay_headers,
)
from jujubeslip.routes import ForwardedRequest

logger = logging.getLogger(__name__)

# Maximum duration of a call that names no deadline, in seconds.
UNBOUNDED_CALL_SECONDS = 5.0
# Longest time for which another host is told to skip an endpoint, in seconds.
MAXIMUM_HOLD_SECONDS = 2.0


@dataclass(frozen=True)
class RelayServices:
    """What an entry host needs to relay calls."""

    interface: Interface
    connections: ConnectionPool
    """Direct connections only: a relayed call is never relayed again."""
    registry: EndpointRegistry
    reach: EndpointReach
    notices: EndpointNotices
    open_calls: OpenRequests
    has_capacity: Callable[[], bool]
    """Whether the host's own clients leave capacity for other hosts' calls."""
    has_ended: HasEnded
    secret: str


class RelayApp:
    """Passes calls of other hosts on to endpoints, one thread each.

    The other host chooses the endpoint, and charges the call to all limits and budgets.
    This one only refuses before it has sent anything, or passes the answer on as it
    comes.
    """

    def __init__(self, services: RelayServices) -> None:
        self._services = services
        self._calls = metrics.get_meter("jujubeslip.forwarding").create_counter(
            "jujubeslip.forward.relay_calls",
            description="Calls that this host relayed or refused to relay, by outcome.",
        )

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Relay one call."""
        headers = RelayHeaders.read(environ)
        open_calls = self._services.open_calls
        if not self._may_relay(headers) or not open_calls.try_enter():
            return self._refuse(start_response, headers, RelayRefusal.ELSEWHERE)
        is_streamed = False
        try:
            body = self._relay(environ, start_response, headers)
            is_streamed = isinstance(body, StreamedBody)
            return body
        finally:
            if not is_streamed:
                open_calls.leave()

    def _may_relay(self, headers: RelayHeaders) -> bool:
        services = self._services
        is_authentic = hmac.compare_digest(
            headers.secret.encode(), services.secret.encode()
        )
        return is_authentic and not services.reach.is_lost and services.has_capacity()

    def _relay(
        self, environ: Environ, start_response: StartResponse, headers: RelayHeaders
    ) -> Iterable[bytes]:
        endpoint = self._services.registry.find_start(headers.start_id)
        if endpoint is None:
            return self._refuse(start_response, headers, RelayRefusal.UNKNOWN)
        if headers.is_check:
            return self._answer_check(start_response, headers, endpoint)
        if not endpoint.accepts_work:
            return self._refuse_on_hold(start_response, headers)
        request = self._read_call(environ, headers)
        with ExitStack() as stack:
            exchange = stack.enter_context(self._exchange(environ, endpoint, request))
            try:
                head = self._send(exchange, request)
            except EndpointOnHoldError:
                return self._refuse_on_hold(start_response, headers)
            except EndpointUnreachableError:
                refusal = self._refusal_of_unreachable()
                return self._refuse(start_response, headers, refusal)
            except (EndpointError, ClientDisconnectedError) as error:
                self._log(headers, request.request_id, error.error_id)
                # Closes the connection: the endpoint may have run the request.
                raise AnswerAbandonedError(error.message) from error
            self._record_notice(endpoint, request, head, exchange)
            self._log(headers, request.request_id, str(head.status))
            answer_headers = headers.of_answer(head.headers)
            start_answer(start_response, head.status, answer_headers)
            # The exchange is closed with the body from here on.
            stack.pop_all()
        parts = self._parts_of(endpoint, request, exchange)
        return StreamedBody(parts, self._services.open_calls)

    def _parts_of(
        self,
        endpoint: Endpoint,
        request: ForwardedRequest,
        exchange: Exchange,
    ) -> Iterator[bytes]:
        """Yield the body of the endpoint's answer as it arrives.

        The other host can't see how the endpoint framed its answer, so it can't tell a
        regular end from that of the endpoint's process.
        """
        with exchange:
            while part := exchange.read_some():
                yield part
            self._check_end(endpoint, request, exchange)
            exchange.keep_connection()

    def _check_end(
        self, endpoint: Endpoint, request: ForwardedRequest, exchange: Exchange
    ) -> None:
        try:
            check_end(endpoint, exchange, self._services.has_ended)
        except AnswerCutError as error:
            extra = {
                "request_id": request.request_id,
                "start_id": endpoint.start_id,
                "error": error.message,
            }
            logger.info("relayed answer cut off", extra=extra)
            raise

    def _read_call(self, environ: Environ, headers: RelayHeaders) -> ForwardedRequest:
        """Return the call, whose remaining time is as of when it was encoded."""
        request = self._services.interface.read_call(environ)
        deadline = request.client_deadline
        if deadline is None:
            return request
        elapsed = headers.encoded_ago_ms / 1000
        return replace(request, client_deadline=Deadline(deadline.timestamp - elapsed))

    def _exchange(
        self, environ: Environ, endpoint: Endpoint, request: ForwardedRequest
    ) -> Exchange:
        return Exchange(
            self._services.connections,
            self._services.interface,
            endpoint,
            request,
            environ["waitress.client_disconnected"],
            self._services.notices,
        )

    def _send(self, exchange: Exchange, request: ForwardedRequest) -> EndpointHead:
        deadline = request.client_deadline or Deadline.after(UNBOUNDED_CALL_SECONDS)
        interface = self._services.interface
        return exchange.pass_on(
            lambda: without_relay_headers(interface.call_headers(request)), deadline
        )

    def _refusal_of_unreachable(self) -> RelayRefusal:
        """Tell the loss of an endpoint from that of this host's own links."""
        if self._services.reach.confirm_lost():
            return RelayRefusal.ELSEWHERE
        return RelayRefusal.UNREACHABLE

    def _record_notice(
        self,
        endpoint: Endpoint,
        request: ForwardedRequest,
        head: EndpointHead,
        exchange: Exchange,
    ) -> None:
        notices = self._services.notices
        if head.misdirected:
            return
        if request.request_id:
            notices.record_answer(endpoint, head, exchange.sent_at)
        else:
            notices.record_internal_answer(endpoint, head)

    def _answer_check(
        self, start_response: StartResponse, headers: RelayHeaders, endpoint: Endpoint
    ) -> Iterable[bytes]:
        ended = has_ended(endpoint.address)
        start_answer(start_response, 200, headers.of_check(ended))
        return [b""]

    def _refuse_on_hold(
        self, start_response: StartResponse, headers: RelayHeaders
    ) -> Iterable[bytes]:
        hold = self._services.notices.hold_of(headers.start_id)
        remaining = hold.until.remaining() if hold else MAXIMUM_HOLD_SECONDS
        seconds = min(MAXIMUM_HOLD_SECONDS, remaining)
        return self._refuse(start_response, headers, RelayRefusal.ON_HOLD, seconds)

    def _refuse(
        self,
        start_response: StartResponse,
        headers: RelayHeaders,
        why: RelayRefusal,
        hold_seconds: float = 0.0,
    ) -> Iterable[bytes]:
        self._log(headers, "", why.value)
        answer_headers = headers.of_refusal(why, hold_seconds)
        start_answer(start_response, REFUSAL_STATUS, answer_headers)
        return [b""]

    def _log(self, headers: RelayHeaders, request_id: str, outcome: str) -> None:
        self._calls.add(1, {"outcome": outcome})
        extra = {
            "request_id": request_id,
            "sender": headers.sender,
            "start_id": headers.start_id,
            "outcome": outcome,
        }
        logger.info("call relayed", extra=extra)
