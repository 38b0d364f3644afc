"""Forwards requests whose answer is read whole."""

from __future__ import annotations

from collections.abc import Generator
from contextlib import closing

from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._models import Attempts, ForwardContext, WholeAnswer
from jujubeslip.forwarding._second_sends import SecondSends
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.forwarding._whole_send import SendEnd, WholeSend
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole

# A repeatable request is sent to another endpoint if no answer came within this many
# times its target. Nine of ten answers of a healthy endpoint take at most half of that.
RESEND_AFTER_TARGETS = 2.0


class PlainPath:
    """Sends a request to one endpoint after another until one answers."""

    def __init__(
        self, sender: EndpointSender, second_sends: SecondSends | None = None
    ) -> None:
        """Create the path; without `second_sends`, one endpoint is asked at a time."""
        self._sender = sender
        self._second_sends = second_sends

    def answer(self, context: ForwardContext, attempts: Attempts) -> WholeAnswer:
        """Return the answer; raise RequestRefusedError or ClientDisconnectedError."""
        failed: WholeAnswer | None = None
        while self._sender.is_open(context, attempts):
            endpoint = self._sender.choose(context, EndpointRole.PLAIN, attempts.tried)
            if endpoint is None:
                break
            if not attempts.may_have_run:
                context.check_account()
            if not self._sender.charge_endpoint_limit(context, attempts, endpoint):
                continue
            if not self._sender.may_send(context, attempts):
                break
            with closing(self._send(context, attempts, endpoint)) as ends:
                for end in ends:
                    self._note_end(context, attempts, end)
                    if end.answer is not None and end.is_success:
                        return end.answer
                    failed = end.answer or failed
        if failed is not None:
            return failed
        raise self._sender.refusal(context, attempts, EndpointRole.PLAIN)

    def _note_end(
        self, context: ForwardContext, attempts: Attempts, end: SendEnd
    ) -> None:
        start_id = end.endpoint.start_id
        if end.error is not None:
            attempts.latest_sent_at = end.sent_at
            self._sender.note_request_error(context, attempts, end.endpoint, end.error)
        elif end.answer is not None:
            attempts.note(start_id, str(end.answer.status))
        if end.is_success:
            self._sender.health.note_success(start_id)
        elif end.answer is not None:
            # The endpoint itself reported a failure: the request has run.
            attempts.runs += 1
            attempts.tried.add(start_id)
            self._sender.health.note_failure(start_id)

    def _send(
        self, context: ForwardContext, attempts: Attempts, endpoint: Endpoint
    ) -> Generator[SendEnd]:
        """Yield the ends of one send, or of two of which one was slow."""
        deadline = self._deadline(context, attempts.runs)
        if self._second_sends is None:
            yield WholeSend(self._sender, context, endpoint, deadline).run()
            return
        second_deadline = self._deadline(context, attempts.runs + 1)
        yield from self._second_sends.send(
            context, attempts, endpoint, (deadline, second_deadline)
        )

    def _deadline(self, context: ForwardContext, earlier_runs: int) -> Deadline:
        """Return how long to wait: less while another endpoint may still be asked."""
        route = context.route
        if not route.repeatable or earlier_runs + 1 >= route.maximum_attempts:
            return context.end_by
        if not self._sender.budgets.has_retry_left(context.service_name):
            # No budget for another send: giving up early would only lose this answer.
            return context.end_by
        resend_at = Deadline.after(RESEND_AFTER_TARGETS * route.target_ms / 1000)
        return context.end_by.earlier_of(resend_at)
