"""Commands that show the status of running hosts, or stop them."""

from __future__ import annotations

import os
import signal
import time

import click

from jujubeslip.cli._connection import (
    ADDRESS,
    json_option,
    open_control,
    open_entry,
    secret_option,
)
from jujubeslip.cli._output import exit_on_refusal, print_fields, thrift_fields
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import PeerClient, PeerRefusal

TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.5
ABANDON_INTERVAL_SECONDS = 0.05
NOT_STOPPING = "not_stopping"


@click.command()
@click.option("--entry", type=ADDRESS, help="Peer address of an entry host.")
@click.option(
    "--control",
    "control_addresses",
    multiple=True,
    type=ADDRESS,
    help="Peer address of a control host; repeat it for each.",
)
@secret_option
@json_option
def status(
    entry: str | None,
    control_addresses: tuple[str, ...],
    peer_secret: str,
    as_json: bool,
) -> None:
    """Show the status of an entry host or of the control hosts."""
    if not entry and not control_addresses:
        raise click.UsageError("Give --entry or --control.")
    with exit_on_refusal():
        if entry:
            client = open_entry(entry, peer_secret)
            answer = client.call(lambda peer: peer.status(), TIMEOUT_SECONDS)
            print_fields(thrift_fields(answer), as_json)
        if control_addresses:
            control = open_control(control_addresses, peer_secret)
            print_fields(thrift_fields(control.status()), as_json)


@click.command()
@click.option("--pid", type=int, required=True, help="Process id of the entry host.")
@click.option(
    "--entry", required=True, type=ADDRESS, help="Its peer address, to observe it."
)
@click.option(
    "--abandon",
    is_flag=True,
    help="End open requests instead of waiting for them, and notify each client "
    "whether its request may have run.",
)
@secret_option
def drain(pid: int, entry: str, abandon: bool, peer_secret: str) -> None:
    """Stop an entry host on this machine gracefully; show its open requests."""
    _request_stop(pid)
    client = open_entry(entry, peer_secret)
    with exit_on_refusal():
        if abandon:
            _abandon(client)
        while (count := _open_requests(client)) is not None:
            click.echo(f"open requests: {count}")
            time.sleep(POLL_INTERVAL_SECONDS)
    click.echo("stopped")


def _abandon(client: PeerClient) -> None:
    """End open requests, once the host has handled the signal."""
    deadline = Deadline.after(TIMEOUT_SECONDS)
    while True:
        try:
            count = client.call(lambda peer: peer.abandon(), TIMEOUT_SECONDS)
        except PeerRefusal as error:
            if error.error_id != NOT_STOPPING or deadline.expired:
                raise
            time.sleep(ABANDON_INTERVAL_SECONDS)
            continue
        except PeerUnavailableError:
            # The host has already stopped.
            return
        click.echo(f"abandoned requests: {count}")
        return


def _open_requests(client: PeerClient) -> int | None:
    """Return how many requests are open, or None once the process has ended."""
    try:
        return int(
            client.call(lambda peer: peer.status(), TIMEOUT_SECONDS).open_requests
        )
    except PeerUnavailableError:
        return None


def _request_stop(pid: int) -> None:
    try:
        os.kill(pid, signal.SIGTERM)
    except ProcessLookupError as error:
        message = f"no process on this machine has the id {pid}."
        raise click.BadParameter(message, param_hint="--pid") from error
    except PermissionError as error:
        message = f"process {pid} belongs to another user; run this as that user."
        raise click.BadParameter(message, param_hint="--pid") from error
