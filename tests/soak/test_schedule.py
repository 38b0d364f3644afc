"""Tests of the faults that are drawn from a seed."""

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
    duration_seconds,
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
    """Losing two of three control hosts at once is not tolerated by the system."""

    def test_faults_of_one_track_follow_each_other(self) -> None:
        for seed in SEEDS:
            by_track: dict[str, list[Fault]] = defaultdict(list)
            for fault in make_schedule(seed, SECONDS):
                by_track[fault.track].append(fault)
            for faults in by_track.values():
                for fault, following in zip(faults, faults[1:], strict=False):
                    assert following.at >= fault.at + duration_seconds(fault)

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
            and one.at <= other.at + duration_seconds(other)
            and other.at <= one.at + duration_seconds(one)
        ]
        assert overlaps

    def test_a_control_host_is_replaced_more_than_once(self) -> None:
        replaced = [
            sum(isinstance(fault, HostReplaced) for fault in make_schedule(seed, 60.0))
            for seed in SEEDS
        ]
        assert max(replaced) > 1

    def test_each_can_be_carried_out(self) -> None:
        for seed in SEEDS:
            for fault in make_schedule(seed, SECONDS):
                kind = type(fault)
                dispatchers = [carry_out]
                if isinstance(fault, HostFault):
                    dispatchers.append(disturb_host)
                if isinstance(fault, LinkFault):
                    dispatchers.append(disturb_link)
                for dispatcher in dispatchers:
                    bases = (Fault, HostFault, LinkFault, EndpointFault)
                    unknown = {dispatcher.dispatch(object), dispatcher.dispatch(Fault)}
                    if dispatcher is not carry_out:
                        unknown |= {dispatcher.dispatch(base) for base in bases}
                    assert dispatcher.dispatch(kind) not in unknown, kind
