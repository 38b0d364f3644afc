"""Metric and trace providers: exported by OTLP, served as text, or both."""

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
    """Access to the providers that `configure_telemetry` opened."""

    shutdown: Callable[[], None]
    """Exports the remaining spans and metrics, and closes the providers."""
    metrics_text: Callable[[], str]
    """Returns the current metrics; empty if the settings have no metrics address."""


def configure_telemetry(
    settings: TelemetrySettings, host_id: str, availability_zone: str
) -> Telemetry:
    """Open the providers that the settings require.

    Without a metrics address and without an OTLP endpoint nothing is recorded.
    """
    resource = Resource.create(
        {
            "service.name": "jujubeslip",
            "host.id": host_id,
            "cloud.availability_zone": availability_zone,
        }
    )
    readers: list[MetricReader] = []
    shutdown_callbacks: list[Callable[[], None]] = []
    read_metrics: Callable[[], str] = str
    if settings.metrics_address:
        reader = InMemoryMetricReader()
        readers.append(reader)
        read_metrics = _metrics_reader(reader)
    if settings.otlp_endpoint:
        shutdown_callbacks.append(_export_spans(settings, resource))
        readers.append(_metric_exporter(settings))
    if readers:
        meter_provider = MeterProvider(resource=resource, metric_readers=readers)
        metrics.set_meter_provider(meter_provider)
        shutdown_callbacks.append(meter_provider.shutdown)

    def shutdown() -> None:
        for callback in shutdown_callbacks:
            callback()

    return Telemetry(shutdown, read_metrics)


def _metrics_reader(reader: InMemoryMetricReader) -> Callable[[], str]:
    return lambda: metrics_as_text(reader.get_metrics_data())


def _export_spans(
    settings: TelemetrySettings, resource: Resource
) -> Callable[[], None]:
    # Imported only if needed: the exporters take some 8 MB of memory.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    provider = TracerProvider(resource=resource)
    provider.add_span_processor(
        BatchSpanProcessor(
            OTLPSpanExporter(f"{settings.otlp_endpoint.rstrip('/')}/v1/traces"),
            schedule_delay_millis=settings.export_interval_ms,
        )
    )
    trace.set_tracer_provider(provider)
    return provider.shutdown


def _metric_exporter(settings: TelemetrySettings) -> MetricReader:
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(f"{settings.otlp_endpoint.rstrip('/')}/v1/metrics"),
        export_interval_millis=settings.export_interval_ms,
    )
