"""Output as text and, with --json, as JSON for scripts."""

from __future__ import annotations

import enum
import json
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any, NoReturn

import click

from jujubeslip.kernel import JujubeslipError, SettingsProblem
from jujubeslip.peers import HostState, HostStatus, PeerRefusal

EXIT_REFUSED = 1
EXIT_FILE_INVALID = 3
EXIT_WARNINGS = 4


def print_fields(fields: dict[str, Any], as_json: bool) -> None:
    """Print one object, as `key: value` lines or as one line of JSON."""
    if as_json:
        click.echo(json.dumps(fields, default=_json_value))
        return
    for key, value in fields.items():
        click.echo(f"{key}: {_text(value)}")


def thrift_fields(message: object) -> dict[str, Any]:
    """Return a Thrift message as a dictionary of JSON values."""
    fields = {key: _json_value(value) for key, value in vars(message).items()}
    if isinstance(message, HostState):
        fields["status"] = HostStatus(message.status).name.lower()
    return fields


def _json_value(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, bytes):
        return value.decode(errors="replace")
    if isinstance(value, list):
        return [_json_value(item) for item in value]
    if hasattr(value, "thrift_spec"):
        return thrift_fields(value)
    return value


def _text(value: Any) -> str:
    if not isinstance(value, list):
        return str(value)
    return "".join(f"\n  - {_item_text(item)}" for item in value) or "none"


def _item_text(item: Any) -> str:
    if isinstance(item, dict):
        return ", ".join(f"{key} {value}" for key, value in item.items())
    return str(item)


def exit_with_problems(problems: Iterable[SettingsProblem]) -> NoReturn:
    """Print the problems of a file, one per line, and exit."""
    for problem in problems:
        click.echo(str(problem), err=True)
    sys.exit(EXIT_FILE_INVALID)


@contextmanager
def exit_on_refusal() -> Iterator[None]:
    """Print an error that is raised in the block, with its remedy, and exit."""
    try:
        yield
    except (JujubeslipError, PeerRefusal) as error:
        click.echo(f"{error.error_id}: {error.message} {error.remedy}", err=True)
        sys.exit(EXIT_REFUSED)
