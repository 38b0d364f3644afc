"""Baseline policies that choose by this host's own view of the endpoints."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence

from jujubeslip.homes import EndpointRecord
from jujubeslip.kernel import Registry

LocalPolicy = Callable[[Sequence[EndpointRecord]], EndpointRecord]

local_policies: Registry[LocalPolicy] = Registry("policy")

_turns = itertools.count()


@local_policies.register("random")
def choose_at_random(records: Sequence[EndpointRecord]) -> EndpointRecord:
    """Return any endpoint."""
    return random.choice(records)


@local_policies.register("round-robin")
def choose_in_turn(records: Sequence[EndpointRecord]) -> EndpointRecord:
    """Return the endpoints one after another."""
    ordered = sorted(records, key=lambda record: record.endpoint_id)
    return ordered[next(_turns) % len(ordered)]


@local_policies.register("least-loaded")
def choose_least_loaded(records: Sequence[EndpointRecord]) -> EndpointRecord:
    """Return the endpoint with the least reported load, which lags behind."""
    return min(records, key=lambda record: (reported_load(record), random.random()))


def reported_load(record: EndpointRecord) -> float:
    """Return the share of an endpoint's slots in use as it last reported."""
    if record.status is None:
        return 0.0
    return (record.status.queued + record.status.running) / max(1, record.slots)
