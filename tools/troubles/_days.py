"""Day files with one kind of trouble, which strikes once or twice."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from tools.troubles._kinds import Trouble

# Times of the strikes, in seconds from the start of traffic. The second strike comes
# while the system still counts as unsettled after the restart of a process that the
# first one ended.
STRIKE_TIMES = (4.0, 8.5)
LENGTH_SECONDS = 20.0
# Downtime of a strike at the end of a day; traffic continues after it until the longest
# recovery is over.
CLOSING_DOWNTIME_SECONDS = 1.0
# Times of configuration changes: one before the trouble and two after it. They show
# whether changes still take effect; without them a day could not show a stale
# configuration.
CONFIGURATION_CHANGE_TIMES = (1.0, 6.5, 14.0)


@dataclass(frozen=True)
class Day:
    """A day with one trouble, which strikes once or twice."""

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
        """The content of the day file."""
        lines = ["[[day]]", f'name = "{self.name}"', f"length_s = {LENGTH_SECONDS}"]
        if self.trouble.closing:
            lines.append(f"closing = {_inline_table(self._closing())}")
        lines += _section(
            "plan", [*_configuration_changes(), *self._entries(planned=True)]
        )
        lines += _section("faults", self._entries(planned=False))
        return "\n".join([*lines, ""])

    def _closing(self) -> dict[str, Any]:
        return _entry(self.trouble) | {"down_s": CLOSING_DOWNTIME_SECONDS}

    def _entries(self, *, planned: bool) -> list[dict[str, Any]]:
        if self.trouble.closing or self.trouble.planned != planned:
            return []
        strikes = STRIKE_TIMES[: self.strikes]
        return [{"at": at} | _entry(self.trouble) for at in strikes]


def days_of(troubles: Iterable[Trouble]) -> Iterator[Day]:
    """Yield the days of each trouble, with one strike and if possible with two.

    The first variants of all kinds come first, so that an interrupted run has played
    each kind.
    """
    for trouble in sorted(troubles, key=lambda trouble: trouble.rank):
        yield Day(trouble, 1)
        if not trouble.closing:
            yield Day(trouble, 2)


def _configuration_changes() -> list[dict[str, Any]]:
    return [
        {"at": at, "kind": "config_change", "how": "idle"}
        for at in CONFIGURATION_CHANGE_TIMES
    ]


def _entry(trouble: Trouble) -> dict[str, Any]:
    basic_fields = {"kind": trouble.kind, "on": trouble.on, "how": trouble.variant}
    return {key: value for key, value in basic_fields.items() if value} | dict(
        trouble.fields
    )


def _section(name: str, entries: list[dict[str, Any]]) -> list[str]:
    return [f"{name} = [", *(f"  {_inline_table(entry)}," for entry in entries), "]"]


def _inline_table(entry: dict[str, Any]) -> str:
    # JSON strings, numbers and booleans are also valid TOML.
    pairs = ", ".join(f"{key} = {json.dumps(value)}" for key, value in entry.items())
    return f"{{ {pairs} }}"
