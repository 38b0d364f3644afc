"""A stand-in for an OTLP/HTTP collector that stores the spans and metrics."""

from __future__ import annotations

import gzip
import threading
import time
from dataclasses import dataclass

from opentelemetry.proto.collector.metrics.v1 import metrics_service_pb2
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2

from tests.fakes._http import JsonHandler, listen


@dataclass(frozen=True)
class ReceivedSpan:
    """A received span; identifiers in hexadecimal, times in nanoseconds."""

    name: str
    service: str
    trace_id: str
    span_id: str
    parent_id: str
    start_ns: int
    end_ns: int
    attributes: dict[str, object]


@dataclass(frozen=True)
class ReceivedMetric:
    """One data point of a metric; a histogram has its count, and its sum as value."""

    name: str
    service: str
    value: float
    count: int
    attributes: dict[str, object]


class Collector:
    """Listens on loopback; exporters send to `http://ADDRESS/v1/traces`."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._spans: list[ReceivedSpan] = []
        self._metrics: list[ReceivedMetric] = []
        handler = type("BoundHandler", (_CollectorHandler,), {"collector": self})
        self._server = listen("127.0.0.1:0", handler)
        host, port = self._server.server_address[:2]
        self.address = f"{host!s}:{port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def spans(self, name: str) -> tuple[ReceivedSpan, ...]:
        """Return the spans of a name, in order of arrival."""
        with self._changed:
            return tuple(span for span in self._spans if span.name == name)

    def span_names(self) -> set[str]:
        """Return the names of all spans received."""
        with self._changed:
            return {span.name for span in self._spans}

    def metrics(self, name: str) -> tuple[ReceivedMetric, ...]:
        """Return the data points of a metric, in order of arrival."""
        with self._changed:
            return tuple(metric for metric in self._metrics if metric.name == name)

    def wait_for_spans(
        self, name: str, count: int = 1, timeout: float = 20.0
    ) -> tuple[ReceivedSpan, ...]:
        """Wait for `count` spans of a name and return them; raise on a timeout."""
        end = time.monotonic() + timeout
        with self._changed:
            while sum(span.name == name for span in self._spans) < count:
                if not self._changed.wait(max(0.0, end - time.monotonic())):
                    seen = sorted({span.name for span in self._spans})
                    raise TimeoutError(f"no {count} spans {name!r}; seen: {seen}")
        return self.spans(name)

    def add_traces(self, content: bytes) -> None:
        """Store the spans of one export."""
        message = trace_service_pb2.ExportTraceServiceRequest.FromString(content)
        found = [
            _read_span(span, _service_name(resource.resource))
            for resource in message.resource_spans
            for scope in resource.scope_spans
            for span in scope.spans
        ]
        with self._changed:
            self._spans.extend(found)
            self._changed.notify_all()

    def add_metrics(self, content: bytes) -> None:
        """Store the data points of one export."""
        message = metrics_service_pb2.ExportMetricsServiceRequest.FromString(content)
        found = [
            _read_point(metric.name, _service_name(resource.resource), point)
            for resource in message.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for point in _points(metric)
        ]
        with self._changed:
            self._metrics.extend(found)
            self._changed.notify_all()


class _CollectorHandler(JsonHandler):
    collector: Collector
    routes = {"POST /v1/traces": "traces", "POST /v1/metrics": "metrics"}

    def traces(self) -> None:
        self.collector.add_traces(self._content())
        self.reply_bytes(200, b"", "application/x-protobuf")

    def metrics(self) -> None:
        self.collector.add_metrics(self._content())
        self.reply_bytes(200, b"", "application/x-protobuf")

    def _content(self) -> bytes:
        body = self.read_body()
        if self.headers.get("Content-Encoding") == "gzip":
            return gzip.decompress(body)
        return body


def _read_span(span, service: str) -> ReceivedSpan:  # type: ignore[no-untyped-def]
    return ReceivedSpan(
        span.name,
        service,
        span.trace_id.hex(),
        span.span_id.hex(),
        span.parent_span_id.hex(),
        span.start_time_unix_nano,
        span.end_time_unix_nano,
        _attributes(span.attributes),
    )


def _points(metric) -> list:  # type: ignore[no-untyped-def, type-arg]
    kind = metric.WhichOneof("data")
    return list(getattr(metric, kind).data_points) if kind else []


def _read_point(name: str, service: str, point) -> ReceivedMetric:  # type: ignore[no-untyped-def]
    if hasattr(point, "bucket_counts"):
        value, count = point.sum, point.count
    else:
        kind = point.WhichOneof("value")
        value, count = (float(getattr(point, kind)) if kind else 0.0), 1
    return ReceivedMetric(name, service, value, count, _attributes(point.attributes))


def _attributes(pairs) -> dict[str, object]:  # type: ignore[no-untyped-def]
    found = {}
    for pair in pairs:
        kind = pair.value.WhichOneof("value")
        found[pair.key] = getattr(pair.value, kind) if kind else None
    return found


def _service_name(resource) -> str:  # type: ignore[no-untyped-def]
    return str(_attributes(resource.attributes).get("service.name", ""))
