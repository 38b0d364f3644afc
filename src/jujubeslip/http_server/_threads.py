"""The threads that serve calls: as many as calls were ever open at once."""

from __future__ import annotations

import logging
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Protocol

logger = logging.getLogger(__name__)


class ServedCall(Protocol):
    """What the server hands over: a connection with a request to be answered."""

    def service(self) -> None:
        """Answer the request."""

    def cancel(self) -> None:
        """Close the connection, since the request won't be answered."""


class CallThreads:
    """Serves each call in a thread, and starts a thread only when none is idle.

    The server's own dispatcher starts all its threads with the process. A host needs
    a hundred at its worst moment and a handful at most others, and each one costs
    memory and a place among those that the machine can run.
    """

    def __init__(self, maximum: int) -> None:
        self._executor = ThreadPoolExecutor(maximum, thread_name_prefix="http")
        self._open_count = 0
        self._lock = threading.Lock()

    @property
    def open_count(self) -> int:
        """Return how many calls are served, or wait for a thread."""
        with self._lock:
            return self._open_count

    def add_task(self, task: ServedCall) -> None:
        """Serve a call as soon as a thread is free."""
        self._note_open(1)
        self._executor.submit(task.service).add_done_callback(self._end)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5.0) -> bool:
        """Serve nothing more; what is being served goes on.

        The server passes a timeout; nothing is waited for here, since a process ends
        without waiting for its threads.
        """
        self._executor.shutdown(wait=False, cancel_futures=cancel_pending)
        return True

    def _end(self, served: Future[None]) -> None:
        self._note_open(-1)
        if served.cancelled():
            return
        error = served.exception()
        if error is not None:
            logger.error("call failed outside its answer", exc_info=error)

    def _note_open(self, change: int) -> None:
        with self._lock:
            self._open_count += change
