"""Metrics in the Prometheus text format, one line per value."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from opentelemetry.sdk.metrics.export import (
    Gauge,
    Histogram,
    HistogramDataPoint,
    Metric,
    MetricsData,
    Sum,
)


def metrics_as_text(data: MetricsData | None) -> str:
    """Return all metrics with their descriptions; empty before the first value."""
    if data is None:
        return ""
    lines: list[str] = []
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines += _metric_lines(metric)
    return "\n".join([*lines, ""])


def _metric_lines(metric: Metric) -> Iterator[str]:
    name = metric.name.replace(".", "_")
    if metric.unit and metric.unit != "1":
        name = f"{name}_{metric.unit}"
    if isinstance(metric.data, Sum) and metric.data.is_monotonic:
        name = f"{name}_total"
    yield f"# HELP {name} {metric.description}"
    yield f"# TYPE {name} {_metric_type(metric)}"
    if isinstance(metric.data, Histogram):
        for point in metric.data.data_points:
            yield from _histogram_lines(name, point)
    elif isinstance(metric.data, Sum | Gauge):
        for value in metric.data.data_points:
            yield f"{name}{_labels(value.attributes)} {value.value}"


def _metric_type(metric: Metric) -> str:
    if isinstance(metric.data, Histogram):
        return "histogram"
    if isinstance(metric.data, Sum) and metric.data.is_monotonic:
        return "counter"
    return "gauge"


def _histogram_lines(name: str, point: HistogramDataPoint) -> Iterator[str]:
    count = 0
    bounds: Iterable[object] = [*point.explicit_bounds, "+Inf"]
    for bound, bucket in zip(bounds, point.bucket_counts, strict=True):
        count += bucket
        yield f"{name}_bucket{_labels(point.attributes, le=str(bound))} {count}"
    yield f"{name}_sum{_labels(point.attributes)} {point.sum}"
    yield f"{name}_count{_labels(point.attributes)} {point.count}"


def _labels(attributes: Mapping[str, Any] | None, **extra_labels: str) -> str:
    labels = {**(attributes or {}), **extra_labels}
    if not labels:
        return ""
    pairs = [f'{key}="{_escape(str(value))}"' for key, value in labels.items()]
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
