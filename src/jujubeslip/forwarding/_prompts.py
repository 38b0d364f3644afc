"""Prompts that one engine reads for another."""

from __future__ import annotations

from returns.result import Failure

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    AnswerCutError,
    EndpointAnswerError,
    EndpointError,
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
    ) -> str:
        """Have an engine read the prompt; return where it is, nothing if it isn't.

        `reader` is asked first, where it is given, and should need `read_seconds`. A
        second engine is asked if the budget has a call for it. An engine that answers
        can read the prompt itself, but all its answers stand still while it does.
        """
        if not self._reads_apart or context.request.prompt is None:
            return ""
        for number in range(ENGINES_ASKED):
            if number and not self._sending.budgets.has_one(context.service_name):
                return ""
            is_given = reader is not None and not number
            endpoint = reader if is_given else self._choose(context)
            if endpoint is None:
                return ""
            limit = _limit(read_seconds if is_given else 0.0)
            handle = self._read_at(context, attempts, endpoint, limit)
            if handle:
                return f"{endpoint.address}/{handle}"
        return ""

    def _choose(self, context: ForwardContext) -> Endpoint | None:
        chooser = self._sending.chooser
        return chooser.choose_sound(context.service_name, EndpointRole.PREFILL)

    def _read_at(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        limit: Deadline,
    ) -> str:
        """Return the handle of the prompt at this engine, nothing if it isn't read."""
        started = steady_seconds()
        try:
            handle = self._ask(context, endpoint, limit)
        except EndpointError as error:
            self._note_unread(context, attempts, endpoint, error)
            return ""
        finally:
            taken = steady_seconds() - started
            self._pressures.note_prompt(context.service_name, taken)
        self._sending.health.note_success(endpoint.endpoint_id)
        attempts.note(endpoint.endpoint_id, "prompt read")
        return handle

    def _ask(self, context: ForwardContext, endpoint: Endpoint, limit: Deadline) -> str:
        """Return the handle of the prompt that the endpoint has read."""
        remaining = context.end_by.remaining_ms()
        call = EndpointCall(endpoint.endpoint_id, remaining, reads_prompt_only=True)
        deadline = context.end_by.earlier_of(limit)
        working = self._sending.health.working(endpoint.endpoint_id)
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
    ) -> None:
        """Note that a prompt was not read: that is no run of the request.

        Only the first call that an engine accepts is free: others count for the
        budget. The engine is passed over for a while, so that another one is asked. One
        whose answer was cut has read the prompt and still has it: ask it again.
        """
        self._sending.budgets.charge(context.service_name)
        self._sending.note_error(Attempts(), endpoint, error)
        if not isinstance(error, EndpointUnreachableError | AnswerCutError):
            self._sending.health.note_unreachable(endpoint.endpoint_id)
        attempts.note(endpoint.endpoint_id, f"prompt not read, {error.error_id}")


def _limit(read_seconds: float) -> Deadline:
    """Return until when an engine may take that should need so long; 0 if unknown."""
    if not read_seconds:
        return Deadline.after(PREFILL_SECONDS)
    return Deadline.after(max(LEAST_SECONDS, EXPECTED_TIMES * read_seconds))
