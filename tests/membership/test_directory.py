"""One host's view of the others, with a clock that the tests advance."""

from __future__ import annotations

import pytest

from jujubeslip.kernel import _deadlines
from jujubeslip.membership import HostDirectory
from jujubeslip.peers import HostState, HostStatus
from tests.fakes.clock import Clock

TICK = 0.25


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(_deadlines, "steady_seconds", clock.steady_seconds)
    return clock


def state(
    host_id: str,
    status: HostStatus = HostStatus.ALIVE,
    heartbeat: int = 0,
    incarnation: int = 1,
) -> HostState:
    return HostState(
        host_id,
        incarnation,
        f"127.0.0.1:{7000 + len(host_id)}",
        f"zone-{sum(host_id.encode()) % 3}",
        status,
        heartbeat,
        0,
        "region-1",
    )


class RunningHost:
    """A directory whose host ticks and receives answers from its peers."""

    def __init__(self, clock: Clock, others: int) -> None:
        self.clock = clock
        self.directory = HostDirectory(state("own"))
        self.others = [state(f"other-{number}") for number in range(others)]
        self.directory.merge(self.others)
        self.directory.apply_full_list(self.others, clock.now, complete=True)

    def run(self, seconds: float, renewed: bool = True) -> None:
        for _ in range(round(seconds / TICK)):
            self.clock.now += TICK
            self.directory.tick(0)
            if renewed:
                self.directory.renew_lease(self.clock.now)

    def status(self, host_id: str) -> HostStatus:
        return self.directory.status_of(host_id, 1)


class TestSuspicion:
    def test_expires_to_dead_unless_refuted(self, clock: Clock) -> None:
        host = RunningHost(clock, 2)
        host.directory.suspect("other-0")
        host.directory.suspect("other-1")
        host.run(1)
        assert host.status("other-0") == HostStatus.SUSPECT
        host.directory.merge([state("other-1", heartbeat=1)])
        host.run(1)
        assert host.status("other-0") == HostStatus.DEAD
        assert host.status("other-1") == HostStatus.ALIVE

    def test_old_state_does_not_refute_it(self, clock: Clock) -> None:
        host = RunningHost(clock, 1)
        host.directory.suspect("other-0")
        host.directory.merge([state("other-0")])
        host.run(2)
        host.directory.merge([state("other-0")])
        assert host.status("other-0") == HostStatus.DEAD

    def test_host_refutes_a_suspicion_of_itself(self, clock: Clock) -> None:
        host = RunningHost(clock, 1)
        host.directory.merge([state("own", HostStatus.DEAD, heartbeat=4)])
        assert host.directory.own.heartbeat == 5
        assert host.directory.pop_urgent_change()

    def test_death_is_never_adopted(self, clock: Clock) -> None:
        """Each side of a healed partition announces deaths of hosts that are alive."""
        host = RunningHost(clock, 1)
        host.directory.merge([state("other-0", HostStatus.DEAD, heartbeat=7)])
        assert host.status("other-0") == HostStatus.ALIVE

    def test_later_incarnation_replaces_the_earlier_one(self, clock: Clock) -> None:
        host = RunningHost(clock, 1)
        host.directory.merge([state("other-0", incarnation=2)])
        assert host.directory.status_of("other-0", 1) == HostStatus.DEAD
        assert host.directory.status_of("other-0", 2) == HostStatus.ALIVE

    def test_replaced_host_detects_it(self, clock: Clock) -> None:
        host = RunningHost(clock, 1)
        host.directory.merge([state("own", incarnation=2)])
        assert host.directory.superseded


