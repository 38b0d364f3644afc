"""How many engines read prompts and how many answer, replayed on recorded loads."""

from __future__ import annotations

import pytest

from jujubeslip.admission import EngineNeed, EngineUse
from jujubeslip.control._role_balance import (
    BUSY_SECONDS,
    LEAST_READERS,
    WATCHED_SECONDS,
    Engines,
    EngineShares,
    PromptLoad,
    allowed_changes,
    answers_lack_memory,
    idle_readers,
    lacks_reader,
    missing_readers,
    needed_readers,
    readers_to_keep,
    wanted_change,
)
from jujubeslip.peers import EndpointRole, ServicePressure
from tests.control.loads import bursts_of_prompts as bursts
from tests.fakes.engines import engine

ZONES = ("zone-1", "zone-2", "zone-3")


def engines(readers: int, answering: int) -> Engines:
    """Return engines that are spread over the availability zones in turn."""
    return Engines(
        tuple(
            engine(f"r-{number}", EndpointRole.PREFILL, ZONES[number % len(ZONES)])
            for number in range(readers)
        ),
        tuple(
            engine(f"a-{number}", EndpointRole.DECODE, ZONES[number % len(ZONES)])
            for number in range(answering)
        ),
    )


def without(group: Engines, ordered: tuple[object, ...]) -> Engines:
    """Return the engines once these readers answer."""
    staying = tuple(item for item in group.prefill if item not in ordered)
    changed = tuple(item for item in group.prefill if item in ordered)
    return Engines(staying, group.decode + changed)


def watched(busiest: float) -> PromptLoad:
    """Return a load that was watched long enough, with one busiest moment."""
    load = PromptLoad()
    load.note(0.05, busiest)
    load.note(0.1, 0.1)
    load.note(WATCHED_SECONDS + 0.05, 0.1)
    return load


class TestBurstsOnFewAnsweringEngines:
    """A burst finds no memory for half of its requests while readers are idle.

    Prompts kept one of four readers busy, two in the burst; five engines answered. In
    the burst grants came at 11.5 a second for 20 requests a second, 37 of 329 streams
    came late, and `engine ordered` stood in the log five seconds after the burst had
    begun: the shortage itself was waited for.
    """

    def replay(self) -> list[tuple[float, Engines]]:
        """Return the engines at each instant of the recorded load."""
        load, group = PromptLoad(), engines(4, 5)
        seen = []
        for now, busy in bursts.busy_readers():
            load.note(now, busy)
            needed = needed_readers(load, now, lacks_memory=False)
            if needed is not None:
                group = without(group, idle_readers(group, needed))
            seen.append((now, group))
        return seen

    def test_seven_answer_before_the_burst(self) -> None:
        changed_by = bursts.BURST_SECONDS - bursts.CHANGE_SECONDS
        before = [group for now, group in self.replay() if now <= changed_by]
        assert len(before[-1].prefill) == LEAST_READERS
        assert len(before[-1].decode) == 7

    def test_no_reader_is_taken_before_the_load_was_watched(self) -> None:
        early = [group for now, group in self.replay() if now < WATCHED_SECONDS]
        assert all(len(group.prefill) == 4 for group in early)

    def test_none_is_ordered_back(self) -> None:
        load = PromptLoad()
        for now, busy in bursts.busy_readers():
            load.note(now, busy)
            assert not lacks_reader(engines(LEAST_READERS, 7), load.least(now))


