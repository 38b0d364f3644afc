"""Who gets a grant at an engine, and who reads the prompt."""

from __future__ import annotations

import time
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from jujubeslip.admission._engine_memory import REST_SECONDS
from jujubeslip.admission._lengths import lengths_of
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import (
    DEFAULT_WAITING,
    Applicant,
    Lack,
    WaitingOptions,
)
from jujubeslip.admission._pool import Decision, EnginePool
from jujubeslip.kernel import Deadline
from jujubeslip.routes import EngineReport, RunningAnswer
from tests.fakes.engines import engine
from tests.fakes.processes import wait_until

CAPACITY = 100_000
EVENT_TOKENS, MAXIMUM_EVENTS = 65, 130
READER = EngineReport(CAPACITY, 0, 0, (), reads_prompts=True)


def engine_report(*running: RunningAnswer, busy: bool = False) -> EngineReport:
    used = sum(item.memory_tokens for item in running)
    return EngineReport(CAPACITY, used, 0, running, busy=busy)


FULL = engine_report(*[RunningAnswer(9_000, 60, f"old-{n}") for n in range(11)])


def applicant(
    request_id: str,
    *,
    target: float = 0.9,
    limit: float = 30.0,
    attempt: int = 1,
    reads_itself: bool = False,
    prompt_tokens: int = 4000,
    availability_zone: str = "zone-1",
) -> Applicant:
    return Applicant(
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
    )


def at_once() -> Deadline:
    return Deadline.after(0)


def ask_now(
    pool: EnginePool, request_id: str, *avoided: str, attempt: int = 1
) -> Decision:
    """Ask for a grant that is there now; without one the request doesn't wait."""
    return pool.ask(applicant(request_id, attempt=attempt, limit=0), avoided, at_once())


def pool_of(*engines: str, readers: tuple[str, ...] = ("reader",)) -> EnginePool:
    pool = EnginePool("model", MemoryOptions(margin=0.05, caution=1.5))
    pool.set_engines(
        [engine(name) for name in engines], [engine(name) for name in readers]
    )
    for endpoint_id in engines:
        pool.take_report(endpoint_id, engine_report())
    for endpoint_id in readers:
        pool.take_report(endpoint_id, READER)
    return pool


def endpoint_of(decision: Decision) -> str:
    return decision.grant.endpoint.endpoint_id if decision.grant else ""


def reader_of(decision: Decision) -> str:
    assert decision.grant is not None
    return decision.grant.reader.endpoint_id if decision.grant.reader else ""


class Callers:
    """Entry hosts that wait for an answer, each in a thread of its own."""

    def __init__(self, pool: EnginePool) -> None:
        self._pool = pool
        self._threads = ThreadPoolExecutor(8)

    def ask(self, asking: Applicant, wait: float = 30.0) -> Future[Decision]:
        waiting = len(self._pool._waiting_by_id)
        future = self._threads.submit(self._pool.ask, asking, (), Deadline.after(wait))
        wait_until(
            lambda: future.done() or len(self._pool._waiting_by_id) > waiting,
            "the request waits",
        )
        return future


@pytest.fixture
def full() -> EnginePool:
    """Return a pool whose one engine has no room."""
    pool = pool_of("engine")
    pool.take_report("engine", FULL)
    return pool


