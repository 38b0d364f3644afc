"""What the checks of the soak find, each on a record with one promise broken."""

from __future__ import annotations

import math
import time
from collections.abc import Iterator
from dataclasses import replace

import pytest

from soak import _checks
from soak._checks import Check, find_violations
from soak._endpoints import STREAM_EVENTS
from soak._hold_checks import check_backoff, check_leaving
from soak._observations import (
    ClientCall,
    ConfigurationPut,
    ConfigurationRead,
    Departure,
    Disturbance,
    EndpointArrival,
    EndpointEnd,
    Kind,
    NamedLimit,
    Observations,
    Outcome,
    ProcessEnd,
    Run,
)
from soak._system import RETRY_ALLOWANCE

ANSWER = b"the whole answer"
EVENTS = b"".join(
    b"id: %d\ndata: token-%d\n\n" % (number, number)
    for number in range(1, STREAM_EVENTS + 1)
)
LONG_AGO = 100.0


@pytest.fixture
def seen() -> Iterator[Observations]:
    """Return a record in which every promise was kept."""
    record = Observations(started_at=0.0)
    record.answer_by_endpoint = {"plain-0-1": ANSWER}
    record.put_by_version[1] = ConfigurationPut(1, "one", 50.0)
    record.put_by_version[2] = ConfigurationPut(2, "two", 60.0)
    record.runs.append(run("safe-1"))
    record.calls.append(call("safe-1", Kind.SAFE))
    assert find_violations(record) == []
    yield record


def call(request_id: str, kind: Kind, **fields: object) -> ClientCall:
    found = ClientCall(
        *(request_id, kind, "entry-0", 1, LONG_AGO, LONG_AGO + 1, Outcome.ANSWERED),
        *(200, request_id, f"plain-0-1.{request_id}", ANSWER),
        connected_at=LONG_AGO,
    )
    return replace(found, **fields)  # type: ignore[arg-type]


def run(request_id: str, at: float = LONG_AGO + 0.5, resumed: bool = False) -> Run:
    return Run(request_id, "plain-0-1", "plain-0", "plain", at, resumed)


def promises(check: Check, record: Observations) -> list[str]:
    return [violation.promise for violation in check(record)]


class TestRuns:
    @pytest.mark.parametrize("kind", [Kind.UNSAFE, Kind.STREAM])
    def test_one_that_ran_twice(self, seen: Observations, kind: Kind) -> None:
        seen.runs += [run(f"{kind.value}-1"), run(f"{kind.value}-1", LONG_AGO + 2)]
        assert promises(_checks.check_runs, seen) == ["at most once"]

    def test_repeatable_one_that_ran_too_often(self, seen: Observations) -> None:
        seen.runs += [run("safe-2")] * 2
        assert promises(_checks.check_runs, seen) == []
        seen.runs.append(run("safe-2"))
        assert promises(_checks.check_runs, seen) == ["attempts of a request"]

    @pytest.mark.parametrize(("request_id", "intact"), [("", True), ("safe-2", False)])
    def test_one_that_no_client_sent(
        self, seen: Observations, request_id: str, intact: bool
    ) -> None:
        seen.runs.append(replace(run(request_id), intact=intact))
        assert promises(_checks.check_runs, seen) == ["nothing that was not asked"]


class TestRefusals:
    """A client sends its request again since it was told that it has not run."""

    @pytest.mark.parametrize("status", [503, 429, 421, 408])
    def test_request_that_ran_all_the_same(
        self, seen: Observations, status: int
    ) -> None:
        seen.calls.append(call("unsafe-1", Kind.UNSAFE, status=status))
        assert promises(_checks.check_refusals, seen) == []
        seen.runs.append(run("unsafe-1", LONG_AGO + 30))
        assert promises(_checks.check_refusals, seen) == ["true refusals"]


