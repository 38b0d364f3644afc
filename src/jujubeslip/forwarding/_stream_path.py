"""Forwards streamed requests: obtains a grant, prefills the prompt, streams events."""

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
from jujubeslip.forwarding._crash_detector import CRASH_WINDOW_SECONDS
from jujubeslip.forwarding._event_splitter import EventSplitter
from jujubeslip.forwarding._exchange import SUCCESS, Exchange
from jujubeslip.forwarding._grants import Grant, Grants
from jujubeslip.forwarding._models import (
    Answer,
    Attempts,
    ForwardContext,
    StreamedAnswer,
    WholeAnswer,
)
from jujubeslip.forwarding._prefill import NOT_PREFILLED, Prefiller, PromptLocation
from jujubeslip.forwarding._retry_after import (
    ONLY_PRIORITY,
    Caller,
    retry_after_seconds,
)
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.interfaces import EndpointCall, EndpointHead
from jujubeslip.kernel import (
    Deadline,
    RequestRefusedError,
    steady_seconds,
)
from jujubeslip.peers import EndpointRole

# Share of the client's maximum pause between events after which a silent engine is
# given up and a resumable stream continues at another one. The share leaves an engine
# the one to two seconds that it needs to recompute an evicted prompt, and the rest of
# the pause leaves time to start at another engine.
SILENCE_SHARE = 2 / 3


@dataclass
class _Run:
    """A request running at an engine whose first events have arrived."""

    endpoint: Endpoint
    head: EndpointHead
    exchange: Exchange
    first_events: bytes
    splitter: EventSplitter
    resources: ExitStack


