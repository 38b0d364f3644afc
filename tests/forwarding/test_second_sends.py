"""Slow requests that are sent to a second endpoint, with endpoints without sockets."""

from __future__ import annotations

import itertools
import threading
import time
from typing import Any

import pytest

from jujubeslip.endpoints import (
    AnswerCutError,
    ClientDisconnectedError,
    EndpointRefusedError,
    EndpointsOutOfReachError,
)
from jujubeslip.forwarding import _whole_send
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import Attempts, ForwardContext, WholeAnswer
from jujubeslip.forwarding._plain_path import PlainPath
from jujubeslip.forwarding._second_sends import SecondSends
from jujubeslip.hedging import SecondSendOptions
from jujubeslip.kernel import Deadline, RequestRefusedError, steady_seconds
from jujubeslip.quarantine import Crash
from jujubeslip.routes import RouteKind
from jujubeslip.tracing import Line, cause_of
from tests.fakes.processes import wait_until
from tests.fakes.scripted_endpoints import (
    BODY,
    Script,
    ScriptedConnection,
    ScriptedSystem,
)

NUMBERS = itertools.count()
OPTIONS = SecondSendOptions(share=1.0, percentile=95.0, floor_seconds=0.03)
# How long an endpoint may work for a send that was given up, in seconds.
GIVEN_UP_SECONDS = 0.5
WARM_UP = 12


class Host:
    """A path to scripted endpoints, of which each test makes the first one slow."""

    def __init__(self, options: SecondSendOptions = OPTIONS) -> None:
        self.system = ScriptedSystem("a", "b", "c")
        self.is_near_limit = False
        self.path = PlainPath(
            self.system.sender,
            SecondSends(self.system.sender, options, lambda _: self.is_near_limit),
        )
        self.attempts = Attempts()
        for _ in range(WARM_UP):
            self.ask()
        self.system.pool.sends.clear()
        self.context: ForwardContext | None = None

    def set_scripts(self, first: Script, second: Script) -> None:
        """Set how the first endpoint of the next request answers, and all others."""
        self._scripts = (first, second)
        pool = self.system.pool

        def choose(*arguments: Any) -> Any:
            endpoint = choose_endpoint(*arguments)
            is_first = not pool.sends
            if endpoint is not None:
                script = first if is_first else second
                pool.script_by_endpoint[endpoint.start_id] = script
            return endpoint

        choose_endpoint = self.system.sender.chooser.choose
        self.system.sender.chooser.choose = choose  # type: ignore[method-assign,assignment]

    def ask(self, **fields: Any) -> WholeAnswer:
        """Send a request and return its answer."""
        self.context = self.system.context(f"r-{next(NUMBERS)}", **fields)
        self.attempts = Attempts()
        return self.path.answer(self.context, self.attempts)

    @property
    def sends(self) -> list[ScriptedConnection]:
        """Return the sends of the latest request."""
        assert self.context is not None
        return self.system.pool.sends_of(self.context.request.request_id)

    def assert_given_up(self, *sends: ScriptedConnection) -> None:
        """Check that the connections are closed in time, and not kept."""
        began = time.monotonic()
        wait_until(lambda: all(item.closed_at for item in sends), "sends given up")
        assert time.monotonic() - began < GIVEN_UP_SECONDS
        assert not any(item.is_kept for item in sends)


@pytest.fixture
def host() -> Host:
    return Host()


@pytest.fixture
def thread_starts(monkeypatch: pytest.MonkeyPatch) -> list[threading.Thread]:
    """Return a list of the threads that the test's own thread starts from now on.

    Threads of earlier tests may end at any time, with the objects that own them.
    """
    started: list[threading.Thread] = []
    test_thread = threading.current_thread()
    start = threading.Thread.start

    def record(thread: threading.Thread) -> None:
        if threading.current_thread() is test_thread:
            started.append(thread)
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", record)
    return started


def slow(seconds: float = 5.0, **fields: Any) -> Script:
    return Script(seconds, **fields)


