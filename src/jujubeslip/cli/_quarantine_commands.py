"""Commands for the quarantine of contents and prompt parts that crash endpoints."""

from __future__ import annotations

from typing import Any

import click

from jujubeslip.cli._connection import control_options, json_option, open_control
from jujubeslip.cli._output import exit_on_refusal, print_fields, thrift_fields
from jujubeslip.kernel import JujubeslipError
from jujubeslip.peers import CrashRecord
from jujubeslip.quarantine import part_fingerprint_of


class ContentUnknownError(JujubeslipError):
    """No crash is known for the fingerprint."""

    error_id = "content_unknown"
    default_remedy = "Take the fingerprint from `jujubeslip quarantine list`."


@click.group()
def quarantine() -> None:
    """Show and lift the quarantine of what crashes endpoints."""


@quarantine.command("list")
@click.option("--part", default="", help="Show only the prompt part with this id.")
@control_options
@json_option
def list_quarantined(
    part: str, control_addresses: tuple[str, ...], peer_secret: str, as_json: bool
) -> None:
    """Show the contents and prompt parts in quarantine, with their crashes."""
    control = open_control(control_addresses, peer_secret)
    with exit_on_refusal():
        records = control.quarantined()
    if part:
        fingerprint = part_fingerprint_of(part)
        records = [item for item in records if item.fingerprint == fingerprint]
    shown: dict[str, list[dict[str, Any]]] = {"contents": [], "parts": []}
    for record in records:
        shown["parts" if _is_part(record) else "contents"].append(thrift_fields(record))
    print_fields(shown, as_json)


def _is_part(record: CrashRecord) -> bool:
    """Return whether the record is of a part: contents that hold it have crashed."""
    contents = {crash.content for crash in record.crashes}
    return not contents <= {None, "", record.fingerprint}


@quarantine.command()
@click.argument("fingerprint")
@control_options
def lift(
    fingerprint: str, control_addresses: tuple[str, ...], peer_secret: str
) -> None:
    """Lift the quarantine of this content or part and forget its crashes."""
    control = open_control(control_addresses, peer_secret)
    with exit_on_refusal():
        if not control.lift_quarantine(fingerprint):
            raise ContentUnknownError(f"No crash is known for {fingerprint!r}.")
    click.echo(f"{fingerprint} may run again.")
