"""The HTTP interface (WSGI): clients' requests, announcements, readiness."""

from __future__ import annotations

import json
import logging
import math
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from typing import Any

from jujubeslip.declaration import Declaration, Spread
from jujubeslip.endpoints import CallerGoneError, announcement_from_json
from jujubeslip.entry._configuration import ConfigurationFollower
from jujubeslip.kernel import (
    EntrySettings,
    PeerUnavailableError,
    Process,
    RequestRefusedError,
)
from jujubeslip.peers import PeerRefusal
from jujubeslip.requests import (
    ClientRequest,
    OpenRequests,
    PlainServiceAnswer,
    RequestContext,
    RequestService,
    authenticate,
    parse_request,
    require_secret,
)
from jujubeslip.routing import Router
from jujubeslip.telemetry import Meters, context_from_traceparent, tracer

logger = logging.getLogger(__name__)

Environ = dict[str, Any]
StartResponse = Callable[..., Any]

JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"
REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
}


class HttpApp:
    """Routes HTTP calls; one thread of the server serves one call to its end."""

    def __init__(
        self,
        settings: EntrySettings,
        process: Process,
        configuration: ConfigurationFollower,
        service: RequestService,
        router: Router,
        open_requests: OpenRequests,
        meters: Meters,
    ) -> None:
        self._settings = settings
        self._process = process
        self._configuration = configuration
        self._service = service
        self._router = router
        self._open_requests = open_requests
        self._meters = meters
        self._places = threading.Semaphore(
            max(1, settings.http_threads - settings.reserved_threads)
        )

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP call."""
        path = environ.get("PATH_INFO", "")
        try:
            if path == "/v1/ready":
                return self._ready(start_response)
            if path == "/v1/endpoints":
                return self._announce(environ, start_response)
            return self._request(environ, start_response, _service_name(path))
        except RequestRefusedError as refusal:
            return _refuse(start_response, refusal, "")

    def _ready(self, start_response: StartResponse) -> Iterable[bytes]:
        ready = self._configuration.revision > 0 and not self._process.stopping.is_set()
        body = {"ready": ready, "revision": self._configuration.revision}
        return _json(start_response, 200 if ready else 503, body)

    # Endpoints

    def _announce(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        _require_method(environ, "POST")
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        require_secret(authorization, self._settings.endpoint_secret)
        announcement = announcement_from_json(_body_object(environ))
        announcement.place = self._place_of(
            announcement.service_name, announcement.availability_zone
        )
        try:
            self._router.announce(announcement)
        except (PeerUnavailableError, PeerRefusal) as error:
            raise RequestRefusedError(
                "home_unavailable",
                "The home of the endpoint's pool does not answer.",
                retry_after=0.5,
                remedy="Announce again, also to another entry host.",
            ) from error
        return _json(start_response, 200, {"accepted": True})

    def _place_of(self, service_name: str, availability_zone: str) -> str:
        service = self._declaration().service_by_name.get(service_name)
        if service is None:
            raise RequestRefusedError(
                "service_unknown",
                f"There is no service {service_name[:64]!r}.",
                status=404,
                remedy="Declare the service, or correct the endpoint's settings.",
            )
        in_region = service.pooling is Spread.REGION
        return self._settings.region if in_region else availability_zone

    def _declaration(self) -> Declaration:
        return self._configuration.declaration

    # Clients

    def _request(
        self, environ: Environ, start_response: StartResponse, service_name: str
    ) -> Iterable[bytes]:
        _require_method(environ, "POST")
        self._refuse_if_not_serving()
        client = authenticate(
            self._declaration(), environ.get("HTTP_AUTHORIZATION", "")
        )
        request = parse_request(
            self._declaration(),
            client,
            service_name,
            environ["wsgi.input"].read(),
            environ.get("HTTP_X_REQUEST_ID", ""),
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        )
        call = _ClientCall(self, environ, request)
        return call.answer(start_response)

    def _refuse_if_not_serving(self) -> None:
        if self._process.stopping.is_set():
            raise RequestRefusedError(
                "stopping", "This entry host is stopping.", retry_after=0.1
            )
        if self._configuration.revision == 0:
            raise RequestRefusedError(
                "no_configuration",
                "This entry host has no configuration yet.",
                retry_after=1.0,
            )


class _ClientCall:
    """One client's call: the span, the open request, the answer, their end."""

    def __init__(self, app: HttpApp, environ: Environ, request: ClientRequest) -> None:
        self._app = app
        self._request = request
        self._interrupted = environ.get("waitress.client_disconnected", lambda: False)
        self._traceparent = environ.get("HTTP_TRACEPARENT", "")
        self._stack = ExitStack()
        self._started = time.monotonic()
        self._rule_name = ""
        self._outcome = "abandoned"

    def answer(self, start_response: StartResponse) -> Iterable[bytes]:
        """Return the answer's body; a refusal before the first token has a status."""
        try:
            self._open()
            context = self._app._service.decide(self._request, self._interrupted)
            self._rule_name = context.rule_name
            steps = self._app._service.steps(context)
            self._stack.callback(steps.close)  # type: ignore[attr-defined]
            first = next(steps, None)
        except RequestRefusedError as refusal:
            self._note_refusal(refusal)
            self._close()
            return _refuse(start_response, refusal, self._request.request_id)
        except CallerGoneError:
            self._close()
            return _json(start_response, 503, {})
        except BaseException:
            self._close()
            raise
        return self._body(start_response, context, first, steps)

    def _open(self) -> None:
        if not self._app._places.acquire(blocking=False):
            raise RequestRefusedError(
                "entry_full",
                "This entry host serves as many requests as it can.",
                retry_after=0.5,
            )
        self._stack.callback(self._app._places.release)
        open_requests = self._app._open_requests
        self._stack.enter_context(open_requests.serving(self._request.request_id))
        parent = context_from_traceparent(self._traceparent)
        span = self._stack.enter_context(
            tracer().start_as_current_span("request", parent)
        )
        span.set_attribute("request_id", self._request.request_id)
        span.set_attribute("client", self._request.client.name)
        span.set_attribute("service", self._request.service.name)

    def _body(
        self,
        start_response: StartResponse,
        context: RequestContext,
        first: object,
        steps: Iterator[object],
    ) -> Iterable[bytes]:
        headers = [("X-Request-Id", self._request.request_id)]
        if isinstance(first, PlainServiceAnswer):
            self._outcome = "whole"
            self._close()
            return _plain(start_response, first, headers)
        self._note_first_token()
        if not self._request.stream:
            return self._collected(start_response, first, steps, headers)
        _start(start_response, 200, STREAM_TYPE, headers)
        # The thread's trace context goes with the generator to its own steps.
        return _Stream(self._events(first, steps), self._close)

    def _collected(
        self,
        start_response: StartResponse,
        first: object,
        steps: Iterator[object],
        headers: list[tuple[str, str]],
    ) -> Iterable[bytes]:
        try:
            tokens = [str(first), *(str(step) for step in steps)]
        except RequestRefusedError as refusal:
            self._note_refusal(refusal)
            return _refuse(start_response, refusal, self._request.request_id)
        except CallerGoneError:
            return _json(start_response, 503, {})
        else:
            self._outcome = "whole"
            body = {
                "request_id": self._request.request_id,
                "text": "".join(tokens),
                "tokens": len(tokens),
                "rule": self._rule_name,
            }
            return _json(start_response, 200, body, headers)
        finally:
            self._close()

    def _events(self, first: object, steps: Iterator[object]) -> Iterator[bytes]:
        count = 0
        try:
            if first is not None:
                yield _event("token", {"index": 0, "token": str(first)})
                count = 1
            for step in steps:
                yield _event("token", {"index": count, "token": str(step)})
                count += 1
        except RequestRefusedError as refusal:
            self._note_refusal(refusal)
            yield _event("error", _refusal_fields(refusal, self._request.request_id))
            return
        except CallerGoneError:
            return
        self._outcome = "whole"
        self._note_gaps(count)
        yield _event(
            "end",
            {
                "request_id": self._request.request_id,
                "tokens": count,
                "rule": self._rule_name,
            },
        )

    def _note_first_token(self) -> None:
        milliseconds = (time.monotonic() - self._started) * 1000
        attributes = {"service": self._request.service.name, "rule": self._rule_name}
        self._app._meters.first_token.record(milliseconds, attributes)
        self._first_token_at = time.monotonic()

    def _note_gaps(self, count: int) -> None:
        if count < 2:
            return
        gap = (time.monotonic() - self._first_token_at) * 1000 / (count - 1)
        attributes = {"service": self._request.service.name, "rule": self._rule_name}
        self._app._meters.between_tokens.record(gap, attributes)

    def _note_refusal(self, refusal: RequestRefusedError) -> None:
        self._outcome = "refused"
        self._app._meters.refusals.add(
            1, {"error_id": refusal.error_id, "ran": refusal.ran.value}
        )

    def _close(self) -> None:
        attributes = {
            "service": self._request.service.name,
            "rule": self._rule_name,
            "outcome": self._outcome,
        }
        self._app._meters.requests.add(1, attributes)
        self._stack.close()
        logger.info(
            "request ended",
            extra={
                "request_id": self._request.request_id,
                "client": self._request.client.name,
                "duration_ms": int((time.monotonic() - self._started) * 1000),
                **attributes,
            },
        )


