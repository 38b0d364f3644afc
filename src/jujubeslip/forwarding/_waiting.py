"""Requests that wait for room at an engine, and how long that will take."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from jujubeslip.admission import urgency
from jujubeslip.endpoints import CallerGoneError
from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.kernel import Deadline, Ran, steady_seconds

# How often one that waits for its turn looks whether its caller is still there.
LOOK_SECONDS = 0.1
# How much the latest interval between two requests that found room counts, and what
# is assumed before the first one, in seconds.
INTERVAL_WEIGHT = 0.2
FIRST_INTERVAL_SECONDS = 0.25


class Waiting:
    """Requests of one service that wait for room, of which one at a time asks.

    Those that can still be answered in time go first, the earliest target before the
    others; late ones follow. All would otherwise ask again and again, and the engines
    would spend their time on refusing.
    """

    def __init__(self) -> None:
        self._targets_by_turn: dict[int, float] = {}
        self._last_turn = 0
        self._interval = FIRST_INTERVAL_SECONDS
        self._busy_since = steady_seconds()
        self._changed = threading.Condition()

    @contextmanager
    def place(self, context: ForwardContext) -> Iterator[int]:
        """Take a place among those that wait; yield its number."""
        with self._changed:
            if not self._targets_by_turn:
                self._busy_since = steady_seconds()
            self._last_turn += 1
            own = self._last_turn
            self._targets_by_turn[own] = context.target_by.instant
        try:
            yield own
        finally:
            with self._changed:
                del self._targets_by_turn[own]
                self._changed.notify_all()

    def forecast(self, context: ForwardContext) -> float:
        """Return how long a request that comes now would wait, in seconds."""
        now = steady_seconds()
        own = urgency(context.target_by.instant, now)
        with self._changed:
            ahead = sum(
                urgency(target, now) <= own for target in self._targets_by_turn.values()
            )
            return ahead * self._interval

    def wait_for_turn(self, own: int, context: ForwardContext, limit: Deadline) -> bool:
        """Wait until this request is the next one; False when the limit comes first.

        Raises CallerGoneError when nobody waits for it any more.
        """
        with self._changed:
            while not self._is_next(own):
                self._changed.wait(LOOK_SECONDS)
                if context.gone():
                    message = "The client closed its connection."
                    raise CallerGoneError(message, Ran.NO)
                if limit.expired:
                    return False
        return True

    def note_room(self) -> None:
        """Note that a request has found room, for the forecast."""
        now = steady_seconds()
        with self._changed:
            sample = now - self._busy_since
            self._interval += INTERVAL_WEIGHT * (sample - self._interval)
            self._busy_since = now

    def _is_next(self, own: int) -> bool:
        now = steady_seconds()
        ranked = min(
            (urgency(target, now), turn)
            for turn, target in self._targets_by_turn.items()
        )
        return ranked[1] == own
