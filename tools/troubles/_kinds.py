"""Reads the kinds of trouble and their variants from `kinds.toml`."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

KINDS = Path(__file__).parent / "kinds.toml"
KEYS = frozenset({"name", "on", "planned", "closing", "fields", "variants"})


class KindsError(Exception):
    """The file of kinds is invalid; the message contains the remedy."""


@dataclass(frozen=True)
class Trouble:
    """One variant of one kind of trouble."""

    kind: str
    variant: str = ""
    # The class of hosts that it affects; empty for the default class.
    on: str = ""
    planned: bool = False
    # Whether it strikes only at the end of a day.
    closing: bool = False
    fields: tuple[tuple[str, Any], ...] = ()
    # Its position among the variants of its kind.
    rank: int = 0

    @property
    def name(self) -> str:
        """The kind and the class of hosts, as in the table of plays."""
        return f"{self.kind} ({self.on})" if self.on else self.kind


def read_kinds(path: Path) -> tuple[Trouble, ...]:
    """Return all variants of all kinds, in the order of the file."""
    try:
        entries = tomllib.loads(path.read_text())["kind"]
    except (tomllib.TOMLDecodeError, KeyError) as error:
        raise KindsError(
            f"{path.name}: the file is no list of [[kind]] tables ({error!r})."
        ) from None
    troubles = [trouble for entry in entries for trouble in _variants(path, entry)]
    if len({(trouble.name, trouble.variant) for trouble in troubles}) < len(troubles):
        raise KindsError(f"{path.name}: a variant is listed twice; remove one.")
    return tuple(troubles)


def _variants(path: Path, entry: dict[str, Any]) -> list[Trouble]:
    unknown = sorted(set(entry) - KEYS)
    if unknown or "name" not in entry:
        raise KindsError(
            f"{path.name}: an entry has a name and may have keys of {sorted(KEYS)}, "
            f"but this one has {unknown or 'no name'}."
        )
    return [
        Trouble(
            kind=entry["name"],
            variant=variant,
            on=entry.get("on", ""),
            planned=entry.get("planned", False),
            closing=entry.get("closing", False),
            fields=tuple(entry.get("fields", {}).items()),
            rank=rank,
        )
        for rank, variant in enumerate(entry.get("variants", [""]))
    ]
