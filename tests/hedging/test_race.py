"""Two sends at a time, in a bounded number of threads."""

from __future__ import annotations

import threading
import time

import pytest

from jujubeslip.hedging import Finished, SendRaces
from jujubeslip.hedging._race import MAXIMUM_RACES


def never() -> None:
    """Check nothing."""


def second_send_threads() -> int:
    return sum(item.name.startswith("second-send") for item in threading.enumerate())


class TestRace:
    def test_ends_come_in_their_order(self) -> None:
        races: SendRaces[str] = SendRaces()
        assert races.try_enter()
        release = threading.Event()

        def slow() -> str:
            release.wait(5)
            return "slow"

        ends = races.run((slow, lambda: "quick"), never)
        assert next(ends) == Finished(1, "quick")
        release.set()
        assert next(ends) == Finished(0, "slow")
        assert list(ends) == []

    def test_first_send_goes_first_if_both_end_at_once(self) -> None:
        races: SendRaces[str] = SendRaces()
        assert races.try_enter()
        both = threading.Barrier(2)

        def send() -> str:
            both.wait(5)
            return threading.current_thread().name

        numbers = []
        for end in races.run((send, send), lambda: time.sleep(0.05)):
            numbers.append(end.number)
            time.sleep(0.05)
        assert sorted(numbers) == [0, 1]

    def test_check_ends_the_wait(self) -> None:
        races: SendRaces[str] = SendRaces()
        assert races.try_enter()
        release = threading.Event()

        def slow() -> str:
            release.wait(5)
            return "slow"

        def check() -> None:
            raise RuntimeError("the client left")

        with pytest.raises(RuntimeError):
            next(races.run((slow, slow), check))
        release.set()


class TestPlaces:
    """Guards against a host whose threads are used up by second sends."""

    def test_are_bounded_until_both_sends_have_ended(self) -> None:
        races: SendRaces[str] = SendRaces()
        before = second_send_threads()
        release = threading.Event()

        def slow() -> str:
            release.wait(5)
            return "slow"

        for _ in range(MAXIMUM_RACES):
            assert races.try_enter()
            next(races.run((lambda: "quick", slow), never))
        assert not races.try_enter()
        assert second_send_threads() - before <= 2 * MAXIMUM_RACES
        release.set()
        deadline = time.monotonic() + 5
        while not races.try_enter():
            assert time.monotonic() < deadline
            time.sleep(0.01)

    def test_no_thread_starts_before_the_first_race(self) -> None:
        before = threading.active_count()
        races: SendRaces[str] = SendRaces()
        assert races.try_enter()
        races.leave()
        assert threading.active_count() == before
