"""The faults that a seed gives."""

from __future__ import annotations

from collections import defaultdict

from soak._faults import carry_out, disturb_host, disturb_link
from soak._schedule import (
    CONTROLS,
    GAP_SECONDS,
    EndpointFault,
    Fault,
    HostFault,
    HostReplaced,
    LinkCut,
    LinkFault,
    describe,
    lasts,
    make_schedule,
)

SECONDS = 120.0
SEEDS = range(1, 31)


class TestSeed:
    def test_gives_the_same_faults_each_time(self) -> None:
        for seed in SEEDS:
            assert make_schedule(seed, SECONDS) == make_schedule(seed, SECONDS)

    def test_gives_other_faults_than_another(self) -> None:
        described = {
            tuple(describe(fault) for fault in make_schedule(seed, SECONDS))
            for seed in SEEDS
        }
        assert len(described) == len(SEEDS)

    def test_gives_a_shorter_run_the_first_faults_of_a_longer_one(self) -> None:
        longer = make_schedule(1, SECONDS)
        shorter = make_schedule(1, SECONDS / 2)
        assert shorter == tuple(fault for fault in longer if fault.at < SECONDS / 2)


class TestFaultsThatAreTolerated:
    """Two control hosts of three that are lost at once are more than is promised."""

    def test_faults_of_one_track_follow_each_other(self) -> None:
        for seed in SEEDS:
            by_track: dict[str, list[Fault]] = defaultdict(list)
            for fault in make_schedule(seed, SECONDS):
                by_track[fault.track].append(fault)
            for faults in by_track.values():
                for fault, following in zip(faults, faults[1:], strict=False):
                    assert following.at >= fault.at + lasts(fault)

    def test_control_hosts_are_disturbed_on_one_track_alone(self) -> None:
        for seed in SEEDS:
            for fault in make_schedule(seed, SECONDS):
                link = fault.link if isinstance(fault, LinkFault) else ""
                between_hosts = link.partition(">")[0] in CONTROLS
                host = fault.host if isinstance(fault, HostFault) else ""
                disturbs = between_hosts or host in CONTROLS
                assert not disturbs or fault.track == "control", fault


class TestKindsOfFaults:
    def test_all_come_and_overlap(self) -> None:
        faults = [fault for seed in SEEDS for fault in make_schedule(seed, SECONDS)]
        assert {fault.track for fault in faults} == set(GAP_SECONDS)
        directions = {item.direction for item in faults if isinstance(item, LinkCut)}
        assert directions == {"", "to_server", "to_client"}
        first = make_schedule(1, SECONDS)
        overlaps = [
            (one, other)
            for one in first
            for other in first
            if one.track < other.track
            and one.at <= other.at + lasts(other)
            and other.at <= one.at + lasts(one)
        ]
        assert overlaps

    def test_a_control_host_is_replaced_more_than_once(self) -> None:
        replaced = [
            sum(isinstance(fault, HostReplaced) for fault in make_schedule(seed, 60.0))
            for seed in SEEDS
        ]
        assert max(replaced) > 1

    def test_each_has_a_way_to_be_carried_out(self) -> None:
        for seed in SEEDS:
            for fault in make_schedule(seed, SECONDS):
                kind = type(fault)
                ways = [carry_out]
                if isinstance(fault, HostFault):
                    ways.append(disturb_host)
                if isinstance(fault, LinkFault):
                    ways.append(disturb_link)
                for way in ways:
                    bases = (Fault, HostFault, LinkFault, EndpointFault)
                    unknown = {way.dispatch(object), way.dispatch(Fault)}
                    if way is not carry_out:
                        unknown |= {way.dispatch(base) for base in bases}
                    assert way.dispatch(kind) not in unknown, kind
