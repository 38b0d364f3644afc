"""Whether an endpoint has ended while it ran a request."""

from __future__ import annotations

import logging
from collections.abc import Callable

from opentelemetry import metrics

from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.endpoints import has_ended
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.kernel import steady_seconds
from jujubeslip.quarantine import Crash, CrashBook, HarmlessContents

logger = logging.getLogger(__name__)

# A request that has been answered for this long has not crashed its endpoint by what it
# asks for, in seconds.
BEGIN_SECONDS = 0.5


class CrashWatch:
    """Tells endpoints that have ended from answers that were lost on their way."""

    def __init__(
        self,
        book: EndpointBook,
        crash_book: CrashBook,
        harmless: HarmlessContents,
        tell: Callable[[], None],
    ) -> None:
        self._book = book
        self._crash_book = crash_book
        self._harmless = harmless
        self._tell = tell
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
        is_harmless = self._harmless.holds(context.fingerprint)
        if crashed and not is_harmless and attempts.answered_seconds < BEGIN_SECONDS:
            sent_at = attempts.latest_sent_at.instant
            was_answered = attempts.answered_from is not None
            crash = Crash(endpoint.start_id, sent_at, steady_seconds(), was_answered)
            self._crash_book.note_crash(context.fingerprint, crash)
            self._tell()
        extra = {
            "request_id": context.request.request_id,
            "fingerprint": context.fingerprint,
            "start_id": endpoint.start_id,
            "endpoint_ended": crashed,
            "harmless": is_harmless,
            "harmless_ago_ms": self._harmless.ran_ago_ms(context.fingerprint),
            "sent_ago_ms": int(attempts.latest_sent_at.overdue() * 1000),
            "answered": attempts.answered_from is not None,
            "answered_ms": int(attempts.answered_seconds * 1000),
        }
        logger.info("run cut off", extra=extra)
