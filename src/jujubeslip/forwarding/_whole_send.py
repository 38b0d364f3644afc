"""One send of a request to one endpoint, whose answer is read whole."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import dataclass

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import EndpointError
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.forwarding._models import ForwardContext, WholeAnswer
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.interfaces import EndpointCall
from jujubeslip.kernel import Deadline

SERVER_ERROR = 500
NEVER = Deadline(float("inf"))


@dataclass(frozen=True)
class SendEnd:
    """How a send has ended: with an answer or an error."""

    endpoint: Endpoint
    sent_at: Deadline
    answer: WholeAnswer | None = None
    error: EndpointError | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the answer is one that is delivered."""
        return self.answer is not None and self.answer.status < SERVER_ERROR


class WholeSend:
    """Sends a request and reads its answer, in one step or in two.

    A connection whose answer was not read whole is closed.
    """

    def __init__(
        self,
        sender: EndpointSender,
        context: ForwardContext,
        endpoint: Endpoint,
        deadline: Deadline,
    ) -> None:
        self.endpoint = endpoint
        self.sent_at = Deadline.after(0)
        self._sender = sender
        self._context = context
        self._deadline = deadline
        self._cancelled_at = NEVER

    def cancel(self, grace_seconds: float) -> None:
        """Give the send up after this time; thread-safe.

        Its connection is closed within another tenth of a second, unless the answer is
        whole by then.
        """
        self._cancelled_at = Deadline.after(grace_seconds)

    def _is_cancelled(self) -> bool:
        return self._cancelled_at.expired

    def _interrupted(self) -> bool:
        return self._is_cancelled() or self._context.client_disconnected()

    def run(self) -> SendEnd:
        """Send the request and read its answer."""
        end = self.begin()
        return end or self.finish()

    def begin(self) -> SendEnd | None:
        """Send the request; return the end if that failed."""
        remaining_ms = self._context.end_by.remaining_ms()
        self._call = EndpointCall(self.endpoint.endpoint_id, remaining_ms)
        with ExitStack() as stack:
            health, start_id = self._sender.health, self.endpoint.start_id
            self._measured = stack.enter_context(health.track_request(start_id))
            self._exchange = stack.enter_context(self._open_exchange())
            try:
                self._exchange.send(self._call, self._deadline, self._is_cancelled)
            except EndpointError as error:
                self._measured.is_answered = False
                return SendEnd(self.endpoint, self.sent_at, error=error)
            self._stack = stack.pop_all()
        return None

    def _open_exchange(self) -> Exchange:
        return self._sender.exchange(self._context, self.endpoint, self._interrupted)

    @property
    def is_relayed(self) -> bool:
        """Return whether another entry host relays the request."""
        return self._exchange.is_relayed

    def wait_for_answer(self, limit: Deadline) -> bool:
        """Wait until the answer begins; return False if it doesn't by the limit."""
        return self._exchange.wait_for_answer(limit.earlier_of(self._deadline))

    def close(self) -> None:
        """End a send whose answer is not read."""
        self._measured.is_answered = False
        self._stack.close()

    def finish(self) -> SendEnd:
        """Read the answer to the request that was sent."""
        with self._stack:
            try:
                head = self._exchange.read_head(self._call)
                body = self._sender.read_deliverable(self.endpoint, self._exchange)
                self._measured.is_answered = head.status < SERVER_ERROR
            except EndpointError as error:
                self._measured.is_answered = False
                return SendEnd(self.endpoint, self.sent_at, error=error)
        answer = WholeAnswer(head.status, head.headers, body)
        return SendEnd(self.endpoint, self.sent_at, answer)
