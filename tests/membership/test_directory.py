"""What one host believes of the others, with a clock that the tests move."""

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


class Running:
    """A directory whose host ticks and hears from its peers."""

    def __init__(self, clock: Clock, others: int) -> None:
        self.clock = clock
        self.directory = HostDirectory(state("own"))
        self.others = [state(f"other-{number}") for number in range(others)]
        self.directory.merge(self.others)
        self.directory.take_full_list(self.others, clock.now, complete=True)

    def run(self, seconds: float, heard: bool = True) -> None:
        for _ in range(round(seconds / TICK)):
            self.clock.now += TICK
            self.directory.beat(0)
            if heard:
                self.directory.renew_lease(self.clock.now)

    def status(self, host_id: str) -> HostStatus:
        return self.directory.status_of(host_id, 1)


class TestSuspicion:
    def test_turns_to_death_unless_refuted(self, clock: Clock) -> None:
        host = Running(clock, 2)
        host.directory.suspect("other-0")
        host.directory.suspect("other-1")
        host.run(1)
        assert host.status("other-0") == HostStatus.SUSPECT
        host.directory.merge([state("other-1", heartbeat=1)])
        host.run(1)
        assert host.status("other-0") == HostStatus.DEAD
        assert host.status("other-1") == HostStatus.ALIVE

    def test_old_word_does_not_end_it(self, clock: Clock) -> None:
        host = Running(clock, 1)
        host.directory.suspect("other-0")
        host.directory.merge([state("other-0")])
        host.run(2)
        host.directory.merge([state("other-0")])
        assert host.status("other-0") == HostStatus.DEAD

    def test_host_refutes_what_it_hears_of_itself(self, clock: Clock) -> None:
        host = Running(clock, 1)
        host.directory.merge([state("own", HostStatus.DEAD, heartbeat=4)])
        assert host.directory.own.heartbeat == 5
        assert host.directory.take_urgent()

    def test_death_is_never_taken_over(self, clock: Clock) -> None:
        """Each side of a healed partition tells of deaths that were none."""
        host = Running(clock, 1)
        host.directory.merge([state("other-0", HostStatus.DEAD, heartbeat=7)])
        assert host.status("other-0") == HostStatus.ALIVE

    def test_later_incarnation_ends_the_earlier_one(self, clock: Clock) -> None:
        host = Running(clock, 1)
        host.directory.merge([state("other-0", incarnation=2)])
        assert host.directory.status_of("other-0", 1) == HostStatus.DEAD
        assert host.directory.status_of("other-0", 2) == HostStatus.ALIVE

    def test_replaced_host_finds_out(self, clock: Clock) -> None:
        host = Running(clock, 1)
        host.directory.merge([state("own", incarnation=2)])
        assert host.directory.superseded


class TestFreeze:
    def test_view_lapses_before_the_first_tick(self, clock: Clock) -> None:
        """A frozen host wakes, and a request reads the view before the tick task.

        All deadlines have passed: it would find its neighbours alive as before, or
        dead, and cancel at the engines what they hold.
        """
        host = Running(clock, 2)
        host.run(1)
        clock.now += 30
        assert host.directory.live_hosts() == [host.directory.own]
        assert host.status("other-0") == HostStatus.SUSPECT
        host.directory.beat(0)
        assert host.directory.lapsed
        host.directory.renew_lease(clock.now)
        assert host.directory.live_hosts() == [host.directory.own]

    def test_only_a_full_list_restores_it(self, clock: Clock) -> None:
        host = Running(clock, 2)
        clock.now += 30
        host.directory.beat(0)
        told = [state("other-0")]
        host.directory.merge(told)
        host.directory.take_full_list(told, clock.now, complete=True)
        live = {item.host_id for item in host.directory.live_hosts()}
        assert live == {"own", "other-0"}
        host.run(2)
        assert host.status("other-1") == HostStatus.DEAD

    def test_tells_nothing_that_may_be_old(self, clock: Clock) -> None:
        host = Running(clock, 2)
        clock.now += 30
        host.directory.beat(0)
        told = {item.host_id for item in host.directory.states_for("other-0")}
        assert told == {"own"}
        assert host.directory.view_digest == 0

    def test_silence_of_all_peers_is_their_death_on_a_running_host(
        self, clock: Clock
    ) -> None:
        """The only host of a zone is cut off; its engines' memory must come free."""
        host = Running(clock, 2)
        host.run(2, heard=False)
        assert host.status("other-0") == HostStatus.SUSPECT
        host.run(2, heard=False)
        assert host.status("other-0") == HostStatus.DEAD


class TestBounds:
    def test_message_holds_few_records_however_much_changed(self, clock: Clock) -> None:
        host = Running(clock, 1000)
        assert len(host.directory.states_for("other-1")) <= 10

    def test_every_change_is_told_and_telling_ends(self, clock: Clock) -> None:
        host = Running(clock, 30)
        told: dict[str, int] = {}
        while host.directory.has_news:
            for item in host.directory.states_for("peer")[1:]:
                told[item.host_id] = told.get(item.host_id, 0) + 1
        assert told.keys() == {item.host_id for item in host.others}
        assert max(told.values()) <= 2 * len(bin(31))

    def test_neighbours_stay_as_few(self, clock: Clock) -> None:
        host = Running(clock, 380)
        assert len(host.directory.neighbours()) == 5

    def test_every_host_is_probed_by_another(self, clock: Clock) -> None:
        everyone = [state(f"host-{number}") for number in range(60)]
        probed = set()
        for own in everyone:
            directory = HostDirectory(own)
            directory.merge(everyone)
            probed |= {item.host_id for item in directory.neighbours().values()}
        assert probed == {item.host_id for item in everyone}


class TestHomes:
    def test_move_only_from_the_lost_host(self, clock: Clock) -> None:
        host = Running(clock, 9)
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
        host = Running(clock, 9)
        zone = host.others[0].availability_zone
        assert host.directory.home_of("service", zone).availability_zone == zone

    def test_of_an_unreachable_host_move_here_but_its_keys_do_not(
        self, clock: Clock
    ) -> None:
        """Two hosts that differ on a key's keepers could both run it."""
        host = Running(clock, 5)
        keys = [f"key-{number}" for number in range(50)]

        def keepers() -> list[str]:
            return [host.directory.keepers_of(key, 1)[0].host_id for key in keys]

        before = keepers()
        host.directory.note_reached("other-3", False)
        live = {item.host_id for item in host.directory.live_hosts()}
        assert "other-3" not in live
        assert keepers() == before
