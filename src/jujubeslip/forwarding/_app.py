"""The WSGI applications of a forwarding host: clients' requests, and readiness."""

from __future__ import annotations

import http
import logging
import threading
from collections.abc import Callable, Iterable, Iterator

from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.forwarding._models import StreamedAnswer
from jujubeslip.forwarding._service import ForwardService
from jujubeslip.http_server import AnswerAbandonedError
from jujubeslip.interfaces import Environ, Interface, StartResponse
from jujubeslip.kernel import JujubeslipError, Ran, RequestRefusedError

logger = logging.getLogger(__name__)

# When a client should retry after a host had no free thread, in seconds.
FULL_RETRY_SECONDS = 0.5
# When a client should retry after it reached a stopping host, in seconds; another host
# can serve it at once.
STOPPING_RETRY_SECONDS = 0.05


class OpenRequests:
    """Counts the requests that are being served."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._count = 0
        self._closed = False
        self._changed = threading.Condition()

    @property
    def count(self) -> int:
        """Return how many requests are being served."""
        return self._count

    @property
    def closed(self) -> bool:
        """Return whether no more requests are accepted."""
        return self._closed

    def close(self) -> None:
        """Accept no more requests."""
        with self._changed:
            self._closed = True

    @property
    def maximum(self) -> int:
        """Return how many requests may be served at a time."""
        return self._maximum

    @property
    def is_full(self) -> bool:
        """Return whether the maximum is being served."""
        return not self._closed and self._count >= self._maximum

    @property
    def used_share(self) -> float:
        """Return the share of the maximum that is being served."""
        return self._count / self._maximum

    def try_enter(self) -> bool:
        """Count one more request, unless the maximum is reached or this is closed."""
        with self._changed:
            if self._closed or self._count >= self._maximum:
                return False
            self._count += 1
            return True

    def leave(self) -> None:
        """Count one request less."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_until_none(self, seconds: float) -> bool:
        """Wait until no request is being served; return False on a timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, seconds)


class ForwardApp:
    """Serves clients' requests, one thread each."""

    def __init__(
        self,
        interface: Interface,
        service: ForwardService,
        open_requests: OpenRequests,
    ) -> None:
        self._interface = interface
        self._service = service
        self._open_requests = open_requests

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        request_id = environ.get("HTTP_REQUEST_ID", "")
        if not self._open_requests.try_enter():
            refusal = (
                _host_stopping_refusal()
                if self._open_requests.closed
                else _host_full_refusal()
            )
            return self._refuse(start_response, refusal, request_id)
        is_streamed = False
        try:
            body = self._answer(environ, start_response, request_id)
            is_streamed = isinstance(body, StreamedBody)
            return body
        finally:
            if not is_streamed:
                self._open_requests.leave()

    def _answer(
        self, environ: Environ, start_response: StartResponse, request_id: str
    ) -> Iterable[bytes]:
        try:
            request = self._interface.read_request(environ)
            client_disconnected = environ["waitress.client_disconnected"]
            answer = self._service.answer(request, client_disconnected)
        except RequestRefusedError as refusal:
            return self._refuse(start_response, refusal, request_id)
        except ClientDisconnectedError as error:
            return self._refuse(
                start_response, _client_disconnected_refusal(error), request_id
            )
        except Exception:
            logger.exception("request failed", extra={"request_id": request_id})
            return self._refuse(start_response, _internal_error_refusal(), request_id)
        if isinstance(answer, StreamedAnswer):
            start_answer(start_response, answer.status, list(answer.headers))
            return StreamedBody(answer.events, self._open_requests)
        length = ("Content-Length", str(len(answer.body)))
        start_answer(start_response, answer.status, [*answer.headers, length])
        return [answer.body]

    def _refuse(
        self,
        start_response: StartResponse,
        refusal: RequestRefusedError,
        request_id: str,
    ) -> Iterable[bytes]:
        encoded = self._interface.refusal(refusal, request_id)
        length = ("Content-Length", str(len(encoded.body)))
        start_answer(start_response, encoded.status, [*encoded.headers, length])
        return [encoded.body]


class StreamedBody:
    """The parts of an answer; closing it counts the request as ended."""

    def __init__(self, parts: Iterator[bytes], open_requests: OpenRequests) -> None:
        self._parts = parts
        self._open_requests = open_requests
        self._is_open = True

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._parts
        except JujubeslipError as error:
            raise AnswerAbandonedError(error.message) from error

    def close(self) -> None:
        """Stop the run if it has not ended."""
        if not self._is_open:
            return
        self._is_open = False
        try:
            self._parts.close()  # type: ignore[attr-defined]
        finally:
            self._open_requests.leave()


class ReadyApp:
    """Reports to a load balancer whether this host accepts requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer 200 if the host accepts requests, 503 otherwise."""
        start_answer(start_response, 200 if self._is_ready() else 503, [])
        return [b""]


def encode_http_error(interface: Interface, status: int, detail: str) -> bytes:
    """Return the body for a request that the HTTP server itself has ended.

    One that the server can't read has not run.
    """
    if status == http.HTTPStatus.INTERNAL_SERVER_ERROR:
        refusal = _internal_error_refusal()
    else:
        refusal = RequestRefusedError(
            "http_invalid",
            f"The request is not valid HTTP: {detail}",
            status=status,
            remedy="Correct the client, or what stands between it and this host.",
        )
    return interface.refusal(refusal, "").body


def start_answer(
    start_response: StartResponse, status: int, headers: list[tuple[str, str]]
) -> None:
    """Start an answer with this status, which may be one without a known phrase."""
    try:
        reason = http.HTTPStatus(status).phrase
    except ValueError:
        reason = "Status"
    start_response(f"{status} {reason}", headers)


def _host_full_refusal() -> RequestRefusedError:
    return RequestRefusedError(
        "entry_full",
        "This host serves as many requests as it can.",
        retry_after=FULL_RETRY_SECONDS,
    )


def _host_stopping_refusal() -> RequestRefusedError:
    return RequestRefusedError(
        "entry_stopping",
        "This host is about to stop.",
        retry_after=STOPPING_RETRY_SECONDS,
    )


def _client_disconnected_refusal(error: ClientDisconnectedError) -> RequestRefusedError:
    """Return a refusal that nobody receives: the client has closed its connection."""
    return RequestRefusedError(
        error.error_id, error.message, status=502, ran=Ran.UNKNOWN
    )


def _internal_error_refusal() -> RequestRefusedError:
    return RequestRefusedError(
        "internal",
        "This host failed to process the request.",
        status=502,
        ran=Ran.UNKNOWN,
        remedy="Report it with the request id; the host's log says more.",
    )
