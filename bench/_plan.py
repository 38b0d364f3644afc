"""The planned requests of a run: an open-loop load that a seed fixes."""

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
    """Return Poisson arrivals, a share of which is gathered in bursts."""
    arrivals = []
    at = source.expovariate(rate)
    while at < seconds:
        arrivals.append(_gathered(item, at, seconds, source))
        at += source.expovariate(rate)
    return arrivals


def _gathered(
    item: RequestClass, at: float, seconds: float, source: random.Random
) -> float:
    """Move an arrival to the start of its period, when it belongs to a burst."""
    if item.burst is None or source.random() >= item.burst.share:
        return at
    start = math.floor(at / item.burst.period) * item.burst.period
    return min(start + source.random() * item.burst.width, seconds)


def make_prompt(request: PlannedRequest, item: RequestClass) -> str:
    """Return the prompt: the class's template, a recurring part, its own words."""
    rest = request.prompt_tokens - item.template_tokens
    recurring = int(rest * item.family_share) if request.family >= 0 else 0
    words = [f"{item.name}.{number:x}" for number in range(item.template_tokens)]
    words += [f"f{request.family}.{number:x}" for number in range(recurring)]
    own = request.request_id.rpartition("-")[2]
    words += [f"{own}.{number:x}" for number in range(rest - recurring)]
    return " ".join(words)