class TestPlaces:
    def test_go_to_the_emptiest_engine(self) -> None:
        pool = pool_of("busy", "idle")
        pool.take_report("busy", engine_report(RunningAnswer(9000, 10, "other")))
        assert endpoint_of(ask_now(pool, "a")) == "idle"

    def test_count_before_any_report_shows_them(self) -> None:
        """A burst comes within the time that a report is old.

        Each host by itself would find the engine empty, and all answers would grow
        together until the newest are pushed out.
        """
        pool = pool_of("engine", readers=("r1", "r2", "r3"))
        given = 0
        for number in range(30):
            request_id = f"request-{number}"
            decision = ask_now(pool, request_id)
            pool.note_read(request_id, 1)
            given += decision.grant is not None
        # By their prompts alone, twenty-three would fit.
        assert 9 <= given <= 17

    def test_are_not_given_at_engines_that_change_their_role(self) -> None:
        pool = pool_of("engine")
        pool.take_report("engine", engine_report(busy=True))
        assert not pool.usable
        assert ask_now(pool, "a").grant is None

    def test_are_not_given_at_avoided_engines(self) -> None:
        pool = pool_of("one", "two")
        for number in range(4):
            asking = applicant(f"request-{number}", reads_itself=True)
            decision = pool.ask(asking, ("one",), at_once())
            pool.note_read(f"request-{number}", 1)
            assert endpoint_of(decision) == "two"

    def test_are_given_in_the_own_availability_zone_first(self) -> None:
        """A zone is cut off: each answer that crosses its border is lost.

        Only an engine that is much emptier is worth that.
        """
        pool = pool_of()
        engines = [engine("near"), engine("far", availability_zone="zone-2")]
        pool.set_engines(engines, [engine("reader")])
        pool.take_report("reader", READER)
        pool.take_report("far", engine_report())
        pool.take_report("near", engine_report(RunningAnswer(5000, 60, "other")))
        asking = applicant("a", availability_zone="zone-1")
        assert endpoint_of(pool.ask(asking, (), at_once())) == "near"
        busy = [RunningAnswer(9_000, 60, f"old-{n}") for n in range(6)]
        pool.take_report("near", engine_report(*busy))
        asking = applicant("b", availability_zone="zone-1")
        assert endpoint_of(pool.ask(asking, (), at_once())) == "far"

    def test_come_free_with_the_end_of_a_request(self, full: EnginePool) -> None:
        waiting = Callers(full).ask(applicant("a"))
        full.take_report("engine", engine_report())
        assert endpoint_of(waiting.result(10)) == "engine"

    def test_of_requests_that_ended_are_free_before_reports_say_so(self) -> None:
        pool = pool_of("engine", readers=("r1", "r2", "r3"))
        ids = [f"request-{number}" for number in range(30)]
        given = []
        for request_id in ids:
            if ask_now(pool, request_id).grant:
                given.append(request_id)
            pool.note_read(request_id, 1)
        pool.take_report(
            "engine", engine_report(*[RunningAnswer(4000, 1, item) for item in given])
        )
        assert ask_now(pool, "next").grant is None
        for request_id in given:
            pool.end(request_id, 1)
        assert ask_now(pool, "last").grant is not None


class TestOrder:
    def test_earliest_target_goes_first(self, full: EnginePool) -> None:
        callers = Callers(full)
        later = callers.ask(applicant("later", target=20))
        earlier = callers.ask(applicant("earlier", target=10))
        late = callers.ask(applicant("late", target=-1))
        room = [RunningAnswer(9_000, 60, f"old-{n}") for n in range(8)]
        full.take_report("engine", engine_report(*room))
        assert endpoint_of(earlier.result(10)) == "engine"
        full.note_read("earlier", 1)
        full.take_report("engine", engine_report())
        assert endpoint_of(later.result(10)) == "engine"
        full.note_read("later", 1)
        assert endpoint_of(late.result(10)) == "engine"

    def test_host_that_died_holds_nobody_up(self, full: EnginePool) -> None:
        """Its request is first in the queue, and nobody asks for it any more."""
        gone = full.ask(applicant("gone", target=1), (), at_once())
        assert gone.grant is None and not gone.refused
        waiting = Callers(full).ask(applicant("next", target=20))
        full.take_report("engine", engine_report())
        assert endpoint_of(waiting.result(10)) == "engine"


