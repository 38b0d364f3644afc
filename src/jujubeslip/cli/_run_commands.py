"""Commands that run the process of a host."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import click
from returns.result import Failure, Result

from jujubeslip.cli._output import exit_on_refusal, exit_with_problems
from jujubeslip.kernel import (
    SettingsProblem,
    StartFailedError,
    load_control_settings,
    load_entry_settings,
    load_forward_settings,
)
from jujubeslip.telemetry import configure_logging

T = TypeVar("T")

settings_option = click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=Path),
    help="TOML file with the settings of this process.",
)


@click.command()
@settings_option
def entry(settings_path: Path) -> None:
    """Run an entry host: client HTTP, routing, and grants of endpoints' capacity.

    SIGTERM stops it gracefully: it accepts no new requests, and exits when the last
    open request has ended.
    """
    settings = settings_or_exit(load_entry_settings(settings_path))
    from jujubeslip.entry import run_entry

    with exit_on_refusal(), _convert_start_errors():
        run_entry(settings)


@click.command()
@settings_option
def forward(settings_path: Path) -> None:
    """Run an entry host that forwards HTTP requests by an operator's routes.

    SIGTERM stops it gracefully; SIGHUP reloads the seeds from its settings.
    """
    settings = settings_or_exit(load_forward_settings(settings_path))
    from jujubeslip.forwarding import run_forward

    with exit_on_refusal(), _convert_start_errors():
        run_forward(settings, settings_path)


@click.command()
@settings_option
def control(settings_path: Path) -> None:
    """Run a control host: a replica of the log, on a host with a disk."""
    settings = settings_or_exit(load_control_settings(settings_path))
    from jujubeslip.control import run_control

    configure_logging(settings.telemetry)
    with exit_on_refusal(), _convert_start_errors():
        run_control(settings)


@contextmanager
def _convert_start_errors() -> Iterator[None]:
    """Raise StartFailedError for errors of the operating system during the start."""
    try:
        yield
    except OSError as error:
        raise StartFailedError(f"{error.strerror or error}.") from error


def settings_or_exit(result: Result[T, tuple[SettingsProblem, ...]]) -> T:
    """Return the settings, or print all their problems and exit."""
    if isinstance(result, Failure):
        exit_with_problems(result.failure())
    return result.unwrap()
