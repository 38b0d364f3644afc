"""The main command group, with the commands of the other modules."""

from __future__ import annotations

import logging

import click

from jujubeslip import __version__
from jujubeslip.cli._change_commands import apply, history, show
from jujubeslip.cli._check_commands import check, explain
from jujubeslip.cli._quarantine_commands import quarantine
from jujubeslip.cli._replica_commands import replica
from jujubeslip.cli._review_commands import review
from jujubeslip.cli._route_commands import explain_route
from jujubeslip.cli._run_commands import control, entry, forward
from jujubeslip.cli._status_commands import drain, status
from jujubeslip.cli._trace_commands import trace


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Route requests to separate prefill and decode pools.

    Exit codes: 0 success; 1 refused or host unreachable, with the remedy on standard
    error; 2 invalid command line; 3 invalid file; 4 warnings of a review.
    """
    # The thrift library logs each failed connection attempt, and would write before
    # the command's own error, which contains the remedy.
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


for command in (
    entry,
    forward,
    control,
    check,
    explain,
    explain_route,
    review,
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
