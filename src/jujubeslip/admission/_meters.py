"""The metrics of admission; docs/reference/metrics.md lists them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from jujubeslip.admission._models import MeasuredEngine
from jujubeslip.admission._waiting_request import Decision
from jujubeslip.kernel import steady_seconds

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


def observe_speeds(
    measured_engines: Callable[[], Iterable[MeasuredEngine]],
    provider: metrics.MeterProvider | None = None,
) -> None:
    """Register gauges of the known engines' speeds, which are read with the metrics."""
    meter = metrics.get_meter("jujubeslip.admission", meter_provider=provider)

    def speeds(_: CallbackOptions) -> Iterator[Observation]:
        for engine in measured_engines():
            yield Observation(engine.speed.factor, _labels(engine))

    def ages(_: CallbackOptions) -> Iterator[Observation]:
        now = steady_seconds()
        for engine in measured_engines():
            if engine.speed.measured_at is not None:
                yield Observation(engine.speed.age(now), _labels(engine))

    meter.create_observable_gauge(
        "jujubeslip.admission.engine_speed",
        [speeds],
        description="Measured speed of each engine, 1 for the median of its role.",
    )
    meter.create_observable_gauge(
        "jujubeslip.admission.engine_speed_age",
        [ages],
        unit="s",
        description="Time since the speed was measured, by engine; none if unknown.",
    )


def _labels(engine: MeasuredEngine) -> dict[str, str]:
    endpoint = engine.endpoint
    return {
        "service": endpoint.service_name,
        "endpoint": endpoint.endpoint_id,
        "role": endpoint.role.name.lower(),
    }
