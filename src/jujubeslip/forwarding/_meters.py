"""The metrics of a forwarding host; docs/reference/metrics.md lists them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from jujubeslip.forwarding._models import Attempts, ForwardContext
from jujubeslip.kernel import steady_seconds
from jujubeslip.routes import RouteKind
from jujubeslip.telemetry import MILLISECOND_BUCKETS, gauge_callback

# Maximum number of accounts with their own metric labels. Labels are never removed, and
# configurations may add new accounts for years.
MAXIMUM_LABELED_ACCOUNTS = 200
OTHER_ACCOUNTS = "other"
LIMIT_OUTCOMES = ("client_limit", "limit_unknown")


@dataclass(frozen=True)
class HostState:
    """The host's state that is read whenever its metrics are collected."""

    open_requests: int
    idle_connections: int
    """Idle connections to endpoints."""
    control_hosts: int
    """Control hosts that answered the latest call."""
    configuration_version: int
    configuration_age_seconds: float
    retries_left_by_service: dict[str, float]
    """Retries left in this host's budget."""
    quarantined_contents: int
    """Contents of requests that are quarantined."""
    quarantined_parts: int
    """Parts of prompts that are quarantined."""
    limited_endpoints: int
    """Endpoints that have announced a limit."""
    held_endpoints: int
    """Endpoints that are in backoff, or have announced that they are leaving."""
    reaches_endpoints: bool
    """Whether the host's own links to endpoints work."""
    relays: int
    """Other entry hosts that may relay requests for this one."""
    slow_endpoints: int
    """Plain endpoints that the host considers slow or failing."""


class ForwardMeters:
    """Counts requests by outcome, and records their durations in milliseconds."""

    def __init__(self) -> None:
        meter = metrics.get_meter("jujubeslip.forwarding")
        self._requests = meter.create_counter(
            "jujubeslip.forward.requests",
            description="Requests by kind of route, service and outcome.",
        )
        self._sends = meter.create_counter(
            "jujubeslip.forward.sends",
            description="Sends of requests to endpoints, by service.",
        )
        self._retries = meter.create_counter(
            "jujubeslip.forward.retries",
            description="Sends of requests that had been sent before, by service.",
        )
        self._wasted_prompts = meter.create_counter(
            "jujubeslip.forward.wasted_prompt_tokens",
            description="Prompt tokens read for an engine that refused the request.",
        )
        self._account_cost = meter.create_counter(
            "jujubeslip.forward.account_cost",
            description="What accounts' requests counted against their limits.",
        )
        self._account_refusals = meter.create_counter(
            "jujubeslip.forward.account_refusals",
            description="Requests refused for their account's limit, by account.",
        )
        self._labeled_accounts: set[str] = set()
        self._duration = meter.create_histogram(
            "jujubeslip.forward.duration",
            unit="ms",
            description="From a request's arrival to its end, by kind of route.",
            explicit_bucket_boundaries_advisory=MILLISECOND_BUCKETS,
        )
        self._grant_wait = meter.create_histogram(
            "jujubeslip.forward.grant_wait",
            unit="ms",
            description="From a request's arrival to its grant at an engine.",
            explicit_bucket_boundaries_advisory=MILLISECOND_BUCKETS,
        )
        self._first_event = meter.create_histogram(
            "jujubeslip.forward.first_event",
            unit="ms",
            description="From a request's arrival to the first event of its answer.",
            explicit_bucket_boundaries_advisory=MILLISECOND_BUCKETS,
        )
        self._pause = meter.create_histogram(
            "jujubeslip.forward.longest_pause",
            unit="ms",
            description="Longest pause between two events of an answer.",
            explicit_bucket_boundaries_advisory=MILLISECOND_BUCKETS,
        )

    def record_request(
        self, context: ForwardContext, attempts: Attempts, outcome: str
    ) -> None:
        """Record a request that has ended."""
        kind = context.route.kind
        service = {"service": context.service_name}
        labels = {"kind": kind.value, **service, "outcome": outcome}
        duration = steady_seconds() - context.request.arrived.timestamp
        self._requests.add(1, labels)
        self._duration.record(duration * 1000, {"kind": kind.value})
        self._sends.add(attempts.sends, service)
        if attempts.sends > 1:
            self._retries.add(attempts.sends - 1, service)
        if kind is RouteKind.STREAM:
            self._record_stream(attempts, service)
        if context.cost:
            self._record_account(context, outcome)

    def _record_account(self, context: ForwardContext, outcome: str) -> None:
        label = {"account": self._account_label(context.request.account_name)}
        if outcome in LIMIT_OUTCOMES:
            self._account_refusals.add(1, label)
        else:
            self._account_cost.add(context.cost, label)

    def _account_label(self, name: str) -> str:
        """Return an account's name, or a common label beyond the maximum number."""
        if len(self._labeled_accounts) < MAXIMUM_LABELED_ACCOUNTS:
            self._labeled_accounts.add(name)
        return name if name in self._labeled_accounts else OTHER_ACCOUNTS

    def _record_stream(self, attempts: Attempts, service: dict[str, str]) -> None:
        if attempts.wasted_prompt_tokens:
            self._wasted_prompts.add(attempts.wasted_prompt_tokens, service)
        if attempts.granted_ms is not None:
            self._grant_wait.record(attempts.granted_ms, service)
        if attempts.first_event_ms is not None:
            self._first_event.record(attempts.first_event_ms, service)
            self._pause.record(attempts.longest_gap_ms, service)