class StreamPath:
    """Obtains a grant at an engine, prefills the prompt, and relays the stream."""

    def __init__(
        self, sender: EndpointSender, prefiller: Prefiller, grants: Grants
    ) -> None:
        self._sender = sender
        self._prefiller = prefiller
        self._grants = grants

    def answer(self, context: ForwardContext, attempts: Attempts) -> Answer:
        """Return the answer once its first events have arrived."""
        started = self._start(context, attempts, "")
        if isinstance(started, WholeAnswer):
            return started
        events = self._events(context, attempts, started)
        return StreamedAnswer(started.head.status, started.head.headers, events)

    # The start of a run

    def _start(
        self, context: ForwardContext, attempts: Attempts, resume_after: str
    ) -> _Run | WholeAnswer:
        """Start a run at an engine, or raise the refusal that fits the attempts."""
        failed_answer: WholeAnswer | None = None
        # None while the leader may still grant a prefill engine: none was asked yet, or
        # the granted one failed. NOT_PREFILLED once the decode engine has to prefill
        # the prompt itself.
        prompt_location = NOT_PREFILLED if resume_after else None
        while self._sender.is_open(context, attempts):
            grant = self._find_grant(
                context, attempts, prompt_location == NOT_PREFILLED
            )
            if grant is None:
                break
            with ExitStack() as resources:
                resources.callback(grant.release_at_end)
                with ExitStack() as before_run:
                    before_run.callback(grant.release_before_run)
                    if not self._sender.charge_endpoint_limit(
                        context, attempts, grant.endpoint
                    ):
                        continue
                    prompt_location = self._locate_prompt(
                        context, attempts, grant, prompt_location
                    )
                    if not self._can_start(attempts, grant, prompt_location):
                        continue
                    if not self._sender.may_send(context, attempts):
                        break
                call = _call(context, grant, prompt_location, resume_after)
                try:
                    started = self._run(
                        context, attempts, grant.endpoint, call, resources
                    )
                except EndpointError as error:
                    self._note_error(context, attempts, grant, prompt_location, error)
                    if prompt_location is not None and not _left_prompt_unused(error):
                        prompt_location = NOT_PREFILLED
                    continue
            if isinstance(started, _Run):
                grant.report_prefilled()
                return started
            failed_answer = started
            self._note_failed(attempts, grant.endpoint)
        if failed_answer is not None:
            return failed_answer
        raise self._sender.refusal(context, attempts, EndpointRole.DECODE)

    def _can_start(
        self, attempts: Attempts, grant: Grant, prompt_location: PromptLocation | None
    ) -> bool:
        """Return whether the run can start at the granted engine now."""
        if self._sender.chooser.is_superseded(grant.endpoint):
            # The engine restarted during the prefill.
            attempts.tried.add(grant.endpoint.start_id)
            return False
        if self._sender.is_on_hold(attempts, grant.endpoint):
            return False
        # When the granted prefill engine failed, the leader has to grant another one,
        # or has to know which decode engine prefills the prompt: that engine's other
        # streams stall meanwhile.
        not_prefilled = prompt_location in (None, NOT_PREFILLED)
        return not (not_prefilled and grant.prefill_engine is not None)

    def _locate_prompt(
        self,
        context: ForwardContext,
        attempts: Attempts,
        grant: Grant,
        prompt_location: PromptLocation | None,
    ) -> PromptLocation | None:
        """Return where the prompt's KV cache is, prefilling it on the first attempt.

        None means that the granted prefill engine failed and another one may be asked.
        The leader has to grant that one: an engine that this host chooses by itself may
        refuse, too, and the decode engine would then prefill the prompt, which stalls
        its other streams.
        """
        if prompt_location is not None and self._prefiller.is_lost(prompt_location):
            attempts.note("-", "prompt lost, its prefill engine restarted")
            prompt_location = NOT_PREFILLED
        if grant.reads_itself:
            return prompt_location
        if prompt_location is None:
            prompt_location = self._prefill_prompt(context, attempts, grant)
        grant.report_prefilled()
        return prompt_location

    def _prefill_prompt(
        self, context: ForwardContext, attempts: Attempts, grant: Grant
    ) -> PromptLocation | None:
        prefill_engine = grant.prefill_engine
        location = self._prefiller.prefill(
            context, attempts, prefill_engine, grant.prefill_seconds
        )
        not_prefilled = location == NOT_PREFILLED and prefill_engine is not None
        asks_again = not_prefilled and self._prefiller.may_ask(context, attempts)
        return None if asks_again else location

    def _note_error(
        self,
        context: ForwardContext,
        attempts: Attempts,
        grant: Grant,
        prompt_location: PromptLocation | None,
        error: EndpointError,
    ) -> None:
        self._sender.note_request_error(context, attempts, grant.endpoint, error)
        was_prefilled = prompt_location is not None and prompt_location != NOT_PREFILLED
        if was_prefilled and isinstance(error, EndpointRefusedError):
            # The refusal may concern the prompt's KV cache, which expires; the same
            # engine can still prefill the prompt itself.
            attempts.tried.discard(grant.endpoint.start_id)
            if context.request.prompt is not None:
                attempts.wasted_prompt_tokens += context.request.prompt.prompt_tokens

    def _find_grant(
        self, context: ForwardContext, attempts: Attempts, reads_itself: bool
    ) -> Grant | None:
        """Return a grant at an engine, None if no engine is usable.

        Raises RequestRefusedError if engines exist but have no free capacity in time.
        """
        grant = self._grants.find(context, attempts, reads_itself)
        if grant is None and attempts.found_no_capacity and not attempts.may_have_run:
            raise no_capacity_refusal(attempts, _caller(context))
        if grant is not None and not attempts.may_have_run:
            self._recheck_request(context, grant)
        return grant

    def _recheck_request(self, context: ForwardContext, grant: Grant) -> None:
        """Return the grant and raise if the request was disallowed while it waited.

        The key of its account may have been revoked, or its content quarantined.
        """
        try:
            context.check_account()
            self._sender.quarantine.check(context)
        except RequestRefusedError:
            grant.release_before_run()
            grant.release_at_end()
            raise

    def _note_failed(self, attempts: Attempts, endpoint: Endpoint) -> None:
        """Record a failure that the engine itself reported: the request has run."""
        attempts.runs += 1
        attempts.tried.add(endpoint.start_id)
        self._sender.health.note_failure(endpoint.start_id)

    def _run(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        call: EndpointCall,
        resources: ExitStack,
    ) -> _Run | WholeAnswer:
        """Return the run once its first events have arrived, or the engine's failure.

        A returned run takes over `resources` and closes them at its end.
        """
        with ExitStack() as stack:
            health = self._sender.health
            stack.enter_context(health.track_request(endpoint.start_id))
            exchange = stack.enter_context(self._sender.exchange(context, endpoint))
            head = exchange.call(call, self._silence_deadline(context, attempts))
            if head.status not in SUCCESS:
                body = self._sender.read_deliverable(endpoint, exchange)
                attempts.note(endpoint.start_id, str(head.status))
                return WholeAnswer(head.status, head.headers, body)
            splitter = EventSplitter()
            first_events = b""
            while not first_events:
                part = exchange.read_some()
                with exchange.recorded_errors():
                    if not part:
                        raise _cut_off(endpoint, "before its first event")
                    first_events = splitter.take(part)
            attempts.note(endpoint.start_id, "streams")
            attempts.answer_started = Deadline.after(0)
            if attempts.first_event_ms is None:
                attempts.first_event_ms = attempts.elapsed_ms
            stack.push(resources.pop_all())
            run_resources = stack.pop_all()
        return _Run(endpoint, head, exchange, first_events, splitter, run_resources)

    def _silence_deadline(
        self, context: ForwardContext, attempts: Attempts
    ) -> Deadline:
        """Return the time until which the engine may send nothing.

        An engine behind a network partition, or one whose answer was lost, stays silent
        until the client leaves. If the stream must not continue elsewhere, or the retry
        budget does not allow it, the engine has the whole time of the request: ending
        the wait sooner would only fail the stream sooner.
        """
        route = context.route
        may_resume = attempts.runs + 1 < route.maximum_attempts and route.repeatable
        if not may_resume or not self._sender.budgets.has_retry_left(
            context.service_name
        ):
            return context.end_by
        seconds = SILENCE_SHARE * route.client_timeout_ms / 1000
        return context.end_by.earlier_of(Deadline.after(seconds))

    # The events

    def _events(
        self, context: ForwardContext, attempts: Attempts, started: _Run
    ) -> Iterator[bytes]:
        """Yield the events, resuming at other engines when a run breaks off."""
        run = started
        while True:
            try:
                yield from self._events_of(context, attempts, run)
                self._sender.health.note_success(run.endpoint.start_id)
                return
            except EndpointError as error:
                self._sender.note_request_error(context, attempts, run.endpoint, error)
                last_event_id = run.splitter.last_event_id
            finally:
                run.resources.close()
            if not (context.route.resumable and last_event_id):
                raise AnswerCutError("The stream broke off and cannot be resumed.")
            resumed = self._start(context, attempts, last_event_id)
            if isinstance(resumed, WholeAnswer):
                raise AnswerCutError("The stream broke off and was not resumed.")
            run = resumed

    def _events_of(
        self, context: ForwardContext, attempts: Attempts, run: _Run
    ) -> Iterator[bytes]:
        """Yield the events of one run until its regular end."""
        yield run.first_events
        latest_at = steady_seconds()
        is_harmless = False
        run.exchange.watch(self._silence_deadline(context, attempts))
        while True:
            part = run.exchange.read_some()
            if not part:
                break
            with run.exchange.recorded_errors():
                events = run.splitter.take(part)
            if events:
                now = steady_seconds()
                attempts.note_events(now - latest_at)
                latest_at = now
                if (
                    not is_harmless
                    and attempts.answered_seconds >= CRASH_WINDOW_SECONDS
                ):
                    self._sender.quarantine.note_answered(context)
                    is_harmless = True
                yield events
                # Bytes that complete no event don't extend the time for the next one.
                run.exchange.watch(self._silence_deadline(context, attempts))
        if run.splitter.has_partial_event:
            with run.exchange.recorded_errors():
                raise _cut_off(run.endpoint, "in the middle of an event")
        self._sender.check_end(run.endpoint, run.exchange)
        run.exchange.keep_connection()


