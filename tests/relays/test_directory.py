"""Which relay a host uses next."""

from __future__ import annotations

from collections import Counter

from jujubeslip.discovery import ControlUpdate, RelayHost
from jujubeslip.relays import RelayDirectory


def relay(name: str, zone: str = "zone-1") -> RelayHost:
    return RelayHost(name, f"{name}:1", zone)


def directory_of(*relays: RelayHost, control: str = "control") -> RelayDirectory:
    directory = RelayDirectory("zone-1", lambda address: address == "control")
    directory.apply_update(ControlUpdate(control, 1, 1, relays=relays))
    return directory


class TestChoice:
    def test_spreads_open_requests_over_all_relays(self) -> None:
        relays = [relay(f"r-{number}") for number in range(4)]
        directory = directory_of(*relays)
        chosen: Counter[str] = Counter()
        for _ in range(20):
            found = directory.choose(())
            assert found is not None
            directory.begin(found)
            chosen[found.host_id] += 1
        assert set(chosen.values()) == {5}

    def test_prefers_the_own_zone_while_it_is_not_busier(self) -> None:
        near, far = relay("near"), relay("far", "zone-2")
        directory = directory_of(far, near)
        assert directory.choose(()) == near
        for _ in range(2):
            directory.begin(near)
        assert directory.choose(()) == far
        directory.end(near)
        directory.end(near)
        assert directory.choose(()) == near

    def test_skips_relays_that_failed(self) -> None:
        first, second = relay("first"), relay("second")
        directory = directory_of(first, second)
        directory.note_unreachable(first)
        assert directory.choose(()) == second
        directory.note_refused(second)
        assert directory.choose(()) is None
        assert directory.count() == 0

    def test_prefers_others_to_one_through_which_an_answer_was_lost(self) -> None:
        first, second = relay("first"), relay("second")
        directory = directory_of(first, second)
        directory.note_lost_answer(first)
        assert {directory.choose(()) for _ in range(20)} == {second}
        directory.note_unreachable(second)
        assert directory.choose(()) == first

    def test_excludes_relays_that_were_tried(self) -> None:
        directory = directory_of(relay("only"))
        assert directory.choose({"only:1"}) is None


class TestLists:
    def test_replace_those_of_the_same_control_host(self) -> None:
        directory = directory_of(relay("gone"))
        update = ControlUpdate("control", 1, 1, relays=(relay("new"),))
        directory.apply_update(update)
        found = directory.choose(())
        assert found is not None and found.host_id == "new"

    def test_stay_if_an_update_has_none(self) -> None:
        directory = directory_of(relay("kept"))
        directory.apply_update(ControlUpdate("control", 1, 1))
        assert directory.count() == 1

    def test_of_unreachable_control_hosts_count_only_without_others(self) -> None:
        directory = directory_of(relay("old"), control="cut off")
        assert directory.count() == 1
        update = ControlUpdate("control", 1, 1, relays=(relay("new"),))
        directory.apply_update(update)
        found = directory.choose(())
        assert found is not None and found.host_id == "new"
