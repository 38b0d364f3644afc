"""Measures membership with real processes on loopback; prints a line per host count.

Run as `python -m bench.membership.measure --hosts 3 7 20 40`. Traffic is counted in the
processes. The headers of TCP and IP are estimated, with one segment per message and one
acknowledgement for every second segment.
"""

from __future__ import annotations

import argparse
import json
import os
import queue
import signal
import socket
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from bench.membership.host import TCP_SEGMENT_HEADER_BYTES

ZONES = 3
SEEDS = 3
REPLY_TIMEOUT_SECONDS = 60.0
CONDITION_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1


class HostProcess:
    """A membership host in a process of its own."""

    def __init__(self, host_id: str, address: str, zone: str, seeds: list[str]) -> None:
        self.host_id = host_id
        self.changes: list[dict[str, Any]] = []
        self._replies: queue.Queue[dict[str, Any]] = queue.Queue()
        self._process = subprocess.Popen(
            [sys.executable, "-m", "bench.membership.host"]
            + [host_id, address, zone, *seeds],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        threading.Thread(target=self._read, daemon=True).start()
        self._replies.get(timeout=REPLY_TIMEOUT_SECONDS)

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            message = json.loads(line)
            if "changed" in message:
                self.changes.append(message)
            else:
                self._replies.put(message)

    def send_command(self, command: str) -> None:
        """Send a command to the host."""
        assert self._process.stdin is not None
        self._process.stdin.write(command + "\n")
        self._process.stdin.flush()

    def report(self) -> dict[str, Any]:
        """Return the report of the host."""
        self.send_command("report")
        return self._replies.get(timeout=REPLY_TIMEOUT_SECONDS)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process of this host."""
        self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it runs, and wait until it has ended."""
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()


def measure(count: int, seconds: float) -> dict[str, Any]:
    """Start `count` hosts, measure them while idle, then kill one and freeze one."""
    addresses = _free_addresses(count)
    seeds = [f"host-{number}={addresses[number]}" for number in range(SEEDS)]
    hosts = [
        HostProcess(f"host-{number}", address, f"zone-{number % ZONES}", seeds)
        for number, address in enumerate(addresses)
    ]
    started = time.monotonic()
    try:
        _wait_until(lambda: _all_hosts_live(hosts, count))
        joined = time.monotonic() - started
        time.sleep(10.0)  # Gossip about the joins completes meanwhile.
        result: dict[str, Any] = {"hosts": count, "joined_seconds": round(joined, 2)}
        result |= _measure_idle(hosts, seconds)
        for host in hosts:
            host.send_command("watch")
        time.sleep(1.0)
        result["killed"] = _measure_loss(hosts, hosts.pop(), signal.SIGKILL)
        result["frozen"] = _measure_loss(hosts, hosts.pop(), signal.SIGSTOP)
        return result
    finally:
        for host in hosts:
            host.end()


def _measure_idle(hosts: list[HostProcess], seconds: float) -> dict[str, Any]:
    before = [host.report() for host in hosts]
    time.sleep(seconds)
    after = [host.report() for host in hosts]
    pairs = list(zip(before, after, strict=True))

    def rates(key: str) -> list[float]:
        return [
            (later[key] - earlier[key]) / (later["at"] - earlier["at"])
            for earlier, later in pairs
        ]

    sent, received = rates("sent_bytes"), rates("received_bytes")
    messages, cpu = rates("sent_messages"), rates("cpu_seconds")
    headers = 2 * statistics.mean(messages) * 1.5 * TCP_SEGMENT_HEADER_BYTES
    both_ways = statistics.mean(sent) + statistics.mean(received)
    return {
        "sent_bytes_per_second": round(statistics.mean(sent)),
        "sent_bytes_per_second_max": round(max(sent)),
        "both_ways_with_headers_estimated": round(both_ways + headers),
        "sent_messages_per_second": round(statistics.mean(messages), 1),
        "cpu_percent": round(100 * statistics.mean(cpu), 3),
        "cpu_percent_max": round(100 * max(cpu), 3),
        "resident_mib": round(
            statistics.mean(item["resident_kib"] for item in after) / 1024, 1
        ),
        "threads": round(statistics.mean(item["threads"] for item in after), 1),
    }


def _measure_loss(
    others: list[HostProcess], lost: HostProcess, number: signal.Signals
) -> dict[str, Any]:
    """Return the seconds until the others report the lost host suspect and dead."""
    for host in others:
        host.changes.clear()
    at = time.monotonic()
    lost.signal(number)
    try:
        _wait_until(
            lambda: all(_detection_times(host, lost, "DEAD", at) for host in others)
        )
        result: dict[str, Any] = {}
        for status in ("SUSPECT", "DEAD"):
            times = [_detection_times(host, lost, status, at)[0] for host in others]
            result[f"{status.lower()}_median"] = round(statistics.median(times), 2)
            result[f"{status.lower()}_max"] = round(max(times), 2)
        wrong = [
            item
            for host in others
            for item in host.changes
            if item["changed"] != lost.host_id and item["to"] in ("SUSPECT", "DEAD")
        ]
        result["wrong_suspicions"] = len(wrong)
        return result
    finally:
        lost.end()


def _detection_times(
    host: HostProcess, lost: HostProcess, status: str, since: float
) -> list[float]:
    return [
        item["at"] - since
        for item in list(host.changes)
        if item["changed"] == lost.host_id and item["to"] == status
    ]


def _all_hosts_live(hosts: list[HostProcess], count: int) -> bool:
    return all(len(host.report()["live"]) == count for host in hosts)


def _wait_until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + CONDITION_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(
                f"condition did not hold within {CONDITION_TIMEOUT_SECONDS} s"
            )
        time.sleep(POLL_SECONDS)


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{item.getsockname()[1]}" for item in sockets]
    for item in sockets:
        item.close()
    return addresses


def main() -> None:
    """Measure each number of hosts and print a JSON line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[3, 7, 20, 40])
    parser.add_argument("--seconds", type=float, default=20.0)
    options = parser.parse_args()
    for count in options.hosts:
        result = measure(count, options.seconds)
        result["load_average"] = round(os.getloadavg()[0], 1)
        sys.stdout.write(json.dumps(result) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
