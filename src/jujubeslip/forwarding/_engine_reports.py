"""Reports of the engines' state, fetched on demand and cached for a short time."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass

from returns.result import Success

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import EndpointError
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

# How long a report is used, in seconds. It is up to a second old when it arrives, and
# an engine's answers change little in that time; each further call has a cost.
CACHE_SECONDS = 0.5
# Timeout of a call for a report, in seconds. An engine answers in a millisecond or two;
# an engine beyond a network partition uses up the whole timeout.
REPORT_TIMEOUT_SECONDS = 0.2


@dataclass(frozen=True)
class _CachedReport:
    report: EngineReport | None
    """None if the answer is not a valid report; another call would bring the same."""
    usable_until: Deadline


class EngineReports:
    """The latest report of each engine's start."""

    def __init__(self, sender: EndpointSender) -> None:
        self._sender = sender
        self._cached_by_start: dict[str, _CachedReport] = {}
        self._lock = threading.Lock()

    def get(self, context: ForwardContext, endpoint: Endpoint) -> EngineReport | None:
        """Return a recent report, None if the engine gives none."""
        with self._lock:
            cached = self._cached_by_start.get(endpoint.start_id)
        if cached is not None and not cached.usable_until.expired:
            return cached.report
        fetched = self._fetch(context, endpoint)
        if fetched is None:
            return None
        with self._lock:
            self._cached_by_start[endpoint.start_id] = fetched
        return fetched.report

    def _fetch(
        self, context: ForwardContext, endpoint: Endpoint
    ) -> _CachedReport | None:
        """Return the engine's answer, None if it gave none."""
        request = self._sender.interface.ask_report(endpoint.endpoint_id)
        try:
            status, body = self._sender.ask(
                endpoint,
                request,
                Deadline.after(REPORT_TIMEOUT_SECONDS),
                context.client_disconnected,
            )
        except EndpointError as error:
            self._sender.note_error(Attempts(), endpoint, error)
            return None
        if status != 200:
            return None
        usable_until = Deadline.after(CACHE_SECONDS)
        parsed = self._sender.interface.read_report(body)
        if isinstance(parsed, Success):
            report = parsed.unwrap()
            is_from_start = endpoint.matches_start(report.started_at_ms)
            return _CachedReport(report, usable_until) if is_from_start else None
        extra = {
            "request_id": context.request.request_id,
            "endpoint_id": endpoint.endpoint_id,
            "problem": parsed.failure(),
        }
        logger.info("engine's report not usable", extra=extra)
        return _CachedReport(None, usable_until)
