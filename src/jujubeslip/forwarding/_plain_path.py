"""Requests that are answered in one piece."""

from __future__ import annotations

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import EndpointError
from jujubeslip.forwarding._models import Attempts, ForwardContext, WholeAnswer
from jujubeslip.forwarding._sending import Sending
from jujubeslip.interfaces import EndpointCall
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole

SERVER_ERROR = 500
# A repeatable request is sent elsewhere when no answer came in this many times its
# target, in which nine of ten answers of a sound endpoint come twice over.
PATIENCE_TARGETS = 2.0


class PlainPath:
    """Sends a request to one endpoint after another until one answers."""

    def __init__(self, sending: Sending) -> None:
        self._sending = sending

    def answer(self, context: ForwardContext, attempts: Attempts) -> WholeAnswer:
        """Return the answer, or raise RequestRefusedError or CallerGoneError."""
        failed: WholeAnswer | None = None
        while True:
            endpoint = self._sending.choose(context, EndpointRole.PLAIN, attempts.tried)
            if endpoint is None:
                break
            if not attempts.may_have_run:
                context.check_account()
            if not self._sending.within_limit(context, attempts, endpoint):
                continue
            if not self._sending.may_send(context, attempts):
                break
            try:
                answer = self._send(context, attempts, endpoint)
            except EndpointError as error:
                self._sending.note_lost(context, attempts, endpoint, error)
                continue
            if answer.status < SERVER_ERROR:
                self._sending.health.note_success(endpoint.start_id)
                return answer
            failed = answer
            self._note_failed(attempts, endpoint)
        if failed is not None:
            return failed
        raise self._sending.refusal(context, attempts, EndpointRole.PLAIN)

    def _note_failed(self, attempts: Attempts, endpoint: Endpoint) -> None:
        """Note an endpoint's own failure: the request has run."""
        attempts.runs += 1
        attempts.tried.add(endpoint.start_id)
        self._sending.health.note_failure(endpoint.start_id)

    def _send(
        self, context: ForwardContext, attempts: Attempts, endpoint: Endpoint
    ) -> WholeAnswer:
        deadline = self._deadline(context, attempts)
        call = EndpointCall(endpoint.endpoint_id, context.end_by.remaining_ms())
        working = self._sending.health.working(endpoint.start_id)
        with working, self._sending.exchange(context, endpoint) as exchange:
            head = exchange.call(call, deadline)
            body = exchange.read_rest()
        attempts.note(endpoint.start_id, str(head.status))
        return WholeAnswer(head.status, head.headers, body)

    def _deadline(self, context: ForwardContext, attempts: Attempts) -> Deadline:
        """Return until when to wait: not for long while another may be asked."""
        route = context.route
        if not route.repeatable or attempts.runs + 1 >= route.maximum_attempts:
            return context.end_by
        if not self._sending.budgets.has_one(context.service_name):
            # Left, it could not be sent to another one, and its answer would be lost.
            return context.end_by
        patience = Deadline.after(PATIENCE_TARGETS * route.target_ms / 1000)
        return context.end_by.earlier_of(patience)