class TestRequestThatNoEngineCanTake:
    """One request stands first in the queue for three seconds, and all behind it wait.

    Its reader refused the prompt while it changed its role, so the engine that answers
    has to read it: 5,169 tokens, which stop all its other answers for 0.31 s where 0.3
    are allowed. `grant at an engine` told a fill of 0.43 at most while seventeen
    requests waited 2 to 3 s behind it, until its limit came.
    """

    LONG = 5_169

    @pytest.fixture
    def answering(self) -> EnginePool:
        """Return a pool whose engines answer somebody and have room for more."""
        pool = pool_of("one", "two", readers=("r1", "r2"))
        for name in ("one", "two"):
            pool.take_report(name, engine_report(RunningAnswer(5_000, 10, "other")))
        return pool

    def test_holds_nobody_up(self, answering: EnginePool) -> None:
        callers = Callers(answering)
        alone = callers.ask(
            applicant("alone", reads_itself=True, prompt_tokens=self.LONG, target=20)
        )
        behind = [
            answering.ask(applicant(f"behind-{n}", target=21), (), Deadline.after(1))
            for n in range(2)
        ]
        assert all(decision.grant is not None for decision in behind)
        assert not alone.done()

    def test_holds_nobody_up_when_it_avoids_the_engines_with_room(
        self, answering: EnginePool
    ) -> None:
        """Its host can't reach them, which says nothing of other hosts."""
        asking = applicant("cut off", target=20)
        first = answering.ask(asking, ("one", "two"), Deadline.after(0.4))
        assert first.grant is None
        following = applicant("next", target=21)
        assert answering.ask(following, (), Deadline.after(0.5)).grant

    def test_waits_for_memory_and_is_passed_for_a_moment_only(
        self, answering: EnginePool
    ) -> None:
        """Small requests take each room that comes free; a large one never fits.

        Passed for good, the largest tenth of requests would be served to nobody.
        """
        for name in ("one", "two"):
            old = [RunningAnswer(9_000, 60, f"{name}-{n}") for n in range(6)]
            answering.take_report(name, engine_report(*old))
        large = applicant("large", prompt_tokens=60_000, target=5)
        waiting = Callers(answering).ask(large)
        small = answering.ask(applicant("early", target=6), (), at_once())
        assert small.grant is not None
        answering.note_read("early", 1)
        time.sleep(DEFAULT_WAITING.passed_seconds)
        late = answering.ask(applicant("late", target=6), (), at_once())
        assert late.grant is None
        assert not waiting.done()


class TestRefusal:
    def test_comes_at_the_limit(self, full: EnginePool) -> None:
        decision = full.ask(applicant("a", limit=0.3), (), Deadline.after(30))
        assert decision.refused

    def test_comes_at_once_where_the_wait_would_be_in_vain(
        self, full: EnginePool
    ) -> None:
        """Five requests wait; the next one could not be in time any more.

        Held until its target, it would be refused all the same, and its client would
        come back later than it need.
        """
        callers = Callers(full)
        for number in range(5):
            callers.ask(applicant(f"ahead-{number}", target=5))
        decision = full.ask(
            applicant("next", target=6, limit=0.5), (), Deadline.after(30)
        )
        assert decision.refused
        assert decision.forecast > 0.5

    def test_of_a_request_whose_client_left_ends_its_wait(
        self, full: EnginePool
    ) -> None:
        waiting = Callers(full).ask(applicant("a"))
        full.end("a", 1)
        assert waiting.result(10).refused


class TestLostAnswer:
    """The leader's answer is lost on its way, and the host asks again.

    A second grant for the same request would be held until its end, for nothing.
    """

    def test_is_given_again(self) -> None:
        pool = pool_of("one", "two")
        first = ask_now(pool, "a")
        again = ask_now(pool, "a")
        assert first.grant is not None and again.grant == first.grant

    def test_further_place_is_another_one(self) -> None:
        pool = pool_of("one", "two")
        first = ask_now(pool, "a")
        pool.note_read("a", 1)
        second = pool.ask(applicant("a", attempt=2), (endpoint_of(first),), at_once())
        assert {endpoint_of(first), endpoint_of(second)} == {"one", "two"}
        # What is heard late of the first one takes nothing from the second.
        pool.end("a", 1)
        again = ask_now(pool, "a", attempt=2)
        assert again.grant is not None and again.grant == second.grant