class _Stream:
    """An event stream whose close, by either end, frees what the request holds."""

    def __init__(self, events: Iterator[bytes], close: Callable[[], None]) -> None:
        self._events = events
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        self._events.close()  # type: ignore[attr-defined]
        self._close()


def _service_name(path: str) -> str:
    parts = path.strip("/").split("/")
    if len(parts) == 4 and parts[:2] == ["v1", "services"] and parts[3] == "requests":
        return parts[2]
    raise RequestRefusedError(
        "path_unknown",
        "There is no such path.",
        status=404,
        remedy="POST to /v1/services/NAME/requests.",
    )


def _require_method(environ: Environ, method: str) -> None:
    if environ.get("REQUEST_METHOD") != method:
        raise RequestRefusedError(
            "method_unknown",
            "The path does not take this method.",
            status=405,
            remedy=f"Use {method}.",
        )


def _body_object(environ: Environ) -> dict[str, Any]:
    try:
        message = json.loads(environ["wsgi.input"].read())
    except (ValueError, RecursionError) as error:
        raise _body_invalid("The body is not valid JSON.") from error
    if not isinstance(message, dict):
        raise _body_invalid("The body is not a JSON object.")
    return message


def _body_invalid(message: str) -> RequestRefusedError:
    return RequestRefusedError(
        "request_invalid", message, status=400, remedy="Send a JSON object."
    )


