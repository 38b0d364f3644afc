"""The rate of requested prompt tokens, whether they are granted or not."""

from __future__ import annotations

import pytest

from jujubeslip.admission._prompt_demand import DEMAND_SECONDS, PromptDemand
from tests.admission.test_engine_pool import (
    FULL,
    already_expired,
    ask_now,
    grant_request,
    pool_of,
)

PROMPT_TOKENS = 4000


class TestStalledGrants:
    """Guards against measuring the load of prefill engines by grants.

    While no engine has free memory for six seconds and requests keep arriving, the load
    appears to be zero. Prefill engines are ordered to decode, fewer prompts are
    prefilled, fewer grants are given, and the load appears even lower. Of 25 prefill
    engines three were left, and 17 of 117 requests a second got a grant, although every
    engine was healthy.
    """

    def test_the_load_is_what_requests_ask_for(self) -> None:
        granting_pool, full_pool = pool_of("engine"), pool_of("engine")
        full_pool.take_report("engine", FULL)
        for number in range(4):
            granted = ask_now(granting_pool, f"request-{number}")
            granting_pool.note_prefilled(f"request-{number}", 1)
            assert granted.grant is not None
            assert ask_now(full_pool, f"request-{number}").grant is None
        assert full_pool.busy_prefill_engines == pytest.approx(
            granting_pool.busy_prefill_engines, rel=0.05
        )

    def test_a_request_that_asks_again_counts_once(self) -> None:
        pool = pool_of("engine")
        pool.take_report("engine", FULL)
        for attempt in (1, 2, 3):
            ask_now(pool, "request", attempt=attempt)
        other_pool = pool_of("engine")
        other_pool.take_report("engine", FULL)
        ask_now(other_pool, "request")
        assert pool.busy_prefill_engines == pytest.approx(
            other_pool.busy_prefill_engines, rel=0.05
        )

    def test_a_request_that_needs_no_prefill_engine_does_not_count(self) -> None:
        pool = pool_of("engine")
        pool.ask(grant_request("request", reads_itself=True), (), already_expired())
        assert pool.busy_prefill_engines == 0.0


class TestDemand:
    def test_expires(self) -> None:
        demand = PromptDemand()
        demand.note("a", PROMPT_TOKENS, now=10.0)
        assert demand.tokens_per_second(10.0) == PROMPT_TOKENS / DEMAND_SECONDS
        assert demand.tokens_per_second(10.1 + DEMAND_SECONDS) == 0.0

    def test_counts_a_request_again_after_expiry(self) -> None:
        demand = PromptDemand()
        demand.note("a", PROMPT_TOKENS, now=10.0)
        later = 10.1 + DEMAND_SECONDS
        demand.note("a", PROMPT_TOKENS, now=later)
        assert demand.tokens_per_second(later) == PROMPT_TOKENS / DEMAND_SECONDS
