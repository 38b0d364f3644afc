"""Forwards requests whose answer is read whole."""

from __future__ import annotations

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import EndpointError
from jujubeslip.forwarding._models import Attempts, ForwardContext, WholeAnswer
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.interfaces import EndpointCall
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole

SERVER_ERROR = 500
# A repeatable request is sent to another endpoint if no answer came within this many
# times its target. Nine of ten answers of a healthy endpoint take at most half of that.
RESEND_AFTER_TARGETS = 2.0


class PlainPath:
    """Sends a request to one endpoint after another until one answers."""

    def __init__(self, sender: EndpointSender) -> None:
        self._sender = sender

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
            try:
                answer = self._send(context, attempts, endpoint)
            except EndpointError as error:
                self._sender.note_request_error(context, attempts, endpoint, error)
                continue
            if answer.status < SERVER_ERROR:
                self._sender.health.note_success(endpoint.start_id)
                return answer
            failed = answer
            self._note_failed(attempts, endpoint)
        if failed is not None:
            return failed
        raise self._sender.refusal(context, attempts, EndpointRole.PLAIN)

    def _note_failed(self, attempts: Attempts, endpoint: Endpoint) -> None:
        """Record a failure that the endpoint itself reported: the request has run."""
        attempts.runs += 1
        attempts.tried.add(endpoint.start_id)
        self._sender.health.note_failure(endpoint.start_id)

    def _send(
        self, context: ForwardContext, attempts: Attempts, endpoint: Endpoint
    ) -> WholeAnswer:
        deadline = self._deadline(context, attempts)
        call = EndpointCall(endpoint.endpoint_id, context.end_by.remaining_ms())
        tracked = self._sender.health.track_request(endpoint.start_id)
        with tracked, self._sender.exchange(context, endpoint) as exchange:
            head = exchange.call(call, deadline)
            body = exchange.read_rest()
            self._sender.check_end(endpoint, exchange)
        attempts.note(endpoint.start_id, str(head.status))
        return WholeAnswer(head.status, head.headers, body)

    def _deadline(self, context: ForwardContext, attempts: Attempts) -> Deadline:
        """Return how long to wait: less while another endpoint may still be asked."""
        route = context.route
        if not route.repeatable or attempts.runs + 1 >= route.maximum_attempts:
            return context.end_by
        if not self._sender.budgets.has_retry_left(context.service_name):
            # No budget for another send: giving up early would only lose this answer.
            return context.end_by
        resend_at = Deadline.after(RESEND_AFTER_TARGETS * route.target_ms / 1000)
        return context.end_by.earlier_of(resend_at)
