"""Priorities and accounts of admission calls, and the metrics of what they hold."""

from __future__ import annotations

import pytest
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader, NumberDataPoint

from jujubeslip.admission._account_shares import HeldMemory
from jujubeslip.admission._models import grant_request_of
from jujubeslip.admission._priority_order import LOWEST_PRIORITY
from jujubeslip.admission._share_meters import (
    MAXIMUM_LABELED_ACCOUNTS,
    OTHER_ACCOUNTS,
    AccountLabels,
    observe_held,
)
from jujubeslip.admission._waiting_request import entry_of
from jujubeslip.peers import AdmissionRequest


def admission_request(priority: int | None) -> AdmissionRequest:
    return AdmissionRequest(
        "r-1",
        "model",
        100,
        130,
        65,
        0,
        64,
        900,
        600,
        0,
        [],
        attempt=1,
        priority=priority,
    )


class TestPriorityOfAdmissionCall:
    """Guards against an order broken by earlier builds or by absurd values."""

    @pytest.mark.parametrize(
        ("priority", "expected"),
        [(None, 0), (0, 0), (3, 3), (-5, 0), (2**31 - 1, LOWEST_PRIORITY)],
    )
    def test_is_bounded(self, priority: int | None, expected: int) -> None:
        entry = entry_of(grant_request_of(admission_request(priority)))
        assert entry.priority == expected
        assert entry.account_name == ""


class TestHeldTokens:
    def test_are_summed_by_priority_and_by_account(self) -> None:
        reader = InMemoryMetricReader()
        memories = [
            ("model", HeldMemory("a", 100, 1)),
            ("model", HeldMemory("a", 30, 2)),
            ("model", HeldMemory("", 7, 2)),
        ]
        observe_held(lambda: memories, MeterProvider([reader]))
        data = reader.get_metrics_data()
        assert data is not None
        found = {
            (
                metric.name,
                *sorted(str(label) for label in (point.attributes or {}).values()),
            ): point.value
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for point in metric.data.data_points
            if isinstance(point, NumberDataPoint)
        }
        assert found == {
            ("jujubeslip.admission.held_tokens", "1", "model"): 100,
            ("jujubeslip.admission.held_tokens", "2", "model"): 37,
            ("jujubeslip.admission.account_held_tokens", "a", "model"): 130,
        }

    def test_have_a_bounded_number_of_account_labels(self) -> None:
        labels = AccountLabels()
        names = [f"a-{number}" for number in range(MAXIMUM_LABELED_ACCOUNTS + 50)]
        found = {labels.label(name) for name in names}
        assert len(found) == MAXIMUM_LABELED_ACCOUNTS + 1
        assert OTHER_ACCOUNTS in found
        assert labels.label("a-0") == "a-0"