class TestAnswers:
    @pytest.mark.parametrize(
        "fields",
        [
            {"body": ANSWER[:-1]},
            {"echoed_id": "safe-1"},
            {"stamp": "plain-0-2.safe-2"},
            {"status": 404},
        ],
    )
    def test_another_answer(
        self, seen: Observations, fields: dict[str, object]
    ) -> None:
        seen.runs.append(run("safe-2"))
        seen.calls.append(call("safe-2", Kind.SAFE, **fields))
        assert promises(_checks.check_answers, seen) == ["whole answers in order"]

    @pytest.mark.parametrize(
        "body",
        [
            EVENTS.replace(b"id: 3\ndata: token-3\n\n", b""),
            EVENTS.replace(b"id: 3\n", b"id: 2\n"),
            EVENTS + b"id: 1\ndata: token-1\n\n",
            EVENTS[:-30],
            EVENTS + b"id: 9",
        ],
    )
    def test_events_that_are_not_the_stream(
        self, seen: Observations, body: bytes
    ) -> None:
        seen.runs.append(run("stream-1"))
        seen.calls.append(call("stream-1", Kind.STREAM, body=body))
        assert promises(_checks.check_answers, seen) == ["whole answers in order"]

    def test_stream_that_breaks_off_in_an_event(self, seen: Observations) -> None:
        seen.runs.append(run("stream-1"))
        cut = call("stream-1", Kind.STREAM, body=EVENTS[:50], outcome=Outcome.CUT)
        seen.calls.append(cut)
        assert promises(_checks.check_answers, seen) == []


class TestLosses:
    def lose(self, seen: Observations) -> None:
        seen.runs.append(run("unsafe-1"))
        seen.calls.append(call("unsafe-1", Kind.UNSAFE, outcome=Outcome.CUT))

    def test_request_that_ran_and_is_not_answered(self, seen: Observations) -> None:
        self.lose(seen)
        assert promises(_checks.check_losses, seen) == ["requests that are lost"]

    def test_silence_without_a_run(self, seen: Observations) -> None:
        seen.calls.append(call("safe-9", Kind.SAFE, outcome=Outcome.SILENT))
        assert promises(_checks.check_losses, seen) == ["requests that are lost"]

    @pytest.mark.parametrize(
        "target", ["entry-0", "client>entry-0", "plain-0", "entry>plain-0"]
    )
    def test_fault_that_explains_it(self, seen: Observations, target: str) -> None:
        self.lose(seen)
        fault = Disturbance(target, "a fault", False, LONG_AGO, LONG_AGO + 0.1)
        seen.disturbances.append(fault)
        assert promises(_checks.check_losses, seen) == []

    @pytest.mark.parametrize("target", ["entry-1", "client>entry-1", "plain-1"])
    def test_fault_elsewhere_does_not(self, seen: Observations, target: str) -> None:
        self.lose(seen)
        fault = Disturbance(target, "a fault", False, LONG_AGO, LONG_AGO + 0.1)
        seen.disturbances.append(fault)
        assert promises(_checks.check_losses, seen) == ["requests that are lost"]

    def test_planned_stop_does_not(self, seen: Observations) -> None:
        """A host is told to stop and ends in the middle of an answer."""
        self.lose(seen)
        stop = Disturbance("entry-0", "a stop", True, LONG_AGO - 1, LONG_AGO + 3)
        seen.disturbances.append(stop)
        seen.ends.append(ProcessEnd("entry-0", LONG_AGO - 1, LONG_AGO + 1, 0))
        assert promises(_checks.check_losses, seen) == ["requests that are lost"]


class TestDepartures:
    def leave(self, seen: Observations, late_by: float) -> None:
        left = Departure("plain-0-1", "plain-0", "control-1", "DELETE", LONG_AGO)
        seen.departures.append(left)
        started_at = LONG_AGO + _checks.LEAVE_SECONDS + late_by
        seen.runs.append(run("safe-2", started_at))
        seen.calls.append(call("safe-2", Kind.SAFE))

    def test_request_within_the_bound(self, seen: Observations) -> None:
        self.leave(seen, -0.1)
        assert promises(_checks.check_departures, seen) == []

    def test_request_after_the_bound(self, seen: Observations) -> None:
        self.leave(seen, 0.1)
        assert promises(_checks.check_departures, seen) == ["nothing after leaving"]

    @pytest.mark.parametrize(
        ("target", "ended_at", "expected"),
        [
            ("entry-0", LONG_AGO - 2, ["nothing after leaving"]),
            ("entry-0", LONG_AGO, []),
            ("entry>plain-0", LONG_AGO - 0.1, ["nothing after leaving"]),
            ("entry>plain-0", LONG_AGO + 0.1, []),
        ],
    )
    def test_fault_counts_only_where_it_explains_the_request(
        self, seen: Observations, target: str, ended_at: float, expected: list[str]
    ) -> None:
        self.leave(seen, 0.1)
        fault = Disturbance(target, "a fault", False, ended_at - 1, ended_at)
        seen.disturbances.append(fault)
        assert promises(_checks.check_departures, seen) == expected

    def test_machine_that_stalls_stretches_it(self, seen: Observations) -> None:
        self.leave(seen, 0.1)
        seen.stalls.append((LONG_AGO, 0.1))
        assert promises(_checks.check_departures, seen) == []


