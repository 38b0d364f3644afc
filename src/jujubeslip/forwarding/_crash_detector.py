"""Detects endpoints that have crashed while they ran a request."""

from __future__ import annotations

import logging
from collections.abc import Callable

from opentelemetry import metrics

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import has_ended
from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.kernel import steady_seconds
from jujubeslip.quarantine import Crash, CrashRegistry, HarmlessContents

logger = logging.getLogger(__name__)

# A request whose answer has lasted this long did not crash its endpoint by its content,
# in seconds.
CRASH_WINDOW_SECONDS = 0.5


def _refuses_connections(_: str, address: str) -> bool:
    return has_ended(address)


class CrashDetector:
    """Distinguishes endpoints that have crashed from answers lost in transit."""

    def __init__(
        self,
        registry: EndpointRegistry,
        crash_registry: CrashRegistry,
        harmless_contents: HarmlessContents,
        report_crashes: Callable[[], None],
        has_ended: Callable[[str, str], bool] = _refuses_connections,
    ) -> None:
        """Create the detector; `has_ended` takes a start and its address."""
        self._has_ended = has_ended
        self._registry = registry
        self._crash_registry = crash_registry
        self._harmless_contents = harmless_contents
        self._report_crashes = report_crashes
        self._crashes = metrics.get_meter("jujubeslip.forwarding").create_counter(
            "jujubeslip.forward.endpoint_crashes",
            description="Requests whose endpoint ended while it ran them, by service.",
        )

    def has_ended(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's start has ended."""
        return self._registry.is_superseded(endpoint) or self._has_ended(
            endpoint.start_id, endpoint.address
        )

    def record_cut_off(
        self, context: ForwardContext, attempts: Attempts, endpoint: Endpoint
    ) -> None:
        """Record a run whose connection ended before its answer was complete."""
        crashed = self.has_ended(endpoint)
        if crashed:
            self._crashes.add(1, {"service": context.service_name})
        is_harmless = self._harmless_contents.holds(context.fingerprint)
        if crashed and attempts.answered_seconds < CRASH_WINDOW_SECONDS:
            self._record_crash(context, attempts, endpoint, is_harmless)
        extra = {
            "request_id": context.request.request_id,
            "fingerprint": context.fingerprint,
            "part_fingerprints": list(context.part_fingerprints),
            "start_id": endpoint.start_id,
            "endpoint_ended": crashed,
            "harmless": is_harmless,
            "harmless_ago_ms": self._harmless_contents.ran_ago_ms(context.fingerprint),
            "sent_ago_ms": int(attempts.latest_sent_at.overdue() * 1000),
            "answered": attempts.answer_started is not None,
            "answered_ms": int(attempts.answered_seconds * 1000),
        }
        logger.info("run cut off", extra=extra)

    def _record_crash(
        self,
        context: ForwardContext,
        attempts: Attempts,
        endpoint: Endpoint,
        is_harmless: bool,
    ) -> None:
        fingerprints = list(context.part_fingerprints)
        if not is_harmless:
            fingerprints.append(context.fingerprint)
        if not fingerprints:
            return
        crash = Crash(
            endpoint.start_id,
            attempts.latest_sent_at.timestamp,
            steady_seconds(),
            attempts.answer_started is not None,
            context.fingerprint,
            context.service_name,
        )
        self._crash_registry.record_crashes(fingerprints, crash)
        self._report_crashes()