def _call(
    context: ForwardContext,
    grant: Grant,
    prompt_location: PromptLocation | None,
    resume_after: str,
) -> EndpointCall:
    return EndpointCall(
        grant.endpoint.endpoint_id,
        context.end_by.remaining_ms(),
        prefilled_at=prompt_location.location if prompt_location else "",
        resume_after=resume_after,
        priority=context.endpoint_priority,
    )


def _cut_off(endpoint: Endpoint, where: str) -> AnswerCutError:
    return AnswerCutError(f"{endpoint.address}: the stream ended {where}.")


def _left_prompt_unused(error: EndpointError) -> bool:
    """Return whether the error proves that the prompt's KV cache was not fetched.

    A KV cache can be fetched only once.
    """
    kinds = (
        EndpointUnreachableError,
        EndpointReplacedError,
        EndpointRoleError,
        EndpointOnHoldError,
    )
    return isinstance(error, kinds)


def _caller(context: ForwardContext) -> Caller:
    ranks = context.table.ranks_by_service.get(context.service_name, (context.rank,))
    place = sum(rank < context.rank for rank in ranks)
    return Caller(place, len(ranks), context.end_by.remaining())


def no_capacity_refusal(
    attempts: Attempts, caller: Caller = ONLY_PRIORITY
) -> RequestRefusedError:
    """Return the refusal of a request that found no free capacity and has not run."""
    return RequestRefusedError(
        "no_room",
        "No engine had free capacity for the request in time.",
        retry_after=retry_after_seconds(attempts.capacity_wait_forecast, caller=caller),
    )