def observe_host(read: Callable[[], HostState]) -> None:
    """Register gauges of the host's state, read whenever metrics are collected."""
    meter = metrics.get_meter("jujubeslip.forwarding")
    meter.create_observable_gauge(
        "jujubeslip.forward.open_requests",
        [gauge_callback(lambda: read().open_requests)],
        description="Requests that are being served.",
    )
    meter.create_observable_gauge(
        "jujubeslip.forward.idle_connections",
        [gauge_callback(lambda: read().idle_connections)],
        description="Idle connections to endpoints.",
    )
    meter.create_observable_gauge(
        "jujubeslip.forward.control_hosts",
        [gauge_callback(lambda: read().control_hosts)],
        description="Control hosts that answered when last asked.",
    )
    meter.create_observable_gauge(
        "jujubeslip.forward.configuration_version",
        [gauge_callback(lambda: read().configuration_version)],
        description="Version of the configuration in force.",
    )
    meter.create_observable_gauge(
        "jujubeslip.forward.configuration_age_seconds",
        [gauge_callback(lambda: read().configuration_age_seconds)],
        description="How long that version has been in force here.",
    )

    meter.create_observable_gauge(
        "jujubeslip.forward.quarantined_contents",
        [gauge_callback(lambda: read().quarantined_contents)],
        description="Contents of requests that are held back, as they crash endpoints.",
    )
    meter.create_observable_gauge(
        "jujubeslip.forward.quarantined_parts",
        [gauge_callback(lambda: read().quarantined_parts)],
        description="Parts of prompts that are held back, as they crash endpoints.",
    )

    meter.create_observable_gauge(
        "jujubeslip.forward.limited_endpoints",
        [gauge_callback(lambda: read().limited_endpoints)],
        description="Endpoints that have named a limit of requests a second.",
    )

    meter.create_observable_gauge(
        "jujubeslip.forward.held_endpoints",
        [gauge_callback(lambda: read().held_endpoints)],
        description="Endpoints that are in backoff, or have said that they leave.",
    )

    meter.create_observable_gauge(
        "jujubeslip.forward.reaches_endpoints",
        [gauge_callback(lambda: int(read().reaches_endpoints))],
        description="1 while this host's own links to endpoints work, else 0.",
    )

    meter.create_observable_gauge(
        "jujubeslip.forward.relays",
        [gauge_callback(lambda: read().relays)],
        description="Other entry hosts that may relay requests for this one.",
    )

    meter.create_observable_gauge(
        "jujubeslip.forward.slow_endpoints",
        [gauge_callback(lambda: read().slow_endpoints)],
        description="Plain endpoints that the host considers slow or failing.",
    )

    def retries_left(_: CallbackOptions) -> Iterable[Observation]:
        left = read().retries_left_by_service
        return [Observation(value, {"service": name}) for name, value in left.items()]

    meter.create_observable_gauge(
        "jujubeslip.forward.retries_left",
        [retries_left],
        description="Further sends that this host's budget has, by service.",
    )
