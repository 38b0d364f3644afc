"""The command that reviews a configuration before it is sent."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict
from pathlib import Path

import click
from returns.result import Failure

from jujubeslip.cli._check_commands import read_declaration
from jujubeslip.cli._connection import ADDRESS, open_control
from jujubeslip.cli._output import (
    EXIT_FILE_INVALID,
    EXIT_WARNINGS,
    exit_on_refusal,
    exit_with_problems,
)
from jujubeslip.cli._route_commands import (
    interface_option,
    read_route_table,
    read_routes,
)
from jujubeslip.declaration import Declaration, parse_declaration
from jujubeslip.kernel import (
    CheckLevel,
    CheckMessage,
    load_plugins,
    run_checks,
)
from jujubeslip.review import Difference, differences, entries
from jujubeslip.routes import RouteTable

Reviewed = Declaration | RouteTable


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.argument("in_force", type=click.Path(path_type=Path), required=False)
@click.option(
    "--kind",
    type=click.Choice(["declaration", "routes"]),
    default="declaration",
    show_default=True,
    help="What the files contain.",
)
@interface_option
@click.option(
    "--control",
    "control_addresses",
    multiple=True,
    type=ADDRESS,
    help="Peer address of a control host, to compare with its version in force.",
)
@click.option(
    "--peer-secret",
    envvar="JUJUBESLIP_PEER_SECRET",
    default="",
    help="The peer_secret of the settings, for --control; preferably set by the "
    "environment variable JUJUBESLIP_PEER_SECRET.",
)
@click.option(
    "--output",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    help="Format of the report.",
)
def review(
    path: Path,
    in_force: Path | None,
    kind: str,
    interface: str | None,
    control_addresses: tuple[str, ...],
    peer_secret: str,
    output: str,
) -> None:
    """Review a configuration before it is sent, against the version IN_FORCE.

    Prints errors, entries without effect, limits that contradict each other, and what
    would change; no keys. Exits with 3 if it is invalid, 4 if there are warnings.
    """
    load_plugins()
    if in_force is not None and control_addresses:
        raise click.UsageError("Give either IN_FORCE or --control, not both.")
    candidate = _read(path, kind, interface)
    current: Reviewed | None = None
    if in_force is not None:
        current = _read(in_force, kind, interface)
    elif control_addresses:
        text = _fetch(control_addresses, peer_secret)
        current = _parse(text, kind, interface)
    messages = sorted(run_checks(candidate), key=_severity)
    changes = [] if current is None else list(differences(current, candidate))
    if output == "json":
        click.echo(_as_json(candidate, messages, changes))
    else:
        _print(path, candidate, messages, changes, current is not None)
    if any(item.level is CheckLevel.ERROR for item in messages):
        sys.exit(EXIT_FILE_INVALID)
    if messages:
        sys.exit(EXIT_WARNINGS)


def _read(path: Path, kind: str, interface: str | None) -> Reviewed:
    if kind == "routes":
        return read_route_table(path, interface)
    return read_declaration(path)[1]


def _fetch(addresses: tuple[str, ...], peer_secret: str) -> str:
    with exit_on_refusal():
        control = open_control(addresses, peer_secret)
        return str(control.get_configuration(-1, 0).declaration)


def _parse(text: str, kind: str, interface: str | None) -> Reviewed:
    """Return the version in force, or print that it can't be read and exit."""
    if kind == "routes":
        return read_routes(text, interface, "version in force")
    parsed = parse_declaration(text, "version in force")
    if isinstance(parsed, Failure):
        exit_with_problems(parsed.failure())
    return parsed.unwrap()


def _severity(message: CheckMessage) -> tuple[bool, str, str]:
    return message.level is not CheckLevel.ERROR, message.check_id, message.place


def _as_json(
    candidate: Reviewed, messages: list[CheckMessage], changes: list[Difference]
) -> str:
    found = [
        {
            "id": item.check_id,
            "level": item.level.value,
            "place": item.place,
            "message": item.message,
            "remedy": item.hint,
        }
        for item in messages
    ]
    return json.dumps(
        {
            "entries": len(entries(candidate)),
            "messages": found,
            "changes": [asdict(item) for item in changes],
        }
    )


def _print(
    path: Path,
    candidate: Reviewed,
    messages: list[CheckMessage],
    changes: list[Difference],
    is_compared: bool,
) -> None:
    for item in messages:
        click.echo(
            f"{item.level.value} {item.check_id}: {item.place}: {item.message} "
            f"{item.hint}"
        )
    for change in changes:
        click.echo(f"change: {change}")
    if is_compared and not changes:
        click.echo("no changes")
    click.echo(f"{path}: {len(entries(candidate))} entries, {len(messages)} messages")
