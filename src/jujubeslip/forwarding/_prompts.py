"""Prompts that one engine reads for another."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    AnswerCutError,
    EndpointAnswerError,
    EndpointError,
    EndpointOnHoldError,
    EndpointUnreachableError,
)
from jujubeslip.forwarding._exchange import SUCCESS
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._sending import Sending
from jujubeslip.interfaces import EndpointCall
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole

# How long an engine may take to read a prompt for another one, in seconds: some ten
# times what the longest prompts take. After that the answering engine reads it itself.
PREFILL_SECONDS = 1.5
# Where the leader says how long reading should take, an engine may take so many times
# as long, and this long at least, in seconds: of 12,000 prompts one in a thousand took
# half a second. An engine that has stopped answering costs no request all its time.
EXPECTED_TIMES = 3.0
LEAST_SECONDS = 0.6
# Engines that are asked to read one prompt at most.
ENGINES_ASKED = 2
# Errors for which a reader is not passed over: it is by then, or has read the prompt.
_SAYS_NOTHING_OF_LATER = (
    EndpointUnreachableError,
    EndpointOnHoldError,
    AnswerCutError,
)


@dataclass(frozen=True)
class PromptPlace:
    """Where a prompt is that was read ahead."""

    reader: Endpoint | None = None
    """The start of the engine that has it, None where none has."""
    handle: str = ""
    """The engine's name for it."""

    @property
    def location(self) -> str:
        """Return what the engine that answers is told, empty where nobody has it."""
        return f"{self.reader.address}/{self.handle}" if self.reader else ""


NOT_READ = PromptPlace()


class PromptReader:
    """Has prompts read by the engines that only do that."""

    def __init__(
        self, sending: Sending, reads_apart: bool, pressures: Pressures
    ) -> None:
        self._sending = sending
        self._reads_apart = reads_apart
        self._pressures = pressures

    def read(
        self,
        context: ForwardContext,
        attempts: Attempts,
        reader: Endpoint | None = None,
        read_seconds: float = 0.0,
    ) -> PromptPlace:
        """Have an engine read the prompt; return where it is, NOT_READ if it isn't.

        `reader` is asked where it is given, and should need `read_seconds`. Otherwise
        some engine is, and a second one if the first does not read it. An engine that
        answers can read the prompt itself, but all its answers stand still meanwhile.
        """
        if not self._reads_apart or context.request.prompt is None:
            return NOT_READ
        if reader is not None:
            return self._read_at_granted(context, attempts, reader, read_seconds)
        while self.may_ask(context, attempts):
            endpoint = self._choose(context)
            if endpoint is None:
                break
            place = self._read_at(context, attempts, endpoint, _limit(0.0))
            if place != NOT_READ:
                return place
        return NOT_READ

    def may_ask(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Say whether an engine may be asked to read the prompt, or one more.

        The first call is free; a further one needs the budget for it.
        """
        if not attempts.prompts_asked:
            return True
        if attempts.prompts_asked >= ENGINES_ASKED:
            return False
        return self._sending.budgets.has_one(context.service_name)

    def is_lost(self, place: PromptPlace) -> bool:
        """Say whether the engine that read the prompt has started again since.

        The memory ended with the earlier start. The next one names what it keeps anew:
        by the same handle, the answer would be made from another request's prompt, and
        no engine checks whose it is.
        """
        reader = place.reader
        return reader is not None and self._sending.chooser.is_over(reader)

    def _read_at_granted(
        self,
        context: ForwardContext,
        attempts: Attempts,
        reader: Endpoint,
        read_seconds: float,
    ) -> PromptPlace:
        """Have this reader read the prompt; ask again where its answer was cut.

        It has read the prompt then, and still has it.
        """
        place = self._read_at(context, attempts, reader, _limit(read_seconds))
        was_cut = isinstance(attempts.prompt_error, AnswerCutError)
        if place == NOT_READ and was_cut and self.may_ask(context, attempts):
            return self._read_at(context, attempts, reader, _limit(read_seconds))
        return place

    def _choose(self, context: ForwardContext) -> Endpoint | None:
        chooser = self._sending.chooser
        return chooser.choose_sound(context.service_name, EndpointRole.PREFILL)

    def _read_at(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        limit: Deadline,
    ) -> PromptPlace:
        """Have this engine read the prompt; return NOT_READ if it doesn't."""
        attempts.prompt_error = None
        if self._sending.is_on_hold(attempts, endpoint):
            return NOT_READ
        attempts.prompts_asked += 1
        if not self._sending.within_limit(context, attempts, endpoint):
            return NOT_READ
        started = steady_seconds()
        try:
            handle = self._ask(context, endpoint, limit)
        except EndpointError as error:
            attempts.prompt_error = error
            self._note_unread(context, attempts, endpoint, error, started)
            return NOT_READ
        finally:
            taken = steady_seconds() - started
            self._pressures.note_prompt(context.service_name, taken)
        self._sending.health.note_success(endpoint.start_id)
        attempts.note(endpoint.start_id, "prompt read")
        return PromptPlace(endpoint, handle)

    def _ask(self, context: ForwardContext, endpoint: Endpoint, limit: Deadline) -> str:
        """Return the handle of the prompt that the endpoint has read."""
        remaining = context.end_by.remaining_ms()
        call = EndpointCall(endpoint.endpoint_id, remaining, reads_prompt_only=True)
        deadline = context.end_by.earlier_of(limit)
        working = self._sending.health.working(endpoint.start_id)
        with working, self._sending.exchange(context, endpoint) as exchange:
            head = exchange.call(call, deadline)
            body = exchange.read_rest()
        if head.status not in SUCCESS:
            raise EndpointAnswerError(
                f"{endpoint.address}: the prompt was not read: {head.status}."
            )
        prefilled = self._sending.interface.read_prefilled(body)
        if isinstance(prefilled, Failure):
            raise EndpointAnswerError(f"{endpoint.address}: {prefilled.failure()}")
        return prefilled.unwrap().handle

    def _note_unread(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        error: EndpointError,
        asked_at: float,
    ) -> None:
        """Note that a prompt was not read: that is no run of the request.

        Only the first call that an engine accepts is free: others count for the
        budget. The engine is passed over for a while, so that another one is asked. One
        whose answer was cut has read the prompt and still has it: ask it again.
        """
        self._sending.budgets.charge(context.service_name)
        call = Attempts(latest_sent_at=Deadline(asked_at))
        self._sending.note_lost(context, call, endpoint, error)
        if not isinstance(error, _SAYS_NOTHING_OF_LATER):
            self._sending.health.note_unreachable(endpoint.start_id)
        attempts.note(endpoint.start_id, f"prompt not read, {error.error_id}")


def _limit(read_seconds: float) -> Deadline:
    """Return until when an engine may take that should need so long; 0 if unknown."""
    if not read_seconds:
        return Deadline.after(PREFILL_SECONDS)
    return Deadline.after(max(LEAST_SECONDS, EXPECTED_TIMES * read_seconds))
