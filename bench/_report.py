"""Plots and tables of the figures of runs."""

from __future__ import annotations

import base64
import html
import io
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib.axes import Axes
from matplotlib.figure import Figure

Value = Callable[[dict], float | None]


@dataclass(frozen=True)
class Panel:
    """One plot of the report; `logarithmic` sets the scale of its value axis."""

    title: str
    value: Value
    logarithmic: bool = False


PANELS = (
    Panel("goodput, all classes", lambda run: run["goodput"]),
    Panel("goodput, urgent classes", lambda run: run["urgent_goodput"]),
    Panel("wasted prefill", lambda run: run["wasted_prefill"]),
    Panel("refused share", lambda run: run["refused"] / max(1, run["offered"])),
    Panel("first token p95, ms", lambda run: run["ttft_p95"], logarithmic=True),
    Panel("between tokens p95, ms", lambda run: run["itl_p95"]),
)
TABLE_ROWS = (
    *((panel.title, panel.value) for panel in PANELS),
    ("incomplete answers that were begun", lambda run: run["incomplete_begun"]),
    ("answers cut with their entry host", lambda run: run["cut_with_entry"]),
    ("wrong answers", lambda run: run["wrong_answers"]),
    ("keys that ran twice", lambda run: run["ran_twice"]),
    ('refused as "not run" but ran', lambda run: run["refused_but_ran"]),
    ("attempts held after the end", lambda run: run["held_after_end"]),
    ("refusals without Retry-After", lambda run: run["retry_after"]["missing"]),
    ("probes after Retry-After", lambda run: run["retry_after"]["probed"]),
    ("of them answered", lambda run: run["retry_after"]["answered"]),
)


def plot_sweep(runs: Sequence[dict], title: str) -> Figure:
    """Return plots of a sweep: means over seeds, with bars from minimum to maximum."""
    figure = Figure(figsize=(13, 8), layout="constrained")
    figure.suptitle(title)
    for axes, panel in zip(figure.subplots(2, 3).flat, PANELS, strict=True):
        for policy in sorted({run["policy"] for run in runs}):
            _plot_policy(axes, policy, runs, panel)
        axes.set_title(panel.title)
        axes.set_xlabel("offered load over capacity")
        axes.grid(alpha=0.3)
        if panel.logarithmic:
            axes.set_yscale("log")
    figure.axes[0].legend()
    return figure


def _plot_policy(axes: Axes, policy: str, runs: Sequence[dict], panel: Panel) -> None:
    values_by_load = defaultdict(list)
    for run in runs:
        value = panel.value(run)
        if run["policy"] == policy and value is not None:
            values_by_load[run["load"]].append(value)
    loads = sorted(values_by_load)
    means = [statistics.mean(values_by_load[load]) for load in loads]
    below = [
        mean - min(values_by_load[load])
        for load, mean in zip(loads, means, strict=True)
    ]
    above = [
        max(values_by_load[load]) - mean
        for load, mean in zip(loads, means, strict=True)
    ]
    axes.errorbar(
        loads, means, yerr=[below, above], label=policy, marker="o", capsize=3
    )


def plot_run(run: dict) -> Figure:
    """Return the plots of one run by request class."""
    figure = Figure(figsize=(13, 4.5), layout="constrained")
    figure.suptitle(
        f"{run['scenario']}, policy {run['policy']}, load {run['load']}, "
        f"seed {run['seed']}: goodput {run['goodput']}, "
        f"wasted prefill {run['wasted_prefill']}"
    )
    names = list(run["classes"])
    goodput, first, between = figure.subplots(1, 3)
    goodput.barh(names, [run["classes"][name]["goodput"] for name in names])
    goodput.set_title("goodput")
    _plot_percentiles(first, run, names, "ttft_ms", "first token, ms")
    _plot_percentiles(between, run, names, "itl_ms", "between tokens, ms")
    return figure


def _plot_percentiles(
    axes: Axes, run: dict, names: Iterable[str], key: str, title: str
) -> None:
    names = list(names)
    for label, marker in (("p50", "o"), ("p95", "s"), ("p99", "^")):
        pairs = [(run["classes"][name][key][label], name) for name in names]
        known = [(value, name) for value, name in pairs if value is not None]
        axes.scatter(
            [value for value, _ in known],
            [name for _, name in known],
            label=label,
            marker=marker,
        )
    axes.set_title(title)
    axes.set_xscale("log")
    axes.grid(alpha=0.3)
    axes.legend()


def write_sweep_report(runs: Sequence[dict], title: str, path: Path) -> None:
    """Write the plots as PNG and, with the tables, as one HTML file."""
    content = io.BytesIO()
    plot_sweep(runs, title).savefig(content, format="png", dpi=110)
    path.with_suffix(".png").write_bytes(content.getvalue())
    image = base64.b64encode(content.getvalue()).decode()
    page = (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title>"
        "<style>body{font-family:sans-serif}table{border-collapse:collapse}"
        "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}</style>"
        f"<h1>{html.escape(title)}</h1><img src='data:image/png;base64,{image}'>"
        "<p>Mean over seeds, with minimum and maximum in brackets.</p>"
        f"{_table(runs)}"
    )
    path.with_suffix(".html").write_text(page)


def _table(runs: Sequence[dict]) -> str:
    groups = defaultdict(list)
    for run in runs:
        groups[run["load"], run["policy"]].append(run)
    keys = sorted(groups)
    head = "".join(
        f"<th>{html.escape(policy)}<br>load {load}</th>" for load, policy in keys
    )
    rows = [f"<tr><th></th>{head}</tr>"]
    for title, value in TABLE_ROWS:
        cells = "".join(f"<td>{_cell(groups[key], value)}</td>" for key in keys)
        rows.append(f"<tr><th>{html.escape(title)}</th>{cells}</tr>")
    return f"<table>{''.join(rows)}</table>"


def _cell(runs: Iterable[dict], value: Value) -> str:
    known = [found for run in runs if (found := value(run)) is not None]
    if not known:
        return "-"
    mean = statistics.mean(known)
    return f"{mean:.4g} [{min(known):.4g}, {max(known):.4g}]"
