"""Disks that are lost while all other hosts lose power, with real processes."""

from __future__ import annotations

import shutil
import signal
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from tests.control.cluster import BOUND_SECONDS, ControlCluster, ControlHost
from tests.control.test_replacement import SUCCESSOR, replace_first
from tests.control.test_seeds import ROUTES, join, status, voters
from tests.fakes.platform_system import PLAIN, Host, PlatformSystem, configuration
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

# Limit on the time from the restart until the acknowledged state is served, in seconds.
RECOVERY_SECONDS = 12.0
CHANGES = 12
# A removed host counts as no loss once its successor has run for this long, in seconds.
CATCH_UP_SECONDS = 4.0


def restart_with_lost_disks(
    hosts: Sequence[ControlHost], lost: Sequence[ControlHost]
) -> None:
    """Kill all hosts at once, remove the disks of some, and start all again."""
    for host in hosts:
        host.signal(signal.SIGKILL)
    for host in hosts:
        host.kill()
    for host in lost:
        host.lose_disk()
    for host in hosts:
        host.start()


def is_repaired(cluster: ControlCluster, before: set[str], lost: int) -> bool:
    """Return whether new replicas vote in place of those with the lost disks."""
    ids = cluster.voter_ids()
    return len(ids) == len(before) and len(ids - before) == lost


class TestToleratedDisks:
    """Guards against the loss of changes that only the lost disks had held."""

    @pytest.mark.parametrize("rounds", [3])
    @pytest.mark.parametrize(("count", "tolerated"), [(3, 1), (5, 2)])
    @pytest.mark.parametrize("leader_is_lost", [True, False])
    def test_are_lost_while_all_others_lose_power(
        self,
        tmp_path: Path,
        count: int,
        tolerated: int,
        leader_is_lost: bool,
        rounds: int,
    ) -> None:
        settings = {"tolerated_losses": tolerated, "snapshot_every": 10}
        with ControlCluster(tmp_path, count, **settings) as cluster:
            for number in range(rounds * CHANGES):
                cluster.apply(number, number)
                if (number + 1) % CHANGES:
                    continue
                before = cluster.voter_ids()
                leader = cluster.leader()
                others = cluster.others(leader)
                lost = [leader, *others] if leader_is_lost else others
                restart_with_lost_disks(cluster.hosts, lost[:tolerated])
                wait_until(
                    lambda before=before: is_repaired(  # type: ignore[misc]
                        cluster, before, tolerated
                    ),
                    "the hosts with new disks vote",
                    BOUND_SECONDS,
                )
                held = cluster.leader().status()
                assert held is not None
                assert held.configuration_revision == number + 1


def find_leader(system: PlatformSystem, before: Host | None = None) -> Host | None:
    """Return the leader according to a seed, None if it is the same as before."""
    for known in map(status, system.seeds):
        name = known.leader_id.partition("/")[0] if known else ""
        for host in system.controls:
            if host.name == name and host is not before:
                return host
    return None


def leader_of(system: PlatformSystem) -> Host:
    leader = wait_until(lambda: find_leader(system), "a host leads")
    assert leader is not None
    return leader


def lose_power(
    system: PlatformSystem, lost: Host, removed_hosts: Sequence[Host] = ()
) -> None:
    """Kill all processes, remove one disk, and start all but the removed hosts."""
    hosts = [
        host
        for host in (*system.controls, *system.entries)
        if host not in removed_hosts
    ]
    for host in hosts:
        host.signal(signal.SIGKILL)
    for host in hosts:
        host.kill()
    shutil.rmtree(system.folder / lost.name)
    settings = lost.settings_path.read_text()
    lost.settings_path.write_text(
        settings.replace("may_found = true", "may_found = false")
    )
    for host in hosts:
        host.start()


def held_version(system: PlatformSystem, control: int) -> int:
    """Return the version that a control host reads, 0 without an answer."""
    status, body = system.read(control)
    return int(body["version"]) if status == 200 else 0


