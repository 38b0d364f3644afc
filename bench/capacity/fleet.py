"""A small cluster with counted processes, and the rates of each process."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path

from jujubeslip.control import ControlClient
from jujubeslip.kernel import PeerAddress
from jujubeslip.peers import PeerIdentity
from tests.fakes.cluster import PEER_SECRET, Cluster
from tests.fakes.processes import ManagedProcess

COMMAND_LINE = "jujubeslip.cli"
RUNS = 3


@dataclass(frozen=True)
class Rates:
    """The resources that one process used per second over a period."""

    core_percent: float
    rss_mb: float
    sent_kb: float
    received_kb: float
    sends: float
    receives: float
    threads: float


class CountedCluster(Cluster):
    """A cluster whose entry and control hosts run under `bench.capacity.counted`."""

    def __enter__(self) -> CountedCluster:
        super().__enter__()
        return self

    def _start(self, name: str, module: str, arguments: list[str]) -> ManagedProcess:
        if module == COMMAND_LINE:
            module = "bench.capacity.counted"
            arguments = [str(self._counts_path(name)), *arguments]
        return super()._start(name, module, arguments)

    def _counts_path(self, name: str) -> Path:
        return self.folder / f"{name}.counts"

    def snapshot(self, name: str) -> dict[str, float]:
        """Return the latest counts of a process."""
        counts: dict[str, float] = json.loads(self._counts_path(name).read_text())
        return counts

    def rates(self, names: Iterable[str], seconds: float) -> dict[str, Rates]:
        """Return the rates of each process over the next `seconds` seconds."""
        names = list(names)
        before = {name: self.snapshot(name) for name in names}
        time.sleep(seconds)
        return {
            name: rates_between(before[name], self.snapshot(name)) for name in names
        }


def control_client(cluster: CountedCluster) -> ControlClient:
    """Return a client of the cluster's control hosts."""
    peers = [
        PeerAddress(host_id=name, address=cluster.peer_address_by_id[name])
        for name in cluster.control_ids
    ]
    return ControlClient(peers, PeerIdentity("bench", 1, PEER_SECRET))


def rates_between(before: dict[str, float], after: dict[str, float]) -> Rates:
    """Return the rates between two snapshots of one process."""
    seconds = after["instant"] - before["instant"]

    def rate(key: str) -> float:
        return (after[key] - before[key]) / seconds

    return Rates(
        core_percent=rate("cpu_seconds") * 100,
        rss_mb=after["rss_bytes"] / 1e6,
        sent_kb=rate("sent_bytes") / 1e3,
        received_kb=rate("received_bytes") / 1e3,
        sends=rate("sends"),
        receives=rate("receives"),
        threads=after["threads"],
    )


def mean_of(samples: Iterable[Rates]) -> Rates:
    """Return the mean of each rate."""
    rows = [asdict(sample) for sample in samples]
    return Rates(**{key: statistics.fmean(row[key] for row in rows) for key in rows[0]})


def spread_of(values: Iterable[float]) -> str:
    """Return the mean, minimum and maximum as a table cell."""
    values = list(values)
    return f"{statistics.fmean(values):.3g} ({min(values):.3g}-{max(values):.3g})"


def print_rates(matter: str, size: Mapping[str, object], runs: list[Rates]) -> None:
    """Print a JSON line with the size, and the spread of each rate over the runs."""
    fields: dict[str, object] = {"matter": matter, **size}
    for key in asdict(runs[0]):
        fields[key] = spread_of(getattr(run, key) for run in runs)
    print(json.dumps(fields), flush=True)


def print_figures(matter: str, **fields: object) -> None:
    """Print the figures as a JSON line."""
    print(json.dumps({"matter": matter, **fields}), flush=True)


def slope(points: Iterable[tuple[float, float]]) -> tuple[float, float]:
    """Return the least-squares slope and intercept."""
    xs, ys = zip(*points, strict=True)
    fit = statistics.linear_regression(xs, ys)
    return fit.slope, fit.intercept


def timed_cpu(operation: Callable[[], object], repeats: int) -> float:
    """Return this process's processor time for one call, in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        operation()
    return (time.process_time() - started) / repeats * 1e6
