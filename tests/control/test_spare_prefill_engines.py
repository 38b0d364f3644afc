"""Tests of whether a service keeps a spare prefill engine."""

from __future__ import annotations

import pytest

from jujubeslip.admission import EngineNeed, EngineUse
from jujubeslip.control._role_balance import (
    OBSERVATION_SECONDS,
    PrefillLoad,
    RoleShares,
    idle_prefill_engines,
    needed_prefill_engines,
    prefill_engines_to_keep,
)
from jujubeslip.control._spare_prefill_engines import (
    PREFILL_ENGINES_WITH_SPARE,
    CapacityModel,
    minimum_prefill_engines,
)
from tests.control.test_role_balance import engines

# The prefill share of requests whose decode takes four times as long as their prefill.
SHARE = 0.2


class TestEngineBalance:
    def test_serves_what_the_scarcer_role_allows(self) -> None:
        assert CapacityModel(5, SHARE).served_load(1) == pytest.approx(1.0)
        assert CapacityModel(5, SHARE).served_load(2) == pytest.approx(0.75)

    def test_serves_less_where_decode_engines_run_prefill(self) -> None:
        assert CapacityModel(3, SHARE).served_load(0) == pytest.approx(0.375)


class TestMinimumPrefillEngines:
    """Guards against a constant minimum that takes most of a few engines."""

    @pytest.mark.parametrize("lacks_memory", [False, True])
    @pytest.mark.parametrize("engine_count", [3, 4])
    def test_are_one_where_the_spare_serves_more_as_a_decode_engine(
        self, engine_count: int, lacks_memory: bool
    ) -> None:
        model = CapacityModel(engine_count, SHARE)
        assert minimum_prefill_engines(model, 1.2, lacks_memory) == 1

    @pytest.mark.parametrize(("lacks_memory", "minimum"), [(False, 2), (True, 1)])
    def test_are_one_for_a_small_gain_only_while_decodes_lack_memory(
        self, lacks_memory: bool, minimum: int
    ) -> None:
        """Guards against giving up the spare engine while no request lacks memory."""
        assert (
            minimum_prefill_engines(CapacityModel(5, SHARE), 0.9, lacks_memory)
            == minimum
        )

    @pytest.mark.parametrize("lacks_memory", [False, True])
    @pytest.mark.parametrize(
        ("engine_count", "peak"), [(9, 1.0), (70, 14.0), (5, 0.5), (4, 0.4)]
    )
    def test_are_two_where_the_spare_costs_no_served_requests(
        self, engine_count: int, peak: float, lacks_memory: bool
    ) -> None:
        model = CapacityModel(engine_count, SHARE)
        assert (
            minimum_prefill_engines(model, peak, lacks_memory)
            == PREFILL_ENGINES_WITH_SPARE
        )

    def test_are_two_before_the_load_was_observed(self) -> None:
        group = engines(2, 1)
        minimum = RoleShares().minimum_prefill_engines(group, PrefillLoad(), 0.0, True)
        assert minimum == PREFILL_ENGINES_WITH_SPARE


class TestSharesWithoutOneRole:
    """Guards against a division by zero, which would stop the orders of a leader."""

    def test_without_decode_the_prefill_engines_limit_the_load(self) -> None:
        assert CapacityModel(3, 1.0).served_load(2) == 2
        assert (
            minimum_prefill_engines(CapacityModel(3, 1.0), 1.0, True)
            == PREFILL_ENGINES_WITH_SPARE
        )

    @pytest.mark.parametrize("use", [EngineUse(0.5, 0.0), EngineUse(0.0, 0.5)])
    def test_are_no_reason_to_give_up_the_spare_engine(self, use: EngineUse) -> None:
        need = EngineNeed(prefill_seconds=0.0, decode_seconds=0.4)
        shares, load, now = RoleShares(), PrefillLoad(), 0.0
        while now <= 2 * OBSERVATION_SECONDS:
            shares.record(now, EngineUse(use.reading, use.answering, need))
            load.record(now, 0.5)
            now += 0.5
        assert (
            shares.minimum_prefill_engines(engines(2, 1), load, now, True)
            == PREFILL_ENGINES_WITH_SPARE
        )


class TestThreeEnginesOfWhichTwoPrefill:
    """Guards against a second idle prefill engine beside the only decode engine."""

    def test_one_is_ordered_to_decode(self) -> None:
        load, group = PrefillLoad(), engines(2, 1)
        load.record(0.0, 0.5)
        now = OBSERVATION_SECONDS + 0.1
        load.record(now, 0.5)
        minimum = minimum_prefill_engines(
            CapacityModel(group.count, SHARE), 2 * 0.5, True
        )
        needed = needed_prefill_engines(load, now, lacks_memory=True, minimum=minimum)
        kept = prefill_engines_to_keep(needed, minimum)
        assert kept == 1
        assert len(idle_prefill_engines(group, kept)) == 1
