"""Which request gets a grant at which engine, and which engine prefills its prompt."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from jujubeslip.admission._answer_lengths import lengths_of
from jujubeslip.admission._engine_memory import DECODE_SECONDS_BETWEEN_PREFILLS
from jujubeslip.admission._engine_pool import SHORTAGE_SECONDS, EnginePool
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import (
    DEFAULT_WAITING,
    GrantRequest,
    MissingResource,
    WaitingOptions,
)
from jujubeslip.admission._own_prefills import EVENT_SECONDS
from jujubeslip.admission._waiting_request import Decision
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.fakes.engines import engine
from tests.fakes.processes import wait_until

CAPACITY = 100_000
# Tokens of a prompt of which two do not fit beside eight answers.
LARGE = 12_000
EVENT_TOKENS, MAXIMUM_EVENTS = 65, 130
PREFILL_REPORT = EngineReport(CAPACITY, 0, 0, (), is_prefill_engine=True)


def engine_report(*running: RunningAnswer, busy: bool = False) -> EngineReport:
    used = sum(item.memory_tokens for item in running)
    return EngineReport(CAPACITY, used, 0, running, busy=busy)


FULL = engine_report(*[RunningAnswer(9_000, 60, f"old-{n}") for n in range(11)])


def grant_request(
    request_id: str,
    *,
    target: float = 0.9,
    limit: float = 30.0,
    attempt: int = 1,
    reads_itself: bool = False,
    prompt_tokens: int = 4000,
    availability_zone: str = "zone-1",
    priority: int = 0,
    account: str = "",
) -> GrantRequest:
    return GrantRequest(
        request_id,
        attempt,
        prompt_tokens=prompt_tokens,
        event_tokens=EVENT_TOKENS,
        lengths=lengths_of(MAXIMUM_EVENTS),
        slots=64,
        target_by=Deadline.after(target),
        limit=Deadline.after(limit),
        reads_itself=reads_itself,
        availability_zone=availability_zone,
        maximum_gap=0.3,
        priority=priority,
        sharing_account=account,
    )


def already_expired() -> Deadline:
    return Deadline.after(0)


def ask_now(
    pool: EnginePool, request_id: str, *avoided: str, attempt: int = 1
) -> Decision:
    """Ask for a grant that is available now; otherwise the request is refused."""
    return pool.ask(
        grant_request(request_id, attempt=attempt, limit=0), avoided, already_expired()
    )


def pool_of(
    *engines: str,
    prefill_engines: tuple[str, ...] = ("reader",),
    sharing_weights: Callable[[], Mapping[str, float]] = dict,
) -> EnginePool:
    memory = MemoryOptions(margin=0.05, safety_deviations=1.5)
    pool = EnginePool("model", memory, WaitingOptions(sharing_weights=sharing_weights))
    pool.set_engines(
        [engine(name) for name in engines], [engine(name) for name in prefill_engines]
    )
    for endpoint_id in engines:
        pool.take_report(endpoint_id, engine_report())
    for endpoint_id in prefill_engines:
        pool.take_report(endpoint_id, PREFILL_REPORT)
    return pool


def endpoint_of(decision: Decision) -> str:
    return decision.grant.endpoint.endpoint_id if decision.grant else ""


def prefill_engine_of(decision: Decision) -> str:
    assert decision.grant is not None
    return (
        decision.grant.prefill_engine.endpoint_id
        if decision.grant.prefill_engine
        else ""
    )


class Callers:
    """Entry hosts that wait for a reply, each in a thread of its own."""

    def __init__(self, pool: EnginePool) -> None:
        self._pool = pool
        self._threads = ThreadPoolExecutor(8)

    def ask(
        self, waiting_request: GrantRequest, wait: float = 30.0
    ) -> Future[Decision]:
        waiting = len(self._pool._waiting_by_id)
        future = self._threads.submit(
            self._pool.ask, waiting_request, (), Deadline.after(wait)
        )
        wait_until(
            lambda: future.done() or len(self._pool._waiting_by_id) > waiting,
            "the request waits",
        )
        return future


@pytest.fixture
def full_pool() -> EnginePool:
    """Return a pool whose only engine has no free memory."""
    pool = pool_of("engine")
    pool.take_report("engine", FULL)
    return pool


class TestGrantedEngine:
    def test_is_the_one_with_most_free_memory(self) -> None:
        pool = pool_of("busy", "idle")
        pool.take_report("busy", engine_report(RunningAnswer(9000, 10, "other")))
        assert endpoint_of(ask_now(pool, "a")) == "idle"

    def test_grants_count_before_any_report_lists_them(self) -> None:
        """Guards against overloading an engine within the interval between reports.

        In a burst, each host on its own would find the engine empty, and all answers
        would grow together until the newest are evicted.
        """
        pool = pool_of("engine", prefill_engines=("r1", "r2", "r3"))
        given = 0
        for number in range(30):
            request_id = f"request-{number}"
            decision = ask_now(pool, request_id)
            pool.note_prefilled(request_id, 1)
            given += decision.grant is not None
        # Counting their prompts only, twenty-three would fit.
        assert 9 <= given <= 17

    def test_is_not_one_that_changes_its_role(self) -> None:
        pool = pool_of("engine")
        pool.take_report("engine", engine_report(busy=True))
        assert not pool.usable
        assert ask_now(pool, "a").grant is None

    def test_is_not_an_avoided_one(self) -> None:
        pool = pool_of("one", "two")
        for number in range(4):
            waiting_request = grant_request(f"request-{number}", reads_itself=True)
            decision = pool.ask(waiting_request, ("one",), already_expired())
            pool.note_prefilled(f"request-{number}", 1)
            assert endpoint_of(decision) == "two"

    def test_is_preferably_in_the_availability_zone_of_the_host(self) -> None:
        """Guards against losing answers that leave or enter a zone that is cut off.

        Only an engine in another zone with much more free memory justifies that risk.
        """
        pool = pool_of()
        engines = [engine("near"), engine("far", availability_zone="zone-2")]
        pool.set_engines(engines, [engine("reader")])
        pool.take_report("reader", PREFILL_REPORT)
        pool.take_report("far", engine_report())
        pool.take_report("near", engine_report(RunningAnswer(5000, 60, "other")))
        waiting_request = grant_request("a", availability_zone="zone-1")
        assert endpoint_of(pool.ask(waiting_request, (), already_expired())) == "near"
        busy = [RunningAnswer(9_000, 60, f"old-{n}") for n in range(6)]
        pool.take_report("near", engine_report(*busy))
        waiting_request = grant_request("b", availability_zone="zone-1")
        assert endpoint_of(pool.ask(waiting_request, (), already_expired())) == "far"

    def test_report_with_free_memory_grants_a_waiting_request(
        self, full_pool: EnginePool
    ) -> None:
        waiting = Callers(full_pool).ask(grant_request("a"))
        full_pool.take_report("engine", engine_report())
        assert endpoint_of(waiting.result(10)) == "engine"

    def test_ended_requests_free_memory_before_reports_show_it(self) -> None:
        pool = pool_of("engine", prefill_engines=("r1", "r2", "r3"))
        ids = [f"request-{number}" for number in range(30)]
        given = []
        for request_id in ids:
            if ask_now(pool, request_id).grant:
                given.append(request_id)
            pool.note_prefilled(request_id, 1)
        pool.take_report(
            "engine", engine_report(*[RunningAnswer(4000, 1, item) for item in given])
        )
        assert ask_now(pool, "next").grant is None
        for request_id in given:
            pool.end(request_id, 1)
        assert ask_now(pool, "last").grant is not None


class TestOrder:
    def test_earliest_target_goes_first(self, full_pool: EnginePool) -> None:
        callers = Callers(full_pool)
        later = callers.ask(grant_request("later", target=20))
        earlier = callers.ask(grant_request("earlier", target=10))
        late = callers.ask(grant_request("late", target=-1))
        running = [RunningAnswer(9_000, 60, f"old-{n}") for n in range(8)]
        full_pool.take_report("engine", engine_report(*running))
        assert endpoint_of(earlier.result(10)) == "engine"
        full_pool.note_prefilled("earlier", 1)
        full_pool.take_report("engine", engine_report())
        assert endpoint_of(later.result(10)) == "engine"
        full_pool.note_prefilled("later", 1)
        assert endpoint_of(late.result(10)) == "engine"

    def test_higher_priority_goes_first_if_not_all_start_in_time(
        self, full_pool: EnginePool
    ) -> None:
        full_pool._interval = 30.0
        callers = Callers(full_pool)
        lower = callers.ask(grant_request("lower", target=10, priority=2))
        higher = callers.ask(grant_request("higher", target=20, priority=1))
        full_pool.take_report("engine", engine_report())
        assert endpoint_of(higher.result(10)) == "engine"
        full_pool.note_prefilled("higher", 1)
        granted = lower.result(10).granted_meanwhile
        assert granted is not None and granted.priorities_differ
        assert (granted.higher, granted.same, granted.lower) == (1, 0, 0)
        assert (granted.latest_id, granted.latest_priority) == ("higher", 1)
        meanwhile = higher.result(10).granted_meanwhile
        assert meanwhile is not None and not meanwhile.priorities_differ

    def test_lower_priority_is_refused_at_once_by_its_own_place(
        self, full_pool: EnginePool
    ) -> None:
        """Its target is the earliest, but all of the higher priority go first."""
        callers = Callers(full_pool)
        for number in range(4):
            callers.ask(grant_request(f"higher-{number}", target=5, priority=1))
        for priority, refused in ((1, False), (2, True)):
            decision = full_pool.ask(
                grant_request(
                    f"next-{priority}", target=4, limit=0.15, priority=priority
                ),
                (),
                already_expired(),
            )
            assert decision.refused is refused

    def test_account_above_its_part_goes_after_others(self) -> None:
        weights = {"busy": 1.0, "quiet": 1.0}
        pool = pool_of("engine", sharing_weights=lambda: weights)
        for number in range(4):
            decision = pool.ask(
                grant_request(f"running-{number}", account="busy"),
                (),
                already_expired(),
            )
            assert decision.grant is not None
            pool.note_prefilled(f"running-{number}", 1)
        pool.take_report("engine", FULL)
        pool._interval = 30.0
        callers = Callers(pool)
        busy = callers.ask(grant_request("next", target=10, account="busy"))
        quiet = callers.ask(grant_request("other", target=20, account="quiet"))
        pool.end("running-0", 1)
        pool.take_report("engine", engine_report())
        assert endpoint_of(quiet.result(10)) == "engine"
        pool.note_prefilled("other", 1)
        assert endpoint_of(busy.result(10)) == "engine"
        assert quiet.result(10).account_part is None

    def test_request_of_a_lost_host_blocks_no_others(
        self, full_pool: EnginePool
    ) -> None:
        """The request is first in the queue, but its host no longer asks for it."""
        undecided = full_pool.ask(
            grant_request("gone", target=1), (), already_expired()
        )
        assert undecided.grant is None and not undecided.refused
        waiting = Callers(full_pool).ask(grant_request("next", target=20))
        full_pool.take_report("engine", engine_report())
        assert endpoint_of(waiting.result(10)) == "engine"


class TestRequestThatNoEngineCanTake:
    """Guards against a request that no engine may take but that blocks the queue.

    Its prefill engine refused the prompt during a change of role, so a decode engine
    has to prefill it. Its 5,169 tokens would pause all other answers for 0.31 s, and
    0.3 s are allowed. The fill in `grant at an engine` was at most 0.43 while seventeen
    requests waited 2 to 3 s behind the request, until its limit.
    """

    LONG = 5_169

    @pytest.fixture
    def loaded_pool(self) -> EnginePool:
        """Return a pool whose engines each decode one answer and have free memory."""
        pool = pool_of("one", "two", prefill_engines=("r1", "r2"))
        for name in ("one", "two"):
            pool.take_report(name, engine_report(RunningAnswer(5_000, 10, "other")))
        return pool

    def test_blocks_no_others(self, loaded_pool: EnginePool) -> None:
        callers = Callers(loaded_pool)
        waiting = callers.ask(
            grant_request(
                "alone", reads_itself=True, prompt_tokens=self.LONG, target=20
            )
        )
        behind = [
            loaded_pool.ask(
                grant_request(f"behind-{n}", target=21), (), Deadline.after(1)
            )
            for n in range(2)
        ]
        assert all(decision.grant is not None for decision in behind)
        assert not waiting.done()

    def test_blocks_no_others_when_it_avoids_the_free_engines(
        self, loaded_pool: EnginePool
    ) -> None:
        """The request's host can't reach them, but other hosts may."""
        waiting_request = grant_request("cut off", target=20)
        first = loaded_pool.ask(waiting_request, ("one", "two"), Deadline.after(0.4))
        assert first.grant is None
        following = grant_request("next", target=21)
        assert loaded_pool.ask(following, (), Deadline.after(0.5)).grant

    def test_that_waits_for_memory_is_bypassed_for_a_limited_time(
        self, loaded_pool: EnginePool
    ) -> None:
        """Guards against the starvation of large requests by small ones.

        Small requests take all memory that becomes free, so that a large one never
        fits. Without a limit, the largest tenth of requests would never be served.
        """
        for name in ("one", "two"):
            old = [RunningAnswer(9_000, 60, f"{name}-{n}") for n in range(6)]
            loaded_pool.take_report(name, engine_report(*old))
        large = grant_request("large", prompt_tokens=60_000, target=5)
        waiting = Callers(loaded_pool).ask(large)
        small = loaded_pool.ask(grant_request("early", target=6), (), already_expired())
        assert small.grant is not None
        loaded_pool.note_prefilled("early", 1)
        time.sleep(DEFAULT_WAITING.bypass_seconds)
        late = loaded_pool.ask(grant_request("late", target=6), (), already_expired())
        assert late.grant is None
        assert not waiting.done()


class TestRefusal:
    def test_comes_at_the_limit(self, full_pool: EnginePool) -> None:
        decision = full_pool.ask(grant_request("a", limit=0.3), (), Deadline.after(30))
        assert decision.refused

    def test_is_immediate_if_the_wait_cannot_succeed(
        self, full_pool: EnginePool
    ) -> None:
        """Guards against holding a request that can't be served in time.

        Five requests are ahead of it. Held until its limit, it would be refused as
        well, and its client would retry later than necessary.
        """
        callers = Callers(full_pool)
        for number in range(5):
            callers.ask(grant_request(f"ahead-{number}", target=5))
        decision = full_pool.ask(
            grant_request("next", target=6, limit=0.5), (), Deadline.after(30)
        )
        assert decision.refused
        assert decision.forecast > 0.5

    def test_ends_the_wait_of_a_request_whose_client_disconnected(
        self, full_pool: EnginePool
    ) -> None:
        waiting = Callers(full_pool).ask(grant_request("a"))
        full_pool.end("a", 1)
        assert waiting.result(10).refused


class TestLostReply:
    """Guards against a second grant if the leader's reply to the first one is lost.

    The host asks again, and the unused grant would hold memory until the request ends.
    """

    def test_returns_the_same_grant_again(self) -> None:
        pool = pool_of("one", "two")
        first = ask_now(pool, "a")
        again = ask_now(pool, "a")
        assert first.grant is not None and again.grant == first.grant

    def test_next_attempt_gets_another_grant(self) -> None:
        pool = pool_of("one", "two")
        first = ask_now(pool, "a")
        pool.note_prefilled("a", 1)
        second = pool.ask(
            grant_request("a", attempt=2), (endpoint_of(first),), already_expired()
        )
        assert {endpoint_of(first), endpoint_of(second)} == {"one", "two"}
        # A late end of the first attempt doesn't affect the second grant.
        pool.end("a", 1)
        again = ask_now(pool, "a", attempt=2)
        assert again.grant is not None and again.grant == second.grant


class TestPrompts:
    def test_wait_in_the_pool_while_the_prefill_engine_is_busy(self) -> None:
        """Prompts queued at a prefill engine would hold memory at a decode engine."""
        pool = pool_of("engine")
        given = [ask_now(pool, f"request-{n}").grant for n in range(4)]
        assert given[0] is not None and given[3] is None
        pool.note_prefilled("request-0", 1)
        pool.note_prefilled("request-1", 1)
        assert ask_now(pool, "next").grant is not None

    def test_are_granted_with_their_expected_prefill_time(self) -> None:
        pool = pool_of("engine")
        first = ask_now(pool, "a").grant
        second = ask_now(pool, "b").grant
        assert first is not None and second is not None
        assert 0.05 < first.prefill_seconds < second.prefill_seconds < 0.3

    def test_wait_for_a_prefill_engine_that_has_not_reported_yet(self) -> None:
        """Guards against skipping a prefill engine that has only announced itself.

        If the decode engine reports first, it would prefill the prompt itself and pause
        all its answers meanwhile.
        """
        pool = EnginePool("model", MemoryOptions(margin=0.05, safety_deviations=1.5))
        pool.set_engines([engine("engine")], [engine("reader")])
        pool.take_report("engine", engine_report())
        waiting = Callers(pool).ask(grant_request("a"))
        assert not waiting.done()
        pool.take_report("reader", PREFILL_REPORT)
        assert prefill_engine_of(waiting.result(10)) == "reader"

    def test_do_not_wait_for_it_if_another_has_reported(self) -> None:
        pool = pool_of("engine")
        pool.set_engines([engine("engine")], [engine("reader"), engine("young")])
        assert prefill_engine_of(ask_now(pool, "a")) == "reader"

    def test_are_prefilled_by_a_decode_engine_one_at_a_time(self) -> None:
        """Without prefill engines, each prefill pauses the decode engine's answers.

        Two prompts in a row would exceed the maximum gap between two events.
        """
        pool = pool_of("engine", prefill_engines=())
        first = ask_now(pool, "a")
        assert first.grant is not None and first.grant.prefill_engine is None
        assert ask_now(pool, "b").grant is None
        pool.note_prefilled("a", 1)
        assert ask_now(pool, "c").grant is not None

    def test_that_are_long_are_not_prefilled_beside_other_answers(self) -> None:
        """Guards against making a dozen answers late for one long prompt.

        There is no prefill engine, as in a zone that is cut off. The prefill would
        pause the answers for half a second.
        """
        pool = pool_of("engine", prefill_engines=())
        pool.take_report("engine", engine_report(RunningAnswer(9000, 10, "other")))
        long = grant_request("long", prompt_tokens=10_000, limit=0)
        refusal = pool.ask(long, (), already_expired())
        assert refusal.refused and refusal.missing_resource is MissingResource.MAY_READ
        short = grant_request("short", prompt_tokens=2_000, limit=0)
        assert pool.ask(short, (), already_expired()).grant is not None
        idle_pool = pool_of("engine", prefill_engines=())
        again = grant_request("again", prompt_tokens=10_000, limit=0)
        assert idle_pool.ask(again, (), already_expired()).grant is not None

    def test_are_not_given_to_a_prefill_engine_that_changes_its_role(self) -> None:
        pool = pool_of("engine", prefill_engines=("one", "two"))
        pool.take_report("one", EngineReport(CAPACITY, 0, 0, (), busy=True))
        assert prefill_engine_of(ask_now(pool, "a")) == "two"


class TestCrashedEngine:
    """Guards against grants at a crashed engine, whose answers have ended with it.

    It looks like the engine with the most free memory, and each request of a burst is
    granted there until its last report is 1.5 s old. The prefill of the prompt is
    wasted, and there is no time left for another engine.
    """

    def granted_engine(self, pool: EnginePool, request_id: str) -> str:
        """Return where a request is granted; its prompt is prefilled at once."""
        decision = ask_now(pool, request_id)
        pool.note_prefilled(request_id, 1)
        return endpoint_of(decision)

    def announce(
        self, pool: EnginePool, *engines: str, prefill_engines: tuple[str, ...]
    ) -> None:
        """Announce these engines now, and none of the others."""
        pool.set_engines(
            [engine(name) for name in engines],
            [engine(name) for name in prefill_engines],
        )

    def test_gets_no_grant_until_it_is_back(self) -> None:
        pool = pool_of("ended", "other")
        pool.take_report("other", engine_report(RunningAnswer(9_000, 60, "old")))
        assert self.granted_engine(pool, "r-1") == "ended"
        pool.note_unreachable("ended")
        assert self.granted_engine(pool, "r-2") == "other"
        self.announce(pool, "ended", "other", prefill_engines=("reader",))
        assert self.granted_engine(pool, "r-3") == "other"
        pool.take_report("ended", engine_report())
        assert self.granted_engine(pool, "r-4") == "ended"

    def test_gets_no_grant_by_reports_of_another_engine_at_its_address(self) -> None:
        """Guards against taking a report from the same address for that of the engine.

        Another engine started at the address, and `engine reports again` was logged
        two seconds after the crash. Eighteen requests were granted the crashed engine;
        each had its prompt prefilled and was then refused with 421.
        """
        pool = pool_of("ended", "other")
        pool.take_report("other", engine_report(RunningAnswer(9_000, 60, "old")))
        pool.note_unreachable("ended")
        for number in range(3):
            pool.take_report("ended", engine_report())
            assert self.granted_engine(pool, f"r-{number}") == "other"

    def test_prefills_no_prompt_until_it_is_back(self) -> None:
        pool = pool_of("engine", prefill_engines=("ended", "other"))
        pool.note_unreachable("ended")
        pool.take_report("ended", PREFILL_REPORT)
        for number in range(4):
            decision = ask_now(pool, f"r-{number}")
            assert prefill_engine_of(decision) == "other"
            pool.note_prefilled(f"r-{number}", 1)
        self.announce(pool, "engine", prefill_engines=("ended",))
        pool.take_report("ended", PREFILL_REPORT)
        assert prefill_engine_of(ask_now(pool, "last")) == "ended"

    def test_leaves_the_pool_unusable_if_it_is_the_only_one(self) -> None:
        pool = pool_of("ended")
        pool.note_unreachable("ended")
        assert not pool.usable


class TestRequestWhoseAnswerWasInterrupted:
    """Guards against queueing an interrupted answer behind all new requests.

    Its client has a part of the answer and disconnects after a pause of 3.6 seconds.
    Past its first target, the request was queued behind all new requests of a burst,
    and no interrupted answer was completed.
    """

    def test_keeps_its_place_before_new_ones(self, full_pool: EnginePool) -> None:
        interrupted = grant_request(
            "broke off", target=0.1, attempt=2, reads_itself=True
        )
        full_pool.ask(interrupted, (), already_expired())
        time.sleep(0.15)
        full_pool.ask(grant_request("new", target=0.6), (), already_expired())
        again = grant_request("broke off", target=0.3, attempt=2, reads_itself=True)
        full_pool.ask(again, (), already_expired())
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        first = full_pool._queue.head(now, 1)
        assert [entry.request_id for entry in first] == ["broke off"]


class TestEnginesThatReportedRecently:
    """Guards against using engines that announced themselves but don't report."""

    def test_exclude_unknown_and_lost_engines(self) -> None:
        pool = pool_of("engine")
        assert pool.reported_within("engine", 1.0)
        assert pool.reported_within("reader", 1.0)
        assert not pool.reported_within("unknown", 1.0)
        pool.note_unreachable("engine")
        pool.note_unreachable("reader")
        assert not pool.reported_within("engine", 1.0)
        assert not pool.reported_within("reader", 1.0)

    def test_exclude_those_whose_report_is_old(self) -> None:
        pool = pool_of("engine")
        time.sleep(0.05)
        assert not pool.reported_within("engine", 0.04)
        assert not pool.reported_within("reader", 0.04)


