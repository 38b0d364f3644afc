"""Tests of the balance between prefill and decode engines, on recorded loads."""

from __future__ import annotations

import pytest

from jujubeslip.admission import EngineNeed, EngineUse
from jujubeslip.control._role_balance import (
    OBSERVATION_SECONDS,
    PREFILL_ENGINES_WITH_SPARE,
    SATURATED_SECONDS,
    EnginesByRole,
    PrefillLoad,
    RoleShares,
    allowed_changes,
    choose_role_change,
    decode_lacks_memory,
    idle_prefill_engines,
    lacks_prefill_engine,
    missing_prefill_engines,
    needed_prefill_engines,
    prefill_engines_to_keep,
)
from jujubeslip.peers import EndpointRole, ServicePressure
from tests.control.loads import prompt_bursts as bursts
from tests.fakes.engines import engine

ZONES = ("zone-1", "zone-2", "zone-3")


def engines(prefill: int, decode: int) -> EnginesByRole:
    """Return engines that are distributed over the availability zones in turn."""
    return EnginesByRole(
        tuple(
            engine(f"r-{number}", EndpointRole.PREFILL, ZONES[number % len(ZONES)])
            for number in range(prefill)
        ),
        tuple(
            engine(f"a-{number}", EndpointRole.DECODE, ZONES[number % len(ZONES)])
            for number in range(decode)
        ),
    )


def without(group: EnginesByRole, ordered: tuple[object, ...]) -> EnginesByRole:
    """Return the engines once the ordered prefill engines have changed to decode."""
    staying = tuple(item for item in group.prefill if item not in ordered)
    changed = tuple(item for item in group.prefill if item in ordered)
    return EnginesByRole(staying, group.decode + changed)


def observed_load(peak: float) -> PrefillLoad:
    """Return a load that was observed for a full window, with one peak."""
    load = PrefillLoad()
    load.record(0.05, peak)
    load.record(0.1, 0.1)
    load.record(OBSERVATION_SECONDS + 0.05, 0.1)
    return load


class TestBurstsOnFewDecodeEngines:
    """Guards against orders that are given only once a burst has caused a shortage.

    Prompts kept one of four prefill engines busy, and two in the burst, beside five
    decode engines. In the burst 11.5 of 20 requests a second got a grant, and 37 of 329
    streams were late. The engines were ordered five seconds after the burst began.
    """

    def replay(self) -> list[tuple[float, EnginesByRole]]:
        """Return the engines at each time of the recorded load."""
        load, group = PrefillLoad(), engines(4, 5)
        seen = []
        for now, busy in bursts.busy_prefill_engines():
            load.record(now, busy)
            needed = needed_prefill_engines(load, now, lacks_memory=False)
            if needed is not None:
                group = without(group, idle_prefill_engines(group, needed))
            seen.append((now, group))
        return seen

    def test_seven_decode_before_the_burst(self) -> None:
        changed_by = bursts.BURST_SECONDS - bursts.CHANGE_SECONDS
        before = [group for now, group in self.replay() if now <= changed_by]
        assert len(before[-1].prefill) == PREFILL_ENGINES_WITH_SPARE
        assert len(before[-1].decode) == 7

    def test_none_changes_before_the_load_was_observed(self) -> None:
        early = [group for now, group in self.replay() if now < OBSERVATION_SECONDS]
        assert all(len(group.prefill) == 4 for group in early)

    def test_none_is_ordered_back(self) -> None:
        load = PrefillLoad()
        for now, busy in bursts.busy_prefill_engines():
            load.record(now, busy)
            assert not lacks_prefill_engine(
                engines(PREFILL_ENGINES_WITH_SPARE, 7), load.sustained(now)
            )


