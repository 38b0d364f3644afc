"""Commands that change the replicas of the replicated log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

import click

from jujubeslip.cli._connection import control_options, json_option, open_control
from jujubeslip.cli._output import exit_on_refusal, print_fields
from jujubeslip.cli._run_commands import settings_option, settings_or_exit
from jujubeslip.control import ControlClient, recover
from jujubeslip.kernel import Deadline, load_control_settings

CHANGE_SECONDS = 15.0

host_argument = click.argument("host_id")


@click.group()
def replica() -> None:
    """Change which control hosts are replicas of the log, one at a time."""


@replica.command()
@host_argument
@control_options
def add(host_id: str, control_addresses: tuple[str, ...], peer_secret: str) -> None:
    """Admit a host as a replica; then start it with an empty data folder."""

    def change(control: ControlClient, deadline: Deadline) -> None:
        control.add_replica(host_id, deadline)

    _change(change, control_addresses, peer_secret)
    click.echo(f"{host_id} may join; start it with an empty data folder.")


@replica.command()
@host_argument
@control_options
def remove(host_id: str, control_addresses: tuple[str, ...], peer_secret: str) -> None:
    """Remove a host from the replicas permanently."""

    def change(control: ControlClient, deadline: Deadline) -> None:
        control.remove_replica(host_id, deadline)

    _change(change, control_addresses, peer_secret)
    click.echo(f"{host_id} is no longer a replica.")


def _change(
    change: Callable[[ControlClient, Deadline], None],
    control_addresses: tuple[str, ...],
    peer_secret: str,
) -> None:
    control = open_control(control_addresses, peer_secret)
    with exit_on_refusal():
        change(control, Deadline.after(CHANGE_SECONDS))


@replica.command("recover")
@settings_option
@click.option(
    "--confirm", is_flag=True, help="Recover; by default only show the state."
)
@json_option
def recover_replica(settings_path: Path, confirm: bool, as_json: bool) -> None:
    """Recover as a single replica from this data folder after a permanent quorum loss.

    Stop the process first. Without --confirm nothing changes: compare last_term, then
    last_index, of all surviving hosts, and recover the highest. Entries that only the
    lost hosts had accepted are lost.
    """
    settings = settings_or_exit(load_control_settings(settings_path))
    with exit_on_refusal():
        report = recover(settings, confirmed=confirm)
    print_fields(asdict(report), as_json)
