"""Play days in one way to decide, and compare the ways that were played."""

from __future__ import annotations

import subprocess
from pathlib import Path

import click

from tools.ablation import Comparison, Way, read_rows, table_of
from tools.troubles import make_copies

PathArgument = click.Path(path_type=Path)


@click.group(help=__doc__)
def main() -> None:
    """Hold the commands."""


@main.command()
@click.argument("program", type=click.Path(path_type=Path, exists=True))
@click.argument("site", type=click.Path(path_type=Path, exists=True))
@click.option("--way", required=True, help="Its name in the table.")
@click.option("--set", "settings", multiple=True, help="FILE:LINE of settings.")
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
    """Play days of SITE with PROGRAM in what is committed here; seed 0 is the day's.

    Processor time is not charged: a play then mostly repeats.
    """
    root, results = Path.cwd(), results.absolute()
    results.parent.mkdir(parents=True, exist_ok=True)
    Comparison(
        program=program.absolute(),
        root=root,
        copies=make_copies(root, results.parent / f"copies-{way}", jobs),
        results=results,
        way=Way(way, settings),
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
    """Return the name of what is committed, whatever the commit says of it."""
    command = ["git", "rev-parse", "--short", "HEAD^{tree}"]
    told = subprocess.run(command, cwd=root, check=True, capture_output=True, text=True)
    return told.stdout.strip()


if __name__ == "__main__":
    main()
