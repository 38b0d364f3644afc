"""Measures the resource use of idle hosts by the number of entry hosts.

`python -m bench.capacity.idle [--sizes 3,5,7,12] [--seconds 8]`
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

from bench.capacity.fleet import (
    RUNS,
    CountedCluster,
    Rates,
    mean_of,
    print_figures,
    print_rates,
    slope,
)
from tests.fakes.scenarios import small_system

SETTLE_SECONDS = 3.0


def main() -> None:
    """Measure each size and print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="3,5,7,12")
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    entry_by_size: dict[int, Rates] = {}
    leader_by_size: dict[int, Rates] = {}
    for size in map(int, options.sizes.split(",")):
        entry_by_size[size], leader_by_size[size] = measure(size, options.seconds)
    for role, rates_by_size in (("entry", entry_by_size), ("control", leader_by_size)):
        for key in ("core_percent", "rss_mb", "sent_kb", "received_kb", "sends"):
            points = [(n, getattr(rates, key)) for n, rates in rates_by_size.items()]
            per_host, base = slope(points)
            print_figures(
                f"slope of {role} {key} by entry hosts",
                per_host=round(per_host, 4),
                base=round(base, 3),
            )


def measure(size: int, seconds: float) -> tuple[Rates, Rates]:
    """Return the mean idle rates of an entry host and of the busiest control host."""
    spec = small_system(endpoints=(), entries=size, controls=3)
    entry_runs, control_runs = [], []
    with (
        tempfile.TemporaryDirectory() as folder,
        CountedCluster(spec, Path(folder)) as cluster,
    ):
        time.sleep(SETTLE_SECONDS)
        for _ in range(RUNS):
            names = (*cluster.entry_ids, *cluster.control_ids)
            rates = cluster.rates(names, seconds)
            entry_runs.append(mean_of(rates[name] for name in cluster.entry_ids))
            busiest = max(
                cluster.control_ids, key=lambda name: rates[name].core_percent
            )
            control_runs.append(rates[busiest])
            if len(control_runs) == RUNS:
                for name in cluster.control_ids:
                    role = {"host": name, "entry_hosts": size}
                    print_rates("idle control host", role, [rates[name]])
    print_rates("idle entry host (mean of all)", {"entry_hosts": size}, entry_runs)
    print_rates("idle control host (busiest)", {"entry_hosts": size}, control_runs)
    return mean_of(entry_runs), mean_of(control_runs)


if __name__ == "__main__":
    main()
