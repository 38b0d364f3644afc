"""Providers of metrics and spans, exported by OTLP over HTTP when asked for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from opentelemetry import metrics, trace
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider

from jujubeslip.kernel import TelemetrySettings


@dataclass(frozen=True)
class Telemetry:
    """What `configure_telemetry` opened; `shutdown` exports what is left."""

    shutdown: Callable[[], None]


def configure_telemetry(
    settings: TelemetrySettings, host_id: str, availability_zone: str
) -> Telemetry:
    """Open the providers; without an endpoint nothing is recorded or exported."""
    if not settings.otlp_endpoint:
        return Telemetry(shutdown=lambda: None)
    # Imported late: the exporters cost some 8 MB that a process without them saves.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    base = settings.otlp_endpoint.rstrip("/")
    resource = Resource.create(
        {
            "service.name": "jujubeslip",
            "host.id": host_id,
            "cloud.availability_zone": availability_zone,
        }
    )
    spans = TracerProvider(resource=resource)
    spans.add_span_processor(
        BatchSpanProcessor(
            OTLPSpanExporter(f"{base}/v1/traces"),
            schedule_delay_millis=settings.export_interval_ms,
        )
    )
    reader = PeriodicExportingMetricReader(
        OTLPMetricExporter(f"{base}/v1/metrics"),
        export_interval_millis=settings.export_interval_ms,
    )
    meters = MeterProvider(resource=resource, metric_readers=[reader])
    trace.set_tracer_provider(spans)
    metrics.set_meter_provider(meters)

    def shutdown() -> None:
        spans.shutdown()
        meters.shutdown()

    return Telemetry(shutdown)
