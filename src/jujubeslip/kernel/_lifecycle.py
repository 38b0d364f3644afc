"""The lifecycle of a process: its tasks, signals, graceful stop and exit status."""

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
# Exit status of a process that needs a restart: EX_TEMPFAIL of sysexits.h.
RESTART_STATUS = 75
# Interval at which the main thread checks for signals, in seconds.
SIGNAL_CHECK_INTERVAL_SECONDS = 0.1
# Delay of such a check from which the process is logged as held up, in seconds.
HELD_UP_DELAY_SECONDS = 0.25


def new_incarnation() -> int:
    """Return a number that increases with each start of a host, in microseconds.

    It only distinguishes and orders the starts of one host; no deadline uses it.
    """
    return time.time_ns() // 1000


@dataclass(frozen=True)
class _SignalCheck:
    """When the main thread checked for signals, and the processor time used by then."""

    at: float
    processor_at: float

    @classmethod
    def now(cls) -> _SignalCheck:
        return cls(steady_seconds(), time.process_time())


class Process:
    """The tasks of a process on one executor, and the events that stop them.

    The threads of the executor are daemons only in effect: `run` exits the process when
    the stop is complete, so that a peer that never answers can't delay the exit.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.stopping = threading.Event()
        # Set when an operator ends a stop before the requests in flight have finished.
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
        """Start a task; an exception that it raises is logged.

        Beyond MAXIMUM_TASKS, a task waits until another one ends. Its only symptom
        would be timeouts of peers although this process runs, so each such period is
        logged once.
        """
        self._change_open_tasks(1)
        future = self._executor.submit(task, *arguments)
        future.add_done_callback(self._end_task)
        return future

    def _end_task(self, future: Future[None]) -> None:
        self._change_open_tasks(-1)
        _log_failure(future)

    def _change_open_tasks(self, change: int) -> None:
        with self._lock:
            self._open_tasks += change
            was_full, self._is_full = self._is_full, self._open_tasks > MAXIMUM_TASKS
            became_full = self._is_full and not was_full
        if became_full:
            extra = {"process_name": self.name, "maximum_tasks": MAXIMUM_TASKS}
            logger.error("new tasks wait: all are in use", extra=extra)

    def repeat(self, interval: float, step: Callable[[], object]) -> None:
        """Run the step every `interval` seconds in a separate task until the stop."""
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

    def set_reload_handler(self, reload: Callable[[], None]) -> None:
        """Set the function to call on SIGHUP, when the settings have changed."""
        self._on_reload = reload

    def catch_signals(self) -> None:
        """Make SIGTERM and SIGINT begin the graceful stop.

        SIGHUP only makes the process read its settings again, if it supports that.

        Must be called before anything is served: a signal between the first request
        and `run` would end the process at once and interrupt that request.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._record_signal)
        signal.signal(signal.SIGHUP, self._record_reload_signal)
        if reload_was_asked():
            # SIGHUP came before this call; the settings may have been read already.
            self._reload_wanted = True

    def _record_signal(self, *_: object) -> None:
        """Record the signal without taking a lock.

        Setting the event here would take its lock. If the main thread held that lock in
        `run` when the signal came, the process would deadlock.
        """
        self._signalled = True

    def _record_reload_signal(self, *_: object) -> None:
        self._reload_wanted = True

    def _reload(self) -> None:
        self._reload_wanted = False
        logger.info("reloading", extra={"process_name": self.name})
        try:
            self._on_reload()
        except Exception:
            logger.exception("reload failed; the settings before it stay in force")

    def exit_for_restart(self, reason: str) -> None:
        """Exit the process at once, so that its supervisor starts it again.

        Does not return. Only for a process that serves nothing that could be lost.
        """
        extra = {"process_name": self.name, "reason": reason}
        logger.critical("exiting for a restart", extra=extra)
        logging.shutdown()
        os._exit(RESTART_STATUS)

    def _log_delay(self, before: _SignalCheck) -> _SignalCheck:
        """Log a late check for signals, since its cause also delays answers."""
        check = _SignalCheck.now()
        late = check.at - before.at - SIGNAL_CHECK_INTERVAL_SECONDS
        if late > HELD_UP_DELAY_SECONDS:
            extra = {
                "process_name": self.name,
                "late_ms": int(late * 1000),
                "processor_ms": int((check.processor_at - before.processor_at) * 1000),
            }
            logger.info("process held up", extra=extra)
        return check

    def run(self, drain: Callable[[], None]) -> None:
        """Wait for SIGTERM or SIGINT, run `drain`, and exit with status 0.

        `drain` returns once no request is in flight. Further signals have no effect.
        """
        self.catch_signals()
        check = _SignalCheck.now()
        while not (
            self._signalled or self.stopping.wait(SIGNAL_CHECK_INTERVAL_SECONDS)
        ):
            check = self._log_delay(check)
            if self._reload_wanted:
                self._reload()
                check = _SignalCheck.now()
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
