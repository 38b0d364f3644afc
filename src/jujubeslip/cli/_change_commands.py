"""Commands that apply, show and list revisions of the declaration."""

from __future__ import annotations

import difflib
import sys
import time
import uuid
from pathlib import Path

import click

from jujubeslip.cli._check_commands import read_declaration
from jujubeslip.cli._connection import (
    ADDRESS,
    control_options,
    json_option,
    open_control,
    open_entry,
    operator_name,
)
from jujubeslip.cli._output import (
    EXIT_REFUSED,
    exit_on_refusal,
    print_fields,
    thrift_fields,
)
from jujubeslip.kernel import Deadline
from jujubeslip.peers import ApplyReply, ApplyRequest, HostStatus

APPLY_SECONDS = 10.0
ENTRY_TIMEOUT_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.1


@click.command()
@click.argument("path", type=click.Path(path_type=Path))
@control_options
@click.option(
    "--base",
    type=int,
    help="Revision that the file is based on; by default the one in force.",
)
@click.option(
    "--change-id",
    help="Id of this change; to retry after a lost answer, give the same id.",
)
@click.option(
    "--wait",
    "entry",
    type=ADDRESS,
    help="Wait until the change is in force on all hosts that this entry host knows.",
)
@click.option("--wait-seconds", default=6.0, show_default=True)
@json_option
def apply(
    path: Path,
    control_addresses: tuple[str, ...],
    peer_secret: str,
    base: int | None,
    change_id: str | None,
    entry: str | None,
    wait_seconds: float,
    as_json: bool,
) -> None:
    """Apply a declaration; exactly one of several with the same base is accepted."""
    text, _ = read_declaration(path)
    control = open_control(control_addresses, peer_secret)
    change_id = change_id or uuid.uuid4().hex
    click.echo(f"change id: {change_id}", err=True)
    with exit_on_refusal():
        if base is None:
            base = control.get_configuration(-1, 0).revision
        request = ApplyRequest(change_id, base, text, operator_name())
        reply = control.apply_configuration(request, Deadline.after(APPLY_SECONDS))
    if not reply.accepted:
        _exit_with_conflict(text, reply)
    fields = {"accepted": True, "revision": reply.revision, "change_id": change_id}
    if entry:
        fields.update(
            _wait_until_in_force(entry, peer_secret, reply.revision, wait_seconds)
        )
    print_fields(fields, as_json)


def _exit_with_conflict(text: str, reply: ApplyReply) -> None:
    click.echo(
        f"not accepted: revision {reply.revision} by {reply.winner_operator} (change "
        f"{reply.winner_change_id}) was accepted before it. Base the change on that "
        "revision and apply it again. The revision differs from this file:",
        err=True,
    )
    difference = difflib.unified_diff(
        reply.winner_declaration.splitlines(),
        text.splitlines(),
        f"revision {reply.revision}",
        "this file",
        lineterm="",
    )
    click.echo("\n".join(difference), err=True)
    sys.exit(EXIT_REFUSED)


def _wait_until_in_force(
    entry: str, peer_secret: str, revision: int, seconds: float
) -> dict[str, object]:
    """Wait until all living hosts have the revision, or the time is up.

    Returns how many living hosts have it, and which don't.
    """
    client = open_entry(entry, peer_secret)
    deadline = Deadline.after(seconds)
    while True:
        with exit_on_refusal():
            status = client.call(lambda peer: peer.status(), ENTRY_TIMEOUT_SECONDS)
        living = [host for host in status.hosts if host.status == HostStatus.ALIVE]
        behind = [
            host.host_id for host in living if host.configuration_revision < revision
        ]
        if not behind or deadline.expired:
            return {
                "hosts": len(living),
                "in_force": len(living) - len(behind),
                "not_in_force": behind,
            }
        time.sleep(POLL_INTERVAL_SECONDS)


@click.command()
@control_options
@json_option
def show(control_addresses: tuple[str, ...], peer_secret: str, as_json: bool) -> None:
    """Show the declaration in force."""
    control = open_control(control_addresses, peer_secret)
    with exit_on_refusal():
        configuration = control.get_configuration(-1, 0)
    if as_json:
        print_fields(thrift_fields(configuration), as_json)
        return
    click.echo(f"# revision {configuration.revision}")
    click.echo(configuration.declaration)


@click.command()
@control_options
@click.option("--limit", default=20, show_default=True, help="Number of revisions.")
@click.option("--diff", "with_diff", is_flag=True, help="Show each revision's changes.")
@json_option
def history(
    control_addresses: tuple[str, ...],
    peer_secret: str,
    limit: int,
    with_diff: bool,
    as_json: bool,
) -> None:
    """Show the latest revisions, newest first."""
    control = open_control(control_addresses, peer_secret)
    with exit_on_refusal():
        changes = control.history(limit)
    changes = sorted(changes, key=lambda change: -change.revision)
    if as_json:
        print_fields({"changes": [thrift_fields(item) for item in changes]}, as_json)
        return
    for position, change in enumerate(changes):
        click.echo(f"{change.revision}  {change.operator_name}  {change.change_id}")
        if with_diff and position + 1 < len(changes):
            earlier = changes[position + 1]
            lines = difflib.unified_diff(
                earlier.declaration.splitlines(),
                change.declaration.splitlines(),
                f"revision {earlier.revision}",
                f"revision {change.revision}",
                lineterm="",
            )
            click.echo("\n".join(lines))
