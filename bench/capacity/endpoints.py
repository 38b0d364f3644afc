"""Measures the cost of endpoints for their home, its standby and other entry hosts.

`python -m bench.capacity.endpoints [--sizes 8,32,64,128,256] [--seconds 6]`

There is one service and three entry hosts, one of which is the home of all endpoints.
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
from jujubeslip.membership import rendezvous_order
from tests.fakes.cluster import ENDPOINT_SECRET, EngineSpec
from tests.fakes.processes import ManagedProcess, wait_until
from tests.fakes.scenarios import small_system

ENDPOINTS_PER_PROCESS = 150
SETTLE_SECONDS = 4.0
SERVICE = "summaries"
# Each receives a third of the announcements; the last one only forwards them.
ROLES = ("home", "standby", "other entry host")


def main() -> None:
    """Measure each size and print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="8,32,64,128,256")
    parser.add_argument("--slope-sizes", default="8,32,64,128")
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    rates_by_role: dict[str, dict[int, Rates]] = {role: {} for role in ROLES}
    for size in map(int, options.sizes.split(",")):
        for role, rates in measure(size, options.seconds).items():
            rates_by_role[role][size] = rates
    slope_sizes = [int(size) for size in options.slope_sizes.split(",")]
    for role, rates_by_size in rates_by_role.items():
        for key in ("core_percent", "rss_mb", "sent_kb", "received_kb", "threads"):
            points = [(size, getattr(rates_by_size[size], key)) for size in slope_sizes]
            per_endpoint, base = slope(points)
            print_figures(
                f"slope of {role} {key} by endpoints of the service",
                per_endpoint=round(per_endpoint, 5),
                base=round(base, 3),
                sizes=slope_sizes,
            )


def measure(size: int, seconds: float) -> dict[str, Rates]:
    """Return the mean rates of the home, the standby and another entry host."""
    spec = small_system(endpoints=(), entries=3, controls=1)
    with (
        tempfile.TemporaryDirectory() as folder,
        CountedCluster(spec, Path(folder)) as cluster,
    ):
        home = cluster.home_id(EngineSpec("any", SERVICE, "decode"))
        hosts = rendezvous_order(f"home/{SERVICE}/{spec.region}", cluster.entry_ids)
        assert hosts[0] == home
        _start_stand_ins(cluster, size)
        usable = _wait_usable(cluster, home, size)
        time.sleep(SETTLE_SECONDS)
        runs = [cluster.rates(cluster.entry_ids, seconds) for _ in range(RUNS)]
        usable = min(usable, _usable(cluster, home))
    fields = {"endpoints": size, "usable": usable}
    rates_by_role = {}
    for role, name in zip(ROLES, hosts, strict=True):
        role_runs = [run[name] for run in runs]
        print_rates(role, fields, role_runs)
        rates_by_role[role] = mean_of(role_runs)
    return rates_by_role


def _start_stand_ins(cluster: CountedCluster, size: int) -> None:
    entries = ",".join(cluster.http_address_by_id.values())
    for start in range(0, size, ENDPOINTS_PER_PROCESS):
        count = min(ENDPOINTS_PER_PROCESS, size - start)
        name = f"stand-ins-{start}"
        arguments = ["--count", str(count), "--prefix", name, "--service", SERVICE]
        arguments += ["--zone", "zone-1", "--endpoint-secret", ENDPOINT_SECRET]
        arguments += ["--entries", entries]
        process = ManagedProcess(
            name, "bench.capacity.stand_ins", arguments, cluster.folder
        )
        cluster.process_by_name[name] = process
        process.wait_ready()


def _usable(cluster: CountedCluster, home: str) -> int:
    pools = cluster.entry_status(home).pools
    return sum(p.usable_endpoints for p in pools if p.service_name == SERVICE)


def _wait_usable(cluster: CountedCluster, home: str, size: int) -> int:
    """Return how many endpoints are usable: not all if the home is overloaded."""
    try:
        wait_until(lambda: _usable(cluster, home) >= size, "all are usable", 25)
    except TimeoutError:
        pass
    return _usable(cluster, home)


if __name__ == "__main__":
    main()
