"""Requests to engines: the prompt is read, then the answer streams."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    AnswerCutError,
    EndpointAnswerError,
    EndpointError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from jujubeslip.forwarding._events import EventSplitter
from jujubeslip.forwarding._exchange import SUCCESS, Exchange
from jujubeslip.forwarding._models import (
    Answer,
    Attempts,
    ForwardContext,
    StreamedAnswer,
    WholeAnswer,
    refusal_of,
)
from jujubeslip.forwarding._sending import MISDIRECTED, Sending
from jujubeslip.interfaces import EndpointCall, EndpointHead
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole

logger = logging.getLogger(__name__)

# How long an engine may take to read a prompt for another one, in seconds: some ten
# times what the longest prompts take. After that the answering engine reads it itself.
PREFILL_SECONDS = 1.5
# A stream that can go on elsewhere is left after this many of the longest pauses that
# are in time, and in any case not before LEAST_SILENCE_SECONDS.
SILENCE_GAPS = 4.0
LEAST_SILENCE_SECONDS = 1.0
# How long a repeatable request waits for its first event, in targets.
PATIENCE_TARGETS = 2.0


def _left_prompt(error: EndpointError) -> bool:
    """Say whether a prompt's memory, which can be taken once, was surely left."""
    if isinstance(error, EndpointRefusedError):
        return error.status == MISDIRECTED
    return isinstance(error, EndpointUnreachableError)


@dataclass
class _Run:
    """A run at an engine whose first events have come."""

    endpoint: Endpoint
    head: EndpointHead
    exchange: Exchange
    first: bytes
    splitter: EventSplitter
    stack: ExitStack


