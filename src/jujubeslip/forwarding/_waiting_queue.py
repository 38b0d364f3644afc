"""Queue of requests that wait for capacity at an engine, and its wait forecast."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from jujubeslip.admission import urgency
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.kernel import Deadline, Ran, steady_seconds

# How often a queued request checks whether its client is still connected, in seconds.
CLIENT_CHECK_SECONDS = 0.1
# Weight of the latest interval between two requests that found capacity in the moving
# average, and the value assumed before the first one, in seconds.
INTERVAL_WEIGHT = 0.2
FIRST_INTERVAL_SECONDS = 0.25


class WaitingQueue:
    """Requests of one service that wait for capacity; one at a time asks the engines.

    Requests that can still meet their target go first, ordered by priority and target;
    late ones follow. Without the queue all of them would ask repeatedly, and the
    engines would spend their time on refusals.
    """

    def __init__(self) -> None:
        self._context_by_ticket: dict[int, ForwardContext] = {}
        self._last_ticket = 0
        self._interval = FIRST_INTERVAL_SECONDS
        self._interval_began_at = steady_seconds()
        self._changed = threading.Condition()

    @contextmanager
    def enter(self, context: ForwardContext) -> Iterator[int]:
        """Hold a place in the queue; yield its ticket number."""
        with self._changed:
            if not self._context_by_ticket:
                self._interval_began_at = steady_seconds()
            self._last_ticket += 1
            ticket = self._last_ticket
            self._context_by_ticket[ticket] = context
        try:
            yield ticket
        finally:
            with self._changed:
                del self._context_by_ticket[ticket]
                self._changed.notify_all()

    def forecast(self, context: ForwardContext) -> float:
        """Return the expected wait of a request that arrives now, in seconds."""
        now = steady_seconds()
        own_urgency = _urgency(context, now)
        with self._changed:
            ahead = sum(
                _urgency(other, now) <= own_urgency
                for other in self._context_by_ticket.values()
            )
            return ahead * self._interval

    def wait_for_turn(
        self, ticket: int, context: ForwardContext, limit: Deadline
    ) -> bool:
        """Wait until this request is next; return False if the limit comes first.

        Raises ClientDisconnectedError if the client disconnects.
        """
        with self._changed:
            while not self._is_next(ticket):
                self._changed.wait(CLIENT_CHECK_SECONDS)
                if context.client_disconnected():
                    message = "The client closed its connection."
                    raise ClientDisconnectedError(message, Ran.NO)
                if limit.expired:
                    return False
        return True

    def note_capacity_found(self) -> None:
        """Record that a request has found capacity, for the forecast."""
        now = steady_seconds()
        with self._changed:
            sample = now - self._interval_began_at
            self._interval += INTERVAL_WEIGHT * (sample - self._interval)
            self._interval_began_at = now

    def _is_next(self, ticket: int) -> bool:
        now = steady_seconds()
        ranked = min(
            (_urgency(context, now), queued)
            for queued, context in self._context_by_ticket.items()
        )
        return ranked[1] == ticket


def _urgency(context: ForwardContext, now: float) -> tuple[bool, int, float]:
    return urgency(context.target_by.timestamp, now, context.rank)
