"""Spans, and their context on the way between processes (W3C traceparent)."""

from __future__ import annotations

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_PROPAGATOR = TraceContextTextMapPropagator()


def tracer() -> trace.Tracer:
    """Return the tracer of this system."""
    return trace.get_tracer("jujubeslip")


def current_traceparent() -> str:
    """Return the header value for the span that is current, or an empty string."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get("traceparent", "")


def context_from_traceparent(traceparent: str) -> Context:
    """Return the context that a header value stands for."""
    return _PROPAGATOR.extract({"traceparent": traceparent} if traceparent else {})
