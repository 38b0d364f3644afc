"""One client's call: the span, the open request, the answer, their end."""

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
    """What every call needs.

    `places` bounds how many are served at a time; `abandoning` is set when an operator
    ends the stop of the process early.
    """

    service: RequestService
    open_requests: OpenRequests
    meters: Meters
    places: threading.Semaphore
    abandoning: threading.Event


class ClientCall:
    """One client's call, from its place to its end."""

    def __init__(
        self, services: CallServices, environ: Environ, request: ClientRequest
    ) -> None:
        self._services = services
        self._request = request
        self._gone = environ.get("waitress.client_disconnected", lambda: False)
        self._traceparent = environ.get("HTTP_TRACEPARENT", "")
        self._stack = ExitStack()
        self._started = steady_seconds()
        self._rule_name = ""
        self._outcome = "abandoned"

    def answer(self, start_response: StartResponse) -> Iterable[bytes]:
        """Return the answer's body; a refusal before the first token has a status."""
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
            self._note_refusal(refusal)
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
        return self._services.abandoning.is_set() or bool(self._gone())

    def _refuse_abandoned(
        self, start_response: StartResponse, error: ClientDisconnectedError
    ) -> Iterable[bytes]:
        refusal = self._abandoned(error)
        return refuse(start_response, refusal, self._request.request_id)

    def _abandoned(self, error: ClientDisconnectedError) -> RequestRefusedError:
        """Return what became of a request that an operator abandoned.

        A client that closed its connection itself reads it no more.
        """
        refusal = _abandoned_refusal(error.ran)
        if self._services.abandoning.is_set():
            self._note_refusal(refusal)
        return refusal

    def _until_abandoned(self, answer_parts: Iterator[object]) -> Iterator[object]:
        """Yield the steps; tokens that come fast leave no wait in which to look."""
        for step in answer_parts:
            if self._services.abandoning.is_set():
                raise ClientDisconnectedError("The request was abandoned.", Ran.UNKNOWN)
            yield step

    def _open(self) -> None:
        if not self._services.places.acquire(blocking=False):
            raise RequestRefusedError(
                "entry_full",
                "This entry host serves as many requests as it can.",
                retry_after=0.5,
            )
        self._stack.callback(self._services.places.release)
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
        self._note_first_token()
        if not self._request.stream:
            return self._collected(start_response, first, answer_parts, headers)
        start_answer(start_response, 200, STREAM_TYPE, headers)
        # The thread's trace context goes with the generator to its own steps.
        return _Stream(self._events(first, answer_parts), self._close)

    def _collected(
        self,
        start_response: StartResponse,
        first: object,
        answer_parts: Iterator[object],
        headers: list[tuple[str, str]],
    ) -> Iterable[bytes]:
        try:
            rest = self._until_abandoned(answer_parts)
            tokens = [str(first), *(str(step) for step in rest)]
        except RequestRefusedError as refusal:
            self._note_refusal(refusal)
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
            self._note_refusal(refusal)
            yield event("error", refusal_fields(refusal, self._request.request_id))
            return
        except ClientDisconnectedError as error:
            told = self._abandoned(error)
            yield event("error", refusal_fields(told, self._request.request_id))
            return
        except Exception:
            logger.exception(
                "call failed", extra={"request_id": self._request.request_id}
            )
            failed = internal_refusal()
            self._note_refusal(failed)
            yield event("error", refusal_fields(failed, self._request.request_id))
            return
        self._outcome = "whole"
        self._note_gaps(count)
        yield event(
            "end",
            {
                "request_id": self._request.request_id,
                "tokens": count,
                "rule": self._rule_name,
            },
        )

    def _note_first_token(self) -> None:
        milliseconds = (steady_seconds() - self._started) * 1000
        attributes = {"service": self._request.service.name, "rule": self._rule_name}
        self._services.meters.first_token.record(milliseconds, attributes)
        self._first_token_at = steady_seconds()

    def _note_gaps(self, count: int) -> None:
        if count < 2:
            return
        gap = (steady_seconds() - self._first_token_at) * 1000 / (count - 1)
        attributes = {"service": self._request.service.name, "rule": self._rule_name}
        self._services.meters.between_tokens.record(gap, attributes)

    def _note_refusal(self, refusal: RequestRefusedError) -> None:
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
        "An operator ended the stop of this entry host before the answer was whole.",
        ran=ran,
        retry_after=RETRY_SECONDS if not_run else None,
        remedy=(
            "Send the request again, to another entry host."
            if not_run
            else "It may have run: send it again only if it may be repeated."
        ),
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