class TestLossOfAPrefillEngine:
    """Guards against refusals while decode engines could prefill prompts.

    One of two prefill engines is lost in a burst, and the other can prefill half of the
    prompts. Decode engines had free memory (fill 0.7), but a third of the requests was
    refused for lack of a prefill engine, while a change of role takes ten seconds.
    """

    @pytest.fixture
    def pool(self) -> EnginePool:
        """Return a pool whose only prefill engine is busy."""
        options = WaitingOptions(prefill_wait_seconds=0.1)
        pool = EnginePool(
            "model", MemoryOptions(margin=0.05, safety_deviations=1.5), options
        )
        pool.set_engines([engine("engine")], [engine("reader")])
        pool.take_report("engine", engine_report())
        pool.take_report("reader", PREFILL_REPORT)
        pool.ask(grant_request("is read", prompt_tokens=30_000), (), already_expired())
        return pool

    def ask(self, pool: EnginePool, request_id: str) -> Decision:
        return pool.ask(
            grant_request(request_id, prompt_tokens=2000), (), already_expired()
        )

    def test_waiting_prompt_is_prefilled_by_a_decode_engine(
        self, pool: EnginePool
    ) -> None:
        assert self.ask(pool, "waits").grant is None
        time.sleep(0.11)
        pool.look_again()
        decision = self.ask(pool, "waits")
        assert decision.grant is not None and decision.grant.prefill_engine is None

    def test_two_are_not_prefilled_in_a_row(self, pool: EnginePool) -> None:
        """The two pauses would be one long pause and make all other answers late."""
        for request_id in ("first", "second"):
            self.ask(pool, request_id)
        time.sleep(0.11)
        pool.look_again()
        assert self.ask(pool, "first").grant is not None
        pool.note_prefilled("first", 1)
        pool.look_again()
        assert self.ask(pool, "second").grant is None
        time.sleep(DECODE_SECONDS_BETWEEN_PREFILLS)
        pool.look_again()
        assert self.ask(pool, "second").grant is not None

    def test_large_prompt_waits_for_the_prefill_engine(self, pool: EnginePool) -> None:
        large = grant_request("large", prompt_tokens=8000)
        pool.ask(large, (), already_expired())
        time.sleep(0.11)
        pool.look_again()
        assert pool.ask(large, (), already_expired()).grant is None


