"""What differs between two declarations, or two numbered configurations."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from jujubeslip.declaration import Declaration
from jujubeslip.routes import RouteTable

# Fields with hashes of client keys, of which only the number is told.
KEY_FIELDS = frozenset({"key_hashes", "key_sha256"})


@dataclass(frozen=True)
class Difference:
    """One entry or field that differs."""

    place: str
    """Kind and name of the entry."""
    field: str
    """Field of the entry; empty if the entry was added or removed."""
    before: str
    """The value in force, empty if there is none."""
    after: str

    def __str__(self) -> str:
        if not self.field:
            return f"{self.place}: {'added' if self.after else 'removed'}"
        return f"{self.place}: {self.field} {self.before} -> {self.after}"


@singledispatch
def entries(subject: object) -> Mapping[str, Any]:
    """Return the entries of a declaration or a configuration, by kind and name."""
    raise TypeError(f"{type(subject).__name__} has no entries to compare.")


@entries.register
def _(subject: RouteTable) -> Mapping[str, Any]:
    accounts = subject.accounts.accounts if subject.accounts else ()
    return {
        **_by_place("service", subject.service_by_name.values()),
        **_by_place("route", subject.routes),
        **_by_place("account", accounts),
    }


@entries.register
def _(subject: Declaration) -> Mapping[str, Any]:
    placements = {f"placement {item.service}": item for item in subject.placement}
    return {
        **_by_place("service", subject.service),
        **_by_place("rule", subject.rule),
        **_by_place("client", subject.client),
        **placements,
    }


@singledispatch
def _order_differences(subject: object, other: object) -> Iterator[Difference]:
    """Yield how the order of entries differs, where it matters."""
    yield from ()


@_order_differences.register
def _(subject: Declaration, other: object) -> Iterator[Difference]:
    assert isinstance(other, Declaration)
    shared = {rule.name for rule in subject.rule} & {rule.name for rule in other.rule}
    before = [rule.name for rule in subject.rule if rule.name in shared]
    after = [rule.name for rule in other.rule if rule.name in shared]
    if before != after:
        yield Difference("rules", "order", ", ".join(before), ", ".join(after))


def differences(in_force: object, candidate: object) -> Iterator[Difference]:
    """Yield what a candidate changes of the version in force; no text holds a key."""
    before_by_place, after_by_place = entries(in_force), entries(candidate)
    for place, before in before_by_place.items():
        if place not in after_by_place:
            yield Difference(place, "", "present", "")
        elif before != after_by_place[place]:
            yield from _field_differences(place, before, after_by_place[place])
    for place in after_by_place.keys() - before_by_place.keys():
        yield Difference(place, "", "", "present")
    yield from _order_differences(in_force, candidate)


def _by_place(kind: str, items: Iterable[Any]) -> dict[str, Any]:
    return {f"{kind} {item.name}": item for item in items}


def _field_differences(place: str, before: Any, after: Any) -> Iterator[Difference]:
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.name in KEY_FIELDS:
            removed, added = len(set(old) - set(new)), len(set(new) - set(old))
            yield Difference(place, "keys", f"{removed} removed", f"{added} added")
        elif dataclasses.is_dataclass(old) and type(old) is type(new):
            yield from (
                dataclasses.replace(item, field=f"{field.name}.{item.field}")
                for item in _field_differences(place, old, new)
            )
        else:
            yield Difference(place, field.name, _text(old), _text(new))


def _text(value: object) -> str:
    if value is None:
        return "none"
    if isinstance(value, tuple):
        return "[" + ", ".join(_text(item) for item in value) + "]"
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        named = (
            f"{field.name} {_text(getattr(value, field.name))}"
            for field in dataclasses.fields(value)
            if field.name not in KEY_FIELDS
        )
        return ", ".join(named)
    return str(getattr(value, "value", value))
