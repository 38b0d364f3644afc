"""Checks that run at start and by `jujubeslip check`, each message with id and hint."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass


class CheckLevel(enum.Enum):
    """How grave a check's message is; an ERROR stops the start."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class CheckMessage:
    """What a check found: a stable id, where, what is wrong, and what to do."""

    check_id: str
    level: CheckLevel
    place: str
    message: str
    hint: str


Check = Callable[[object], Iterable[CheckMessage]]

_checks_by_subject: dict[type, list[Check]] = {}


def register_check(subject_type: type) -> Callable[[Check], Check]:
    """Return a decorator that runs the check on each subject of this type."""

    def enter(check: Check) -> Check:
        _checks_by_subject.setdefault(subject_type, []).append(check)
        return check

    return enter


def run_checks(subject: object) -> Iterator[CheckMessage]:
    """Yield what all checks of the subject's type find."""
    for check in _checks_by_subject.get(type(subject), []):
        yield from check(subject)
