"""Structured logs, OpenTelemetry metrics, and trace spans for each hop of a request."""

from jujubeslip.telemetry._logs import configure_logging
from jujubeslip.telemetry._meters import MILLISECOND_BUCKETS, Meters, gauge_callback
from jujubeslip.telemetry._metrics_server import serve_metrics
from jujubeslip.telemetry._setup import Telemetry, configure_telemetry
from jujubeslip.telemetry._spans import (
    context_from_traceparent,
    current_traceparent,
    tracer,
)

__all__ = [
    "MILLISECOND_BUCKETS",
    "Meters",
    "Telemetry",
    "configure_logging",
    "configure_telemetry",
    "context_from_traceparent",
    "current_traceparent",
    "gauge_callback",
    "serve_metrics",
    "tracer",
]
