"""Runs policies and loads over several seeds and writes a report with plots.

The figures of each run are written to `bench/out/` as a JSON line. Runs are
sequential, so that they don't compete for processor time.
"""

from __future__ import annotations

import argparse
import itertools
import json
import sys
from collections.abc import Iterator
from pathlib import Path

from bench._report import write_sweep_report
from bench._run import RunOptions, end_runs_on_sigterm, run_once
from bench._scenarios import SCENARIOS

OUTPUT_FOLDER = Path(__file__).parent / "out"


def parse_options(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="bench.sweep", description=__doc__)
    add = parser.add_argument
    add("--scenario", choices=sorted(SCENARIOS), required=True)
    add("--policies", default="home,least-loaded,round-robin,random")
    add("--loads", default="0.5,0.8,1.0,1.3,2.0")
    add("--seeds", default="1,2,3")
    add("--seconds", type=float, default=30.0)
    add("--faults", action="store_true")
    add("--out", type=Path, default=OUTPUT_FOLDER)
    add("--resume", action="store_true", help="skip the runs whose figures are stored")
    add("--report-only", action="store_true", help="only plot the stored runs")
    return parser.parse_args(arguments)


def main() -> None:
    """Run the sweep, then write its report."""
    options = parse_options()
    end_runs_on_sigterm()
    options.out.mkdir(parents=True, exist_ok=True)
    kind = "faults" if options.faults else "loads"
    base = options.out / f"{options.scenario}-{kind}"
    lines = base.with_suffix(".jsonl")
    if not options.report_only:
        _run_all(options, lines)
    runs = _read_runs(lines)
    title = f"{options.scenario}, {kind}, {len(runs)} runs"
    write_sweep_report(runs, title, base)
    sys.stdout.write(f"{base.with_suffix('.html')}\n")


def _run_all(options: argparse.Namespace, lines: Path) -> None:
    done = _read_runs(lines) if options.resume else []
    known = {(run["load"], run["seed"], run["policy"]) for run in done}
    with lines.open("a" if options.resume else "w") as file:
        for run_options in _combinations(options):
            key = (run_options.load, run_options.seed, run_options.policy)
            if key in known:
                continue
            run = run_once(run_options)
            file.write(json.dumps(run) + "\n")
            file.flush()
            sys.stdout.write(f"{_summary(run)}\n")
            sys.stdout.flush()


def _combinations(options: argparse.Namespace) -> Iterator[RunOptions]:
    combinations = itertools.product(
        options.loads.split(","), options.seeds.split(","), options.policies.split(",")
    )
    for load, seed, policy in combinations:
        yield RunOptions(
            scenario=options.scenario,
            policy=policy,
            load=float(load),
            seed=int(seed),
            seconds=options.seconds,
            faults=options.faults,
        )


def _read_runs(lines: Path) -> list[dict]:
    if not lines.exists():
        return []
    return [json.loads(line) for line in lines.read_text().splitlines()]


def _summary(run: dict) -> str:
    names = ("policy", "load", "seed", "goodput", "urgent_goodput", "wasted_prefill")
    return " ".join(f"{name}={run[name]}" for name in names)


if __name__ == "__main__":
    main()
