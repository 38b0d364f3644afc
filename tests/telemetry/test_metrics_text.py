"""The text format of metrics."""

from __future__ import annotations

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from jujubeslip.telemetry._metrics_text import metrics_as_text


def _provider() -> tuple[MeterProvider, InMemoryMetricReader]:
    reader = InMemoryMetricReader()
    return MeterProvider(metric_readers=[reader]), reader


class TestMetricsAsText:
    def test_is_empty_before_the_first_value(self) -> None:
        _, reader = _provider()
        assert metrics_as_text(reader.get_metrics_data()) == ""

    def test_counter_has_a_line_for_each_label_set(self) -> None:
        provider, reader = _provider()
        counter = provider.get_meter("test").create_counter(
            "test.requests", description="Requests."
        )
        counter.add(2, {"kind": "safe"})
        counter.add(1, {"kind": 'a "quoted" one'})
        lines = metrics_as_text(reader.get_metrics_data()).splitlines()
        assert "# TYPE test_requests_total counter" in lines
        assert 'test_requests_total{kind="safe"} 2' in lines
        assert 'test_requests_total{kind="a \\"quoted\\" one"} 1' in lines

    def test_histogram_buckets_are_cumulative(self) -> None:
        provider, reader = _provider()
        histogram = provider.get_meter("test").create_histogram(
            "test.wait", unit="ms", explicit_bucket_boundaries_advisory=[10, 100]
        )
        for value in (5, 50, 500):
            histogram.record(value)
        lines = metrics_as_text(reader.get_metrics_data()).splitlines()
        assert 'test_wait_ms_bucket{le="10"} 1' in lines
        assert 'test_wait_ms_bucket{le="100"} 2' in lines
        assert 'test_wait_ms_bucket{le="+Inf"} 3' in lines
        assert "test_wait_ms_sum 555" in lines
        assert "test_wait_ms_count 3" in lines
