"""Replay each load with each order of waiting requests; print a line for each."""

from __future__ import annotations

import statistics

import click

from bench.shares._loads import LOADS
from bench.shares._simulation import HIGHER, LOWER, POLICIES, Simulation

HEAD = (
    "| load | order | worth | higher in time | lower in time | worst tenth of accounts"
    " | least account | accounts without a surge | late | prompts read again |\n"
    "|---|---|---|---|---|---|---|---|---|---|"
)


@click.command(help=__doc__)
@click.option("--load", default="", help="Loads whose names contain this.")
@click.option("--seeds", default=5, show_default=True)
def main(load: str, seeds: int) -> None:
    """Replay the loads, each with the same seeds."""
    click.echo(HEAD)
    for one in LOADS:
        if load not in one.name:
            continue
        for policy in POLICIES:
            results = [
                Simulation(one, policy, seed).run() for seed in range(1, seeds + 1)
            ]
            cells = (
                [item.worth for item in results],
                [item.in_time(HIGHER) for item in results],
                [item.in_time(LOWER) for item in results],
                [item.worst_tenth for item in results],
                [item.account_shares[0] for item in results],
                [item.in_time_of(one.steady) for item in results],
                [item.late / max(1, item.owed_by_priority.total()) for item in results],
                [
                    item.prompts_read_again / max(1, item.owed_by_priority.total())
                    for item in results
                ],
            )
            means = " | ".join(f"{statistics.mean(cell):.3f}" for cell in cells)
            click.echo(f"| {one.name} | {policy.name} | {means} |")


if __name__ == "__main__":
    main()