class TestPromptThatNoEngineMayPrefill:
    """Guards against a long prompt that stops all grants without a prefill engine.

    Decode engines may not prefill it beside their answers, and had free memory (fill
    0.5), while shorter prompts behind it were refused.
    """

    @pytest.fixture
    def pool(self) -> EnginePool:
        """Return a pool without a prefill engine, whose only engine has an answer."""
        pool = EnginePool("model", MemoryOptions(margin=0.05, safety_deviations=1.5))
        pool.set_engines([engine("engine")], [])
        pool.take_report("engine", engine_report(RunningAnswer(5000, 10, "running")))
        return pool

    def test_blocks_no_shorter_one(self, pool: EnginePool) -> None:
        long = grant_request("long", prompt_tokens=9000)
        assert pool.ask(long, (), already_expired()).grant is None
        time.sleep(DEFAULT_WAITING.bypass_seconds + 0.05)
        pool.look_again()
        short = pool.ask(
            grant_request("short", prompt_tokens=2000), (), already_expired()
        )
        assert short.grant is not None and short.grant.prefill_engine is None

    def test_lacks_an_engine_and_not_memory(self, pool: EnginePool) -> None:
        long = grant_request("long", prompt_tokens=9000, limit=0.0)
        decision = pool.ask(long, (), already_expired())
        assert decision.refused
        assert decision.missing_resource is MissingResource.MAY_READ

    def test_two_short_ones_in_a_row_are_one_pause(self, pool: EnginePool) -> None:
        for request_id, is_granted in (("first", True), ("second", False)):
            request = grant_request(request_id, prompt_tokens=3000)
            decision = pool.ask(request, (), already_expired())
            assert (decision.grant is not None) is is_granted
            time.sleep(0.15)
            pool.note_prefilled(request_id, 1)
        time.sleep(EVENT_SECONDS)
        pool.look_again()
        request = grant_request("second", prompt_tokens=3000)
        assert pool.ask(request, (), already_expired()).grant is not None


