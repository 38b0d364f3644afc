"""Selects the endpoint that gets a request."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.kernel import Registry, steady_seconds
from jujubeslip.notices import Hold, ServiceHolds
from jujubeslip.peers import EndpointRole

# Cost of an endpoint in another availability zone, in open requests: traffic between
# zones is billed, and only a queue of two requests at the endpoint in the own zone
# takes longer than the network delay.
OTHER_ZONE_COST = 2.0
# Cost of an endpoint that fails every request, in open requests.
FAILURE_COST = 12.0
# Cost of an endpoint that reports being slow after its start, in open requests.
SLOW_START_COST = 1.0


class Policy(Protocol):
    """Chooses among usable endpoints, of which there is at least one."""

    def choose(
        self, candidates: Sequence[Endpoint], target_seconds: float | None = None
    ) -> Endpoint:
        """Return one of the candidates, for a request with this target if known."""


PolicyFactory = Callable[[EndpointHealth, str], Policy]
policies: Registry[PolicyFactory] = Registry("forwarding policy")


@policies.register("least-cost")
class LeastCost:
    """Takes the endpoint with the lowest cost: open requests, zone, failures."""

    def __init__(self, health: EndpointHealth, availability_zone: str) -> None:
        self._health = health
        self._availability_zone = availability_zone

    def choose(
        self, candidates: Sequence[Endpoint], target_seconds: float | None = None
    ) -> Endpoint:
        """Return the cheapest, at random among equals so that hosts differ."""
        return min(candidates, key=lambda item: (self.cost(item), random.random()))

    def cost(self, endpoint: Endpoint) -> float:
        """Return the cost of an endpoint, in open requests."""
        cost = float(self._health.open_requests(endpoint.start_id))
        if endpoint.availability_zone != self._availability_zone:
            cost += OTHER_ZONE_COST
        if not endpoint.slow_until.expired:
            cost += SLOW_START_COST
        return cost + FAILURE_COST * self._health.failure_share(endpoint.start_id)


@policies.register("least-loaded")
class LeastLoaded:
    """Takes the endpoint with the fewest open requests of this host, as a baseline."""

    def __init__(self, health: EndpointHealth, availability_zone: str) -> None:
        self._health = health

    def choose(
        self, candidates: Sequence[Endpoint], target_seconds: float | None = None
    ) -> Endpoint:
        """Return the one with the fewest open requests, at random among equals."""
        return min(
            candidates,
            key=lambda item: (
                self._health.open_requests(item.start_id),
                random.random(),
            ),
        )


@policies.register("round-robin")
class RoundRobin:
    """Takes the endpoints in turn, as a baseline."""

    def __init__(self, health: EndpointHealth, availability_zone: str) -> None:
        self._turns = itertools.count()

    def choose(
        self, candidates: Sequence[Endpoint], target_seconds: float | None = None
    ) -> Endpoint:
        """Return the next one by endpoint id."""
        ordered = sorted(candidates, key=lambda item: item.endpoint_id)
        return ordered[next(self._turns) % len(ordered)]


class Chooser:
    """Finds the usable endpoints of a service and lets the policy choose."""

    def __init__(
        self,
        registry: EndpointRegistry,
        health: EndpointHealth,
        policy: Policy,
        silence_seconds: float,
        hold_of: Callable[[str], Hold | None] = lambda _: None,
    ) -> None:
        self._hold_of = hold_of
        self._registry = registry
        self._health = health
        self._policy = policy
        self._silence_seconds = silence_seconds

    def choose(
        self,
        service_name: str,
        role: EndpointRole,
        excluded: Collection[str],
        target_seconds: float | None = None,
    ) -> Endpoint | None:
        """Return an endpoint whose start is not excluded, None if there is none.

        An endpoint that is unreachable, or was not heard from for long, is only taken
        if there is no other: a partitioned host continues with the endpoints it knows.
        One that is known to be replaced is never taken, because prompts would be
        prefilled for it needlessly.
        """
        usable = self._usable(service_name, role, excluded)
        if not usable:
            return None
        return self._policy.choose(self._healthy(usable) or usable, target_seconds)

    def choose_healthy(self, service_name: str, role: EndpointRole) -> Endpoint | None:
        """Return an endpoint that is heard from and reachable, None without one."""
        healthy = self._healthy(self._usable(service_name, role, ()))
        return self._policy.choose(healthy) if healthy else None

    def has_healthy(
        self, service_name: str, role: EndpointRole, excluded: Collection[str]
    ) -> bool:
        """Return whether an endpoint is heard from, reachable and not excluded."""
        return bool(self._healthy(self._usable(service_name, role, excluded)))

    def choose_in_zone(
        self,
        service_name: str,
        role: EndpointRole,
        excluded: Collection[str],
        availability_zone: str,
    ) -> Endpoint | None:
        """Return a healthy endpoint of this availability zone, None without one."""
        healthy = self._healthy(self._usable(service_name, role, excluded))
        in_zone = [
            item for item in healthy if item.availability_zone == availability_zone
        ]
        return self._policy.choose(in_zone) if in_zone else None

    def holds(self, service_name: str, role: EndpointRole) -> ServiceHolds:
        """Return the holds of the endpoints of this role that are not leaving."""
        starts = (item.start_id for item in self._known(service_name, role))
        return ServiceHolds({start_id: self._hold_of(start_id) for start_id in starts})

    def is_superseded(self, endpoint: Endpoint) -> bool:
        """Return whether a later start is known to have replaced this one."""
        return self._registry.is_superseded(endpoint)

    def _usable(
        self, service_name: str, role: EndpointRole, excluded: Collection[str]
    ) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._known(service_name, role)
            if endpoint.start_id not in excluded
            and self._hold_of(endpoint.start_id) is None
        ]

    def _known(self, service_name: str, role: EndpointRole) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._registry.endpoints()
            if endpoint.service_name == service_name
            and endpoint.role == role
            and endpoint.accepts_work
            and not self._health.is_replaced(endpoint.start_id)
        ]

    def _healthy(self, usable: Sequence[Endpoint]) -> list[Endpoint]:
        heard_since = steady_seconds() - self._silence_seconds
        return [
            endpoint
            for endpoint in usable
            if endpoint.heard_at >= heard_since
            and not self._health.is_paused(endpoint.start_id)
        ]
