"""Measures the cost of claims and configuration changes for the control hosts.

`python -m bench.capacity.control [--claims 50,200,800] [--clients 10,100,320]`

Claims run a few at a time against three control hosts. Each change distributes a
declaration with the given number of client accounts to the entry hosts, and is timed
until it is in effect on the last of them.
"""

from __future__ import annotations

import argparse
import tempfile
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from bench.capacity.fleet import (
    RUNS,
    CountedCluster,
    Rates,
    control_client,
    print_figures,
    slope,
    spread_of,
)
from bench.capacity.tables import declaration_text
from jujubeslip.control import ControlClient
from jujubeslip.kernel import Deadline
from jujubeslip.peers import ApplyRequest, KeyClaim, KeyStatus
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import small_system

Snapshot = dict[str, float]

CALLERS = 8
CALL_SECONDS = 20.0
SNAPSHOT_WAIT_SECONDS = 0.5
IDLE_SECONDS = 3.0
CHANGES = 5


@dataclass(frozen=True)
class ResourceUse:
    """The resources that a control host used in addition to its idle rates."""

    cpu_ms: float
    sent_kb: float
    received_kb: float
    rss_mb: float


def main() -> None:
    """Measure claims, then changes by declaration size and number of entry hosts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--claims", default="50,200,800")
    parser.add_argument("--clients", default="10,100,320")
    parser.add_argument("--entries", default="3,7,12")
    options = parser.parse_args()
    claims = [int(size) for size in options.claims.split(",")]
    clients = [int(size) for size in options.clients.split(",")]
    for entries in map(int, options.entries.split(",")):
        spec = small_system(endpoints=(), entries=entries, controls=3)
        with (
            tempfile.TemporaryDirectory() as folder,
            CountedCluster(spec, Path(folder)) as cluster,
        ):
            control = control_client(cluster)
            if claims:
                measure_claims(cluster, control, claims)
                claims = []
            for size in clients:
                measure_changes(cluster, control, entries, size)


def measure_claims(
    cluster: CountedCluster, control: ControlClient, sizes: list[int]
) -> None:
    """Measure the claim and the outcome of a key at the leader and at a follower."""
    leader = _leader(control)
    follower = next(name for name in cluster.control_ids if name != leader)
    points_by_role: dict[str, list[tuple[float, float]]] = {
        "leader": [],
        "follower": [],
    }
    for size in sizes:
        idle = cluster.rates((leader, follower), IDLE_SECONDS)
        for _ in range(RUNS):
            before = {name: cluster.snapshot(name) for name in (leader, follower)}
            started = time.monotonic()
            _claim_many(control, size)
            seconds = time.monotonic() - started
            time.sleep(SNAPSHOT_WAIT_SECONDS)
            for role, name in (("leader", leader), ("follower", follower)):
                use = _use_beyond_idle(before[name], cluster.snapshot(name), idle[name])
                points_by_role[role].append((size, use.cpu_ms))
                print_figures(
                    "claims with their outcome",
                    claims=size,
                    role=role,
                    cpu_ms_each=round(use.cpu_ms / size, 3),
                    sent_bytes_each=round(use.sent_kb * 1000 / size),
                    received_bytes_each=round(use.received_kb * 1000 / size),
                    rss_mb=round(use.rss_mb, 1),
                    claims_a_second=round(size / seconds),
                )
    for role, points in points_by_role.items():
        per_claim, _ = slope(points)
        print_figures(f"slope at the {role}", cpu_ms_per_claim=round(per_claim, 4))


def _leader(control: ControlClient) -> str:
    return str(control.status().leader_id).rpartition("/")[0]


def _use_beyond_idle(before: Snapshot, after: Snapshot, idle: Rates) -> ResourceUse:
    seconds = after["instant"] - before["instant"]

    def beyond_idle(key: str, idle_rate: float) -> float:
        return float(after[key] - before[key] - idle_rate * seconds)

    return ResourceUse(
        cpu_ms=beyond_idle("cpu_seconds", idle.core_percent / 100) * 1000,
        sent_kb=beyond_idle("sent_bytes", idle.sent_kb * 1000) / 1000,
        received_kb=beyond_idle("received_bytes", idle.received_kb * 1000) / 1000,
        rss_mb=after["rss_bytes"] / 1e6,
    )


def _claim_many(control: ControlClient, count: int) -> None:
    with ThreadPoolExecutor(CALLERS) as callers:
        statuses = list(callers.map(lambda _: _claim(control), range(count)))
    assert all(status == KeyStatus.FIRST for status in statuses)


def _claim(control: ControlClient) -> int:
    key = uuid.uuid4().hex
    claim = KeyClaim("client", key, f"request-{key}", "entry-1/1", "0" * 64)
    deadline = Deadline.after(CALL_SECONDS)
    reply = control.claim_key(claim, deadline)
    control.finish_key(claim, b"x" * 200, deadline)
    return int(reply.status)


def measure_changes(
    cluster: CountedCluster, control: ControlClient, entries: int, clients: int
) -> None:
    """Measure the time until a change is in effect on every entry host."""
    leader = _leader(control)
    accepted_ms, everywhere_ms = [], []
    before = cluster.snapshot(leader)
    entry = cluster.entry_ids[0]
    entry_before = cluster.snapshot(entry)
    for _ in range(CHANGES):
        # A random comment makes each text different, so that no change is empty.
        text = f"# {uuid.uuid4().hex}\n{declaration_text(clients)}"
        started = time.monotonic()
        base = control.get_configuration(-1, 0).revision
        deadline = Deadline.after(CALL_SECONDS)
        request = ApplyRequest(uuid.uuid4().hex, base, text, "bench")
        revision = control.apply_configuration(request, deadline).revision
        accepted_ms.append((time.monotonic() - started) * 1000)
        _wait_in_effect(cluster, revision)
        everywhere_ms.append((time.monotonic() - started) * 1000)
    time.sleep(SNAPSHOT_WAIT_SECONDS)
    after, entry_after = cluster.snapshot(leader), cluster.snapshot(entry)
    print_figures(
        "configuration changes",
        clients=clients,
        bytes=len(declaration_text(clients)),
        entry_hosts=entries,
        accepted_ms=spread_of(accepted_ms),
        in_force_everywhere_ms=spread_of(everywhere_ms),
        leader_cpu_ms_each=_per_change(before, after, "cpu_seconds", 1000),
        leader_sent_bytes_each=_per_change(before, after, "sent_bytes", 1),
        entry_cpu_ms_each=_per_change(entry_before, entry_after, "cpu_seconds", 1000),
        entry_received_bytes_each=_per_change(
            entry_before, entry_after, "received_bytes", 1
        ),
        leader_rss_mb=round(after["rss_bytes"] / 1e6, 1),
    )


def _per_change(before: Snapshot, after: Snapshot, key: str, factor: float) -> float:
    return round((after[key] - before[key]) * factor / CHANGES, 1)


def _wait_in_effect(cluster: CountedCluster, revision: int) -> None:
    for name in cluster.entry_ids:
        wait_until(
            lambda name=name: (  # type: ignore[misc]
                cluster.entry_status(name).configuration_revision >= revision
            ),
            f"{name} has revision {revision}",
        )


if __name__ == "__main__":
    main()
