"""Prefill of prompts at prefill engines, for the decode engines that answer."""

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
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.interfaces import EndpointCall
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole

# Timeout of a prefill of unknown duration, in seconds: about ten times what the longest
# prompts take. After that the decode engine prefills the prompt itself.
PREFILL_SECONDS = 1.5
# If the leader gave the expected duration of the prefill, the timeout is this multiple
# of it, and at least the minimum, in seconds. The minimum exceeds the half second that
# one prompt in a thousand takes, of 12,000 prompts. An engine that has stopped
# answering thus costs a request only part of its time.
EXPECTED_TIME_FACTOR = 3.0
MINIMUM_SECONDS = 0.6
# Maximum prefill calls for one prompt.
MAXIMUM_PREFILL_CALLS = 2
# Errors after which a prefill engine is not skipped here: it is skipped already, or it
# has prefilled the prompt.
_ERRORS_WITHOUT_SKIP = (
    EndpointUnreachableError,
    EndpointOnHoldError,
    AnswerCutError,
)


@dataclass(frozen=True)
class PromptLocation:
    """Where the KV cache of a prefilled prompt is."""

    prefill_engine: Endpoint | None = None
    """The start of the engine that has it, None if no engine has."""
    handle: str = ""
    """The handle under which the engine holds it."""

    @property
    def location(self) -> str:
        """Return the location sent to the decode engine, empty if no engine has it."""
        return (
            f"{self.prefill_engine.address}/{self.handle}"
            if self.prefill_engine
            else ""
        )


NOT_PREFILLED = PromptLocation()