class TestSlowRequest:
    def test_is_answered_by_the_second_endpoint(self, host: Host) -> None:
        host.set_scripts(slow(), Script())
        answer = host.ask()
        first, second = host.sends
        assert answer.body == BODY + second.start_id.encode()
        assert first.start_id != second.start_id
        host.assert_given_up(first)
        assert second.is_kept

    def test_is_answered_by_the_first_endpoint_if_that_is_sooner(
        self, host: Host
    ) -> None:
        host.set_scripts(slow(0.1), slow())
        answer = host.ask()
        first, second = host.sends
        assert answer.body == BODY + first.start_id.encode()
        host.assert_given_up(second)
        assert first.is_kept

    def test_is_forwarded_identically_with_the_time_that_is_left(
        self, host: Host
    ) -> None:
        host.set_scripts(slow(), Script())
        host.ask(timeout_ms=1000)
        first, second = (dict(item.headers) for item in host.sends)
        remaining = [int(item.pop("Deadline-Ms")) for item in (first, second)]
        assert first.pop("Expect-Instance") != second.pop("Expect-Instance")
        assert first == second
        assert 900 < remaining[0] <= 1000
        assert remaining[1] <= remaining[0] - OPTIONS.floor_seconds * 1000

    def test_is_sent_twice_at_most(self, host: Host) -> None:
        host.set_scripts(slow(), slow())
        with pytest.raises(RequestRefusedError):
            host.ask(maximum_attempts=4, timeout_ms=400, target_ms=300)
        assert len(host.sends) == 2

    def test_leaves_its_steps_in_the_log(self, host: Host) -> None:
        host.set_scripts(slow(), Script())
        host.ask()
        steps = [step.split(": ", 1)[1] for step in host.attempts.steps]
        assert steps == ["second send", "200", "given up"]

    def test_quick_request_is_sent_once(self, host: Host) -> None:
        host.ask()
        assert len(host.sends) == 1


class TestRequestThatMustNotRunTwice:
    """Guards against a second run of what may run once."""

    @pytest.mark.parametrize(
        "fields", [{"kind": RouteKind.UNSAFE}, {"maximum_attempts": 1}]
    )
    def test_is_sent_once(self, host: Host, fields: dict[str, Any]) -> None:
        host.set_scripts(slow(0.3), Script())
        host.ask(**fields)
        assert len(host.sends) == 1

    def test_run_of_an_earlier_endpoint_counts(self, host: Host) -> None:
        host.set_scripts(Script(status=500), slow(0.3))
        host.ask(maximum_attempts=2)
        assert len(host.sends) == 2


class TestBothAnswers:
    """Guards against an answer that is mixed from two, or reaches another request."""

    def test_that_come_at_once_are_delivered_as_one(self, host: Host) -> None:
        answers = threading.Event()
        host.set_scripts(Script(answers=answers), Script(answers=answers))
        threading.Timer(0.2, answers.set).start()
        answer = host.ask()
        bodies = {BODY + item.start_id.encode() for item in host.sends}
        assert len(bodies) == 2 and answer.body in bodies
        stamps = [value for name, value in answer.headers if name == "Server-Stamp"]
        assert len(stamps) == 1
        assert answer.body.endswith(stamps[0].partition(".")[0].encode())

    def test_late_answer_of_the_other_reaches_no_later_request(
        self, host: Host
    ) -> None:
        host.set_scripts(slow(0.6), Script())
        host.ask()
        first = host.sends[0]
        host.assert_given_up(first)
        for _ in range(9):
            answer = host.ask(maximum_attempts=1)
            (used,) = host.sends
            assert used is not first
            assert answer.body == BODY + used.start_id.encode()

    def test_answer_within_the_grace_time_keeps_the_connection(
        self, host: Host
    ) -> None:
        """Closing it would cost a new connection."""
        answers = threading.Event()
        host.set_scripts(Script(answers=answers), Script())
        host.ask()
        answers.set()
        first = host.sends[0]
        wait_until(lambda: first.is_kept, "connection kept")
        assert first.closed_at is None


class TestFailureOfOne:
    @pytest.mark.parametrize(
        "failure", [Script(status=500), Script(error=AnswerCutError("cut"))]
    )
    def test_waits_for_the_first_if_the_second_fails(
        self, host: Host, failure: Script
    ) -> None:
        host.set_scripts(slow(0.3), failure)
        answer = host.ask()
        first, _ = host.sends
        assert (answer.status, answer.body) == (200, BODY + first.start_id.encode())

    @pytest.mark.parametrize(
        "fields", [{"status": 500}, {"error": AnswerCutError("cut")}]
    )
    def test_waits_for_the_second_if_the_first_fails(
        self, host: Host, fields: dict[str, Any]
    ) -> None:
        host.set_scripts(slow(0.1, **fields), slow(0.3))
        answer = host.ask()
        _, second = host.sends
        assert (answer.status, answer.body) == (200, BODY + second.start_id.encode())

    def test_refusal_by_the_second_leaves_the_first(self, host: Host) -> None:
        refusal = Script(status=503, headers={"Not-Run": "1"})
        host.set_scripts(slow(0.3), refusal)
        assert host.ask().status == 200


