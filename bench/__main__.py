"""Runs the load tool once and prints its figures as one JSON line."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from bench._report import plot_run
from bench._run import RunOptions, end_runs_on_sigterm, run_once
from bench._scenarios import SCENARIOS

OUTPUT_FOLDER = Path(__file__).parent / "out"


def parse_options(
    arguments: list[str] | None = None,
) -> tuple[RunOptions, Path]:
    """Parse the command line; return the run options and the report folder."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    add = parser.add_argument
    add("--scenario", choices=sorted(SCENARIOS), required=True)
    add("--policy", default="home", help="the entry hosts' policy")
    add("--load", type=float, default=1.0, help="offered load over capacity")
    add("--seed", type=int, default=1)
    add("--seconds", type=float, default=30.0, help="length of the measured period")
    add("--warm-up", type=float, default=5.0, help="seconds of load before it")
    add("--cool-down", type=float, default=10.0, help="seconds of load after it")
    add(
        "--faults",
        action="store_true",
        help="kill an engine and an entry host, cut a link",
    )
    add("--probe-share", type=float, default=0.1)
    add("--logs", type=Path, default=None, help="keep settings and logs in this folder")
    add("--out", type=Path, default=OUTPUT_FOLDER, help="folder of the report")
    add("--label", default="", help="the name of the policy in the figures")
    add("--entry-option", action="append", default=[], metavar="KEY=JSON")
    found = vars(parser.parse_args(arguments))
    pairs = (item.split("=", 1) for item in found.pop("entry_option"))
    entry_options = {key: json.loads(value) for key, value in pairs}
    output_folder = found.pop("out")
    return RunOptions(**found, entry_options=entry_options), output_folder


def main() -> None:
    """Run once and print the figures as the last line of the output."""
    options, output_folder = parse_options()
    end_runs_on_sigterm()
    figures = run_once(options)
    output_folder.mkdir(parents=True, exist_ok=True)
    name = f"{options.scenario}-{figures['policy']}-{options.load}-{options.seed}"
    path = output_folder / name
    plot_run(figures).savefig(f"{path}.png", dpi=110)
    line = json.dumps(figures) + "\n"
    Path(f"{path}.json").write_text(line)
    sys.stdout.write(f"{path}.png\n{line}")


if __name__ == "__main__":
    main()
