"""Cancels of abandoned attempts, repeated until the engine acknowledges."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from jujubeslip.endpoints import EndpointError, EngineAdapter
from jujubeslip.kernel import Deadline, Process

logger = logging.getLogger(__name__)

CANCEL_TIMEOUT = 1.0
FIRST_PAUSE = 0.1
MAXIMUM_PAUSE = 2.0
# Later than this, in seconds, the sweep of the endpoint's home does it.
GIVE_UP_AFTER = 20.0


@dataclass(frozen=True)
class Cancellation:
    """What to cancel, where."""

    address: str
    request_id: str
    attempt: int


class Canceller:
    """Sends cancels in tasks of their own, so that no caller waits for them."""

    def __init__(self, process: Process) -> None:
        self._process = process

    def cancel(self, cancellation: Cancellation) -> None:
        """Cancel; ask again until the engine answers or GIVE_UP_AFTER has passed."""
        self._process.start_task(self._run, cancellation)

    def _run(self, cancellation: Cancellation) -> None:
        adapter = EngineAdapter(cancellation.address)
        give_up = Deadline.after(GIVE_UP_AFTER)
        pause = FIRST_PAUSE
        while not give_up.expired:
            try:
                adapter.cancel(
                    cancellation.request_id,
                    cancellation.attempt,
                    Deadline.after(CANCEL_TIMEOUT),
                )
                return
            except EndpointError as error:
                extra = {"request_id": cancellation.request_id, "error": str(error)}
                logger.info("cancel failed", extra=extra)
            if self._process.stopped.wait(pause):
                return
            pause = min(MAXIMUM_PAUSE, pause * 2)
