"""Commands that check and explain local files, without a running system."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from jujubeslip.cli._connection import json_option
from jujubeslip.cli._output import EXIT_FILE_INVALID, exit_with_problems, print_fields
from jujubeslip.cli._route_commands import interface_option, read_route_table
from jujubeslip.cli._run_commands import settings_or_exit
from jujubeslip.declaration import Declaration, PriorityClass, parse_declaration
from jujubeslip.kernel import (
    CheckLevel,
    SettingsProblem,
    load_control_settings,
    load_entry_settings,
    load_forward_settings,
    load_plugins,
    run_checks,
)
from jujubeslip.rules import RequestFacts
from jujubeslip.rules import explain as explain_rules

file_argument = click.argument("path", type=click.Path(path_type=Path))


@click.command()
@file_argument
@click.option(
    "--kind",
    type=click.Choice(["declaration", "routes", "entry", "forward", "control"]),
    default="declaration",
    show_default=True,
    help="What the file contains.",
)
@interface_option
def check(path: Path, kind: str, interface: str | None) -> None:
    """Check a declaration, routes or a settings file; exit with 3 if it is invalid."""
    if kind == "entry":
        settings_or_exit(load_entry_settings(path))
    elif kind == "forward":
        settings_or_exit(load_forward_settings(path))
    elif kind == "routes":
        read_route_table(path, interface)
    elif kind == "control":
        settings_or_exit(load_control_settings(path))
    else:
        _check_declaration(path)
    click.echo(f"{path}: ok")


def read_declaration(path: Path) -> tuple[str, Declaration]:
    """Return a declaration's text and its parsed value, or print errors and exit."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = SettingsProblem(str(path), "-", f"{error}.", "Name a readable file.")
        exit_with_problems([problem])
    return text, settings_or_exit(parse_declaration(text, str(path)))


def _check_declaration(path: Path) -> None:
    load_plugins()
    _, declaration = read_declaration(path)
    messages = list(run_checks(declaration))
    for message in messages:
        click.echo(
            f"{path}: {message.level.value} {message.check_id}: {message.place}: "
            f"{message.message} {message.hint}",
            err=True,
        )
    if any(message.level is CheckLevel.ERROR for message in messages):
        sys.exit(EXIT_FILE_INVALID)


@click.command()
@file_argument
@click.option("--service", required=True, help="Service that the request names.")
@click.option("--client", default="", help="Client account.")
@click.option("--model", default="", help="Model that the request names.")
@click.option("--adapter", default="", help="Adapter that the request names.")
@click.option(
    "--priority",
    type=click.Choice([item.value for item in PriorityClass]),
    default="standard",
    help="Priority class that the request asks for.",
)
@click.option("--prompt-tokens", default=1, help="Length of the prompt.")
@click.option("--repeatable/--not-repeatable", default=True)
@click.option("--queue-wait-ms", default=0, help="Forecast wait to assume.")
@click.option("--load", default=0.0, help="Share of decode slots in use to assume.")
@click.option("--zone", "availability_zone", default="", help="Availability zone.")
@json_option
def explain(
    path: Path,
    service: str,
    client: str,
    model: str,
    adapter: str,
    priority: str,
    prompt_tokens: int,
    repeatable: bool,
    queue_wait_ms: int,
    load: float,
    availability_zone: str,
    as_json: bool,
) -> None:
    """Print which rule a request would match, and why no earlier rule applies."""
    _, declaration = read_declaration(path)
    declared = declaration.service_by_name.get(service)
    facts = RequestFacts(
        service=service,
        model=model or (declared.model if declared else ""),
        adapter=adapter or (declared.adapter if declared else ""),
        client=client,
        priority=PriorityClass(priority),
        prompt_tokens=prompt_tokens,
        repeatable=repeatable,
        queue_wait_ms=queue_wait_ms,
        load=load,
        availability_zone=availability_zone,
    )
    matched = ""
    lines = []
    for item in explain_rules(declaration.rule, facts):
        if item.matches and not matched:
            matched = item.rule.name
            lines.append(f"{item.rule.name}: matches and decides")
        elif item.matches:
            lines.append(f"{item.rule.name}: would match, but comes later")
        else:
            lines.append(f"{item.rule.name}: differs in {', '.join(item.unmet)}")
    print_fields(
        {"rule": matched or "none (refused as no_rule)", "why": lines}, as_json
    )
