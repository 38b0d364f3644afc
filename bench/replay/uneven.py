"""Compare ways to place answers at uneven engines; print a line for each.

The shares are means over the seeds, the worst zone and second included.
"""

from __future__ import annotations

import statistics

import click

from bench.replay._uneven import UNEVEN_PATTERNS, WAYS, UnevenSimulation

TABLE_HEAD = (
    "| pattern | way | in time | late | not served | worst zone | worst second |"
    " million token seconds | crossings |"
)


@click.command(help=__doc__)
@click.option("--seeds", default=3, show_default=True)
@click.option("--pattern", default="", help="Patterns whose names begin so.")
def main(seeds: int, pattern: str) -> None:
    """Simulate each pattern with each way, once for each seed."""
    click.echo(TABLE_HEAD)
    for one in UNEVEN_PATTERNS:
        if not one.name.startswith(pattern):
            continue
        for name, way in WAYS.items():
            played = [UnevenSimulation(one, way, seed) for seed in range(seeds)]
            for simulation in played:
                simulation.run()
            click.echo(f"| {one.name} | {name} | {_cells(played)} |")


def _cells(played: list[UnevenSimulation]) -> str:
    def mean(values: list[float]) -> float:
        return statistics.fmean(values)

    shares = (
        mean([item.outcome.in_time / item.outcome.requested for item in played]),
        mean([item.outcome.late / item.outcome.requested for item in played]),
        mean([item.outcome.unserved / item.outcome.requested for item in played]),
        mean([item.worst_zone for item in played]),
        mean([item.worst_second for item in played]),
    )
    cells = [f"{share:.3f}" for share in shares]
    held = mean([item.held_token_seconds for item in played]) / 1e6
    crossings = mean([item.crossings / item.outcome.requested for item in played])
    return " | ".join([*cells, f"{held:.2f}", f"{crossings:.3f}"])


if __name__ == "__main__":
    main()