class TestConfigurations:
    def read(self, seen: Observations, version: int, content: str) -> None:
        found = ConfigurationRead("control-1", 70.0, 70.1, version, content)
        seen.reads.append(found)

    def test_newest(self, seen: Observations) -> None:
        self.read(seen, 2, "two")
        assert promises(_checks.check_configurations, seen) == []

    def test_older_than_what_was_acknowledged(self, seen: Observations) -> None:
        self.read(seen, 1, "one")
        expected = ["configuration never goes back"]
        assert promises(_checks.check_configurations, seen) == expected

    def test_older_than_what_was_read(self, seen: Observations) -> None:
        seen.put_by_version[3] = ConfigurationPut(3, "three", math.inf)
        seen.reads.append(ConfigurationRead("control-0", 61.0, 61.1, 3, "three"))
        self.read(seen, 2, "two")
        expected = ["configuration never goes back"]
        assert promises(_checks.check_configurations, seen) == expected

    def test_other_content_for_the_version(self, seen: Observations) -> None:
        self.read(seen, 2, "too")
        expected = ["one content for each version"]
        assert promises(_checks.check_configurations, seen) == expected


class TestRoutes:
    def probe(self, seen: Observations, status: int, at: float) -> None:
        fields = {"status": status, "sent_at": at, "ended_at": at + 0.1, "version": 2}
        seen.calls.append(call(f"probe-{at}", Kind.PROBE, **fields))

    def test_route_that_is_denied_though_it_was_served(
        self, seen: Observations
    ) -> None:
        self.probe(seen, 200, 61.0)
        self.probe(seen, 404, 62.0)
        expected = ["configuration never goes back"]
        assert promises(_checks.check_routes, seen) == expected

    def test_route_that_is_denied_for_too_long(self, seen: Observations) -> None:
        self.probe(seen, 404, 61.0)
        assert promises(_checks.check_routes, seen) == []
        self.probe(seen, 404, 60.1 + _checks.APPLY_SECONDS)
        assert promises(_checks.check_routes, seen) == ["configuration in force"]


class TestBudget:
    def test_further_runs_beyond_the_allowance(self, seen: Observations) -> None:
        for number in range(RETRY_ALLOWANCE + 1):
            at = LONG_AGO + number / 100
            seen.runs += [run(f"safe-{number + 10}", at)] * 2
        assert promises(_checks.check_budget, seen) == ["retry budget"]

    def test_further_runs_within_it(self, seen: Observations) -> None:
        for number in range(RETRY_ALLOWANCE):
            seen.runs += [run(f"safe-{number + 10}", LONG_AGO + number / 100)] * 2
        assert promises(_checks.check_budget, seen) == []


class TestCallersThatAreGone:
    def leave(self, seen: Observations) -> None:
        left_at = time.monotonic() - 2 * _checks.GONE_SECONDS
        seen.runs.append(run("stream-1", left_at - 0.1))
        times = {"sent_at": left_at - 0.2, "ended_at": left_at}
        fields = {"outcome": Outcome.LEFT, "body": EVENTS[:50], **times}
        seen.calls.append(call("stream-1", Kind.STREAM, **fields))

    def test_endpoint_that_is_never_told(self, seen: Observations) -> None:
        self.leave(seen)
        assert promises(_checks.check_gone, seen) == ["callers that are gone"]

    def test_endpoint_that_is_told(self, seen: Observations) -> None:
        self.leave(seen)
        seen.gone_by_request_id["stream-1"] = LONG_AGO + 1.2
        assert promises(_checks.check_gone, seen) == []

    @pytest.mark.parametrize(("after_seconds", "excuses"), [(0.07, True), (0.6, False)])
    def test_endpoint_that_ends_soon_need_not_be_told(
        self, seen: Observations, after_seconds: float, excuses: bool
    ) -> None:
        self.leave(seen)
        ended_at = seen.calls[-1].ended_at + after_seconds
        end = Disturbance("plain-0", "a crash", False, ended_at, ended_at + 1)
        seen.disturbances = [end]
        assert (promises(_checks.check_gone, seen) == []) is excuses