class StreamPath:
    """Has the prompt read by one engine and the answer made by another."""

    def __init__(self, sending: Sending, reads_apart: bool) -> None:
        self._sending = sending
        self._reads_apart = reads_apart

    def answer(self, context: ForwardContext, attempts: Attempts) -> Answer:
        """Return the answer once its first events are there."""
        started = self._start(context, attempts, "")
        if isinstance(started, WholeAnswer):
            return started
        events = self._events(context, attempts, started)
        return StreamedAnswer(started.head.status, started.head.headers, events)

    def _start(
        self, context: ForwardContext, attempts: Attempts, resume_after: str
    ) -> _Run | WholeAnswer:
        """Start the run at some engine, or raise the refusal that is true."""
        failed: WholeAnswer | None = None
        prompt_at = self._read_prompt(context, attempts) if not resume_after else ""
        while True:
            role = EndpointRole.DECODE
            endpoint = self._sending.choose(context, role, attempts.tried)
            if endpoint is None or not self._sending.may_send(context, attempts):
                break
            call = EndpointCall(
                endpoint.endpoint_id,
                context.end_by.remaining_ms(),
                prompt_at=prompt_at,
                resume_after=resume_after,
            )
            try:
                started = self._run(context, attempts, endpoint, call)
            except EndpointError as error:
                self._sending.note_error(attempts, endpoint, error)
                if prompt_at and not _left_prompt(error):
                    prompt_at = ""
                    if not error.may_have_run:
                        # What was refused may be the prompt's memory, which lapses.
                        # The engine can read the prompt itself.
                        attempts.tried.discard(endpoint.endpoint_id)
                continue
            if isinstance(started, _Run):
                return started
            failed = started
            attempts.runs += 1
            attempts.tried.add(endpoint.endpoint_id)
            self._sending.health.note_failure(endpoint.endpoint_id)
        if failed is not None:
            return failed
        raise refusal_of(attempts, context.end_by)

    # The prompt

    def _read_prompt(self, context: ForwardContext, attempts: Attempts) -> str:
        """Have an engine read the prompt; return where it is, nothing if it isn't.

        One engine is asked, once: asking another costs the budget, and the answering
        engine can read the prompt itself.
        """
        if not self._reads_apart or context.request.prompt is None:
            return ""
        endpoint = self._sending.choose(context, EndpointRole.PREFILL, ())
        if endpoint is None:
            return ""
        remaining = context.end_by.remaining_ms()
        call = EndpointCall(endpoint.endpoint_id, remaining, reads_prompt_only=True)
        deadline = context.end_by.earlier_of(Deadline.after(PREFILL_SECONDS))
        working = self._sending.health.working(endpoint.endpoint_id)
        try:
            with working, self._sending.exchange(context, endpoint) as exchange:
                head = exchange.call(call, deadline)
                body = exchange.read_rest()
            prefilled = self._sending.interface.read_prefilled(body)
            if head.status not in SUCCESS or prefilled is None:
                raise EndpointAnswerError(
                    f"{endpoint.address}: the prompt was not read: {head.status}."
                )
        except EndpointError as error:
            self._note_unread(attempts, endpoint, error)
            return ""
        self._sending.health.note_success(endpoint.endpoint_id)
        attempts.note(endpoint.endpoint_id, "prompt read")
        return f"{endpoint.address}/{prefilled.handle}"

    def _note_unread(
        self, attempts: Attempts, endpoint: Endpoint, error: EndpointError
    ) -> None:
        """Note that a prompt was not read: that is no run of the request."""
        unread = Attempts()
        self._sending.note_error(unread, endpoint, error)
        attempts.note(endpoint.endpoint_id, f"prompt not read, {error.error_id}")

    # The run

    def _run(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        call: EndpointCall,
    ) -> _Run | WholeAnswer:
        """Return the run once its first events have come, or the engine's failure."""
        with ExitStack() as stack:
            health = self._sending.health
            stack.enter_context(health.working(endpoint.endpoint_id))
            exchange = stack.enter_context(self._sending.exchange(context, endpoint))
            head = exchange.call(call, self._first_deadline(context, attempts))
            if head.status not in SUCCESS:
                attempts.note(endpoint.endpoint_id, str(head.status))
                return WholeAnswer(head.status, head.headers, exchange.read_rest())
            splitter = EventSplitter()
            first = b""
            while not first:
                part = exchange.read_some()
                if not part:
                    raise AnswerCutError(f"{endpoint.address}: a stream of no event.")
                first = splitter.take(part)
            attempts.note(endpoint.endpoint_id, "streams")
            kept = stack.pop_all()
        return _Run(endpoint, head, exchange, first, splitter, kept)

    def _first_deadline(self, context: ForwardContext, attempts: Attempts) -> Deadline:
        route = context.route
        if not route.repeatable or attempts.runs + 1 >= route.maximum_attempts:
            return context.end_by
        patience = Deadline.after(PATIENCE_TARGETS * route.target_ms / 1000)
        return context.end_by.earlier_of(patience)

    def _events(
        self, context: ForwardContext, attempts: Attempts, started: _Run
    ) -> Iterator[bytes]:
        """Yield the events, also those of further runs after one that broke off."""
        run = started
        while True:
            try:
                yield from self._events_of(context, run)
                self._sending.health.note_success(run.endpoint.endpoint_id)
                return
            except EndpointError as error:
                self._sending.note_error(attempts, run.endpoint, error)
                last_event_id = run.splitter.last_event_id
            finally:
                run.stack.close()
            if not (context.route.resumable and last_event_id):
                raise AnswerCutError("The stream broke off and can't be resumed.")
            resumed = self._start(context, attempts, last_event_id)
            if isinstance(resumed, WholeAnswer):
                raise AnswerCutError("The stream broke off and was not resumed.")
            run = resumed

    def _events_of(self, context: ForwardContext, run: _Run) -> Iterator[bytes]:
        """Yield the events of one run until its proper end."""
        yield run.first
        while True:
            run.exchange.watch(self._next_deadline(context))
            part = run.exchange.read_some()
            if not part:
                break
            whole = run.splitter.take(part)
            if whole:
                yield whole
        if run.splitter.has_rest:
            raise AnswerCutError(f"{run.endpoint.address}: the last event is cut.")
        run.exchange.keep()

    def _next_deadline(self, context: ForwardContext) -> Deadline:
        route = context.route
        if not route.resumable:
            return context.end_by
        silence = max(LEAST_SILENCE_SECONDS, SILENCE_GAPS * route.maximum_gap_ms / 1000)
        return context.end_by.earlier_of(Deadline.after(silence))
