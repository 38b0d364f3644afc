"""Chooses plain endpoints by when they are expected to answer.

Answers the load of three or four endpoints that dozens of hosts share, one of which
turns several times slower or fails in part for some seconds, or whose availability
zone has more demand than it can serve. Where the endpoints are even the choice is that
of `least-cost`.

The time that an endpoint takes beyond the usual one counts against crossing to another
availability zone, which costs the caller a share of its target. The price of a crossing
is drawn for each request between that share and a multiple of it: the longer an
endpoint takes, the more requests leave it, so that hosts don't leave it all at once and
return all at once.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from opentelemetry import metrics

from jujubeslip.discovery import Endpoint
from jujubeslip.forwarding._choice import (
    FAILURE_COST,
    OTHER_ZONE_COST,
    LeastCost,
    policies,
)
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._slow_log import Observation
from jujubeslip.peers import EndpointRole

# What a crossing to another availability zone costs, as a share of the caller's target:
# a request crosses if it is expected to save more time.
CROSSING_SHARE = 0.15
# Largest price of a crossing, as a multiple of the smallest.
MAXIMUM_PRICE = 4.0
# Target of requests for which none is known, in seconds.
DEFAULT_TARGET_SECONDS = 0.15
# Share of the requests that are placed without regard to what was measured. They find
# out that a slow endpoint is well again.
TRY_SHARE = 0.05


# Share of failed answers by other hosts from which on an endpoint is logged.
LOGGED_FAILURE_SHARE = 0.2


@policies.register("expected-time")
class ExpectedTime:
    """Takes the endpoint with the lowest cost, its measured answer time included."""

    def __init__(
        self,
        health: EndpointHealth,
        availability_zone: str,
        random_source: random.Random | None = None,
    ) -> None:
        self._health = health
        self._availability_zone = availability_zone
        self._least_cost = LeastCost(health, availability_zone)
        self._random = random_source or random.Random()
        self._crossings = metrics.get_meter("jujubeslip.forwarding").create_counter(
            "jujubeslip.forward.zone_crossings",
            description="Plain requests sent to another availability zone, by service.",
        )

    def choose(
        self, candidates: Sequence[Endpoint], target_seconds: float | None = None
    ) -> Endpoint:
        """Return the cheapest, at random among equals so that hosts differ."""
        if candidates[0].role is not EndpointRole.PLAIN:
            return self._least_cost.choose(candidates)
        lowest_price = CROSSING_SHARE * (target_seconds or DEFAULT_TARGET_SECONDS)
        price = lowest_price * self._random.uniform(1, MAXIMUM_PRICE)
        is_try = self._random.random() < TRY_SHARE

        def cost(endpoint: Endpoint) -> tuple[float, float]:
            known = self._observe(endpoint, lowest_price)
            measured = 0.0 if is_try else self._measured_cost(known, price)
            return self._least_cost.cost(endpoint) + measured, self._random.random()

        chosen = min(candidates, key=cost)
        self._health.answer_times.note_service(chosen.start_id, chosen.service_name)
        if chosen.availability_zone != self._availability_zone:
            self._crossings.add(1, {"service": chosen.service_name})
        return chosen

    def _observe(self, endpoint: Endpoint, lowest_price: float) -> Observation:
        start_id = endpoint.start_id
        times, shared = self._health.answer_times, self._health.shared_times
        own = times.expected_seconds(start_id) or 0.0
        told = shared.expected_seconds(start_id)
        usual = times.usual_times(endpoint.service_name)
        seconds = max(own, told)
        excess = seconds - usual.median if seconds >= usual.slow_from else 0.0
        failures = shared.failure_share(start_id)
        observation = Observation(
            start_id,
            endpoint.service_name,
            excess >= lowest_price or failures >= LOGGED_FAILURE_SHARE,
            own,
            told,
            usual.median,
            excess,
            failures,
        )
        self._health.slow_log.note(observation)
        return observation

    def _measured_cost(self, known: Observation, price: float) -> float:
        """Return the cost of slowness and of failures that other hosts report."""
        open_requests = self._health.open_requests(known.start_id)
        cost = (open_requests + 1) * known.excess_seconds / price * OTHER_ZONE_COST
        own_share = self._health.failure_share(known.start_id)
        return cost + FAILURE_COST * max(0.0, known.shared_failures - own_share)
