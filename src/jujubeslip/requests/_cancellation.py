"""Cancellation of abandoned attempts, retried until the engine acknowledges it."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass, field

from jujubeslip.endpoints import EndpointError, EngineAdapter
from jujubeslip.kernel import Deadline, Process
from jujubeslip.requests._open_requests import OpenRequests

logger = logging.getLogger(__name__)

CANCEL_TIMEOUT_SECONDS = 1.0
INITIAL_PAUSE_SECONDS = 0.1
MAXIMUM_PAUSE_SECONDS = 2.0
# How long a cancel is retried, in seconds. After that, the memory sweep of the
# endpoint's home frees what the engine still holds.
GIVE_UP_AFTER = 20.0


@dataclass(frozen=True)
class Cancellation:
    """An attempt to cancel at an engine, and until when to retry."""

    endpoint_id: str
    address: str
    request_id: str
    attempt: int
    retry_until: Deadline = field(default_factory=lambda: Deadline.after(GIVE_UP_AFTER))


class Canceller:
    """Sends cancels in background tasks, so that no caller waits for them.

    There is one task per engine with unacknowledged cancels. One task per cancel would
    exhaust the process's tasks while an engine is unreachable under load.
    """

    def __init__(self, process: Process, open_requests: OpenRequests) -> None:
        self._process = process
        self._open_requests = open_requests
        self._pending_by_address: dict[str, list[Cancellation]] = {}
        self._lock = threading.Lock()

    def cancel(self, cancellation: Cancellation) -> None:
        """Cancel; retry until the engine acknowledges or GIVE_UP_AFTER has passed."""
        self._open_requests.abandon_attempt(
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
        pause = INITIAL_PAUSE_SECONDS
        while not self._process.stopped.is_set():
            first = self._first_pending(address)
            if first is None:
                return
            if self._send(first):
                pause = INITIAL_PAUSE_SECONDS
                continue
            self._process.stopped.wait(pause)
            pause = min(MAXIMUM_PAUSE_SECONDS, pause * 2)

    def _first_pending(self, address: str) -> Cancellation | None:
        """Return the next cancel to send, or None if the engine's task is to end.

        The task is deregistered under the same lock that `cancel` takes, so that no
        cancel is added to a task that ends.
        """
        with self._lock:
            pending = self._pending_by_address[address]
            pending[:] = [item for item in pending if not item.retry_until.expired]
            if pending:
                return pending[0]
            del self._pending_by_address[address]
            return None

    def _send(self, cancellation: Cancellation) -> bool:
        """Send one cancel; return whether the engine acknowledged it."""
        adapter = EngineAdapter(cancellation.address)
        try:
            adapter.cancel(
                cancellation.request_id,
                cancellation.attempt,
                Deadline.after(CANCEL_TIMEOUT_SECONDS),
            )
        except EndpointError as error:
            extra = {"request_id": cancellation.request_id, "error": str(error)}
            logger.info("cancel of attempt not acknowledged", extra=extra)
            return False
        with self._lock:
            self._pending_by_address[cancellation.address].remove(cancellation)
        return True
