"""Requests to engines: room, the prompt, then the answer that streams."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    AnswerCutError,
    EndpointError,
    EndpointOnHoldError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointRoleError,
    EndpointUnreachableError,
)
from jujubeslip.forwarding._crashes import BEGIN_SECONDS
from jujubeslip.forwarding._events import EventSplitter
from jujubeslip.forwarding._exchange import SUCCESS, Exchange
from jujubeslip.forwarding._grants import Grant, Grants
from jujubeslip.forwarding._models import (
    Answer,
    Attempts,
    ForwardContext,
    StreamedAnswer,
    WholeAnswer,
)
from jujubeslip.forwarding._prompts import NOT_READ, PromptPlace, PromptReader
from jujubeslip.forwarding._return_times import return_seconds
from jujubeslip.forwarding._sending import Sending
from jujubeslip.interfaces import EndpointCall, EndpointHead
from jujubeslip.kernel import (
    Deadline,
    RequestRefusedError,
    steady_seconds,
)
from jujubeslip.peers import EndpointRole

# Share of the pause that its client bears for which an engine may be silent before
# another one goes on with a stream that may be resumed. An engine that reads a prompt
# again is silent for a second or two; what is left is enough to start elsewhere.
SILENCE_SHARE = 2 / 3


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
    """Takes room at an engine, has the prompt read, and passes the answer on."""

    def __init__(self, sending: Sending, prompts: PromptReader, grants: Grants) -> None:
        self._sending = sending
        self._prompts = prompts
        self._grants = grants

    def answer(self, context: ForwardContext, attempts: Attempts) -> Answer:
        """Return the answer once its first events are there."""
        started = self._start(context, attempts, "")
        if isinstance(started, WholeAnswer):
            return started
        events = self._events(context, attempts, started)
        return StreamedAnswer(started.head.status, started.head.headers, events)

    # The start of a run

    def _start(
        self, context: ForwardContext, attempts: Attempts, resume_after: str
    ) -> _Run | WholeAnswer:
        """Start the run at some engine, or raise the refusal that is true."""
        failed: WholeAnswer | None = None
        # None before anybody was asked to read it; NOT_READ once the answering engine
        # has to read it itself.
        prompt_at = NOT_READ if resume_after else None
        while self._sending.is_open(context, attempts):
            grant = self._find_grant(context, attempts, prompt_at == NOT_READ)
            if grant is None:
                break
            with ExitStack() as kept:
                kept.callback(grant.at_end)
                with ExitStack() as before_run:
                    before_run.callback(grant.before_run)
                    if not self._sending.within_limit(
                        context, attempts, grant.endpoint
                    ):
                        continue
                    prompt_at = self._prompt_for(context, attempts, grant, prompt_at)
                    if not self._is_prepared(attempts, grant, prompt_at):
                        continue
                    if not self._sending.may_send(context, attempts):
                        break
                call = _call(context, grant, prompt_at, resume_after)
                try:
                    started = self._run(context, attempts, grant.endpoint, call, kept)
                except EndpointError as error:
                    self._note_error(context, attempts, grant, prompt_at, error)
                    if prompt_at is not None and not _left_prompt(error):
                        prompt_at = NOT_READ
                    continue
            if isinstance(started, _Run):
                grant.prompt_read()
                return started
            failed = started
            self._note_failed(attempts, grant.endpoint)
        if failed is not None:
            return failed
        raise self._sending.refusal(context, attempts, EndpointRole.DECODE)

    def _is_prepared(
        self, attempts: Attempts, grant: Grant, prompt_at: PromptPlace | None
    ) -> bool:
        """Say whether the run can begin at the granted engine now."""
        if self._sending.chooser.is_over(grant.endpoint):
            # It started again while the prompt was read.
            attempts.tried.add(grant.endpoint.start_id)
            return False
        if self._sending.is_on_hold(attempts, grant.endpoint):
            return False
        # Where the granted reader has not read it, the leader knows of another one, or
        # else has to know which engine that answers reads it now: its answers stand
        # still meanwhile.
        is_unread = prompt_at in (None, NOT_READ)
        return not (is_unread and grant.reader is not None)

    def _prompt_for(
        self,
        context: ForwardContext,
        attempts: Attempts,
        grant: Grant,
        prompt_at: PromptPlace | None,
    ) -> PromptPlace | None:
        """Return where the prompt is, after having it read if nobody has tried yet.

        None where the granted reader did not read it, and another one may be asked. The
        leader has to grant that one: a reader that this host chooses may be the next
        one that refuses, and the engine that answers would read the prompt, which stops
        its other answers.
        """
        if prompt_at is not None and self._prompts.is_lost(prompt_at):
            attempts.note("-", "prompt lost with its engine")
            prompt_at = NOT_READ
        if grant.reads_itself:
            return prompt_at
        if prompt_at is None:
            prompt_at = self._read_prompt(context, attempts, grant)
        grant.prompt_read()
        return prompt_at

    def _read_prompt(
        self, context: ForwardContext, attempts: Attempts, grant: Grant
    ) -> PromptPlace | None:
        reader = grant.reader
        place = self._prompts.read(context, attempts, reader, grant.read_seconds)
        is_unread = place == NOT_READ and reader is not None
        asks_again = is_unread and self._prompts.may_ask(context, attempts)
        return None if asks_again else place

    def _note_error(
        self,
        context: ForwardContext,
        attempts: Attempts,
        grant: Grant,
        prompt_at: PromptPlace | None,
        error: EndpointError,
    ) -> None:
        self._sending.note_lost(context, attempts, grant.endpoint, error)
        was_read = prompt_at is not None and prompt_at != NOT_READ
        if was_read and isinstance(error, EndpointRefusedError):
            # What it refused may be the prompt's memory, which lapses; the same engine
            # can read the prompt itself.
            attempts.tried.discard(grant.endpoint.start_id)
            if context.request.prompt is not None:
                attempts.wasted_prompt_tokens += context.request.prompt.prompt_tokens

    def _find_grant(
        self, context: ForwardContext, attempts: Attempts, reads_itself: bool
    ) -> Grant | None:
        """Return a grant at an engine, None if none is usable.

        Raises RequestRefusedError when engines are there and have no room in time.
        """
        grant = self._grants.find(context, attempts, reads_itself)
        if grant is None and attempts.found_no_room and not attempts.may_have_run:
            raise no_room(attempts)
        if grant is not None and not attempts.may_have_run:
            self._check_again(context, grant)
        return grant

    def _check_again(self, context: ForwardContext, grant: Grant) -> None:
        """Give the grant back if the request was disallowed while it waited.

        Its account's key may have been taken away, or its content quarantined.
        """
        try:
            context.check_account()
            self._sending.quarantine.check(context)
        except RequestRefusedError:
            grant.before_run()
            grant.at_end()
            raise

    def _note_failed(self, attempts: Attempts, endpoint: Endpoint) -> None:
        """Note an engine's own failure: the request has run."""
        attempts.runs += 1
        attempts.tried.add(endpoint.start_id)
        self._sending.health.note_failure(endpoint.start_id)

    def _run(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        call: EndpointCall,
        kept: ExitStack,
    ) -> _Run | WholeAnswer:
        """Return the run once its first events have come, or the engine's failure.

        What is kept for the run passes to it when it is returned.
        """
        with ExitStack() as stack:
            health = self._sending.health
            stack.enter_context(health.working(endpoint.start_id))
            exchange = stack.enter_context(self._sending.exchange(context, endpoint))
            head = exchange.call(call, self._silent_by(context, attempts))
            if head.status not in SUCCESS:
                attempts.note(endpoint.start_id, str(head.status))
                return WholeAnswer(head.status, head.headers, exchange.read_rest())
            splitter = EventSplitter()
            first = b""
            while not first:
                part = exchange.read_some()
                if not part:
                    raise AnswerCutError(f"{endpoint.address}: a stream of no event.")
                first = splitter.take(part)
            attempts.note(endpoint.start_id, "streams")
            attempts.answered_from = Deadline.after(0)
            if attempts.first_event_ms is None:
                attempts.first_event_ms = attempts.elapsed_ms
            stack.push(kept.pop_all())
            held = stack.pop_all()
        return _Run(endpoint, head, exchange, first, splitter, held)

    def _silent_by(self, context: ForwardContext, attempts: Attempts) -> Deadline:
        """Return until when an engine may be silent now.

        Beyond a network partition, or with its answer lost, an engine is silent until
        the client leaves. Where the stream may not go on elsewhere, or not for want of
        budget, silence is no reason to end it sooner.
        """
        route = context.route
        may_go_on = attempts.runs + 1 < route.maximum_attempts and route.repeatable
        if not may_go_on or not self._sending.budgets.has_one(context.service_name):
            return context.end_by
        seconds = SILENCE_SHARE * route.patience_ms / 1000
        return context.end_by.earlier_of(Deadline.after(seconds))

    # The events

    def _events(
        self, context: ForwardContext, attempts: Attempts, started: _Run
    ) -> Iterator[bytes]:
        """Yield the events, also those of further runs after one that broke off."""
        run = started
        while True:
            try:
                yield from self._events_of(context, attempts, run)
                self._sending.health.note_success(run.endpoint.start_id)
                return
            except EndpointError as error:
                self._sending.note_lost(context, attempts, run.endpoint, error)
                last_event_id = run.splitter.last_event_id
            finally:
                run.stack.close()
            if not (context.route.resumable and last_event_id):
                raise AnswerCutError("The stream broke off and can't be resumed.")
            resumed = self._start(context, attempts, last_event_id)
            if isinstance(resumed, WholeAnswer):
                raise AnswerCutError("The stream broke off and was not resumed.")
            run = resumed

    def _events_of(
        self, context: ForwardContext, attempts: Attempts, run: _Run
    ) -> Iterator[bytes]:
        """Yield the events of one run until its proper end."""
        yield run.first
        latest = steady_seconds()
        is_harmless = False
        while True:
            run.exchange.watch(self._silent_by(context, attempts))
            part = run.exchange.read_some()
            if not part:
                break
            whole = run.splitter.take(part)
            if whole:
                now = steady_seconds()
                attempts.note_events(now - latest)
                latest = now
                if not is_harmless and attempts.answered_seconds >= BEGIN_SECONDS:
                    self._sending.quarantine.note_harmless(context)
                    is_harmless = True
                yield whole
        if run.splitter.has_rest:
            raise AnswerCutError(f"{run.endpoint.address}: the last event is cut.")
        run.exchange.keep()


def _call(
    context: ForwardContext,
    grant: Grant,
    prompt_at: PromptPlace | None,
    resume_after: str,
) -> EndpointCall:
    return EndpointCall(
        grant.endpoint.endpoint_id,
        context.end_by.remaining_ms(),
        prompt_at=prompt_at.location if prompt_at else "",
        resume_after=resume_after,
    )


def _left_prompt(error: EndpointError) -> bool:
    """Say whether a prompt's memory, which can be taken once, was surely left."""
    kinds = (
        EndpointUnreachableError,
        EndpointReplacedError,
        EndpointRoleError,
        EndpointOnHoldError,
    )
    return isinstance(error, kinds)


def no_room(attempts: Attempts) -> RequestRefusedError:
    """Return the refusal of a request that has not run for want of room."""
    return RequestRefusedError(
        "no_room",
        "No engine has had room for the request in time.",
        retry_after=return_seconds(attempts.no_room_forecast),
    )
