"""Day files with one kind of trouble, once or twice over."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from tools.troubles._kinds import Trouble

# Seconds from the start of traffic. The second strike comes before a process that the
# first one ended has been back for the seconds in which a system counts as unsettled.
STRIKES = (4.0, 8.5)
LENGTH_SECONDS = 20.0
# What strikes at the end needs traffic after it, until the longest recovery is over.
CLOSING_DOWN_SECONDS = 1.0
# A configuration before the trouble and two after it show whether changes still come
# through; without them a day could not show a stale configuration.
CHANGES = (1.0, 6.5, 14.0)


@dataclass(frozen=True)
class Day:
    """A day of one trouble."""

    trouble: Trouble
    strikes: int

    @property
    def name(self) -> str:
        """The name of the day and of its file."""
        trouble = self.trouble
        words = [trouble.kind, trouble.on, *trouble.variant.split()]
        count = "once" if self.strikes == 1 else "twice"
        return "-".join([word for word in words if word] + [count])

    @property
    def text(self) -> str:
        """The day file."""
        lines = ["[[day]]", f'name = "{self.name}"', f"length_s = {LENGTH_SECONDS}"]
        if self.trouble.closing:
            lines.append(f"closing = {_inline(self._closing())}")
        lines += _section("plan", [*_changes(), *self._entries(planned=True)])
        lines += _section("faults", self._entries(planned=False))
        return "\n".join([*lines, ""])

    def _closing(self) -> dict[str, Any]:
        return _entry(self.trouble) | {"down_s": CLOSING_DOWN_SECONDS}

    def _entries(self, *, planned: bool) -> list[dict[str, Any]]:
        if self.trouble.closing or self.trouble.planned != planned:
            return []
        strikes = STRIKES[: self.strikes]
        return [{"at": at} | _entry(self.trouble) for at in strikes]


def days_of(troubles: Iterable[Trouble]) -> Iterator[Day]:
    """Yield the days of each trouble: alone, and twice over where that can be.

    First variants come first, so that plays that are cut short have seen each kind.
    """
    for trouble in sorted(troubles, key=lambda one: one.rank):
        yield Day(trouble, 1)
        if not trouble.closing:
            yield Day(trouble, 2)


def _changes() -> list[dict[str, Any]]:
    return [{"at": at, "kind": "config_change", "how": "idle"} for at in CHANGES]


def _entry(trouble: Trouble) -> dict[str, Any]:
    named = {"kind": trouble.kind, "on": trouble.on, "how": trouble.variant}
    return {key: value for key, value in named.items() if value} | dict(trouble.fields)


def _section(name: str, entries: list[dict[str, Any]]) -> list[str]:
    return [f"{name} = [", *(f"  {_inline(entry)}," for entry in entries), "]"]


def _inline(entry: dict[str, Any]) -> str:
    # JSON's strings, numbers and truth values are TOML's, too.
    pairs = ", ".join(f"{key} = {json.dumps(value)}" for key, value in entry.items())
    return f"{{ {pairs} }}"
