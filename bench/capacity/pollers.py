"""Measures the cost of the entry hosts' long polls for one control host.

`python -m bench.capacity.pollers [--sizes 32,128,380] [--clients 320]`

The default sizes include the target's number of entry hosts. All polls come from one
process, with a thread and a connection in place of each entry host, and go to one of
three control hosts. A change is then applied, and timed until all polls have returned
it.
"""

from __future__ import annotations

import argparse
import tempfile
import threading
import time
import uuid
from pathlib import Path

from bench.capacity.fleet import (
    RUNS,
    CountedCluster,
    control_client,
    print_figures,
    print_rates,
)
from bench.capacity.tables import declaration_text
from jujubeslip.control import ControlClient
from jujubeslip.kernel import Deadline, PeerAddress, PeerUnavailableError
from jujubeslip.peers import ApplyRequest, PeerIdentity, PeerRefusal
from tests.fakes.cluster import PEER_SECRET
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import small_system

POLL_MS = 2000
CALL_SECONDS = 20.0
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 8.0


class Pollers:
    """Threads that poll one control host, as each entry host does."""

    def __init__(self, cluster: CountedCluster, control_id: str, count: int) -> None:
        self._revision_by_poller = [0] * count
        self._stopping = threading.Event()
        self.failures = 0
        address = cluster.peer_address_by_id[control_id]
        self._peer = PeerAddress(host_id=control_id, address=address)
        self._threads = [
            threading.Thread(target=self._poll, args=(number,), daemon=True)
            for number in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def _poll(self, number: int) -> None:
        identity = PeerIdentity(f"poller-{number}", 1, PEER_SECRET)
        client = ControlClient((self._peer,), identity)
        while not self._stopping.is_set():
            known = self._revision_by_poller[number]
            try:
                configuration = client.get_configuration(known, POLL_MS)
            except (PeerUnavailableError, PeerRefusal):
                self.failures += 1
                time.sleep(0.1)
                continue
            self._revision_by_poller[number] = configuration.revision

    def minimum_revision(self) -> int:
        """Return the newest revision that every poller has received."""
        return min(self._revision_by_poller)

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(POLL_MS / 1000 + CALL_SECONDS)


def main() -> None:
    """Measure each number of pollers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="32,128,380")
    parser.add_argument("--clients", type=int, default=320)
    options = parser.parse_args()
    for size in map(int, options.sizes.split(",")):
        measure(size, declaration_text(options.clients))


def measure(size: int, text: str) -> None:
    """Print the rates of the polled control host and the delay of changes."""
    spec = small_system(endpoints=(), entries=1, controls=3)
    with (
        tempfile.TemporaryDirectory() as folder,
        CountedCluster(spec, Path(folder)) as cluster,
    ):
        control = control_client(cluster)
        leader = str(control.status().leader_id).rpartition("/")[0]
        pollers = Pollers(cluster, leader, size)
        try:
            _change(control, pollers, text)
            time.sleep(SETTLE_SECONDS)
            runs = [
                cluster.rates((leader,), MEASURE_SECONDS)[leader] for _ in range(RUNS)
            ]
            print_rates("polled control host (the leader)", {"polls": size}, runs)
            for _ in range(RUNS):
                _measure_change(cluster, leader, control, pollers, text)
        finally:
            pollers.stop()


def _change(control: ControlClient, pollers: Pollers, text: str) -> tuple[float, float]:
    """Apply a change; return the ms until acceptance and until all polls have it."""
    base = control.get_configuration(-1, 0).revision
    request = ApplyRequest(
        uuid.uuid4().hex, base, f"# {uuid.uuid4().hex}\n{text}", "bench"
    )
    started = time.monotonic()
    reply = control.apply_configuration(request, Deadline.after(CALL_SECONDS))
    accepted = time.monotonic()
    wait_until(
        lambda: pollers.minimum_revision() >= reply.revision, "all polls have it", 60
    )
    ended = time.monotonic()
    return (accepted - started) * 1000, (ended - started) * 1000


def _measure_change(
    cluster: CountedCluster,
    leader: str,
    control: ControlClient,
    pollers: Pollers,
    text: str,
) -> None:
    before = cluster.snapshot(leader)
    accepted_ms, everywhere_ms = _change(control, pollers, text)
    time.sleep(0.5)
    after = cluster.snapshot(leader)
    print_figures(
        "a change, to all polls of one control host",
        polls=len(pollers._threads),
        bytes=len(text),
        accepted_ms=round(accepted_ms),
        everywhere_ms=round(everywhere_ms),
        leader_cpu_ms=round((after["cpu_seconds"] - before["cpu_seconds"]) * 1000),
        leader_sent_mb=round((after["sent_bytes"] - before["sent_bytes"]) / 1e6, 2),
        leader_rss_mb=round(after["rss_bytes"] / 1e6, 1),
        failed_polls=pollers.failures,
    )


if __name__ == "__main__":
    main()
