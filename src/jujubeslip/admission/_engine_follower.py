"""Asks one engine for its state, again and again."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from returns.result import Failure

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import ConnectionPool, EndpointError
from jujubeslip.interfaces import Interface, ask_endpoint
from jujubeslip.kernel import Deadline, Process
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

# Between two reports, in seconds: an engine's own view is half a second old at best.
REPORT_SECONDS = 0.25
# How long an engine may take to report, in seconds; it needs a millisecond or two.
ANSWER_SECONDS = 0.4


class EngineFollower:
    """Keeps one engine's state up to date; says when it answers no more."""

    def __init__(
        self,
        engine: Endpoint,
        interface: Interface,
        process: Process,
        on_report: Callable[[Endpoint, EngineReport], None],
    ) -> None:
        self._engine = engine
        self._interface = interface
        self._process = process
        self._on_report = on_report
        self._connections = ConnectionPool()
        self._stopped = threading.Event()
        self._answers = True

    def stop(self) -> None:
        """Ask no more."""
        self._stopped.set()

    def run(self) -> None:
        """Ask until told to stop, or until the process stops."""
        while not self._stopped.is_set() and not self._process.stopped.is_set():
            self._ask()
            self._stopped.wait(REPORT_SECONDS)
        self._connections.close_all()

    def _ask(self) -> None:
        engine = self._engine
        question = self._interface.ask_report(engine.endpoint_id)
        deadline = Deadline.after(ANSWER_SECONDS)
        try:
            status, body = ask_endpoint(
                self._connections, self._interface, engine, question, deadline
            )
        except EndpointError as error:
            self._note(False, str(error))
            return
        if status != 200:
            self._note(False, f"the answer {status} is no report")
            return
        read = self._interface.read_report(body)
        if isinstance(read, Failure):
            self._note(False, read.failure())
            return
        self._note(True, "")
        self._on_report(engine, read.unwrap())

    def _note(self, answers: bool, error: str) -> None:
        if answers is self._answers:
            return
        self._answers = answers
        extra = {"endpoint_id": self._engine.endpoint_id, "error": error}
        if answers:
            logger.info("engine reports again", extra=extra)
        else:
            logger.warning("engine gives no report", extra=extra)
