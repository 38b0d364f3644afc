"""The command that shows the steps of one request from the logs of several hosts."""

from __future__ import annotations

import json
from pathlib import Path

import click

from jujubeslip.cli._output import exit_with_problems
from jujubeslip.kernel import SettingsProblem
from jujubeslip.tracing import Line, cause_of, lines_about


@click.command("trace")
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def trace(request_id: str, files: tuple[Path, ...]) -> None:
    """Print a request's lines from several hosts' logs, and the cause of its end."""
    try:
        lines = lines_about(request_id, files)
    except OSError as error:
        problem = SettingsProblem(
            str(error.filename), "-", f"{error}.", "Name readable files."
        )
        exit_with_problems([problem])
    for line in lines:
        click.echo(_format_line(line))
    click.echo(f"cause: {cause_of(lines)}")


def _format_line(line: Line) -> str:
    fields = " ".join(f"{key}={json.dumps(item)}" for key, item in line.fields.items())
    return f"{line.time} {line.source} {line.message}: {fields}"
