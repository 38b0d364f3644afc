"""Warnings about rules that can never match and requests that match no rule."""

from __future__ import annotations

from collections.abc import Iterator

from jujubeslip.declaration import Condition, Declaration
from jujubeslip.kernel import CheckLevel, CheckMessage, register_check


@register_check(Declaration)
def check_rules_can_match(subject: object) -> Iterator[CheckMessage]:
    """Warn about rules that cannot match because an earlier rule always matches."""
    assert isinstance(subject, Declaration)
    for position, rule in enumerate(subject.rule):
        for earlier in subject.rule[:position]:
            if covers(earlier.when, rule.when):
                yield CheckMessage(
                    "rules.W001",
                    CheckLevel.WARNING,
                    f"rule {rule.name}",
                    f"It can never match: rule {earlier.name!r} matches first.",
                    f"Move it before {earlier.name!r}, or narrow that rule.",
                )
                break


@register_check(Declaration)
def check_last_rule_matches_everything(subject: object) -> Iterator[CheckMessage]:
    """Warn if some requests match no rule and would be refused."""
    assert isinstance(subject, Declaration)
    if any(covers(rule.when, Condition()) for rule in subject.rule):
        return
    yield CheckMessage(
        "rules.W002",
        CheckLevel.WARNING,
        "rule",
        "No rule matches every request; the others are refused with id no_rule.",
        "Add a last rule without conditions that says what to do.",
    )


def covers(general: Condition, special: Condition) -> bool:
    """Return whether `general` holds for every request for which `special` holds."""
    special_by_key = special.wanted_by_key
    return all(
        _key_covers(key, wanted, special_by_key.get(key))
        for key, wanted in general.wanted_by_key.items()
    )


def _key_covers(key: str, general: object, special: object) -> bool:
    if special is None:
        return False
    if key.endswith("_min"):
        return bool(special >= general)  # type: ignore[operator]
    if key.endswith("_max"):
        return bool(special <= general)  # type: ignore[operator]
    return general == special
