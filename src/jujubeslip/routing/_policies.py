"""Baseline policies that choose endpoints by this host's own view."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence

from jujubeslip.homes import EndpointRecord
from jujubeslip.kernel import Registry

LocalPolicy = Callable[[Sequence[EndpointRecord]], EndpointRecord]

local_policies: Registry[LocalPolicy] = Registry("policy")

_request_numbers = itertools.count()


@local_policies.register("random")
def choose_randomly(records: Sequence[EndpointRecord]) -> EndpointRecord:
    """Return a random endpoint."""
    return random.choice(records)


@local_policies.register("round-robin")
def choose_round_robin(records: Sequence[EndpointRecord]) -> EndpointRecord:
    """Return the endpoints in rotation, ordered by id."""
    ordered = sorted(records, key=lambda record: record.endpoint_id)
    return ordered[next(_request_numbers) % len(ordered)]


@local_policies.register("least-loaded")
def choose_least_loaded(records: Sequence[EndpointRecord]) -> EndpointRecord:
    """Return the endpoint with the least reported load, which may be outdated."""
    return min(records, key=lambda record: (reported_load(record), random.random()))


def reported_load(record: EndpointRecord) -> float:
    """Return the last reported requests of an endpoint as a share of its slots."""
    if record.status is None:
        return 0.0
    return (record.status.queued + record.status.running) / max(1, record.slots)
