"""Spans, and the propagation of their context between processes (W3C traceparent)."""

from __future__ import annotations

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

_PROPAGATOR = TraceContextTextMapPropagator()


def tracer() -> trace.Tracer:
    """Return the tracer for all spans of this system."""
    return trace.get_tracer("jujubeslip")


def current_traceparent() -> str:
    """Return the traceparent header of the current span; empty if there is none."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get("traceparent", "")


def context_from_traceparent(traceparent: str) -> Context:
    """Return the context of a traceparent header, empty for an empty header."""
    return _PROPAGATOR.extract({"traceparent": traceparent} if traceparent else {})
