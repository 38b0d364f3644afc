"""Polls one engine for its reports."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from returns.result import Failure

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    ConnectionPool,
    EndpointError,
    EndpointOnHoldError,
    EndpointReplacedError,
)
from jujubeslip.interfaces import Interface, send_internal_request
from jujubeslip.kernel import Deadline, Process
from jujubeslip.notices import EndpointNotices
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

# Interval between two polls, in seconds. The state in a report is half a second old at
# best.
POLL_SECONDS = 0.25
# Timeout of a poll, in seconds. An engine needs a millisecond or two to reply.
REPORT_TIMEOUT_SECONDS = 0.4
# HTTP status of an endpoint's reply to a call that names another endpoint or start.
MISDIRECTED_STATUS = 421


class EngineReportPoller:
    """Polls one engine for its state and reports when it becomes unreachable.

    A crashed engine looks like the one with the most free memory, since its answers
    have ended with it. As long as it counts as usable, it attracts all requests. It is
    therefore reported lost after two failed polls in a row. The second poll follows at
    once over a new connection, since perhaps just the persistent one was dropped.
    """

    def __init__(
        self,
        engine: Endpoint,
        interface: Interface,
        process: Process,
        on_report: Callable[[Endpoint, EngineReport], None],
        on_lost: Callable[[Endpoint], None],
        notices: EndpointNotices | None = None,
    ) -> None:
        self._notices = notices or EndpointNotices()
        self._engine = engine
        self._interface = interface
        self._process = process
        self._on_report = on_report
        self._on_lost = on_lost
        self._connections = ConnectionPool()
        self._stopped = threading.Event()
        self._is_reporting = True
        self._is_lost = False

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()

    def run(self) -> None:
        """Poll until `stop` is called or the process stops."""
        while not self._stopped.is_set() and not self._process.stopped.is_set():
            self._poll()
            self._stopped.wait(POLL_SECONDS)
        self._connections.close_all()

    def _poll(self) -> None:
        if self._request_report():
            self._is_lost = False
        elif not self._is_lost and not self._request_report():
            self._is_lost = True
            self._on_lost(self._engine)

    def _request_report(self) -> bool:
        """Request a report; return whether this start of the engine was reached."""
        try:
            status, body = self._call()
        except EndpointOnHoldError as error:
            # The engine runs, but has asked for no calls for a while.
            self._log_change(False, str(error))
            return True
        except EndpointError as error:
            self._log_change(False, str(error))
            return False
        if status != 200:
            self._log_change(False, f"reply has status {status} instead of a report")
            return True
        result = self._interface.read_report(body)
        if isinstance(result, Failure):
            self._log_change(False, result.failure())
            return True
        report = result.unwrap()
        # At the address of an ended start, the next start replies with the same
        # endpoint id. Its report would be taken for the state of the ended one.
        if not self._engine.matches_start(report.started_at_ms):
            self._log_change(False, "another start replied at the engine's address")
            return False
        self._log_change(True, "")
        self._on_report(self._engine, report)
        return True

    def _call(self) -> tuple[int, bytes]:
        """Return status and body of the engine's reply, or raise EndpointError."""
        engine = self._engine
        status, body = send_internal_request(
            self._connections,
            self._interface,
            self._notices,
            engine,
            self._interface.ask_report(engine.endpoint_id),
            Deadline.after(REPORT_TIMEOUT_SECONDS),
        )
        if status == MISDIRECTED_STATUS:
            raise EndpointReplacedError("another endpoint replied at the address")
        return status, body

    def _log_change(self, is_reporting: bool, error: str) -> None:
        if is_reporting is self._is_reporting:
            return
        self._is_reporting = is_reporting
        extra = {"endpoint_id": self._engine.endpoint_id, "error": error}
        if is_reporting:
            logger.info("engine reports again", extra=extra)
        else:
            logger.warning("engine report failed", extra=extra)
