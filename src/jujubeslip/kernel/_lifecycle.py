"""The life of one process: its tasks, its stop, and its exit status."""

from __future__ import annotations

import logging
import os
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass

from jujubeslip._reload_signal import reload_was_asked
from jujubeslip.kernel._clock import steady_seconds

logger = logging.getLogger(__name__)

MAXIMUM_TASKS = 1024
# Exit status of a process that asks to be started again: a temporary failure, as
# sysexits.h numbers it.
RESTART_STATUS = 75
# How soon a signal is acted on, in seconds.
SIGNAL_LOOK_INTERVAL = 0.1
# A look that comes later than this shows that the process was held up, in seconds.
HELD_UP_SECONDS = 0.25


def new_incarnation() -> int:
    """Return a number that is larger at each start of the same host, in microseconds.

    It only tells starts of one host apart and orders them; no deadline uses it.
    """
    return time.time_ns() // 1000


@dataclass(frozen=True)
class _Look:
    """When the main thread looked, and the processor time used so far, in seconds."""

    at: float
    processor_at: float

    @classmethod
    def now(cls) -> _Look:
        return cls(steady_seconds(), time.process_time())


class Process:
    """Tasks of one process on one executor, and the event that stops them.

    A thread of the executor is a daemon only in effect: `run` ends the process when
    the stop is complete, so that a peer that never answers can't hold the exit.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.stopping = threading.Event()
        # Set by an operator who ends a stop before what is in flight has finished.
        self.abandoning = threading.Event()
        self.stopped = threading.Event()
        self._signalled = False
        self._reload_wanted = False
        self._on_reload: Callable[[], None] = lambda: None
        self._executor = ThreadPoolExecutor(MAXIMUM_TASKS, thread_name_prefix=name)
        self._open_tasks = 0
        self._is_full = False
        self._lock = threading.Lock()

    def start_task(self, task: Callable[..., None], *arguments: object) -> Future[None]:
        """Start a task; an error that leaves it is logged, never lost.

        Beyond MAXIMUM_TASKS a task waits until another one ends. That shows as peers
        that time out though this process runs, so it is logged, once each time.
        """
        self._note_open(1)
        future = self._executor.submit(task, *arguments)
        future.add_done_callback(self._end_task)
        return future

    def _end_task(self, future: Future[None]) -> None:
        self._note_open(-1)
        _log_failure(future)

    def _note_open(self, change: int) -> None:
        with self._lock:
            self._open_tasks += change
            was_full, self._is_full = self._is_full, self._open_tasks > MAXIMUM_TASKS
            begins = self._is_full and not was_full
        if begins:
            extra = {"process_name": self.name, "maximum_tasks": MAXIMUM_TASKS}
            logger.error("new tasks wait: all are in use", extra=extra)

    def repeat(self, interval: float, step: Callable[[], object]) -> None:
        """Run the step each interval seconds in a task of its own until the stop."""
        self.start_task(self._repeat, interval, step)

    def _repeat(self, interval: float, step: Callable[[], object]) -> None:
        while not self.stopped.wait(interval):
            try:
                step()
            except Exception:
                logger.exception("periodic task failed", extra={"task": str(step)})

    def request_stop(self) -> None:
        """Begin the graceful stop; a second call changes nothing."""
        self.stopping.set()

    def reload_with(self, reload: Callable[[], None]) -> None:
        """Call this when SIGHUP says that the settings have changed."""
        self._on_reload = reload

    def catch_signals(self) -> None:
        """Let SIGTERM and SIGINT begin the graceful stop from now on.

        SIGHUP only asks for the settings to be read again, where a process does that.

        Called before anything serves: a signal that came between the first request
        and `run` would end the process at once, and cut that request off.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note_signal)
        signal.signal(signal.SIGHUP, self._note_reload)
        if reload_was_asked():
            # Before this, while settings may have been read already.
            self._reload_wanted = True

    def _note_signal(self, *_: object) -> None:
        """Note the signal without a lock.

        Setting the event here takes its lock. If the signal came while the main
        thread held that, in `run`, the process would wait for itself for good.
        """
        self._signalled = True

    def _note_reload(self, *_: object) -> None:
        self._reload_wanted = True

    def _reload(self) -> None:
        self._reload_wanted = False
        logger.info("reloading", extra={"process_name": self.name})
        try:
            self._on_reload()
        except Exception:
            logger.exception("reload failed; the settings before it stay in force")

    def end_to_start_anew(self, reason: str) -> None:
        """End the process at once, for its supervisor to start it again.

        Does not return. Only for a process that serves nothing which could be lost.
        """
        extra = {"process_name": self.name, "reason": reason}
        logger.critical("ending to start anew", extra=extra)
        logging.shutdown()
        os._exit(RESTART_STATUS)

    def _note_look(self, before: _Look) -> _Look:
        """Write how late this look is: a late one explains answers that were late."""
        look = _Look.now()
        late = look.at - before.at - SIGNAL_LOOK_INTERVAL
        if late > HELD_UP_SECONDS:
            extra = {
                "process_name": self.name,
                "late_ms": int(late * 1000),
                "processor_ms": int((look.processor_at - before.processor_at) * 1000),
            }
            logger.info("process held up", extra=extra)
        return look

    def run(self, drain: Callable[[], None]) -> None:
        """Wait for SIGTERM or SIGINT, run `drain`, and exit with status 0.

        `drain` returns once no request is in flight. Later signals change nothing.
        """
        self.catch_signals()
        look = _Look.now()
        while not (self._signalled or self.stopping.wait(SIGNAL_LOOK_INTERVAL)):
            look = self._note_look(look)
            if self._reload_wanted:
                self._reload()
                look = _Look.now()
        self.request_stop()
        logger.info("stopping", extra={"process_name": self.name})
        drain()
        self.stopped.set()
        logging.shutdown()
        os._exit(0)


def _log_failure(future: Future[None]) -> None:
    if future.cancelled():
        return
    error = future.exception()
    if error is not None:
        logger.error("task failed", exc_info=error)
