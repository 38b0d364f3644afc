"""Metrics of how priorities and client accounts wait and what they hold."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from jujubeslip.admission._account_shares import HeldMemory
from jujubeslip.admission._models import GrantRequest
from jujubeslip.admission._priority_order import LOWEST_PRIORITY
from jujubeslip.admission._waiting_request import Decision

# Histogram bucket boundaries for waits, in seconds.
SECOND_BUCKETS = (0.01, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0)
# Number of accounts that have a label of their own; others share one.
MAXIMUM_LABELED_ACCOUNTS = 200
OTHER_ACCOUNTS = "other"

HeldMemories = Callable[[], Iterable[tuple[str, HeldMemory]]]


class AccountLabels:
    """The labels of client accounts, whose number is bounded."""

    def __init__(self) -> None:
        self._names: set[str] = set()

    def label(self, name: str) -> str:
        """Return an account's name, or a common label beyond the maximum number."""
        if len(self._names) < MAXIMUM_LABELED_ACCOUNTS:
            self._names.add(name)
        return name if name in self._names else OTHER_ACCOUNTS


class ShareMeters:
    """Records how long requests wait, by priority and by client account."""

    def __init__(self) -> None:
        meter = metrics.get_meter("jujubeslip.admission")
        self._labels = AccountLabels()
        self._wait = meter.create_histogram(
            "jujubeslip.admission.wait",
            unit="s",
            description="Wait until a decision, by service, priority and outcome.",
            explicit_bucket_boundaries_advisory=SECOND_BUCKETS,
        )
        self._account_wait = meter.create_histogram(
            "jujubeslip.admission.account_wait",
            unit="s",
            description="Wait until a decision, by client account and outcome.",
            explicit_bucket_boundaries_advisory=SECOND_BUCKETS,
        )

    def note(
        self, service_name: str, grant_request: GrantRequest, decision: Decision
    ) -> None:
        """Record a decision, unless it only says to ask again."""
        if decision.grant is None and not decision.refused:
            return
        outcome = "refused" if decision.refused else "granted"
        priority = str(min(LOWEST_PRIORITY, grant_request.priority))
        labels = {"service": service_name, "priority": priority, "outcome": outcome}
        self._wait.record(decision.waited, labels)
        if grant_request.sharing_account:
            account = self._labels.label(grant_request.sharing_account)
            labels = {"account": account, "outcome": outcome}
            self._account_wait.record(decision.waited, labels)


def observe_held(
    held_memories: HeldMemories, provider: metrics.MeterProvider | None = None
) -> None:
    """Register gauges of the engines' memory that granted requests hold."""
    meter = metrics.get_meter("jujubeslip.admission", meter_provider=provider)
    account_labels = AccountLabels()

    def by_priority(_: CallbackOptions) -> Iterator[Observation]:
        tokens: Counter[tuple[str, int]] = Counter()
        for service_name, held in held_memories():
            tokens[service_name, held.priority] += held.tokens
        for (service_name, priority), count in tokens.items():
            labels = {"service": service_name, "priority": str(priority)}
            yield Observation(count, labels)

    def by_account(_: CallbackOptions) -> Iterator[Observation]:
        tokens: Counter[tuple[str, str]] = Counter()
        for service_name, held in held_memories():
            if held.account_name:
                label = account_labels.label(held.account_name)
                tokens[service_name, label] += held.tokens
        for (service_name, label), count in tokens.items():
            yield Observation(count, {"service": service_name, "account": label})

    meter.create_observable_gauge(
        "jujubeslip.admission.held_tokens",
        [by_priority],
        description="Memory that granted requests hold, by service and priority.",
    )
    meter.create_observable_gauge(
        "jujubeslip.admission.account_held_tokens",
        [by_account],
        description="Memory that granted requests hold, by service and account.",
    )
