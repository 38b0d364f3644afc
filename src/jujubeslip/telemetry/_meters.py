"""The metrics of an entry host; docs/reference/metrics.md lists them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

MILLISECOND_BUCKETS = (5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000)


def gauge_callback(
    value: Callable[[], float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    """Return a callback for an observable gauge that has a single value."""
    return lambda _: [Observation(value())]


class Meters:
    """The metric instruments of an entry host; durations are in milliseconds."""

    def __init__(self) -> None:
        meter = metrics.get_meter("jujubeslip")
        self.requests = meter.create_counter(
            "jujubeslip.requests", description="Requests by service, rule and outcome."
        )
        self.refusals = meter.create_counter(
            "jujubeslip.refusals", description="Refusals by error id and `ran`."
        )
        self.retries = meter.create_counter(
            "jujubeslip.retries", description="Further attempts by service and cause."
        )
        self.prefill_tokens = meter.create_counter(
            "jujubeslip.prefill.tokens", description="Prompt tokens computed."
        )
        self.first_token = meter.create_histogram(
            "jujubeslip.first_token",
            unit="ms",
            description="Time to the first token.",
            explicit_bucket_boundaries_advisory=MILLISECOND_BUCKETS,
        )
        self.between_tokens = meter.create_histogram(
            "jujubeslip.between_tokens",
            unit="ms",
            description="Mean time between tokens of one answer.",
            explicit_bucket_boundaries_advisory=MILLISECOND_BUCKETS,
        )
