"""Checks of a declaration beyond the validation of its data classes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from jujubeslip.declaration._models import Declaration, ServiceKind
from jujubeslip.kernel import CheckLevel, CheckMessage, register_check


@register_check(Declaration)
def check_names_are_unique(subject: object) -> Iterator[CheckMessage]:
    """Report names that several entries of a kind share."""
    assert isinstance(subject, Declaration)
    for kind in ("service", "rule", "client"):
        names = Counter(item.name for item in getattr(subject, kind))
        for name in (name for name, count in names.items() if count > 1):
            yield CheckMessage(
                "declaration.E001",
                CheckLevel.ERROR,
                f"{kind} {name}",
                f"Two entries of [[{kind}]] are named {name!r}.",
                "Give each its own name.",
            )


@register_check(Declaration)
def check_client_keys_are_unique(subject: object) -> Iterator[CheckMessage]:
    """Report client accounts that share a key."""
    assert isinstance(subject, Declaration)
    hashes = Counter(key for client in subject.client for key in client.key_sha256)
    for client in subject.client:
        if any(hashes[key] > 1 for key in client.key_sha256):
            yield CheckMessage(
                "declaration.E002",
                CheckLevel.ERROR,
                f"client {client.name}",
                "A key of this client account is used more than once.",
                "Give each client account keys of its own.",
            )


@register_check(Declaration)
def check_services_exist(subject: object) -> Iterator[CheckMessage]:
    """Report rules and placements that name an unknown service."""
    assert isinstance(subject, Declaration)
    for rule in subject.rule:
        yield from _unknown(subject, f"rule {rule.name}", rule.when.service)
        yield from _unknown(subject, f"rule {rule.name}", rule.then.pool)
    for placement in subject.placement:
        place = f"placement {placement.service}"
        yield from _unknown(subject, place, placement.service)


def _unknown(
    declaration: Declaration, place: str, name: str | None
) -> Iterable[CheckMessage]:
    if not name or name in declaration.service_by_name:
        return
    known = ", ".join(sorted(declaration.service_by_name)) or "none"
    yield CheckMessage(
        "declaration.E003",
        CheckLevel.ERROR,
        place,
        f"There is no service {name!r}.",
        f"Name one of the declared services: {known}.",
    )


@register_check(Declaration)
def check_model_services_name_a_model(subject: object) -> Iterator[CheckMessage]:
    """Report services of kind "model" that name no model."""
    assert isinstance(subject, Declaration)
    for service in subject.service:
        if service.kind is ServiceKind.MODEL and not service.model:
            yield CheckMessage(
                "declaration.E004",
                CheckLevel.ERROR,
                f"service {service.name}",
                "A service of kind 'model' needs a model.",
                "Add model = \"...\", or set kind = 'plain'.",
            )
