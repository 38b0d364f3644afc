"""Random faults on real processes, and a consistency check of all answers.

`CHAOS_SECONDS`, `CHAOS_SEED` and `CHAOS_REPLICAS` set the duration, the random seed and
the number of hosts. The seed determines the faults and the clients' choices, but not
their timing, which depends on the machine.
"""

from __future__ import annotations

import os
import random
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from jujubeslip.control._log_files import MARK_NAME, SEGMENT_PREFIX
from jujubeslip.control._records import read_file
from jujubeslip.peers import SyncedMark
from tests.control.cluster import BOUND_SECONDS, ControlCluster, ControlHost
from tests.control.history import History, check_history
from tests.fakes.fault_proxy import Direction
from tests.fakes.processes import wait_until

SECONDS = float(os.environ.get("CHAOS_SECONDS", "8"))
SEED = int(os.environ.get("CHAOS_SEED", "1"))
REPLICAS = int(os.environ.get("CHAOS_REPLICAS", "3"))
FAULT_SECONDS = (0.2, 1.5)


class Faults:
    """Injects random faults on one host at a time, sometimes on two."""

    def __init__(self, cluster: ControlCluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self.log: list[str] = []

    def run_for(self, seconds: float) -> None:
        """Inject one fault after another."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._run_one()

    def _run_one(self) -> None:
        """Inject a fault, hold it for a random time, and end it."""
        rng = self._rng
        fault = rng.choice(
            [self.kill, self.kill, self.lose_power, self.freeze, self.cut]
            + [self.cut_one_way, self.silence, self.lose_disk, self.kill_two]
        )
        host = self._cluster.leader() if rng.random() < 0.6 else None
        host = host or rng.choice(self._cluster.hosts)
        self.log.append(f"{fault.__name__} {host.host_id}")
        fault(host)

    def kill(self, host: ControlHost) -> None:
        host.kill()
        self._hold_fault()
        host.start()

    def kill_two(self, host: ControlHost) -> None:
        other = self._rng.choice(self._cluster.others(host))
        host.kill()
        other.kill()
        self._hold_fault()
        host.start()
        other.start()

    def lose_power(self, host: ControlHost) -> None:
        """Kill the host and drop what it had written but not synced."""
        host.kill()
        drop_unsynced(host.data_folder)
        self._hold_fault()
        host.start()

    def freeze(self, host: ControlHost) -> None:
        host.freeze()
        self._hold_fault()
        host.signal(signal.SIGCONT)

    def cut(self, host: ControlHost) -> None:
        self._cluster.cut(host)
        self._hold_fault()
        self._cluster.heal()

    def cut_one_way(self, host: ControlHost) -> None:
        direction = self._rng.choice(list(Direction))
        for (source, _), proxy in self._cluster.proxy_by_pair.items():
            if source == host.host_id:
                proxy.cut(direction)
        self._hold_fault()
        self._cluster.heal()

    def silence(self, host: ControlHost) -> None:
        for pair, proxy in self._cluster.proxy_by_pair.items():
            if host.host_id in pair:
                proxy.freeze()

    def lose_disk(self, host: ControlHost) -> None:
        """Remove a disk only while all voters work, since one loss is tolerated."""
        before = wait_repaired(self._cluster)
        host.kill()
        host.lose_disk()
        self._hold_fault()
        host.start()
        wait_until(
            lambda: wait_repaired(self._cluster) != before, "the repair", BOUND_SECONDS
        )

    def _hold_fault(self) -> None:
        time.sleep(self._rng.uniform(*FAULT_SECONDS))


def wait_repaired(cluster: ControlCluster) -> set[str]:
    """Return the voters once all hosts vote and answer."""

    def voters() -> set[str] | None:
        ids = {status.replica_id for host in cluster.hosts if (status := host.status())}
        return ids if ids == cluster.voter_ids() else None

    found = wait_until(voters, "all voters answer", BOUND_SECONDS)
    assert found is not None
    return found


def drop_unsynced(folder: Path) -> None:
    """Truncate the newest log segment to the part known to be synced."""
    mark = read_file(folder / MARK_NAME, SyncedMark)
    if mark is None or not mark.first_index:
        return
    path = folder / f"{SEGMENT_PREFIX}{mark.first_index:020d}"
    if path.exists():
        os.truncate(path, mark.length)
    (folder / MARK_NAME).unlink()


class TestHistory:
    def test_no_answer_is_reverted(self, tmp_path: Path) -> None:
        """Hosts crash, freeze, lose disks and connections while clients keep calling.

        Each answer to an operator or an entry host has to remain valid: no accepted
        change is lost or reverted, no revision has two winners, no key is given to two
        requests, and no read at the leader is older than an answer.
        """
        with ControlCluster(tmp_path, REPLICAS, snapshot_every=50) as cluster:
            cluster.leader()
            history = History()
            faults = Faults(cluster, SEED)
            with ThreadPoolExecutor(5) as pool:
                tasks = [
                    pool.submit(history.run_operator, cluster.client, "ann", SEED),
                    pool.submit(history.run_operator, cluster.client, "ben", SEED + 1),
                    pool.submit(history.run_claimer, cluster.client, "c1", SEED + 2),
                    pool.submit(history.run_claimer, cluster.client, "c2", SEED + 3),
                    pool.submit(history.run_reader, cluster.client),
                ]
                try:
                    faults.run_for(SECONDS)
                finally:
                    cluster.heal()
                    history.stop.set()
                    print(f"seed {SEED}: {', '.join(faults.log)}")
            for task in tasks:
                task.result()
            wait_repaired(cluster)
            check_history(history, cluster.client)
            print(
                f"{len(history.changes)} changes, {len(history.claims)} claims, "
                f"{len(history.reads)} reads, {history.unanswered} unanswered"
            )
            assert history.changes and history.claims and history.reads
