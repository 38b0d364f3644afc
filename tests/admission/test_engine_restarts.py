"""Grants at engines that restart with the same endpoint id."""

from __future__ import annotations

import threading
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._engine_report_poller import EngineReportPoller
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.discovery import Endpoint
from jujubeslip.interfaces import interfaces
from jujubeslip.kernel import load_plugins
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.admission.test_engine_pool import (
    CAPACITY,
    FULL,
    PREFILL_REPORT,
    already_expired,
    ask_now,
    endpoint_of,
    engine_report,
    grant_request,
    prefill_engine_of,
)
from tests.fakes.engines import engine
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

FIRST, SECOND = 1_700_000_000_000, 1_700_000_005_000


def decode_engine(started_at_ms: int) -> Endpoint:
    return engine("engine", started_at_ms=started_at_ms)


def prefill_engine(started_at_ms: int) -> Endpoint:
    return engine("reader", EndpointRole.PREFILL, started_at_ms=started_at_ms)


def pool_at(engine_start: int, reader_start: int) -> EnginePool:
    pool = EnginePool("model", MemoryOptions(margin=0.05, safety_deviations=1.5))
    set_starts(pool, engine_start, reader_start)
    return pool


def set_starts(pool: EnginePool, engine_start: int, reader_start: int) -> None:
    """Announce the engines with these starts, which report that they are idle."""
    pool.set_engines([decode_engine(engine_start)], [prefill_engine(reader_start)])
    pool.take_report(decode_engine(engine_start).start_id, engine_report())
    pool.take_report(prefill_engine(reader_start).start_id, PREFILL_REPORT)


class TestMemoryOfThePreviousStart:
    """Guards against counting the answers of a killed start at the next one.

    An engine is killed with a dozen answers and restarts with none. If they still
    counted, the idle engine would get no requests for seconds.
    """

    def test_is_free_at_the_new_start(self) -> None:
        pool = pool_at(FIRST, FIRST)
        pool.take_report(decode_engine(FIRST).start_id, FULL)
        assert ask_now(pool, "before").grant is None
        set_starts(pool, SECOND, FIRST)
        granted = ask_now(pool, "after").grant
        assert granted is not None and granted.endpoint.started_at_ms == SECOND

    def test_new_start_is_not_used_before_its_own_report(self) -> None:
        pool = pool_at(FIRST, FIRST)
        pool.set_engines([decode_engine(SECOND)], [prefill_engine(FIRST)])
        assert not pool.usable

    def test_late_report_of_the_previous_start_is_ignored(self) -> None:
        pool = pool_at(FIRST, FIRST)
        set_starts(pool, SECOND, FIRST)
        pool.take_report(decode_engine(FIRST).start_id, FULL)
        assert endpoint_of(ask_now(pool, "a")) == "engine"


class TestGrantAtThePreviousStart:
    """Guards against late updates on a grant at the previous start.

    An engine is killed during a request, and the request's host asks for another
    grant. Updates on the first grant arrive after the second one was given.
    """

    def test_late_updates_do_not_affect_the_next_grant(self) -> None:
        pool = pool_at(FIRST, FIRST)
        ask_now(pool, "a")
        set_starts(pool, SECOND, SECOND)
        second = pool.ask(grant_request("a", attempt=2), (), already_expired())
        pool.end("a", 1)
        pool.note_prefilled("a", 1)
        again = pool.ask(grant_request("a", attempt=2), (), already_expired())
        assert again.grant is not None and again.grant == second.grant

    def test_late_updates_do_not_free_the_prefill_engine(self) -> None:
        """Otherwise the prefill engine would get a second prompt besides this one."""
        pool = pool_at(FIRST, FIRST)
        ask_now(pool, "a")
        set_starts(pool, SECOND, SECOND)
        long = grant_request("a", attempt=2, prompt_tokens=9_000)
        assert prefill_engine_of(pool.ask(long, (), already_expired())) == "reader"
        pool.note_prefilled("a", 1)
        assert ask_now(pool, "b").grant is None
        pool.note_prefilled("a", 2)
        assert ask_now(pool, "c").grant is not None

    def test_avoided_start_does_not_exclude_the_next_one(self) -> None:
        pool = pool_at(FIRST, FIRST)
        refused = decode_engine(FIRST).start_id
        assert ask_now(pool, "a", refused).grant is None
        set_starts(pool, SECOND, FIRST)
        assert endpoint_of(ask_now(pool, "b", refused)) == "engine"


class TestPollerOfThePreviousStart:
    """Guards against taking the next start's report for that of the previous start.

    The next start replies at the same address with the same id and is idle, which
    would mean that all answers of the previous start have ended.
    """

    @pytest.mark.parametrize("reports", [FIRST, SECOND, None])
    def test_ignores_reports_of_the_next_start(self, reports: int | None) -> None:
        load_plugins()
        worker = PlatformWorker("engine", "model", "decode", started_at_ms=reports)
        reports_taken: list[EngineReport] = []
        with worker:
            polled = replace(decode_engine(FIRST), address=worker.address)
            process: Any = SimpleNamespace(stopped=threading.Event())
            poller = EngineReportPoller(
                polled,
                interfaces.get("platform"),
                process,
                lambda _, report: reports_taken.append(report),
                lambda _: None,
            )
            thread = threading.Thread(target=poller.run)
            thread.start()
            wait_until(lambda: worker.system_calls.count("report") > 1, "it is asked")
            poller.stop()
            thread.join()
        assert bool(reports_taken) is (reports != SECOND)


class TestEngineRestartedInAnotherRole:
    """Guards against grants at a decode engine that restarts as a prefill engine.

    It would refuse each request after the prompt was prefilled.
    """

    def test_prefills_prompts_and_gets_no_grants(self) -> None:
        pool = pool_at(FIRST, FIRST)
        back = engine("engine", EndpointRole.PREFILL, started_at_ms=SECOND)
        stays = engine("stays")
        pool.set_engines([stays], [back])
        pool.take_report("stays", engine_report(RunningAnswer(10, 1, "old")))
        pool.take_report(
            back.start_id, EngineReport(CAPACITY, 0, 0, (), is_prefill_engine=True)
        )
        decision = ask_now(pool, "a")
        assert (endpoint_of(decision), prefill_engine_of(decision)) == (
            "stays",
            "engine",
        )