class TestPrompts:
    def test_wait_here_while_their_reader_is_busy(self) -> None:
        """Prompts that queue at the engine would hold memory at another one."""
        pool = pool_of("engine")
        given = [ask_now(pool, f"request-{n}").grant for n in range(4)]
        assert given[0] is not None and given[3] is None
        pool.note_read("request-0", 1)
        pool.note_read("request-1", 1)
        assert ask_now(pool, "next").grant is not None

    def test_come_with_how_long_their_reading_should_take(self) -> None:
        pool = pool_of("engine")
        first = ask_now(pool, "a").grant
        second = ask_now(pool, "b").grant
        assert first is not None and second is not None
        assert 0.05 < first.read_seconds < second.read_seconds < 0.3

    def test_wait_for_a_reader_that_has_not_reported_yet(self) -> None:
        """Engines have just announced themselves; one that answers reports first.

        Taken for missing, the reader would be passed over, and the engine would read
        prompts by itself and stop all its answers for that.
        """
        pool = EnginePool("model", MemoryOptions(margin=0.05, caution=1.5))
        pool.set_engines([engine("engine")], [engine("reader")])
        pool.take_report("engine", engine_report())
        waiting = Callers(pool).ask(applicant("a"))
        assert not waiting.done()
        pool.take_report("reader", READER)
        assert reader_of(waiting.result(10)) == "reader"

    def test_do_not_wait_for_it_beside_one_that_has(self) -> None:
        pool = pool_of("engine")
        pool.set_engines([engine("engine")], [engine("reader"), engine("young")])
        assert reader_of(ask_now(pool, "a")) == "reader"

    def test_are_read_by_the_engine_itself_one_at_a_time(self) -> None:
        """No engine reads prompts for others. All answers stand still meanwhile.

        Two prompts in a row would stop them for longer than they may pause.
        """
        pool = pool_of("engine", readers=())
        first = ask_now(pool, "a")
        assert first.grant is not None and first.grant.reader is None
        assert ask_now(pool, "b").grant is None
        pool.note_read("a", 1)
        assert ask_now(pool, "c").grant is not None

    def test_that_are_long_are_not_read_beside_other_answers(self) -> None:
        """No engine reads prompts for others, as in a zone that is cut off.

        A dozen answers would pause for half a second, and all be late, for one.
        """
        pool = pool_of("engine", readers=())
        pool.take_report("engine", engine_report(RunningAnswer(9000, 10, "other")))
        long = applicant("long", prompt_tokens=10_000, limit=0)
        refusal = pool.ask(long, (), at_once())
        assert refusal.refused and refusal.lacked is Lack.MAY_READ
        short = applicant("short", prompt_tokens=2_000, limit=0)
        assert pool.ask(short, (), at_once()).grant is not None
        alone = pool_of("engine", readers=())
        again = applicant("again", prompt_tokens=10_000, limit=0)
        assert alone.ask(again, (), at_once()).grant is not None

    def test_reader_that_changes_its_role_gets_none(self) -> None:
        pool = pool_of("engine", readers=("one", "two"))
        pool.take_report("one", EngineReport(CAPACITY, 0, 0, (), busy=True))
        assert reader_of(ask_now(pool, "a")) == "two"


class TestEngineThatEnded:
    """An engine has crashed: its answers are gone, and it looks like the emptiest.

    Each request of a burst is granted there until its last report is 1.5 s old, its
    prompt is read in vain, and there is no time left for another engine.
    """

    def engine_for(self, pool: EnginePool, request_id: str) -> str:
        """Return where a request is granted whose prompt is read at once."""
        decision = ask_now(pool, request_id)
        pool.note_read(request_id, 1)
        return endpoint_of(decision)

    def announce(
        self, pool: EnginePool, *engines: str, readers: tuple[str, ...]
    ) -> None:
        """Let these engines be heard now, and none of the others."""
        pool.set_engines(
            [engine(name) for name in engines], [engine(name) for name in readers]
        )

    def test_gets_no_grant_until_it_is_back(self) -> None:
        pool = pool_of("ended", "other")
        pool.take_report("other", engine_report(RunningAnswer(9_000, 60, "old")))
        assert self.engine_for(pool, "r-1") == "ended"
        pool.note_lost("ended")
        assert self.engine_for(pool, "r-2") == "other"
        self.announce(pool, "ended", "other", readers=("reader",))
        assert self.engine_for(pool, "r-3") == "other"
        pool.take_report("ended", engine_report())
        assert self.engine_for(pool, "r-4") == "ended"

    def test_gets_none_by_reports_of_the_next_one_at_its_address(self) -> None:
        """`engine reports again` stood in the log two seconds after the crash.

        Another engine had started at the address. Eighteen requests were granted the
        one that had ended; each had its prompt read and was then refused with 421.
        """
        pool = pool_of("ended", "other")
        pool.take_report("other", engine_report(RunningAnswer(9_000, 60, "old")))
        pool.note_lost("ended")
        for number in range(3):
            pool.take_report("ended", engine_report())
            assert self.engine_for(pool, f"r-{number}") == "other"

    def test_reads_no_prompt_until_it_is_back(self) -> None:
        pool = pool_of("engine", readers=("ended", "other"))
        pool.note_lost("ended")
        pool.take_report("ended", READER)
        for number in range(4):
            decision = ask_now(pool, f"r-{number}")
            assert reader_of(decision) == "other"
            pool.note_read(f"r-{number}", 1)
        self.announce(pool, "engine", readers=("ended",))
        pool.take_report("ended", READER)
        assert reader_of(ask_now(pool, "last")) == "ended"

    def test_that_is_the_only_one_leaves_none_usable(self) -> None:
        pool = pool_of("ended")
        pool.note_lost("ended")
        assert not pool.usable