def _start(
    start_response: StartResponse,
    status: int,
    content_type: str,
    headers: Iterable[tuple[str, str]] = (),
) -> None:
    reason = REASON_BY_STATUS.get(status, "Status")
    head = [("Content-Type", content_type), ("Cache-Control", "no-store"), *headers]
    start_response(f"{status} {reason}", head)


def _json(
    start_response: StartResponse,
    status: int,
    fields: object,
    headers: Iterable[tuple[str, str]] = (),
) -> Iterable[bytes]:
    body = json.dumps(fields).encode()
    length = ("Content-Length", str(len(body)))
    _start(start_response, status, JSON_TYPE, [length, *headers])
    return [body]


def _plain(
    start_response: StartResponse,
    answer: PlainServiceAnswer,
    headers: list[tuple[str, str]],
) -> Iterable[bytes]:
    length = ("Content-Length", str(len(answer.body)))
    _start(start_response, answer.status, answer.content_type, [length, *headers])
    return [answer.body]


def _refusal_fields(refusal: RequestRefusedError, request_id: str) -> dict[str, object]:
    return {
        "error_id": refusal.error_id,
        "message": refusal.message,
        "remedy": refusal.remedy,
        "ran": refusal.ran.value,
        "retry_after": refusal.retry_after,
        "request_id": request_id,
    }


def _refuse(
    start_response: StartResponse, refusal: RequestRefusedError, request_id: str
) -> Iterable[bytes]:
    headers = []
    if refusal.retry_after is not None:
        headers.append(("Retry-After", f"{max(1, math.ceil(refusal.retry_after))}"))
    if refusal.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    fields = {"error": _refusal_fields(refusal, request_id)}
    return _json(start_response, refusal.status, fields, headers)


def _event(name: str, fields: dict[str, object]) -> bytes:
    return f"event: {name}\ndata: {json.dumps(fields)}\n\n".encode()
