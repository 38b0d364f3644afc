"""Checks that run at startup and in `jujubeslip check`."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass


class CheckLevel(enum.Enum):
    """Severity of a check's message; an ERROR prevents startup."""

    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class CheckMessage:
    """One finding of a check: its stable id, place, problem and remedy."""

    check_id: str
    level: CheckLevel
    place: str
    message: str
    hint: str


Check = Callable[[object], Iterable[CheckMessage]]

_checks_by_subject: dict[type, list[Check]] = {}


def register_check(subject_type: type) -> Callable[[Check], Check]:
    """Return a decorator that runs the check on each subject of this type."""

    def decorator(check: Check) -> Check:
        _checks_by_subject.setdefault(subject_type, []).append(check)
        return check

    return decorator


def run_checks(subject: object) -> Iterator[CheckMessage]:
    """Yield the messages of all checks that are registered for the subject's type."""
    for check in _checks_by_subject.get(type(subject), []):
        yield from check(subject)