class TestRequestWhoseAnswerBrokeOff:
    """Its client has a part of the answer, and leaves after a pause of 3.6 seconds.

    Late since its first target, it stood behind all new requests of a burst, and none
    of those that were cut came to their end.
    """

    def test_keeps_its_place_before_new_ones(self, full: EnginePool) -> None:
        broke_off = applicant("broke off", target=0.1, attempt=2, reads_itself=True)
        full.ask(broke_off, (), at_once())
        time.sleep(0.15)
        full.ask(applicant("new", target=0.6), (), at_once())
        again = applicant("broke off", target=0.3, attempt=2, reads_itself=True)
        full.ask(again, (), at_once())
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        first = full._order.first_ones(now, 1)
        assert [turn.request_id for turn in first] == ["broke off"]


class TestEnginesThatReportNow:
    """Guards against engines that are taken for there since they were heard of."""

    def test_are_those_that_reported_lately_and_are_not_lost(self) -> None:
        pool = pool_of("engine")
        assert pool.reported_within("engine", 1.0)
        assert pool.reported_within("reader", 1.0)
        assert not pool.reported_within("unknown", 1.0)
        pool.note_lost("engine")
        pool.note_lost("reader")
        assert not pool.reported_within("engine", 1.0)
        assert not pool.reported_within("reader", 1.0)

    def test_are_not_those_whose_report_is_old(self) -> None:
        pool = pool_of("engine")
        time.sleep(0.05)
        assert not pool.reported_within("engine", 0.04)
        assert not pool.reported_within("reader", 0.04)


class TestReaderThatIsLost:
    """One of two readers is lost in a burst; the other can read half of the prompts.

    Engines that answer had room meanwhile (fill 0.7), and a third of the requests was
    refused for want of a reader, while a change of role takes ten seconds.
    """

    @pytest.fixture
    def pool(self) -> EnginePool:
        """Return a pool whose one reader has enough to read."""
        options = WaitingOptions(reader_seconds=0.1)
        pool = EnginePool("model", MemoryOptions(margin=0.05, caution=1.5), options)
        pool.set_engines([engine("engine")], [engine("reader")])
        pool.take_report("engine", engine_report())
        pool.take_report("reader", READER)
        pool.ask(applicant("is read", prompt_tokens=30_000), (), at_once())
        return pool

    def ask(self, pool: EnginePool, request_id: str) -> Decision:
        return pool.ask(applicant(request_id, prompt_tokens=2000), (), at_once())

    def test_prompt_that_waits_is_read_beside_answers(self, pool: EnginePool) -> None:
        assert self.ask(pool, "waits").grant is None
        time.sleep(0.11)
        pool.look_again()
        decision = self.ask(pool, "waits")
        assert decision.grant is not None and decision.grant.reader is None

    def test_two_are_not_read_in_a_row(self, pool: EnginePool) -> None:
        """The pauses of the other answers would be one, and all of them late."""
        for request_id in ("first", "second"):
            self.ask(pool, request_id)
        time.sleep(0.11)
        pool.look_again()
        assert self.ask(pool, "first").grant is not None
        pool.note_read("first", 1)
        pool.look_again()
        assert self.ask(pool, "second").grant is None
        time.sleep(REST_SECONDS)
        pool.look_again()
        assert self.ask(pool, "second").grant is not None

    def test_large_prompt_waits_for_the_reader(self, pool: EnginePool) -> None:
        large = applicant("large", prompt_tokens=8000)
        pool.ask(large, (), at_once())
        time.sleep(0.11)
        pool.look_again()
        assert pool.ask(large, (), at_once()).grant is None
