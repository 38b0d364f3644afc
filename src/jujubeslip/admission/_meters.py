"""The metrics of admission; docs/reference/metrics.md lists them."""

from __future__ import annotations

from opentelemetry import metrics

from jujubeslip.admission._engine_pool import Decision

# Histogram bucket boundaries for shares of an engine's memory.
SHARE_BUCKETS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95)


class AdmissionMeters:
    """Counts the leader's decisions."""

    def __init__(self) -> None:
        meter = metrics.get_meter("jujubeslip.admission")
        self._decisions = meter.create_counter(
            "jujubeslip.admission.decisions",
            description="Grants and refusals, by service and outcome.",
        )
        self._fill = meter.create_histogram(
            "jujubeslip.admission.fill",
            description="Share of an engine's memory that was forecast at a grant.",
            explicit_bucket_boundaries_advisory=SHARE_BUCKETS,
        )

    def note(self, service_name: str, decision: Decision) -> None:
        """Count a decision, unless it only says to ask again."""
        if decision.grant is not None:
            self._decisions.add(1, {"service": service_name, "outcome": "granted"})
            self._fill.record(decision.grant.fill, {"service": service_name})
        elif decision.refused:
            self._decisions.add(1, {"service": service_name, "outcome": "refused"})
