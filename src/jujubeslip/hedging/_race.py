"""Runs two sends of one request at a time, in threads of a bounded pool."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")

# Requests of a host with two sends at a time, each in a thread of its own.
MAXIMUM_RACES = 4
SENDS = 2
# Interval at which it is checked that the client is still connected, in seconds. Work
# for a client that has disconnected is to be stopped within half a second.
POLL_SECONDS = 0.1


@dataclass(frozen=True)
class Finished(Generic[T]):
    """The end of one of the two sends."""

    number: int
    """0 for the first send, 1 for the second."""
    result: T


class SendRaces(Generic[T]):
    """Starts pairs of sends, each in a pool that is created with the first of them."""

    def __init__(self) -> None:
        self._free = threading.Semaphore(MAXIMUM_RACES)
        self._executor: ThreadPoolExecutor | None = None
        self._lock = threading.Lock()

    def try_enter(self) -> bool:
        """Take one of the places, unless all are taken; return whether it was."""
        return self._free.acquire(blocking=False)

    def leave(self) -> None:
        """Give back a place that was taken and not used by `run`."""
        self._free.release()

    def run(
        self, sends: tuple[Callable[[], T], Callable[[], T]], check: Callable[[], None]
    ) -> Iterator[Finished[T]]:
        """Yield the ends of both sends in their order, and give back the place.

        `check` is called repeatedly meanwhile, and may raise. The place is given back
        once both sends have ended, which may be after the caller has gone on.
        """
        executor = self._get_executor()
        futures = [executor.submit(send) for send in sends]
        _when_all_done(futures, self._free.release)
        pending = set(futures)
        while pending:
            done, pending = wait(pending, POLL_SECONDS, FIRST_COMPLETED)
            for number, future in enumerate(futures):
                if future in done:
                    yield Finished(number, future.result())
            check()

    def _get_executor(self) -> ThreadPoolExecutor:
        with self._lock:
            if self._executor is None:
                self._executor = ThreadPoolExecutor(
                    MAXIMUM_RACES * SENDS, thread_name_prefix="second-send"
                )
            return self._executor


def _when_all_done(futures: list[Future[T]], callback: Callable[[], None]) -> None:
    lock = threading.Lock()
    running = len(futures)

    def note_done(_: Future[T]) -> None:
        nonlocal running
        with lock:
            running -= 1
            is_last = running == 0
        if is_last:
            callback()

    for future in futures:
        future.add_done_callback(note_done)