class TestFailureOfBoth:
    def test_answers_of_500_are_forwarded(self, host: Host) -> None:
        host.set_scripts(slow(0.1, status=500), slow(0.1, status=502))
        answer = host.ask()
        assert answer.status in (500, 502)
        assert len(host.sends) == 2

    def test_lost_answers_end_as_without_a_second_send(self, host: Host) -> None:
        lost = AnswerCutError("cut")
        host.set_scripts(slow(0.1, error=lost), slow(0.1, error=lost))
        with pytest.raises(RequestRefusedError) as raised:
            host.ask()
        assert raised.value.error_id == "answer_lost"
        assert host.attempts.runs == len(host.sends) == 2

    def test_silence_ends_at_the_timeout(self, host: Host) -> None:
        host.set_scripts(slow(), slow())
        with pytest.raises(RequestRefusedError) as raised:
            host.ask(timeout_ms=400, target_ms=300)
        assert raised.value.error_id == "no_answer_in_time"
        host.assert_given_up(*host.sends)


class TestClientThatLeavesBetweenBothSends:
    """Guards against endpoints that work on for a client that has left."""

    def test_both_are_given_up(self, host: Host) -> None:
        host.set_scripts(slow(), slow())
        left = threading.Event()
        threading.Timer(0.3, left.set).start()
        with pytest.raises(ClientDisconnectedError):
            host.ask(client_disconnected=left.is_set)
        assert len(host.sends) == 2
        host.assert_given_up(*host.sends)
        # All places and threads are free for the next requests.
        wait_until(
            lambda: not any(map(host.system.health.open_requests, "abc")), "no open"
        )


class TestLinksLostBetweenBothSends:
    def test_ends_as_without_a_second_send(self, host: Host) -> None:
        lost = EndpointsOutOfReachError("lost")
        host.set_scripts(slow(0.1, error=AnswerCutError("cut")), Script(error=lost))
        with pytest.raises(RequestRefusedError) as raised:
            host.ask()
        assert raised.value.error_id == "answer_lost"
        assert host.attempts.runs == 1


def hold_back(host: Host, **fields: Any) -> str:
    """Return the reason why a slow request was not sent a second time."""
    host.set_scripts(slow(0.2), Script())
    host.ask(**fields)
    assert len(host.sends) == 1
    (step,) = [item for item in host.attempts.steps if "kept back" in item]
    return step.rpartition(", ")[2]


def refuse_once(host: Host) -> None:
    host.set_scripts(Script(error=EndpointRefusedError(503, "full", False)), Script())
    host.ask()
    host.system.pool.sends.clear()


def crash(host: Host) -> None:
    content = host.system.context("same").fingerprint
    now = steady_seconds()
    host.system.crash_registry.record_crashes([content], Crash("x", now, now))


def revoked() -> None:
    """Refuse the request's key."""
    raise RequestRefusedError("client_unknown", "The key was revoked.")