class Prefiller:
    """Has prompts prefilled by the service's prefill engines."""

    def __init__(
        self, sender: EndpointSender, uses_prefill_engines: bool, pressures: Pressures
    ) -> None:
        self._sender = sender
        self._uses_prefill_engines = uses_prefill_engines
        self._pressures = pressures

    def prefill(
        self,
        context: ForwardContext,
        attempts: Attempts,
        prefill_engine: Endpoint | None = None,
        prompt_seconds: float = 0.0,
    ) -> PromptLocation:
        """Have an engine prefill the prompt; return its location or NOT_PREFILLED.

        If `prefill_engine` is given, it is asked and expected to need `prompt_seconds`.
        Otherwise this host chooses an engine, and a second one if the first fails. A
        decode engine can prefill the prompt itself, but all its other streams stall
        meanwhile.
        """
        if not self._uses_prefill_engines or context.request.prompt is None:
            return NOT_PREFILLED
        if prefill_engine is not None:
            return self._prefill_at_granted(
                context, attempts, prefill_engine, prompt_seconds
            )
        while self.may_ask(context, attempts):
            endpoint = self._choose(context)
            if endpoint is None:
                break
            location = self._prefill_at(
                context, attempts, endpoint, _prefill_deadline(0.0)
            )
            if location != NOT_PREFILLED:
                return location
        return NOT_PREFILLED

    def may_ask(self, context: ForwardContext, attempts: Attempts) -> bool:
        """Return whether a prefill engine may be asked, or asked again.

        The first call is free; a further one needs retry budget.
        """
        if not attempts.prefill_calls:
            return True
        if attempts.prefill_calls >= MAXIMUM_PREFILL_CALLS:
            return False
        return self._sender.budgets.has_retry_left(context.service_name)

    def is_lost(self, location: PromptLocation) -> bool:
        """Return whether the engine that prefilled the prompt has restarted since.

        The KV cache ended with the earlier start. The next start begins to number its
        handles again: the same handle may name another request's prompt, from which the
        answer would then be made, because no engine checks whose prompt it is.
        """
        prefill_engine = location.prefill_engine
        return prefill_engine is not None and self._sender.chooser.is_superseded(
            prefill_engine
        )

    def _prefill_at_granted(
        self,
        context: ForwardContext,
        attempts: Attempts,
        prefill_engine: Endpoint,
        prompt_seconds: float,
    ) -> PromptLocation:
        """Have the granted engine prefill the prompt; ask again if its answer is cut.

        An engine whose answer was cut has prefilled the prompt and still has it.
        """
        location = self._prefill_at(
            context, attempts, prefill_engine, _prefill_deadline(prompt_seconds)
        )
        was_cut = isinstance(attempts.prefill_error, AnswerCutError)
        if location == NOT_PREFILLED and was_cut and self.may_ask(context, attempts):
            return self._prefill_at(
                context, attempts, prefill_engine, _prefill_deadline(prompt_seconds)
            )
        return location

    def _choose(self, context: ForwardContext) -> Endpoint | None:
        chooser = self._sender.chooser
        return chooser.choose_healthy(context.service_name, EndpointRole.PREFILL)

    def _prefill_at(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        limit: Deadline,
    ) -> PromptLocation:
        """Have this engine prefill the prompt; return NOT_PREFILLED if it does not."""
        attempts.prefill_error = None
        if self._sender.is_on_hold(attempts, endpoint):
            return NOT_PREFILLED
        attempts.prefill_calls += 1
        if not self._sender.charge_endpoint_limit(context, attempts, endpoint):
            return NOT_PREFILLED
        started = steady_seconds()
        try:
            handle = self._ask(context, endpoint, limit)
        except EndpointError as error:
            attempts.prefill_error = error
            self._note_prefill_error(context, attempts, endpoint, error, started)
            return NOT_PREFILLED
        finally:
            taken = steady_seconds() - started
            self._pressures.note_prompt(context.service_name, taken)
        self._sender.health.note_success(endpoint.start_id)
        attempts.note(endpoint.start_id, "prompt read")
        return PromptLocation(endpoint, handle)

    def _ask(self, context: ForwardContext, endpoint: Endpoint, limit: Deadline) -> str:
        """Return the handle of the prompt that the endpoint has prefilled."""
        remaining = context.end_by.remaining_ms()
        call = EndpointCall(
            endpoint.endpoint_id,
            remaining,
            prefill_only=True,
            priority=context.endpoint_priority,
        )
        deadline = context.end_by.earlier_of(limit)
        tracked = self._sender.health.track_request(endpoint.start_id)
        with tracked, self._sender.exchange(context, endpoint) as exchange:
            head = exchange.call(call, deadline)
            body = exchange.read_rest()
        if head.status not in SUCCESS:
            raise EndpointAnswerError(
                f"{endpoint.address}: prefill failed with status {head.status}."
            )
        prefilled = self._sender.interface.read_prefilled(body)
        if isinstance(prefilled, Failure):
            raise EndpointAnswerError(f"{endpoint.address}: {prefilled.failure()}")
        return prefilled.unwrap().handle

    def _note_prefill_error(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        error: EndpointError,
        asked_at: float,
    ) -> None:
        """Record a failed prefill, which does not count as a run of the request.

        Only the first call that an engine accepts is free: others are charged to the
        retry budget. The engine is skipped for a while, so that another one is asked,
        unless its answer was cut: it has prefilled the prompt then and still has it.
        """
        self._sender.budgets.charge(context.service_name)
        call = Attempts(latest_sent_at=Deadline(asked_at))
        self._sender.note_request_error(context, call, endpoint, error)
        is_skipped = not isinstance(error, _ERRORS_WITHOUT_SKIP)
        if is_skipped and not self._sender.lost_links_since(Deadline(asked_at), error):
            self._sender.health.note_unreachable(endpoint.start_id, error.message)
        attempts.note(endpoint.start_id, f"prompt not read, {error.error_id}")


def _prefill_deadline(prompt_seconds: float) -> Deadline:
    """Return the prefill deadline for an expected duration, 0 if that is unknown."""
    if not prompt_seconds:
        return Deadline.after(PREFILL_SECONDS)
    return Deadline.after(max(MINIMUM_SECONDS, EXPECTED_TIME_FACTOR * prompt_seconds))
