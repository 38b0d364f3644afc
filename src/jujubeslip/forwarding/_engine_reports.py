"""Reports of engines' state, asked for when they are needed and kept for a while."""

from __future__ import annotations

import threading
from dataclasses import dataclass

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import EndpointError
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._sending import Sending
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport

# How long a report is used, in seconds. It is up to a second old when it comes, in
# which an engine's answers change little; asking more often has its price.
KEPT_SECONDS = 0.5
# How long an engine may take to report, in seconds; it needs a millisecond or two.
ANSWER_SECONDS = 0.4


@dataclass(frozen=True)
class _Kept:
    report: EngineReport
    usable_until: Deadline


class EngineReports:
    """The latest report of each engine's start."""

    def __init__(self, sending: Sending) -> None:
        self._sending = sending
        self._kept_by_start: dict[str, _Kept] = {}
        self._lock = threading.Lock()

    def get(self, context: ForwardContext, endpoint: Endpoint) -> EngineReport | None:
        """Return a report that is not too old, None if the engine gives none."""
        with self._lock:
            kept = self._kept_by_start.get(endpoint.start_id)
        if kept is not None and not kept.usable_until.expired:
            return kept.report
        report = self._ask(context, endpoint)
        if report is not None:
            usable_until = Deadline.after(KEPT_SECONDS)
            with self._lock:
                self._kept_by_start[endpoint.start_id] = _Kept(report, usable_until)
        return report

    def _ask(self, context: ForwardContext, endpoint: Endpoint) -> EngineReport | None:
        question = self._sending.interface.ask_report(endpoint.endpoint_id)
        try:
            status, body = self._sending.ask(
                endpoint, question, Deadline.after(ANSWER_SECONDS), context.gone
            )
        except EndpointError as error:
            self._sending.note_error(Attempts(), endpoint, error)
            return None
        report = self._sending.interface.read_report(body) if status == 200 else None
        if report is None or not endpoint.may_be(report.started_at_ms):
            return None
        return report