class TestFreeze:
    def test_view_expires_before_the_first_tick(self, clock: Clock) -> None:
        """A frozen host resumes, and a request reads the view before the tick task.

        All deadlines have passed. Without the check on reading, the request would find
        its neighbours alive as before, or dead, and cancel what they hold at engines.
        """
        host = RunningHost(clock, 2)
        host.run(1)
        clock.now += 30
        assert host.directory.live_hosts() == [host.directory.own]
        assert host.status("other-0") == HostStatus.SUSPECT
        host.directory.tick(0)
        assert host.directory.view_expired
        host.directory.renew_lease(clock.now)
        assert host.directory.live_hosts() == [host.directory.own]

    def test_only_a_full_list_restores_it(self, clock: Clock) -> None:
        host = RunningHost(clock, 2)
        clock.now += 30
        host.directory.tick(0)
        announced = [state("other-0")]
        host.directory.merge(announced)
        host.directory.apply_full_list(announced, clock.now, complete=True)
        live = {item.host_id for item in host.directory.live_hosts()}
        assert live == {"own", "other-0"}
        host.run(2)
        assert host.status("other-1") == HostStatus.DEAD

    def test_sends_no_outdated_updates(self, clock: Clock) -> None:
        host = RunningHost(clock, 2)
        clock.now += 30
        host.directory.tick(0)
        announced = {item.host_id for item in host.directory.states_for("other-0")}
        assert announced == {"own"}
        assert host.directory.view_digest == 0

    def test_silent_peers_are_dead_on_a_running_host(self, clock: Clock) -> None:
        """The only host of a zone is partitioned; its engines' memory must be freed."""
        host = RunningHost(clock, 2)
        host.run(2, renewed=False)
        assert host.status("other-0") == HostStatus.SUSPECT
        host.run(2, renewed=False)
        assert host.status("other-0") == HostStatus.DEAD


class TestBounds:
    def test_message_size_is_independent_of_the_changes(self, clock: Clock) -> None:
        host = RunningHost(clock, 1000)
        assert len(host.directory.states_for("other-1")) <= 10

    def test_every_change_is_sent_a_bounded_number_of_times(self, clock: Clock) -> None:
        host = RunningHost(clock, 30)
        announced: dict[str, int] = {}
        while host.directory.has_updates:
            for item in host.directory.states_for("peer")[1:]:
                announced[item.host_id] = announced.get(item.host_id, 0) + 1
        assert announced.keys() == {item.host_id for item in host.others}
        assert max(announced.values()) <= 2 * len(bin(31))

    def test_number_of_neighbours_is_constant(self, clock: Clock) -> None:
        host = RunningHost(clock, 380)
        assert len(host.directory.neighbours()) == 5

    def test_every_host_is_probed_by_another(self, clock: Clock) -> None:
        all_hosts = [state(f"host-{number}") for number in range(60)]
        probed = set()
        for own in all_hosts:
            directory = HostDirectory(own)
            directory.merge(all_hosts)
            probed |= {item.host_id for item in directory.neighbours().values()}
        assert probed == {item.host_id for item in all_hosts}


class TestHomes:
    def test_move_only_from_the_lost_host(self, clock: Clock) -> None:
        host = RunningHost(clock, 9)
        services = [f"service-{number}" for number in range(60)]

        def homes() -> dict[str, str]:
            return {
                name: host.directory.home_of(name, "region-1").host_id
                for name in services
            }

        before = homes()
        lost = before[services[0]]
        if lost == "own":
            lost = next(home for home in before.values() if home != "own")
        host.directory.suspect(lost)
        after = homes()
        moved = {name for name in services if before[name] != after[name]}
        assert moved == {name for name in services if before[name] == lost}

    def test_stay_in_their_zone(self, clock: Clock) -> None:
        host = RunningHost(clock, 9)
        zone = host.others[0].availability_zone
        assert host.directory.home_of("service", zone).availability_zone == zone

    def test_of_an_unreachable_host_move_here_but_its_keys_do_not(
        self, clock: Clock
    ) -> None:
        """Two hosts that disagree on a key's owners could both run its request."""
        host = RunningHost(clock, 5)
        keys = [f"key-{number}" for number in range(50)]

        def keepers() -> list[str]:
            return [host.directory.key_owners_of(key, 1)[0].host_id for key in keys]

        before = keepers()
        host.directory.record_reachability("other-3", False)
        live = {item.host_id for item in host.directory.live_hosts()}
        assert "other-3" not in live
        assert keepers() == before
