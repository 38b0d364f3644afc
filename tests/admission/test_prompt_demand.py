"""How much reading of prompts is asked for, whether it is granted or not."""

from __future__ import annotations

import pytest

from jujubeslip.admission._prompt_demand import DEMAND_SECONDS, PromptDemand
from tests.admission.test_pool import (
    FULL,
    already_expired,
    ask_now,
    grant_request,
    pool_of,
)

PROMPT_TOKENS = 4000


class TestGrantsThatStand:
    """No engine has room for six seconds, and requests keep coming.

    The load of readers was counted from grants. It looked like none, readers were
    ordered to answer, fewer prompts were read, fewer grants given, and the load looked
    lower still: of 25 readers three were left, and 17 of 117 requests a second got a
    grant, with every engine sound.
    """

    def test_the_load_is_what_requests_ask_for(self) -> None:
        served, full = pool_of("engine"), pool_of("engine")
        full.take_report("engine", FULL)
        for number in range(4):
            granted = ask_now(served, f"request-{number}")
            served.note_read(f"request-{number}", 1)
            assert granted.grant is not None
            assert ask_now(full, f"request-{number}").grant is None
        assert full.busy_readers == pytest.approx(served.busy_readers, rel=0.05)

    def test_a_request_that_asks_again_counts_once(self) -> None:
        pool = pool_of("engine")
        pool.take_report("engine", FULL)
        for attempt in (1, 2, 3):
            ask_now(pool, "request", attempt=attempt)
        again = pool_of("engine")
        again.take_report("engine", FULL)
        ask_now(again, "request")
        assert pool.busy_readers == pytest.approx(again.busy_readers, rel=0.05)

    def test_one_that_needs_no_reader_does_not_count(self) -> None:
        pool = pool_of("engine")
        pool.ask(grant_request("request", reads_itself=True), (), already_expired())
        assert pool.busy_readers == 0.0


class TestDemand:
    def test_is_forgotten_once_it_is_old(self) -> None:
        demand = PromptDemand()
        demand.note("a", PROMPT_TOKENS, now=10.0)
        assert demand.tokens_per_second(10.0) == PROMPT_TOKENS / DEMAND_SECONDS
        assert demand.tokens_per_second(10.1 + DEMAND_SECONDS) == 0.0

    def test_counts_a_request_again_once_its_first_time_is_forgotten(self) -> None:
        demand = PromptDemand()
        demand.note("a", PROMPT_TOKENS, now=10.0)
        later = 10.1 + DEMAND_SECONDS
        demand.note("a", PROMPT_TOKENS, now=later)
        assert demand.tokens_per_second(later) == PROMPT_TOKENS / DEMAND_SECONDS