class TestIdlePrefillEngines:
    """Which prefill engines change to decode, by load."""

    @pytest.mark.parametrize(
        ("prefill", "peak", "left"),
        [(4, 0.2, 2), (4, 1.2, 2), (4, 1.3, 3), (25, 7.6, 15), (2, 0.1, 2), (1, 0, 1)],
    )
    def test_are_those_beyond_the_peak_load(
        self, prefill: int, peak: float, left: int
    ) -> None:
        needed = needed_prefill_engines(
            observed_load(peak), OBSERVATION_SECONDS + 0.2, False
        )
        assert needed is not None
        assert prefill - len(idle_prefill_engines(engines(prefill, 5), needed)) == left

    @pytest.mark.parametrize(("peak", "left"), [(1.6, 2), (1.8, 3), (0.5, 2)])
    def test_are_more_while_decodes_lack_memory(self, peak: float, left: int) -> None:
        """Guards against a prefill engine kept for bursts while memory is short.

        Prompts kept at most 1.6 of three prefill engines busy, while late requests
        waited 15 s for decode memory.
        """
        needed = needed_prefill_engines(
            observed_load(peak), OBSERVATION_SECONDS + 0.2, True
        )
        assert needed is not None
        assert 4 - len(idle_prefill_engines(engines(4, 5), needed)) == left

    def test_leave_prefill_engines_in_as_many_zones_as_possible(self) -> None:
        group = engines(6, 10)
        staying = set(group.prefill) - set(idle_prefill_engines(group, 3))
        assert {item.availability_zone for item in staying} == set(ZONES)


class TestRequestsThatWaitForPrefill:
    """Guards against a wait for prefill that is taken for a shortage of memory.

    Ten of 25 engines are left for prefill when a burst comes, and prompts need 69 s of
    their time each second. The waiting requests looked like a shortage of memory, and
    five more prefill engines were ordered to decode in three seconds.
    """

    @pytest.mark.parametrize(
        ("prompt_ms", "shortage_seconds", "expected"),
        [(69_343, 6.5, False), (8_000, 6.5, True), (8_000, 1.0, False)],
        ids=["prompts wait", "memory is short", "short shortage"],
    )
    def test_do_not_count_as_short_memory(
        self, prompt_ms: int, shortage_seconds: float, expected: bool
    ) -> None:
        reported = ServicePressure("model", 283, prompt_ms)
        assert (
            decode_lacks_memory(engines(10, 60), reported, shortage_seconds) is expected
        )


class TestLostPrefillEngines:
    """Guards against lost prefill engines that are not replaced.

    Prompts queue at the remaining prefill engine, while decode engines have memory to
    spare because no requests reach them.
    """

    def busy(self, seconds: float, prefill: float) -> PrefillLoad:
        load = PrefillLoad()
        steps = int(seconds / bursts.STEP_SECONDS)
        for number in range(steps + 1):
            load.record(number * bursts.STEP_SECONDS, prefill)
        return load

    def test_one_is_replaced_once_the_load_lasts(self) -> None:
        load = self.busy(SATURATED_SECONDS, 1.0)
        assert lacks_prefill_engine(engines(1, 7), load.sustained(SATURATED_SECONDS))

    def test_a_short_load_is_not_enough(self) -> None:
        load = self.busy(SATURATED_SECONDS, 1.0)
        load.record(SATURATED_SECONDS, 0.5)
        assert not lacks_prefill_engine(
            engines(1, 7), load.sustained(SATURATED_SECONDS)
        )

    def test_few_decode_engines_keep_their_role(self) -> None:
        load = self.busy(SATURATED_SECONDS, 1.0)
        assert not lacks_prefill_engine(
            engines(1, 3), load.sustained(SATURATED_SECONDS)
        )

    def test_as_many_as_prompts_need_are_ordered(self) -> None:
        """Guards against replacing lost prefill engines one at a time.

        Twenty of 24 prefill engines crash, and prompts need twelve. With one order in
        thirteen seconds, the burst was over, and most of its requests were refused,
        before the third engine had changed.
        """
        assert missing_prefill_engines(engines(4, 46), sustained=12.0) == 9
        assert missing_prefill_engines(engines(4, 14), sustained=12.0) == 1
        assert missing_prefill_engines(engines(4, 46), sustained=3.0) == 0


class TestOrdersWithoutAResponse:
    """Guards against too many engines that change role at the same time.

    An engine that does not respond to its order may carry it out seconds later, and
    serves in neither role until then. Of 70 engines 22 were ordered within four
    seconds, and 15 more could not be.
    """

    @pytest.mark.parametrize(
        ("prefill", "decode", "changing", "allowed"),
        [(24, 46, 0, 7), (24, 46, 5, 2), (24, 46, 9, 0), (4, 5, 0, 2), (4, 5, 2, 0)],
    )
    def test_are_few_at_a_time(
        self, prefill: int, decode: int, changing: int, allowed: int
    ) -> None:
        assert allowed_changes(engines(prefill, decode), changing) == allowed


