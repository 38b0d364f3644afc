"""Plots the rows of `bench.accounts.measure`.

Run as `python -m bench.accounts.plot ROWS.jsonl PICTURE.svg`. For each policy, it plots
the requests that are wrongly refused, and the maximum of the tokens in any window as a
share of the bound.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
# A fixed salt makes the file identical for identical rows.
matplotlib.rcParams["svg.hashsalt"] = "rows"

from matplotlib import pyplot  # noqa: E402

HOSTS = 65
BAR_HEIGHT = 0.27
FIGURES = (
    ("wrong_percent", "wrongly refused, %"),
    ("worst_of_bound", "most in any window, share of the bound"),
)


def draw(rows: list[dict[str, Any]], picture: Path) -> None:
    """Plot the rows at 65 hosts, with a panel per figure and a bar per policy."""
    selected_rows = [row for row in rows if row["hosts"] == HOSTS]
    names = list(
        dict.fromkeys(f"{row['size']}: {row['load']}" for row in selected_rows)
    )
    policies = list(dict.fromkeys(row["way"] for row in selected_rows))
    _, panels = pyplot.subplots(1, 2, figsize=(12, 8), sharey=True)
    for panel, (key, title) in zip(panels, FIGURES, strict=True):
        for number, policy in enumerate(policies):
            values = [row[key] for row in selected_rows if row["way"] == policy]
            positions = [
                position + number * BAR_HEIGHT for position in range(len(names))
            ]
            panel.barh(positions, values, BAR_HEIGHT, label=policy)
        panel.set_xlabel(title)
    panels[1].axvline(1.0, color="black", linewidth=1)
    panels[0].set_yticks(
        [position + BAR_HEIGHT for position in range(len(names))], names
    )
    panels[0].invert_yaxis()
    panels[0].legend(loc="lower right")
    pyplot.tight_layout()
    pyplot.savefig(picture, metadata={"Date": None})


def main() -> None:
    """Read the rows and plot them."""
    lines = Path(sys.argv[1]).read_text().splitlines()
    draw([json.loads(line) for line in lines], Path(sys.argv[2]))


if __name__ == "__main__":
    main()