class TestLateRequestsInAShortage:
    """Guards against late answers that take the memory of those still in time.

    With two of five engines left, late requests got a quarter of the grants, and as
    many in time were refused until they were late, too.
    """

    @pytest.fixture
    def pool(self) -> EnginePool:
        """Return a pool in which a request that was in time has just lacked memory."""
        pool = pool_of("engine")
        pool.take_report("engine", FULL)
        request = grant_request("in time", limit=0.05, prompt_tokens=LARGE)
        assert pool.ask(request, (), already_expired()).grant is None
        time.sleep(0.06)
        assert pool.ask(request, (), already_expired()).refused
        return pool

    def with_room_for_one(self, pool: EnginePool) -> None:
        running = [RunningAnswer(9_000, 60, f"old-{n}") for n in range(8)]
        pool.take_report("engine", engine_report(*running))

    def test_leave_memory_for_one_in_time(self, pool: EnginePool) -> None:
        late = grant_request("late", target=-1, prompt_tokens=LARGE)
        assert pool.ask(late, (), already_expired()).grant is None
        self.with_room_for_one(pool)
        assert pool.ask(late, (), already_expired()).grant is None
        new = grant_request("new", prompt_tokens=LARGE)
        assert pool.ask(new, (), already_expired()).grant is not None

    def test_get_it_once_none_in_time_lacks_any(self, pool: EnginePool) -> None:
        late = grant_request("late", target=-1, prompt_tokens=LARGE)
        assert pool.ask(late, (), already_expired()).grant is None
        time.sleep(SHORTAGE_SECONDS)
        self.with_room_for_one(pool)
        assert pool.ask(late, (), already_expired()).grant is not None

    def test_of_a_higher_priority_leave_nothing(self, pool: EnginePool) -> None:
        time.sleep(SHORTAGE_SECONDS)
        lower = grant_request("lower", prompt_tokens=LARGE, priority=2, limit=0.0)
        assert pool.ask(lower, (), already_expired()).refused
        self.with_room_for_one(pool)
        late = grant_request("late", target=-1, prompt_tokens=LARGE, priority=1)
        assert pool.ask(late, (), already_expired()).grant is not None

    def test_keep_it_from_no_request_of_a_lower_priority(
        self, pool: EnginePool
    ) -> None:
        """A late request of a higher priority goes first, but leaves the memory."""
        late = grant_request("late", target=-1, prompt_tokens=LARGE)
        assert pool.ask(late, (), already_expired()).grant is None
        time.sleep(DEFAULT_WAITING.bypass_seconds)
        self.with_room_for_one(pool)
        lower = grant_request("lower", target=20, prompt_tokens=LARGE, priority=2)
        assert pool.ask(lower, (), already_expired()).grant is not None
