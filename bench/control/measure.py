"""Measure the control hosts: `python -m bench.control.measure [NAME ...]`.

Prints one JSON line for each measurement. All processes run on this machine, over
loopback and one disk. Replicas are linked directly, except in the idle measurement,
which counts the bytes in proxies between them.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from bench.control._load import apply_changes, claim_keys_in_processes, make_client
from bench.control._probes import CountingProxy, usage_of
from jujubeslip.kernel import Deadline, PeerAddress
from tests.control.cluster import ControlCluster, ControlHost, make_claim
from tests.fakes.processes import wait_until

REPLICA_COUNTS = (1, 3, 5)
IDLE_SECONDS = 10.0
RECOVERY_ROUNDS = 10
SYSTEM_SETTINGS = {"election_timeout_ms": 1000, "heartbeat_ms": 200}
UNREACHED_SNAPSHOT_EVERY = 1_000_000_000
# Small enough that 10,000 changes stay below the log size that triggers a snapshot.
CHANGE_BYTES = 200


class DirectCluster(ControlCluster):
    """A cluster with the default settings and without proxies."""

    def __init__(self, folder: Path, count: int, **settings: int) -> None:
        super().__init__(folder, count, **(SYSTEM_SETTINGS | settings))

    def link(self) -> None:
        """Link the replicas directly."""
        for host in self.hosts:
            host.write_settings(list(self.addresses), self._extra)

    @property
    def addresses(self) -> tuple[PeerAddress, ...]:
        """Return the addresses of the hosts."""
        return tuple(PeerAddress(host.host_id, host.address) for host in self.hosts)


class CountingCluster(DirectCluster):
    """A cluster whose replicas are linked by proxies that count bytes."""

    def link(self) -> None:
        """Link each pair by a counting proxy."""
        for source in self.hosts:
            peers = []
            for target in self.hosts:
                address = target.address
                if source is not target:
                    proxy = CountingProxy(target.address)
                    self.proxy_by_pair[source.host_id, target.host_id] = proxy
                    address = proxy.address
                peers.append(PeerAddress(target.host_id, address))
            source.write_settings(peers, self._extra)


def measure_claims(folder: Path) -> dict[str, object]:
    """Claim keys at 3 replicas from one caller, then from 4 processes of 8 threads."""
    with DirectCluster(folder, 3) as cluster:
        cluster.apply(0, 0)
        single_caller = claim_keys_in_processes(
            cluster.addresses, cluster.secret, "alone", 1, 1, 2000
        )
        before = {host.host_id: usage_of(host) for host in cluster.hosts}
        leader = cluster.leader()
        concurrent = claim_keys_in_processes(
            cluster.addresses, cluster.secret, "many", 4, 8, 500
        )
        after = {host.host_id: usage_of(host) for host in cluster.hosts}
        count = len(concurrent.latencies)

        def cpu_us(host: ControlHost) -> float:
            used = after[host.host_id].cpu_seconds - before[host.host_id].cpu_seconds
            return round(used / count * 1e6, 1)

        return {
            "alone_p50_ms": single_caller.quantile_ms(0.5),
            "alone_p99_ms": single_caller.quantile_ms(0.99),
            "alone_per_second": round(single_caller.per_second),
            "claims_per_second": round(concurrent.per_second),
            "loaded_p50_ms": concurrent.quantile_ms(0.5),
            "loaded_p99_ms": concurrent.quantile_ms(0.99),
            "leader_cpu_us_per_claim": cpu_us(leader),
            "follower_cpu_us_per_claim": [
                cpu_us(host) for host in cluster.others(leader)
            ],
        }


def measure_recovery(folder: Path) -> dict[str, object]:
    """Kill the leader repeatedly; measure the time until the next claim succeeds."""
    seconds = []
    with DirectCluster(folder, 3) as cluster:
        cluster.apply(0, 0)
        client = cluster.client
        for number in range(RECOVERY_ROUNDS):
            leader = cluster.leader()
            wait_until(
                lambda: all(host.status() for host in cluster.hosts), "all hosts"
            )
            leader.kill()
            started_at = time.monotonic()
            client.claim_key(make_claim(f"key-{number}"), Deadline.after(30.0))
            seconds.append(time.monotonic() - started_at)
            leader.start()
    return {
        "rounds": RECOVERY_ROUNDS,
        "median_s": round(statistics.median(seconds), 2),
        "maximum_s": round(max(seconds), 2),
    }


def measure_start(folder: Path) -> dict[str, object]:
    """Measure the start of a replica with 10,000 log entries, then with a snapshot."""
    result: dict[str, object] = {}
    for name, snapshot_every in (
        ("log_only", UNREACHED_SNAPSHOT_EVERY),
        ("with_snapshot", 1000),
    ):
        path = folder / name
        path.mkdir()
        with DirectCluster(path, 1, snapshot_every=snapshot_every) as cluster:
            host = cluster.hosts[0]
            apply_changes(cluster.client, 0, 10_000, CHANGE_BYTES)
            host.kill()
            size = sum(item.stat().st_size for item in host.data_folder.iterdir())
            seconds = []
            for _ in range(3):
                started_at = time.monotonic()
                host.start()
                wait_until(lambda: revision_of(cluster) == 10_000, "the start")
                seconds.append(time.monotonic() - started_at)
                host.kill()
            result[f"{name}_s"] = round(statistics.median(seconds), 2)
            result[f"{name}_bytes"] = size
    with DirectCluster(folder, 1) as cluster:
        cluster.hosts[0].kill()
        started_at = time.monotonic()
        cluster.hosts[0].start()
        wait_until(lambda: revision_of(cluster) == 0, "the start")
        result["empty_s"] = round(time.monotonic() - started_at, 2)
    return result


def measure_idle(folder: Path) -> dict[str, object]:
    """Measure the CPU share, memory and traffic of 1, 3 and 5 idle replicas."""
    result: dict[str, object] = {}
    for count in REPLICA_COUNTS:
        path = folder / str(count)
        path.mkdir()
        with CountingCluster(path, count) as cluster:
            cluster.apply(0, 0)
            leader = cluster.leader()
            traffic = [
                proxy.traffic
                for proxy in cluster.proxy_by_pair.values()
                if isinstance(proxy, CountingProxy)
            ]
            before = {host.host_id: usage_of(host) for host in cluster.hosts}
            bytes_before = sum(item.bytes_passed for item in traffic)
            chunks_before = sum(item.chunks for item in traffic)
            time.sleep(IDLE_SECONDS)
            after = {host.host_id: usage_of(host) for host in cluster.hosts}
            passed = sum(item.bytes_passed for item in traffic) - bytes_before
            chunks = sum(item.chunks for item in traffic) - chunks_before
            hosts = [leader, *cluster.others(leader)]
            cpu_shares = [
                (after[host.host_id].cpu_seconds - before[host.host_id].cpu_seconds)
                / IDLE_SECONDS
                for host in hosts
            ]
            result[f"{count}"] = {
                "leader_cpu_percent": round(cpu_shares[0] * 100, 2),
                "follower_cpu_percent": [
                    round(item * 100, 2) for item in cpu_shares[1:]
                ],
                "resident_mb": [
                    round(after[host.host_id].resident_bytes / 1e6, 1) for host in hosts
                ],
                "bytes_per_second_of_all": round(passed / IDLE_SECONDS),
                "messages_per_second_of_all": round(chunks / IDLE_SECONDS, 1),
            }
    return result


def measure_state(folder: Path) -> dict[str, object]:
    """Fill the state; measure memory, disk and CPU time per claim and change."""
    result: dict[str, object] = {}
    with DirectCluster(folder, 3) as cluster:
        client = make_client(cluster.addresses, cluster.secret)
        cluster.apply(0, 0)
        hosts = [leader := cluster.leader(), *cluster.others(leader)]
        before = [usage_of(host) for host in hosts]
        claims = 30_000
        claim_keys_in_processes(
            cluster.addresses, cluster.secret, "state", 3, 10, claims // 30
        )
        after_claims = [usage_of(host) for host in hosts]
        changes, size = 1500, 10_000
        applied = apply_changes(client, 1, changes, size)
        after = [usage_of(host) for host in hosts]
        result["resident_mb_empty"] = per_unit(before, 1e6)
        result["resident_mb_30000_claims"] = per_unit(after_claims, 1e6)
        result["resident_mb_1500_changes_more"] = per_unit(after, 1e6)
        result["resident_bytes_per_claim"] = [
            round((item.resident_bytes - start.resident_bytes) / claims)
            for start, item in zip(before, after_claims, strict=True)
        ]
        result["cpu_us_per_change_of_10_kb"] = [
            round((item.cpu_seconds - start.cpu_seconds) / changes * 1e6)
            for start, item in zip(after_claims, after, strict=True)
        ]
        result["change_p50_ms"] = applied.quantile_ms(0.5)
        result["change_p99_ms"] = applied.quantile_ms(0.99)
        folder_of = hosts[0].data_folder
        result["snapshot_bytes"] = sum(
            item.stat().st_size for item in folder_of.glob("snapshot-*")
        )
        result["log_bytes"] = sum(
            item.stat().st_size for item in folder_of.glob("log-*")
        )
    return result


def per_unit(usages: list, unit: float) -> list[float]:
    """Return the resident memory of each host in the given unit."""
    return [round(item.resident_bytes / unit, 1) for item in usages]


def revision_of(cluster: ControlCluster) -> int:
    """Return the configuration revision of the first host, -1 without a leader."""
    status = cluster.hosts[0].status()
    if status is None or not status.leader_id:
        return -1
    return int(status.configuration_revision)


MEASUREMENT_BY_NAME: dict[str, Callable[[Path], dict[str, object]]] = {
    "claims": measure_claims,
    "recovery": measure_recovery,
    "start": measure_start,
    "idle": measure_idle,
    "state": measure_state,
}


def main() -> None:
    """Run the named measurements, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME")
    names = parser.parse_args().names or list(MEASUREMENT_BY_NAME)
    scratch = Path.cwd() / "build"
    scratch.mkdir(exist_ok=True)
    for name in names:
        with tempfile.TemporaryDirectory(dir=scratch) as folder:
            result = MEASUREMENT_BY_NAME[name](Path(folder))
        print(json.dumps({"measurement": name, **result}), flush=True)


if __name__ == "__main__":
    main()
