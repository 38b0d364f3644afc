"""The table of ways, each beside the first one on the same days and seeds."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence

from tools.ablation._plays import Row

HEAD = (
    "| way | plays | worth | difference | deviation | not served | late | refused |"
    " failed | for nothing | rules broken |",
    "|---|---|---|---|---|---|---|---|---|---|---|",
)


def table_of(rows: Iterable[Row]) -> str:
    """Return a line for each way and revision, in the order of their first rows.

    The difference is the mean over the plays that the first way has, too; the deviation
    is that of this mean. What lies within two of them is no gain.
    """
    rows_by_way: dict[str, list[Row]] = {}
    for row in rows:
        if row.worth is not None:
            rows_by_way.setdefault(f"{row.way} {row.revision}", []).append(row)
    if not rows_by_way:
        return "\n".join(HEAD)
    first = next(iter(rows_by_way.values()))
    lines = [_line(name, own, first) for name, own in rows_by_way.items()]
    return "\n".join([*HEAD, *lines])


def _line(name: str, rows: Sequence[Row], first: Sequence[Row]) -> str:
    worth_by_place = {row.place: row.worth or 0.0 for row in first}
    differences = [
        (row.worth or 0.0) - worth_by_place[row.place]
        for row in rows
        if row.place in worth_by_place
    ]
    cells = [
        name,
        str(len(rows)),
        f"{statistics.mean(row.worth or 0.0 for row in rows):.3f}",
        f"{statistics.mean(differences):+.3f}" if differences else "",
        f"{_deviation_of_mean(differences):.3f}",
        f"{statistics.mean(row.unserved for row in rows):.4f}",
        f"{statistics.mean(row.late for row in rows):.0f}",
        f"{statistics.mean(row.refused for row in rows):.1f}",
        f"{statistics.mean(row.failed for row in rows):.1f}",
        f"{statistics.mean(row.read_for_nothing for row in rows):.4f}",
        ", ".join(sorted({rule for row in rows for rule in row.rules})),
    ]
    return f"| {' | '.join(cells)} |"


def _deviation_of_mean(values: Sequence[float]) -> float:
    if len(values) < 2:
        return 0.0
    return float(statistics.stdev(values) / len(values) ** 0.5)
