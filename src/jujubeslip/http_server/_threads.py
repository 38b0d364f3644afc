"""The threads that serve requests: as many as requests were ever open at once."""

from __future__ import annotations

import logging
import threading
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Protocol

logger = logging.getLogger(__name__)


class ServedCall(Protocol):
    """What the server submits: a connection with a request to be answered."""

    def service(self) -> None:
        """Answer the request."""

    def cancel(self) -> None:
        """Close the connection, since the request won't be answered."""


class CallThreads:
    """Serves each request in a thread, and starts a thread only when none is idle.

    The server's own dispatcher starts all its threads with the process. A host needs
    a hundred of them at peak load and a few otherwise, and each one costs memory and
    counts towards the machine's limit of threads.
    """

    def __init__(self, maximum: int) -> None:
        self._executor = ThreadPoolExecutor(maximum, thread_name_prefix="http")
        self._open_count = 0
        self._lock = threading.Lock()

    @property
    def open_count(self) -> int:
        """Return how many requests are being served, or wait for a thread."""
        with self._lock:
            return self._open_count

    def add_task(self, task: ServedCall) -> None:
        """Serve a request as soon as a thread is free."""
        self._change_open_count(1)
        self._executor.submit(task.service).add_done_callback(self._end)

    def shutdown(self, cancel_pending: bool = True, timeout: float = 5.0) -> bool:
        """Start no more requests; the running ones continue.

        The timeout that the server passes is not used, since a process ends without
        waiting for its threads.
        """
        self._executor.shutdown(wait=False, cancel_futures=cancel_pending)
        return True

    def _end(self, served: Future[None]) -> None:
        self._change_open_count(-1)
        if served.cancelled():
            return
        error = served.exception()
        if error is not None:
            logger.error("call failed outside its answer", exc_info=error)

    def _change_open_count(self, change: int) -> None:
        with self._lock:
            self._open_count += change
