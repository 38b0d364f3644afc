"""Reports of engines' state, asked for when they are needed and kept for a while."""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass

from returns.result import Success

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import EndpointError
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.forwarding._sending import Sending
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

# How long a report is used, in seconds. It is up to a second old when it comes, in
# which an engine's answers change little; asking more often has its price.
KEPT_SECONDS = 0.5
# How long an engine may take to report, in seconds; it needs a millisecond or two. One
# beyond a network partition takes all of it.
ANSWER_SECONDS = 0.2


@dataclass(frozen=True)
class _Kept:
    report: EngineReport | None
    """None where what came is no report: asking again at once brings no other."""
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
        asked = self._ask(context, endpoint)
        if asked is None:
            return None
        with self._lock:
            self._kept_by_start[endpoint.start_id] = asked
        return asked.report

    def _ask(self, context: ForwardContext, endpoint: Endpoint) -> _Kept | None:
        """Return what the engine answered, None if it gave no answer."""
        question = self._sending.interface.ask_report(endpoint.endpoint_id)
        try:
            status, body = self._sending.ask(
                endpoint, question, Deadline.after(ANSWER_SECONDS), context.gone
            )
        except EndpointError as error:
            self._sending.note_error(Attempts(), endpoint, error)
            return None
        if status != 200:
            return None
        usable_until = Deadline.after(KEPT_SECONDS)
        read = self._sending.interface.read_report(body)
        if isinstance(read, Success):
            report = read.unwrap()
            own = endpoint.may_be(report.started_at_ms)
            return _Kept(report, usable_until) if own else None
        extra = {
            "request_id": context.request.request_id,
            "endpoint_id": endpoint.endpoint_id,
            "problem": read.failure(),
        }
        logger.info("engine's report not usable", extra=extra)
        return _Kept(None, usable_until)