class TestIdleReaders:
    """Which readers are ordered to answer, at how much load."""

    @pytest.mark.parametrize(
        ("readers", "busiest", "left"),
        [(4, 0.2, 2), (4, 1.2, 2), (4, 1.3, 3), (25, 7.6, 15), (2, 0.1, 2), (1, 0, 1)],
    )
    def test_are_those_beyond_the_busiest_moment(
        self, readers: int, busiest: float, left: int
    ) -> None:
        needed = needed_readers(watched(busiest), WATCHED_SECONDS + 0.2, False)
        assert needed is not None
        assert readers - len(idle_readers(engines(readers, 5), needed)) == left

    @pytest.mark.parametrize(("busiest", "left"), [(1.6, 2), (1.8, 3), (0.5, 2)])
    def test_are_more_while_answers_lack_memory(
        self, busiest: float, left: int
    ) -> None:
        """Prompts keep 1.6 of three readers busy at most; late answers wait for 15 s.

        Kept for a burst, the third reader left them to wait for memory.
        """
        needed = needed_readers(watched(busiest), WATCHED_SECONDS + 0.2, True)
        assert needed is not None
        assert 4 - len(idle_readers(engines(4, 5), needed)) == left

    def test_leave_a_reader_in_as_many_zones_as_they_can(self) -> None:
        group = engines(6, 10)
        staying = set(group.prefill) - set(idle_readers(group, 3))
        assert {item.availability_zone for item in staying} == set(ZONES)


class TestRequestsThatWaitForReaders:
    """Fifteen of 25 readers are ordered to answer, and a burst comes.

    Ten readers can't read what comes. Requests wait for them, that looked like a
    shortage of memory, and one reader after the other was ordered to answer: five more
    in three seconds, while prompts took 69 s of the readers' time each second.
    """

    @pytest.mark.parametrize(
        ("prompt_ms", "short_for", "expected"),
        [(69_343, 6.5, False), (8_000, 6.5, True), (8_000, 1.0, False)],
        ids=["prompts wait", "memory is short", "a moment"],
    )
    def test_are_no_sign_of_short_memory(
        self, prompt_ms: int, short_for: float, expected: bool
    ) -> None:
        told = ServicePressure("model", 283, prompt_ms)
        assert answers_lack_memory(engines(10, 60), told, short_for) is expected


class TestReadersThatAreLost:
    """A reader is gone for good, and prompts wait at the one that is left.

    Answering engines have memory to spare meanwhile, since nothing reaches them.
    """

    def busy(self, seconds: float, readers: float) -> PromptLoad:
        load = PromptLoad()
        steps = int(seconds / bursts.STEP_SECONDS)
        for number in range(steps + 1):
            load.note(number * bursts.STEP_SECONDS, readers)
        return load

    def test_one_is_ordered_to_read_once_that_lasts(self) -> None:
        load = self.busy(BUSY_SECONDS, 1.0)
        assert lacks_reader(engines(1, 7), load.least(BUSY_SECONDS))

    def test_a_moment_is_not_enough(self) -> None:
        load = self.busy(BUSY_SECONDS, 1.0)
        load.note(BUSY_SECONDS, 0.5)
        assert not lacks_reader(engines(1, 7), load.least(BUSY_SECONDS))

    def test_few_that_answer_are_left_to_answer(self) -> None:
        load = self.busy(BUSY_SECONDS, 1.0)
        assert not lacks_reader(engines(1, 3), load.least(BUSY_SECONDS))

    def test_as_many_as_prompts_need_are_ordered(self) -> None:
        """Twenty of 24 readers crash, and prompts for twelve keep coming.

        One engine was ordered to read in thirteen seconds: the burst was over, and most
        of its requests refused, before the third one read.
        """
        assert missing_readers(engines(4, 46), least=12.0) == 9
        assert missing_readers(engines(4, 14), least=12.0) == 1
        assert missing_readers(engines(4, 46), least=3.0) == 0


class TestOrdersWithoutAnAnswer:
    """Engines leave orders unanswered, and carry them out seconds later.

    Nobody can use such an engine in either role meanwhile. Of 70 engines 22 were
    ordered within four seconds, and 15 more could not be.
    """

    @pytest.mark.parametrize(
        ("readers", "answering", "changing", "allowed"),
        [(24, 46, 0, 7), (24, 46, 5, 2), (24, 46, 9, 0), (4, 5, 0, 2), (4, 5, 2, 0)],
    )
    def test_are_few_at_a_time(
        self, readers: int, answering: int, changing: int, allowed: int
    ) -> None:
        assert allowed_changes(engines(readers, answering), changing) == allowed