class TestKeptBack:
    """Guards against second sends that make other callers wait, or break a limit."""

    def test_after_a_refusal(self, host: Host) -> None:
        refuse_once(host)
        assert hold_back(host) == "no_room"

    def test_while_an_endpoint_is_in_backoff(self, host: Host) -> None:
        host.system.limits.notices.record_hold("c", 5.0)
        assert hold_back(host) == "no_room"

    def test_for_an_account_near_its_limit(
        self, host: Host, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(ForwardContext, "cost", 1.0)
        host.is_near_limit = True
        assert hold_back(host) == "account"

    def test_for_a_key_that_was_revoked(self, host: Host) -> None:
        checks = iter([lambda: None, revoked])
        assert hold_back(host, check_account=lambda: next(checks)()) == "account"

    def test_for_content_that_crashed_an_endpoint(self, host: Host) -> None:
        crash(host)
        assert hold_back(host) == "quarantine"

    def test_while_the_links_are_lost(
        self, host: Host, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(host.system.reach, "_is_lost", True)
        assert hold_back(host) == "links"

    def test_if_it_would_be_late(
        self, host: Host, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(host.system.budgets, "has_retry_left", lambda _: False)
        assert hold_back(host, target_ms=30) == "too_late"

    def test_without_another_healthy_endpoint(self, host: Host) -> None:
        for start_id in "abc":
            host.system.health.note_unreachable(start_id)
        assert hold_back(host) == "no_endpoint"

    def test_beyond_the_share(self) -> None:
        host = Host(SecondSendOptions(0.01, 95.0, 0.03))
        assert hold_back(host) == "share"

    def test_while_all_threads_are_used(self, host: Host) -> None:
        races = host.path._second_sends._races  # type: ignore[union-attr]
        while races.try_enter():
            pass
        assert hold_back(host) == "threads"

    def test_with_few_known_answers(self, host: Host) -> None:
        host.path._second_sends._times.keep_routes(())  # type: ignore[union-attr]
        host.set_scripts(slow(0.2), Script())
        host.ask()
        assert len(host.sends) == 1


class TestWithoutTheSetting:
    """Guards against a feature that changes hosts which don't use it."""

    def test_slow_request_is_sent_once_and_no_thread_starts(
        self, thread_starts: list[threading.Thread]
    ) -> None:
        system = ScriptedSystem("a", "b")
        for script in system.pool.script_by_endpoint.values():
            script.seconds = 0.3
        attempts = Attempts()
        answer = PlainPath(system.sender).answer(system.context("r"), attempts)
        assert answer.status == 200
        assert (attempts.sends, attempts.has_second_send) == (1, False)
        assert thread_starts == []
        assert not any("second" in step for step in attempts.steps)


class TestThreads:
    """Guards against a record of started threads that always stays empty."""

    def test_of_second_sends_are_started_for_a_slow_request(
        self, host: Host, thread_starts: list[threading.Thread]
    ) -> None:
        host.set_scripts(slow(), Script())
        host.ask()
        assert len(thread_starts) == 2


class TestLeader:
    """Guards against second sends that need a leader, which may be lost meanwhile."""

    def test_is_not_asked(self, host: Host, monkeypatch: pytest.MonkeyPatch) -> None:
        def call(*_: object) -> None:
            raise AssertionError("the leader is asked")

        monkeypatch.setattr(LeaderContact, "call", call)
        host.set_scripts(slow(), Script())
        assert host.ask().status == 200
        assert len(host.sends) == 2


class TestTrace:
    @pytest.mark.parametrize("is_first", [True, False])
    def test_names_the_second_send_and_who_answered(
        self, host: Host, caplog: pytest.LogCaptureFixture, is_first: bool
    ) -> None:
        caplog.set_level("INFO")
        host.set_scripts(slow(0.15 if is_first else 5.0), slow(5.0 if is_first else 0))
        host.ask()
        messages = ("request sent a second time", "second send ended")
        lines = [
            Line("", "entry", record.message, vars(record))
            for record in caplog.records
            if record.message in messages
        ]
        end = {"outcome": "200", "ran": "yes", "sends": host.attempts.steps}
        cause = cause_of([*lines, Line("", "entry", "request ended", end)])
        first, second = (item.start_id for item in host.sends)
        assert f"answer from {first}, to {second}" in cause
        assert f"the {'first' if is_first else 'second'} send was answered" in cause


class TestCancelledSend:
    """Guards against requests that reach an endpoint after they were given up."""

    def test_is_not_sent_once_its_connection_opens(self) -> None:
        system = ScriptedSystem("a")
        (endpoint,) = system.registry.endpoints()
        send = _whole_send.WholeSend(
            system.sender, system.context("r"), endpoint, Deadline.after(1)
        )
        send.cancel(0.0)
        with pytest.raises(ClientDisconnectedError):
            send.run()
        assert not system.pool.sends
        assert system.health.open_requests("a") == 0


class TestWaitForAnswer:
    """Guards against a wait for a second send that goes on beyond the deadline."""

    def test_ends_at_the_deadline_of_the_send(self) -> None:
        system = ScriptedSystem("a")
        system.pool.script_by_endpoint["a"] = slow()
        (endpoint,) = system.registry.endpoints()
        send = _whole_send.WholeSend(
            system.sender, system.context("r"), endpoint, Deadline.after(0.1)
        )
        assert send.begin() is None
        began = time.monotonic()
        assert not send.wait_for_answer(Deadline.after(3.0))
        assert time.monotonic() - began < 1.0
        send.close()
        assert system.health.open_requests("a") == 0
