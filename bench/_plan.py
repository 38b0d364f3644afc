"""Plans the requests of a run: an open-loop load that depends only on a seed."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import dataclass

from bench._capacity import class_rates
from bench._scenarios import RequestClass, Scenario


@dataclass(frozen=True)
class PlannedRequest:
    """One request; `at` is its intended start in seconds after the run's start."""

    request_id: str
    class_name: str
    at: float
    prompt_tokens: int
    output_tokens: int
    family: int


def plan_requests(
    scenario: Scenario, load: float, seconds: float, seed: int
) -> tuple[PlannedRequest, ...]:
    """Return the requests of a run in order of their intended start."""
    rates = class_rates(scenario, load)
    planned = [
        request
        for item in scenario.classes
        for request in _plan_class(item, rates[item.name], seconds, seed)
    ]
    return tuple(sorted(planned, key=lambda request: request.at))


def _plan_class(
    item: RequestClass, rate: float, seconds: float, seed: int
) -> list[PlannedRequest]:
    source = random.Random(f"{item.name}-{seed}")
    numbers = itertools.count()
    return [
        PlannedRequest(
            request_id=f"{item.name}-{seed}-{next(numbers)}",
            class_name=item.name,
            at=at,
            prompt_tokens=source.randint(item.prompt.low, item.prompt.high),
            output_tokens=source.randint(item.output.low, item.output.high),
            family=source.randrange(item.families) if item.families else -1,
        )
        for at in _arrivals(item, rate, seconds, source)
    ]


def _arrivals(
    item: RequestClass, rate: float, seconds: float, source: random.Random
) -> list[float]:
    """Return Poisson arrivals, a share of which is moved into bursts."""
    arrivals = []
    at = source.expovariate(rate)
    while at < seconds:
        arrivals.append(_move_into_burst(item, at, seconds, source))
        at += source.expovariate(rate)
    return arrivals


def _move_into_burst(
    item: RequestClass, at: float, seconds: float, source: random.Random
) -> float:
    """Move an arrival to the start of its period if it belongs to a burst."""
    if item.burst is None or source.random() >= item.burst.share:
        return at
    start = math.floor(at / item.burst.period) * item.burst.period
    return min(start + source.random() * item.burst.width, seconds)


def make_prompt(request: PlannedRequest, item: RequestClass) -> str:
    """Return the class's template, a recurring part and words unique to the request."""
    remaining_tokens = request.prompt_tokens - item.template_tokens
    recurring = int(remaining_tokens * item.family_share) if request.family >= 0 else 0
    words = [f"{item.name}.{number:x}" for number in range(item.template_tokens)]
    words += [f"f{request.family}.{number:x}" for number in range(recurring)]
    request_number = request.request_id.rpartition("-")[2]
    words += [
        f"{request_number}.{number:x}" for number in range(remaining_tokens - recurring)
    ]
    return " ".join(words)
