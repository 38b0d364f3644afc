"""The table of policies, each compared with the first on the same days and seeds."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence

from tools.ablation._plays import Row

HEAD = (
    "| policy | plays | worth | difference | deviation | not served | late | refused |"
    " failed | unused prefills | rules broken |",
    "|---|---|---|---|---|---|---|---|---|---|---|",
)


def table_of(rows: Iterable[Row]) -> str:
    """Return a line for each policy and revision, in the order of their first rows.

    The difference is the mean over the plays that the first policy has, too; the
    deviation is the standard deviation of this mean. A difference of less than two
    deviations is not significant.
    """
    rows_by_policy: dict[str, list[Row]] = {}
    for row in rows:
        if row.worth is not None:
            rows_by_policy.setdefault(f"{row.way} {row.revision}", []).append(row)
    if not rows_by_policy:
        return "\n".join(HEAD)
    baseline = next(iter(rows_by_policy.values()))
    lines = [
        _line(name, policy_rows, baseline)
        for name, policy_rows in rows_by_policy.items()
    ]
    return "\n".join([*HEAD, *lines])


def _line(name: str, rows: Sequence[Row], baseline: Sequence[Row]) -> str:
    worth_by_key = {row.comparison_key: row.worth or 0.0 for row in baseline}
    differences = [
        (row.worth or 0.0) - worth_by_key[row.comparison_key]
        for row in rows
        if row.comparison_key in worth_by_key
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
