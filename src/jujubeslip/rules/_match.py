"""Matches requests against the ordered rules."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from jujubeslip.declaration import Condition, PriorityClass, Rule


@dataclass(frozen=True)
class RequestFacts:
    """Request properties that rules test; `queue_wait_ms` and `load` are forecasts."""

    service: str
    model: str
    adapter: str
    client: str
    priority: PriorityClass
    prompt_tokens: int
    repeatable: bool
    queue_wait_ms: int
    load: float
    availability_zone: str


@dataclass(frozen=True)
class Explanation:
    """Whether a rule matches, and the keys of its condition that do not hold."""

    rule: Rule
    matches: bool
    unmet: tuple[str, ...]


def first_match(rules: Sequence[Rule], facts: RequestFacts) -> Rule | None:
    """Return the first rule whose condition holds, or None."""
    for rule in rules:
        if next(_unmet_keys(rule.when, facts), None) is None:
            return rule
    return None


def explain(rules: Sequence[Rule], facts: RequestFacts) -> tuple[Explanation, ...]:
    """Return for each rule, in order, whether it matches and which keys do not hold."""
    explanations = []
    for rule in rules:
        unmet = tuple(_unmet_keys(rule.when, facts))
        explanations.append(Explanation(rule, not unmet, unmet))
    return tuple(explanations)


def _unmet_keys(condition: Condition, facts: RequestFacts) -> Iterator[str]:
    for key, wanted in condition.wanted_by_key.items():
        if not _holds(key, wanted, facts):
            yield key


def _holds(key: str, wanted: object, facts: RequestFacts) -> bool:
    if key.endswith("_min"):
        return bool(getattr(facts, key.removesuffix("_min")) >= wanted)
    if key.endswith("_max"):
        return bool(getattr(facts, key.removesuffix("_max")) <= wanted)
    return bool(getattr(facts, key) == wanted)
