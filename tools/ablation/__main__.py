"""Play days with one policy, and compare the policies that were played."""

from __future__ import annotations

import subprocess
from pathlib import Path

import click

from tools.ablation import Comparison, Policy, read_rows, table_of
from tools.troubles import make_copies

PathArgument = click.Path(path_type=Path)


@click.group(help=__doc__)
def main() -> None:
    """Group the commands."""


@main.command()
@click.argument("program", type=click.Path(path_type=Path, exists=True))
@click.argument("site", type=click.Path(path_type=Path, exists=True))
@click.option("--way", required=True, help="Name of the policy in the table.")
@click.option("--set", "settings", multiple=True, help="FILE:LINE of settings to add.")
@click.option("--day", "days", multiple=True, required=True)
@click.option("--seed", "seeds", multiple=True, type=int, default=[0])
@click.option("--jobs", default=2, show_default=True, help="Plays at once.")
@click.option("--results", required=True, type=PathArgument, help="JSON lines.")
@click.option("--why", required=True, help="For the journal.")
def play(
    program: Path,
    site: Path,
    way: str,
    settings: tuple[str, ...],
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    jobs: int,
    results: Path,
    why: str,
) -> None:
    """Play days of SITE with PROGRAM on the commit checked out in this folder.

    Seed 0 selects the seed of the day itself. Processor time is not charged, so that
    plays with the same seed give mostly the same result.
    """
    root, results = Path.cwd(), results.absolute()
    results.parent.mkdir(parents=True, exist_ok=True)
    Comparison(
        program=program.absolute(),
        root=root,
        copies=make_copies(root, results.parent / f"copies-{way}", jobs),
        results=results,
        policy=Policy(way, settings),
        revision=_revision(root),
        why=why,
    ).play_all(site.absolute(), days, seeds)
    click.echo(table_of(read_rows(results)))


@main.command()
@click.argument("results", type=click.Path(path_type=Path, exists=True))
def table(results: Path) -> None:
    """Print the table of the plays in RESULTS."""
    click.echo(table_of(read_rows(results)))


def _revision(root: Path) -> str:
    """Return the id of the committed tree, which doesn't depend on commit messages."""
    command = ["git", "rev-parse", "--short", "HEAD^{tree}"]
    completed = subprocess.run(
        command, cwd=root, check=True, capture_output=True, text=True
    )
    return completed.stdout.strip()


if __name__ == "__main__":
    main()
