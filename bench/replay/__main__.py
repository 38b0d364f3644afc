"""Simulate patterns of load with the given options; print a line for each."""

from __future__ import annotations

import statistics

import click

from bench.replay._patterns import FEW_ENGINES_PATTERNS, PATTERNS
from bench.replay._simulation import DecisionOptions, Outcome, Simulation
from jujubeslip.admission import MemoryOptions, WaitingOptions

TABLE_HEAD = (
    "| pattern | worth | deviation | of large ones | in time | late | not served |"
    " for nothing | pushed out |"
)


@click.command(help=__doc__)
@click.option("--pattern", default="", help="Patterns whose names begin so.")
@click.option("--seeds", default=10, show_default=True)
@click.option("--margin", default=0.05, show_default=True)
@click.option("--caution", default=1.5, show_default=True)
@click.option("--passed", default=0.3, show_default=True, help="Seconds.")
@click.option("--reader-wait", default=60.0, show_default=True, help="Seconds.")
def main(
    pattern: str,
    seeds: int,
    margin: float,
    caution: float,
    passed: float,
    reader_wait: float,
) -> None:
    """Simulate each pattern once for each seed."""
    options = DecisionOptions(
        MemoryOptions(margin, caution), WaitingOptions(passed, reader_wait)
    )
    click.echo(TABLE_HEAD)
    for one in (*PATTERNS, *FEW_ENGINES_PATTERNS):
        if one.name.startswith(pattern):
            outcomes = [
                Simulation(one, options, seed).run() for seed in range(1, seeds + 1)
            ]
            click.echo(_line(one.name, outcomes))


def _line(name: str, outcomes: list[Outcome]) -> str:
    requested = sum(item.requested for item in outcomes)
    worths = [item.worth for item in outcomes]
    deviation = statistics.stdev(worths) if len(worths) > 1 else 0.0
    shares = (
        sum(item.in_time for item in outcomes),
        sum(item.late for item in outcomes),
        sum(item.unserved for item in outcomes),
        sum(item.wasted_prefills for item in outcomes),
        sum(item.evicted for item in outcomes),
    )
    cells = " | ".join(f"{share / requested:.4f}" for share in shares)
    large = statistics.mean(item.large_worth for item in outcomes)
    worth = f"{statistics.mean(worths):.4f} | {deviation:.4f} | {large:.4f}"
    return f"| {name} | {worth} | {cells} |"


if __name__ == "__main__":
    main()
