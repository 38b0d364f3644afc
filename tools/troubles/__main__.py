"""Write, play and tabulate days that each have one kind of trouble."""

from __future__ import annotations

from pathlib import Path

import click

from tools.troubles import (
    KINDS,
    KindsError,
    Player,
    PlayError,
    days_of,
    make_copies,
    read_kinds,
    read_plays,
    table_of,
)

# Number of concurrent plays; each has some ten processes and uses about one core.
DEFAULT_JOBS = 6


@click.group(help=__doc__)
@click.option("--kinds", default=KINDS, type=click.Path(path_type=Path, exists=True))
@click.pass_context
def main(context: click.Context, kinds: Path) -> None:
    """Read the kinds of trouble."""
    try:
        context.obj = tuple(days_of(read_kinds(kinds)))
    except KindsError as error:
        raise click.ClickException(str(error)) from None


@main.command()
@click.argument("directory", type=click.Path(path_type=Path))
@click.pass_context
def write(context: click.Context, directory: Path) -> None:
    """Write all day files to DIRECTORY."""
    directory.mkdir(parents=True, exist_ok=True)
    for day in context.obj:
        (directory / f"{day.name}.toml").write_text(day.text)


@main.command()
@click.argument("program", type=click.Path(path_type=Path, exists=True))
@click.argument("sites", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--seed", "seeds", multiple=True, default=[1], show_default=True)
@click.option(
    "--jobs", default=DEFAULT_JOBS, show_default=True, help="Concurrent plays."
)
@click.option("--only", default="", help="Prefix of the names of the days to play.")
@click.option(
    "--directory",
    default=Path("target/troubles"),
    show_default=True,
    type=click.Path(path_type=Path),
    help="For day files, reports and results.",
)
@click.pass_context
def play(
    context: click.Context,
    program: Path,
    sites: tuple[Path, ...],
    seeds: tuple[int, ...],
    jobs: int,
    only: str,
    directory: Path,
) -> None:
    """Play all days on SITES with PROGRAM, then print the table.

    Run it at the root of the repository: it plays the commit that is checked out there.
    Days with a result in the directory are skipped, so that a stopped run continues.
    """
    days = [day for day in context.obj if day.name.startswith(only)]
    root = Path.cwd()
    directory = directory.absolute()
    player = Player(
        program=program.absolute(),
        root=root,
        copies=make_copies(root, directory / "copies", jobs),
        directory=directory,
    )
    try:
        player.play_all(days, [site.absolute() for site in sites], seeds)
    except PlayError as error:
        raise click.ClickException(str(error)) from None
    click.echo(table_of(read_plays(player.results)))


@main.command()
@click.argument("results", type=click.Path(path_type=Path, exists=True))
def table(results: Path) -> None:
    """Print the table of the plays in RESULTS."""
    click.echo(table_of(read_plays(results)))


if __name__ == "__main__":
    main()
