"""Warnings about limits of a declaration that contradict each other."""

from __future__ import annotations

from collections.abc import Iterator

from jujubeslip.declaration import Declaration, Rule, Service
from jujubeslip.kernel import CheckLevel, CheckMessage, register_check


@register_check(Declaration)
def check_conditions_can_hold(subject: object) -> Iterator[CheckMessage]:
    """Warn about rules whose own condition no request meets."""
    assert isinstance(subject, Declaration)
    for rule in subject.rule:
        shortest, longest = rule.when.prompt_tokens_min, rule.when.prompt_tokens_max
        if shortest is not None and longest is not None and shortest > longest:
            yield _warning(
                "review.W001",
                rule,
                f"It can never match: no prompt has at least {shortest} and at most "
                f"{longest} tokens.",
                "Exchange the two bounds.",
            )
        service = subject.service_by_name.get(rule.when.service or "")
        if service is not None:
            yield from _beyond_service(rule, service)


def _beyond_service(rule: Rule, service: Service) -> Iterator[CheckMessage]:
    shortest = rule.when.prompt_tokens_min
    if shortest is not None and shortest > service.maximum_prompt_tokens:
        yield _warning(
            "review.W002",
            rule,
            f"It can never match: the service {service.name!r} refuses prompts of more "
            f"than {service.maximum_prompt_tokens} tokens.",
            "Lower prompt_tokens_min, or raise maximum_prompt_tokens.",
        )
    if rule.then.refuse:
        return
    for key in ("first_token_ms", "wait_ms"):
        value = getattr(rule.then, key)
        if value > service.maximum_duration_ms:
            yield _warning(
                "review.W003",
                rule,
                f"Its {key} of {value} ms is longer than maximum_duration_ms of the "
                f"service {service.name!r}, {service.maximum_duration_ms} ms.",
                f"Lower {key}, or raise maximum_duration_ms.",
            )


def _warning(check_id: str, rule: Rule, message: str, hint: str) -> CheckMessage:
    place = f"rule {rule.name}"
    return CheckMessage(check_id, CheckLevel.WARNING, place, message, hint)
