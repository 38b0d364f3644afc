"""Commands for the quarantine of request contents that crash endpoints."""

from __future__ import annotations

import click

from jujubeslip.cli._connection import control_options, json_option, open_control
from jujubeslip.cli._output import exit_on_refusal, print_fields, thrift_fields
from jujubeslip.kernel import JujubeslipError


class ContentUnknownError(JujubeslipError):
    """No crash is known for the fingerprint."""

    error_id = "content_unknown"
    default_remedy = "Take the fingerprint from `jujubeslip quarantine list`."


@click.group()
def quarantine() -> None:
    """Show and lift the quarantine of contents that crash endpoints."""


@quarantine.command("list")
@control_options
@json_option
def list_quarantined(
    control_addresses: tuple[str, ...], peer_secret: str, as_json: bool
) -> None:
    """Show the request contents in quarantine, with their crashes."""
    control = open_control(control_addresses, peer_secret)
    with exit_on_refusal():
        contents = [thrift_fields(item) for item in control.quarantined()]
        print_fields({"contents": contents}, as_json)


@quarantine.command()
@click.argument("fingerprint")
@control_options
def lift(
    fingerprint: str, control_addresses: tuple[str, ...], peer_secret: str
) -> None:
    """Lift the quarantine of this content and forget its crashes."""
    control = open_control(control_addresses, peer_secret)
    with exit_on_refusal():
        if not control.lift_quarantine(fingerprint):
            raise ContentUnknownError(f"No crash is known for {fingerprint!r}.")
    click.echo(f"{fingerprint} may run again.")