class TestEnds:
    @pytest.mark.parametrize(
        ("end", "expected"),
        [
            (ProcessEnd("entry-0", LONG_AGO, LONG_AGO + 5, 0), []),
            (ProcessEnd("entry-0", LONG_AGO, LONG_AGO + 5, 1), ["planned stops"]),
            (ProcessEnd("entry-0", LONG_AGO, LONG_AGO + 30, 0), ["planned stops"]),
            (ProcessEnd("entry-0", LONG_AGO, LONG_AGO + 40, None), ["planned stops"]),
            (ProcessEnd("entry-0", None, LONG_AGO, -11), ["processes that go on"]),
        ],
    )
    def test_end(
        self, seen: Observations, end: ProcessEnd, expected: list[str]
    ) -> None:
        seen.ends.append(end)
        assert promises(_checks.check_ends, seen) == expected


class TestRecovery:
    def test_what_did_not_come_back(self, seen: Observations) -> None:
        seen.unrecovered.append("entry-0 serves stream")
        assert promises(_checks.check_recovery, seen) == ["recovery"]


class TestContentsThatEndEndpoints:
    def test_one_that_goes_on_reaching_them(self, seen: Observations) -> None:
        seen.endpoint_ends = [EndpointEnd("unsafe", at) for at in (70.0, 71.0, 72.0)]
        for number in range(4):
            name = f"unsafe-fatal-{number}"
            seen.calls.append(call(name, Kind.UNSAFE, status=502))
            assert promises(_checks.check_fatal_contents, seen) == []
            seen.runs.append(run(name))
        assert promises(_checks.check_fatal_contents, seen) == [
            "contents that end endpoints"
        ]

    def test_harmless_one_that_is_held_back(self, seen: Observations) -> None:
        refusal = b'{"error": "request_quarantined"}'
        seen.calls.append(call("safe-7", Kind.SAFE, status=503, body=refusal))
        assert promises(_checks.check_fatal_contents, seen) == ["harmless contents"]


class TestHolds:
    """Endpoints that asked for backoff, or said that they leave, and got requests."""

    def arrive(self, seen: Observations, *told: EndpointArrival, count: int) -> None:
        """Let an endpoint say something, and get requests after that."""
        later = [
            replace(told[0], request_id=f"safe-{number}", at=told[0].at + 2.5)
            for number in range(10, 10 + count)
        ]
        seen.arrivals = [*told, *(replace(item, backoff_seconds=0.0) for item in later)]
        for item in seen.arrivals:
            seen.calls.append(call(item.request_id, Kind.SAFE, sent_at=item.at))

    def told(self, backoff: float = 0.0, leaving: bool = False) -> EndpointArrival:
        return EndpointArrival(
            "safe-9", "plain-0-1", "plain-0", LONG_AGO, backoff, leaving
        )

    @pytest.mark.parametrize(
        ("backoff", "count", "found"), [(3.0, 3, 1), (3.0, 2, 0), (2.4, 9, 0)]
    )
    def test_requests_within_a_backoff(
        self, seen: Observations, backoff: float, count: int, found: int
    ) -> None:
        self.arrive(seen, self.told(backoff=backoff), count=count)
        assert promises(check_backoff, seen) == ["backoff of endpoints"] * found

    def test_requests_after_it_said_that_it_leaves(self, seen: Observations) -> None:
        self.arrive(seen, self.told(leaving=True), count=0)
        assert promises(check_leaving, seen) == []
        self.arrive(seen, self.told(leaving=True), count=1)
        assert promises(check_leaving, seen) == ["nothing after it said that it leaves"]

    @pytest.mark.parametrize("target", ["entry-0", "entry>plain-0"])
    def test_host_that_was_disturbed(self, seen: Observations, target: str) -> None:
        self.arrive(seen, self.told(3.0, True), count=3)
        seen.disturbances = [Disturbance(target, "", False, LONG_AGO, LONG_AGO + 1)]
        assert promises(check_backoff, seen) == []
        assert promises(check_leaving, seen) == []


class TestLimits:
    def test_endpoint_that_gets_more_than_it_said(self, seen: Observations) -> None:
        seen.limits = [NamedLimit("plain-0-1", 2.0, LONG_AGO - 10)]
        seen.runs.append(run("safe-1", LONG_AGO - 9))
        for _ in range(17):
            assert promises(_checks.check_limits, seen) == []
            seen.runs.append(run("safe-1"))
        assert promises(_checks.check_limits, seen) == ["limits of endpoints"]