def check_recovered(system: PlatformSystem, version: int, control: int) -> None:
    """Assert that the newest acknowledged configuration is stored and in use."""
    until = time.monotonic() + RECOVERY_SECONDS
    wait_until(
        lambda: held_version(system, control) == version,
        f"version {version} is read",
        RECOVERY_SECONDS,
    )
    wait_until(
        lambda: system.ready() and system.ask("/a/x").status == 200,
        "requests are served",
        until - time.monotonic(),
    )
    assert system.put(changed(version + 1), control) == 200


def changed(version: int) -> dict[str, Any]:
    return configuration(version, ROUTES, [PLAIN])


def survivor(system: PlatformSystem, *others: Host) -> int:
    """Return the number of the first control host that is none of the others."""
    return next(
        number for number, host in enumerate(system.controls) if host not in others
    )


class TestReplacedHost:
    """Guards against a majority that needs a host which was just replaced.

    A disk is lost after the last acknowledged change while all other hosts, including
    the forwarding hosts, lose power.
    """

    def test_successor_that_has_just_been_promoted(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, 3, 1) as system:
            system.put_until_accepted(changed(1))
            system.add(PlatformWorker("w-1", "plain"))
            system.wait_served("/a/x")
            replaced = system.controls[0]
            replaced.kill()
            join(system, SUCCESSOR)
            expected = {"control-1", "control-2", SUCCESSOR}
            wait_until(lambda: voters(system.seeds[1]) == expected, "it votes")
            system.put_until_accepted(changed(2), control=1)
            lost = leader_of(system)
            lose_power(system, lost, removed_hosts=[replaced])
            check_recovered(system, 2, survivor(system, replaced, lost))

    def test_successor_that_votes_with_its_predecessor(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path, 3, 1) as system:
            system.add(PlatformWorker("w-1", "plain"))
            replace_first(system)
            system.wait_served("/a/x")
            system.put_until_accepted(changed(2), control=1)
            lost = leader_of(system)
            lose_power(system, lost)
            check_recovered(system, 2, survivor(system, lost))

    @pytest.mark.parametrize("pause", [0.0, 0.5])
    def test_planned_stop_of_the_leader_after_a_takeover(
        self, tmp_path: Path, pause: float
    ) -> None:
        """The next leader stops permanently within a second of its election."""
        with PlatformSystem(tmp_path, 3, 1) as system:
            system.add(PlatformWorker("w-1", "plain"))
            replace_first(system)
            system.wait_served("/a/x")
            before = leader_of(system)
            before.kill()
            before.start()
            stopping = wait_until(lambda: find_leader(system, before), "a takeover")
            assert stopping is not None
            time.sleep(pause)
            stopping.signal(signal.SIGTERM)
            assert stopping.process is not None
            stopping.process.wait()
            number = survivor(system, before, stopping)
            system.put_until_accepted(changed(2), control=number)
            lost = system.controls[number]
            lose_power(system, lost, removed_hosts=[stopping])
            check_recovered(system, 2, survivor(system, stopping, lost))

    @pytest.mark.parametrize("ended_by", [signal.SIGTERM, signal.SIGKILL])
    def test_removed_after_its_successor_has_caught_up(
        self, tmp_path: Path, ended_by: signal.Signals
    ) -> None:
        """If it stayed a voter, two of four would remain, and no read would succeed."""
        with PlatformSystem(tmp_path, 3, 1) as system:
            system.add(PlatformWorker("w-1", "plain"))
            replace_first(system)
            system.wait_served("/a/x")
            time.sleep(CATCH_UP_SECONDS)
            removed = system.controls[0]
            removed.signal(ended_by)
            lost = system.controls[1]
            lose_power(system, lost, removed_hosts=[removed])
            removed.kill()
            check_recovered(system, 1, survivor(system, removed, lost))
