"""The command group; each module of commands adds its own."""

from __future__ import annotations

import logging

import click

from jujubeslip import __version__
from jujubeslip.cli._change_commands import apply, history, show
from jujubeslip.cli._check_commands import check, explain
from jujubeslip.cli._quarantine_commands import quarantine
from jujubeslip.cli._replica_commands import replica
from jujubeslip.cli._route_commands import explain_route
from jujubeslip.cli._run_commands import control, entry, forward
from jujubeslip.cli._status_commands import drain, status
from jujubeslip.cli._trace_commands import trace


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Route requests to separate prefill and decode pools.

    Exit codes: 0 done; 1 refused or not reached, with the remedy on standard error;
    2 the command line was wrong; 3 a file was not valid.
    """
    # The library writes a line for each try that fails, before the command's own
    # error, which has the remedy.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


for command in (
    entry,
    forward,
    control,
    check,
    explain,
    explain_route,
    apply,
    show,
    history,
    status,
    drain,
    replica,
    quarantine,
    trace,
):
    main.add_command(command)