class TestLeaderWithoutRequests:
    """Guards against a leader that takes a service for idle while hosts can't reach it.

    Entry hosts reach the leader again after seconds in which they decided without it.
    Prefill engines would be ordered to decode just before the requests resume.
    """

    def test_needs_to_observe_a_load_first(self) -> None:
        load = PrefillLoad()
        load.record(0.0, 5.0)
        now = 0.5
        while now < 3 * OBSERVATION_SECONDS:
            load.record(now, 0.0)
            now += bursts.STEP_SECONDS
        assert needed_prefill_engines(load, now, lacks_memory=False) is None


class TestUsefulPrefillEngines:
    """Guards against more prefill engines than the decode engines can keep up with.

    A burst needs 2.5 of nine engines for prefill and eight for decode. Four prefill
    engines were kept because the rate of prompts doubles in a burst. They were idle
    half the time, and decodes lacked memory for half a minute, also between bursts.
    """

    def shares(self, use: EngineUse, seconds: float = 20.0) -> RoleShares:
        shares, now = RoleShares(), 0.0
        while now <= seconds:
            shares.record(now, use)
            now += 0.5
        return shares

    def test_are_two_of_nine_where_decode_takes_four_times_as_long(self) -> None:
        shares = self.shares(EngineUse(reading=1.0, answering=4.0))
        assert shares.useful_prefill_engines(engines(4, 5), 20.0) == 2

    def test_do_not_depend_on_the_load(self) -> None:
        for times in (0.5, 1.0, 1.7):
            shares = self.shares(EngineUse(1.0 * times, 4.0 * times))
            assert shares.useful_prefill_engines(engines(24, 46), 20.0) == 14

    def test_are_more_where_prefill_takes_longer(self) -> None:
        shares = self.shares(EngineUse(reading=3.0, answering=3.0))
        assert shares.useful_prefill_engines(engines(4, 5), 20.0) == 4

    def test_are_unknown_at_first(self) -> None:
        shares = self.shares(EngineUse(1.0, 0.2), seconds=1.0)
        assert shares.useful_prefill_engines(engines(4, 5), 1.0) is None
        assert RoleShares().useful_prefill_engines(engines(4, 5), 20.0) is None

    def test_follow_the_expected_needs_of_the_first_requests(self) -> None:
        need = EngineNeed(prefill_seconds=0.1, decode_seconds=0.4)
        shares = self.shares(EngineUse(0.1, 0.0, need), seconds=1.0)
        assert shares.useful_prefill_engines(engines(24, 46), 1.0) == 14

    def test_follow_the_observed_use_once_known(self) -> None:
        need = EngineNeed(prefill_seconds=0.1, decode_seconds=0.4)
        shares = self.shares(EngineUse(3.0, 3.0, need))
        assert shares.useful_prefill_engines(engines(24, 46), 20.0) == 35

    @pytest.mark.parametrize(
        ("needed", "useful", "kept"),
        [(None, None, None), (4, None, 4), (None, 3, 3), (2, 3, 2), (5, 3, 3)],
    )
    def test_limit_the_prefill_engines_to_keep(
        self, needed: int | None, useful: int | None, kept: int | None
    ) -> None:
        assert prefill_engines_to_keep(needed, useful) == kept

    def test_are_one_of_four_before_another_is_ordered_to_prefill(self) -> None:
        """Guards against orders to prefill while decode memory is already short.

        One of five engines leaves and one of two prefill engines crashes. Prompts kept
        the other one busy; two of the three decode engines were ordered to prefill, and
        more requests were refused.
        """
        shares = self.shares(EngineUse(reading=1.0, answering=4.0))
        useful = shares.useful_prefill_engines(engines(1, 3), 20.0, minimum=1)
        assert useful == 1
        assert missing_prefill_engines(engines(1, 3), sustained=1.5, useful=useful) == 0
        assert (
            shares.useful_prefill_engines(engines(2, 2), 20.0)
            == PREFILL_ENGINES_WITH_SPARE
        )

    def test_limit_the_orders_to_prefill(self) -> None:
        """Prompts that take as long as their decodes need half of the engines."""
        assert missing_prefill_engines(engines(4, 14), sustained=12.0, useful=9) == 5
        assert missing_prefill_engines(engines(4, 46), sustained=12.0, useful=4) == 0

    def test_are_not_ordered_to_decode_for_lack_of_memory(self) -> None:
        pressure = ServicePressure("model", 10, 500)
        assert (
            choose_role_change(engines(4, 5), pressure, shortage_seconds=2.0)
            is not None
        )
        assert choose_role_change(engines(4, 5), pressure, 2.0, useful=4) is None