class TestLeaderThatIsAskedNothing:
    """Hosts reach the leader again after seconds in which they decided alone.

    It saw no prompt meanwhile. Taken for an idle service, its readers would be ordered
    to answer just before the requests are back.
    """

    def test_needs_to_see_a_load_first(self) -> None:
        load = PromptLoad()
        load.note(0.0, 5.0)
        now = 0.5
        while now < 3 * WATCHED_SECONDS:
            load.note(now, 0.0)
            now += bursts.STEP_SECONDS
        assert needed_readers(load, now, lacks_memory=False) is None


class TestReadersThatAnswersCanKeepUpWith:
    """A burst asks for 2.5 of nine engines' time to read, and for eight to answer.

    Four readers stayed, since prompts come twice as often in a burst; answers lacked
    memory for half a minute, also between bursts, and readers were idle half the time.
    """

    def shares(self, use: EngineUse, seconds: float = 20.0) -> EngineShares:
        shares, now = EngineShares(), 0.0
        while now <= seconds:
            shares.note(now, use)
            now += 0.5
        return shares

    def test_are_two_of_nine_where_answers_take_four_times_as_long(self) -> None:
        shares = self.shares(EngineUse(reading=1.0, answering=4.0))
        assert shares.useful_readers(engines(4, 5), 20.0) == 2

    def test_do_not_depend_on_how_much_is_asked_for(self) -> None:
        for times in (0.5, 1.0, 1.7):
            shares = self.shares(EngineUse(1.0 * times, 4.0 * times))
            assert shares.useful_readers(engines(24, 46), 20.0) == 14

    def test_are_more_where_prompts_take_longer(self) -> None:
        shares = self.shares(EngineUse(reading=3.0, answering=3.0))
        assert shares.useful_readers(engines(4, 5), 20.0) == 4

    def test_are_not_known_at_first(self) -> None:
        shares = self.shares(EngineUse(1.0, 0.2), seconds=1.0)
        assert shares.useful_readers(engines(4, 5), 1.0) is None
        assert EngineShares().useful_readers(engines(4, 5), 20.0) is None

    def test_are_what_the_first_requests_are_expected_to_need(self) -> None:
        need = EngineNeed(reading_seconds=0.1, answering_seconds=0.4)
        shares = self.shares(EngineUse(0.1, 0.0, need), seconds=1.0)
        assert shares.useful_readers(engines(24, 46), 1.0) == 14

    def test_are_what_answers_show_once_those_were_watched(self) -> None:
        need = EngineNeed(reading_seconds=0.1, answering_seconds=0.4)
        shares = self.shares(EngineUse(3.0, 3.0, need))
        assert shares.useful_readers(engines(24, 46), 20.0) == 35

    @pytest.mark.parametrize(
        ("needed", "useful", "kept"),
        [(None, None, None), (4, None, 4), (None, 3, 3), (2, 3, 2), (5, 3, 3)],
    )
    def test_bound_those_that_stay(
        self, needed: int | None, useful: int | None, kept: int | None
    ) -> None:
        assert readers_to_keep(needed, useful) == kept

    def test_are_one_of_four_before_another_is_ordered_to_read(self) -> None:
        """One of five engines leaves and one of two readers crashes.

        Prompts kept the other one busy, and answers lacked memory already; two of the
        three engines that answered were ordered to read, and more were refused.
        """
        shares = self.shares(EngineUse(reading=1.0, answering=4.0))
        useful = shares.useful_readers(engines(1, 3), 20.0, least=1)
        assert useful == 1
        assert missing_readers(engines(1, 3), least=1.5, useful=useful) == 0
        assert shares.useful_readers(engines(2, 2), 20.0) == LEAST_READERS

    def test_bound_what_is_ordered_to_read(self) -> None:
        """Prompts that take as long as answers want half of the engines."""
        assert missing_readers(engines(4, 14), least=12.0, useful=9) == 5
        assert missing_readers(engines(4, 46), least=12.0, useful=4) == 0

    def test_are_not_ordered_to_answer_for_want_of_memory(self) -> None:
        pressure = ServicePressure("model", 10, 500)
        assert wanted_change(engines(4, 5), pressure, short_for=2.0) is not None
        assert wanted_change(engines(4, 5), pressure, 2.0, useful=4) is None
