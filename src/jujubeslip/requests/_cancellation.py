"""Cancels of abandoned attempts, repeated until the engine acknowledges."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass, field

from jujubeslip.endpoints import EndpointError, EngineAdapter
from jujubeslip.kernel import Deadline, Process
from jujubeslip.requests._open_requests import OpenRequests

logger = logging.getLogger(__name__)

CANCEL_TIMEOUT = 1.0
FIRST_PAUSE = 0.1
MAXIMUM_PAUSE = 2.0
# Later than this, in seconds, the sweep of the endpoint's home does it.
GIVE_UP_AFTER = 20.0


@dataclass(frozen=True)
class Cancellation:
    """What to cancel, where."""

    endpoint_id: str
    address: str
    request_id: str
    attempt: int
    give_up: Deadline = field(default_factory=lambda: Deadline.after(GIVE_UP_AFTER))


class Canceller:
    """Sends cancels in tasks of their own, so that no caller waits for them.

    There is one task for each engine with unacknowledged cancels. A task for each
    cancel would use up the process's tasks while an engine is cut off under load.
    """

    def __init__(self, process: Process, open_requests: OpenRequests) -> None:
        self._process = process
        self._open_requests = open_requests
        self._pending_by_address: dict[str, list[Cancellation]] = {}
        self._lock = threading.Lock()

    def cancel(self, cancellation: Cancellation) -> None:
        """Cancel; ask again until the engine answers or GIVE_UP_AFTER has passed."""
        self._open_requests.give_up(
            cancellation.request_id, cancellation.attempt, cancellation.endpoint_id
        )
        with self._lock:
            pending = self._pending_by_address.get(cancellation.address)
            if pending is not None:
                pending.append(cancellation)
                return
            self._pending_by_address[cancellation.address] = [cancellation]
        self._process.start_task(self._run, cancellation.address)

    def _run(self, address: str) -> None:
        pause = FIRST_PAUSE
        while not self._process.stopped.is_set():
            first = self._first_pending(address)
            if first is None:
                return
            if self._send(first):
                pause = FIRST_PAUSE
                continue
            self._process.stopped.wait(pause)
            pause = min(MAXIMUM_PAUSE, pause * 2)

    def _first_pending(self, address: str) -> Cancellation | None:
        """Return what to send next, or end the engine's task under the lock."""
        with self._lock:
            pending = self._pending_by_address[address]
            pending[:] = [item for item in pending if not item.give_up.expired]
            if pending:
                return pending[0]
            del self._pending_by_address[address]
            return None

    def _send(self, cancellation: Cancellation) -> bool:
        """Send one cancel; say whether the engine acknowledged it."""
        adapter = EngineAdapter(cancellation.address)
        try:
            adapter.cancel(
                cancellation.request_id,
                cancellation.attempt,
                Deadline.after(CANCEL_TIMEOUT),
            )
        except EndpointError as error:
            extra = {"request_id": cancellation.request_id, "error": str(error)}
            logger.info("cancel failed", extra=extra)
            return False
        with self._lock:
            self._pending_by_address[cancellation.address].remove(cancellation)
        return True
