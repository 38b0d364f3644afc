"""One client call: its span, its open request, its answer and their cleanup."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from dataclasses import dataclass

from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.entry._responses import (
    STREAM_TYPE,
    Environ,
    StartResponse,
    event,
    internal_refusal,
    json_answer,
    plain_answer,
    refusal_fields,
    refuse,
    start_answer,
)
from jujubeslip.kernel import Ran, RequestRefusedError, steady_seconds
from jujubeslip.requests import (
    ClientRequest,
    OpenRequests,
    PlainServiceAnswer,
    RequestContext,
    RequestService,
)
from jujubeslip.telemetry import Meters, context_from_traceparent, tracer

logger = logging.getLogger(__name__)

RETRY_SECONDS = 1.0


@dataclass(frozen=True)
class CallServices:
    """The services shared by all client calls.

    `request_slots` bounds the number of concurrent calls. `abandoning` is set when an
    operator ends the shutdown of the process early.
    """

    service: RequestService
    open_requests: OpenRequests
    meters: Meters
    request_slots: threading.Semaphore
    abandoning: threading.Event


class ClientCall:
    """One client call, from acquiring a request slot to releasing it."""

    def __init__(
        self, services: CallServices, environ: Environ, request: ClientRequest
    ) -> None:
        self._services = services
        self._request = request
        self._client_disconnected = environ.get(
            "waitress.client_disconnected", lambda: False
        )
        self._traceparent = environ.get("HTTP_TRACEPARENT", "")
        self._stack = ExitStack()
        self._started = steady_seconds()
        self._rule_name = ""
        self._outcome = "abandoned"

    def answer(self, start_response: StartResponse) -> Iterable[bytes]:
        """Return the response body.

        A refusal before the first token is sent with an HTTP error status.
        """
        try:
            self._open()
            context = self._services.service.decide(
                self._request, self._interrupted, self._services.abandoning.is_set
            )
            self._rule_name = context.rule_name
            answer_parts = self._services.service.answer_parts(context)
            self._stack.callback(answer_parts.close)  # type: ignore[attr-defined]
            first = next(answer_parts, None)
        except RequestRefusedError as refusal:
            self._record_refusal(refusal)
            self._close()
            return refuse(start_response, refusal, self._request.request_id)
        except ClientDisconnectedError as error:
            self._close()
            return self._refuse_abandoned(start_response, error)
        except BaseException:
            self._close()
            raise
        return self._body(start_response, context, first, answer_parts)

    def _interrupted(self) -> bool:
        return self._services.abandoning.is_set() or bool(self._client_disconnected())

    def _refuse_abandoned(
        self, start_response: StartResponse, error: ClientDisconnectedError
    ) -> Iterable[bytes]:
        refusal = self._abandoned(error)
        return refuse(start_response, refusal, self._request.request_id)

    def _abandoned(self, error: ClientDisconnectedError) -> RequestRefusedError:
        """Return the refusal for an abandoned request.

        It is only counted if an operator abandoned the request. A client that closed
        its connection no longer reads the refusal.
        """
        refusal = _abandoned_refusal(error.ran)
        if self._services.abandoning.is_set():
            self._record_refusal(refusal)
        return refusal

    def _until_abandoned(self, answer_parts: Iterator[object]) -> Iterator[object]:
        """Yield the steps until the request is abandoned.

        The flag is checked at each step, because the service checks it only while it
        waits, and tokens that arrive fast leave no wait.
        """
        for step in answer_parts:
            if self._services.abandoning.is_set():
                raise ClientDisconnectedError("The request was abandoned.", Ran.UNKNOWN)
            yield step

    def _open(self) -> None:
        if not self._services.request_slots.acquire(blocking=False):
            raise RequestRefusedError(
                "entry_full",
                "This entry host serves its maximum number of concurrent requests.",
                retry_after=0.5,
            )
        self._stack.callback(self._services.request_slots.release)
        open_requests = self._services.open_requests
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
        answer_parts: Iterator[object],
    ) -> Iterable[bytes]:
        headers = [("X-Request-Id", self._request.request_id)]
        if isinstance(first, PlainServiceAnswer):
            self._outcome = "whole"
            self._close()
            return plain_answer(start_response, first, headers)
        self._record_first_token()
        if not self._request.stream:
            return self._complete_answer(start_response, first, answer_parts, headers)
        start_answer(start_response, 200, STREAM_TYPE, headers)
        # The span stays current in this thread until the stream is closed, so the
        # generator's steps run in its trace context.
        return _Stream(self._events(first, answer_parts), self._close)

    def _complete_answer(
        self,
        start_response: StartResponse,
        first: object,
        answer_parts: Iterator[object],
        headers: list[tuple[str, str]],
    ) -> Iterable[bytes]:
        try:
            # An answer without tokens has no first step.
            tokens = [] if first is None else [str(first)]
            tokens += [str(step) for step in self._until_abandoned(answer_parts)]
        except RequestRefusedError as refusal:
            self._record_refusal(refusal)
            return refuse(start_response, refusal, self._request.request_id)
        except ClientDisconnectedError as error:
            return self._refuse_abandoned(start_response, error)
        else:
            self._outcome = "whole"
            body = {
                "request_id": self._request.request_id,
                "text": "".join(tokens),
                "tokens": len(tokens),
                "rule": self._rule_name,
            }
            return json_answer(start_response, 200, body, headers)
        finally:
            self._close()

    def _events(self, first: object, answer_parts: Iterator[object]) -> Iterator[bytes]:
        count = 0
        try:
            if first is not None:
                yield event("token", {"index": 0, "token": str(first)})
                count = 1
            for step in self._until_abandoned(answer_parts):
                yield event("token", {"index": count, "token": str(step)})
                count += 1
        except RequestRefusedError as refusal:
            self._record_refusal(refusal)
            yield event("error", refusal_fields(refusal, self._request.request_id))
            return
        except ClientDisconnectedError as error:
            abandonment = self._abandoned(error)
            yield event("error", refusal_fields(abandonment, self._request.request_id))
            return
        except Exception:
            logger.exception(
                "call failed", extra={"request_id": self._request.request_id}
            )
            failed = internal_refusal()
            self._record_refusal(failed)
            yield event("error", refusal_fields(failed, self._request.request_id))
            return
        self._outcome = "whole"
        self._record_token_gap(count)
        yield event(
            "end",
            {
                "request_id": self._request.request_id,
                "tokens": count,
                "rule": self._rule_name,
            },
        )

    def _record_first_token(self) -> None:
        milliseconds = (steady_seconds() - self._started) * 1000
        attributes = {"service": self._request.service.name, "rule": self._rule_name}
        self._services.meters.first_token.record(milliseconds, attributes)
        self._first_token_at = steady_seconds()

    def _record_token_gap(self, count: int) -> None:
        if count < 2:
            return
        gap = (steady_seconds() - self._first_token_at) * 1000 / (count - 1)
        attributes = {"service": self._request.service.name, "rule": self._rule_name}
        self._services.meters.between_tokens.record(gap, attributes)

    def _record_refusal(self, refusal: RequestRefusedError) -> None:
        self._outcome = "refused"
        self._services.meters.refusals.add(
            1, {"error_id": refusal.error_id, "ran": refusal.ran.value}
        )

    def _close(self) -> None:
        attributes = {
            "service": self._request.service.name,
            "rule": self._rule_name,
            "outcome": self._outcome,
        }
        self._services.meters.requests.add(1, attributes)
        self._stack.close()
        logger.info(
            "request ended",
            extra={
                "request_id": self._request.request_id,
                "client": self._request.client.name,
                "duration_ms": int((steady_seconds() - self._started) * 1000),
                **attributes,
            },
        )


def _abandoned_refusal(ran: Ran) -> RequestRefusedError:
    not_run = ran is Ran.NO
    return RequestRefusedError(
        "abandoned",
        "An operator ended this entry host's shutdown before the answer was complete.",
        ran=ran,
        retry_after=RETRY_SECONDS if not_run else None,
        remedy=(
            "Send the request again, to another entry host."
            if not_run
            else "It may have run: send it again only if it is safe to repeat."
        ),
    )


class _Stream:
    """An event stream that releases the request's resources when it is closed."""

    def __init__(self, events: Iterator[bytes], close: Callable[[], None]) -> None:
        self._events = events
        self._close = close

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        self._events.close()  # type: ignore[attr-defined]
        self._close()
