"""Providers of metrics and spans: exported when asked for, or read as text."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from opentelemetry import metrics, trace
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader, MetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider

from jujubeslip.kernel import TelemetrySettings
from jujubeslip.telemetry._metrics_text import metrics_as_text


@dataclass(frozen=True)
class Telemetry:
    """What `configure_telemetry` opened."""

    shutdown: Callable[[], None]
    """Exports what is left."""
    metrics_text: Callable[[], str]
    """Returns the metrics of now; empty where they are not served."""


def configure_telemetry(
    settings: TelemetrySettings, host_id: str, availability_zone: str
) -> Telemetry:
    """Open the providers; nothing is recorded that nobody can read."""
    resource = Resource.create(
        {
            "service.name": "jujubeslip",
            "host.id": host_id,
            "cloud.availability_zone": availability_zone,
        }
    )
    readers: list[MetricReader] = []
    shut_down: list[Callable[[], None]] = []
    text: Callable[[], str] = str
    if settings.metrics_address:
        reader = InMemoryMetricReader()
        readers.append(reader)
        text = _text_of(reader)
    if settings.otlp_endpoint:
        shut_down.append(_export_spans(settings, resource))
        readers.append(_metric_exporter(settings))
    if readers:
        meters = MeterProvider(resource=resource, metric_readers=readers)
        metrics.set_meter_provider(meters)
        shut_down.append(meters.shutdown)

    def shutdown() -> None:
        for stop in shut_down:
            stop()

    return Telemetry(shutdown, text)


def _text_of(reader: InMemoryMetricReader) -> Callable[[], str]:
    return lambda: metrics_as_text(reader.get_metrics_data())


def _export_spans(
    settings: TelemetrySettings, resource: Resource
) -> Callable[[], None]:
    # Imported late: the exporters cost some 8 MB that a process without them saves.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    spans = TracerProvider(resource=resource)
    spans.add_span_processor(
        BatchSpanProcessor(
            OTLPSpanExporter(f"{settings.otlp_endpoint.rstrip('/')}/v1/traces"),
            schedule_delay_millis=settings.export_interval_ms,
        )
    )
    trace.set_tracer_provider(spans)
    return spans.shutdown


def _metric_exporter(settings: TelemetrySettings) -> MetricReader:
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(f"{settings.otlp_endpoint.rstrip('/')}/v1/metrics"),
        export_interval_millis=settings.export_interval_ms,
    )
