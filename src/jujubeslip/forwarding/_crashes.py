"""Whether an endpoint has ended while it ran a request."""

from __future__ import annotations

import logging

from opentelemetry import metrics

from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.endpoints import has_ended
from jujubeslip.forwarding._models import Attempts, ForwardContext

logger = logging.getLogger(__name__)


class CrashWatch:
    """Tells endpoints that have ended from answers that were lost on their way."""

    def __init__(self, book: EndpointBook) -> None:
        self._book = book
        self._crashes = metrics.get_meter("jujubeslip.forwarding").create_counter(
            "jujubeslip.forward.endpoint_crashes",
            description="Requests whose endpoint ended while it ran them, by service.",
        )

    def note_cut(
        self, context: ForwardContext, attempts: Attempts, endpoint: Endpoint
    ) -> None:
        """Note a run whose connection ended before its answer did."""
        crashed = self._book.is_over(endpoint) or has_ended(endpoint.address)
        if crashed:
            self._crashes.add(1, {"service": context.service_name})
        extra = {
            "request_id": context.request.request_id,
            "fingerprint": context.fingerprint,
            "start_id": endpoint.start_id,
            "endpoint_ended": crashed,
            "sent_ago_ms": int(attempts.latest_sent_at.overdue() * 1000),
            "events": attempts.events,
        }
        logger.info("run cut off", extra=extra)
