"""Which endpoints a request is sent to after several that can't be connected to."""

from __future__ import annotations

from contextlib import ExitStack
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.endpoints import (
    CONNECT_SECONDS,
    AnswerCutError,
    EndpointError,
    EndpointOnHoldError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from jujubeslip.forwarding._grants import Grant
from jujubeslip.forwarding._models import (
    Answer,
    Attempts,
    ForwardContext,
    StreamedAnswer,
    WholeAnswer,
)
from jujubeslip.forwarding._plain_path import PlainPath
from jujubeslip.forwarding._prefill import Prefiller
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._sender import MAXIMUM_SENDS
from jujubeslip.forwarding._stream_path import StreamPath
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.peers import EndpointRole
from jujubeslip.routes import RouteKind
from tests.fakes.scripted_endpoints import BODY, SERVICE, Script, ScriptedSystem

REFUSED = EndpointUnreachableError("connection refused")
TIMED_OUT = EndpointUnreachableError("timed out")
FULL = EndpointRefusedError(503, "full", False)
CUT = AnswerCutError("closed without answer")
ENDED = [f"ended-{number}" for number in range(MAXIMUM_SENDS + 1)]
EVENT = b"id: 1\ndata: x\n\n"


def system_of(
    script: Script, *others: str, role: EndpointRole = EndpointRole.PLAIN
) -> ScriptedSystem:
    """Return endpoints of which those in ENDED have the script."""
    system = ScriptedSystem(*ENDED, *others, role=role)
    system.pool.script_by_endpoint |= dict.fromkeys(ENDED, script)
    return system


def ask(
    system: ScriptedSystem, attempts: Attempts | None = None, **fields: int
) -> WholeAnswer:
    """Return the answer to a request; `fields` change its route."""
    path = PlainPath(system.sender)
    return path.answer(system.context("r-1", **fields), attempts or Attempts())


def start_stream(system: ScriptedSystem) -> Answer:
    """Return the answer to a stream; the leader grants one engine after another."""
    sender = system.sender

    def find(context: ForwardContext, attempts: Attempts, _: bool) -> Grant:
        endpoint = sender.choose(context, EndpointRole.DECODE, attempts.tried)
        assert endpoint is not None, "the request waits for capacity"
        return Grant(endpoint)

    grants: Any = SimpleNamespace(find=find)
    path = StreamPath(sender, Prefiller(sender, False, Pressures()), grants)
    return path.answer(system.context("r-1", kind=RouteKind.STREAM), Attempts())


class TestRequestAfterSeveralRefusedConnections:
    """Guards against refusals while another endpoint would have run the request.

    One host's requests end endpoint after endpoint. Another host, which has not yet
    heard of it, tries one ended endpoint after the other and gives up after four, and
    the client gets 503 although most of the others are well.
    """

    @pytest.mark.parametrize(
        "script",
        [
            Script(connect_error=REFUSED),
            Script(connect_error=EndpointOnHoldError("address")),
            Script(error=REFUSED),
        ],
        ids=["refused", "on_hold", "refused_at_a_relay"],
    )
    def test_is_sent_to_the_endpoint_that_works(self, script: Script) -> None:
        system, attempts = system_of(script, "works"), Attempts()
        with system.health.track_request("works"):
            answer = ask(system, attempts)
        assert answer.body == BODY + b"works"
        assert len(system.pool.connects) == len(set(system.pool.connects))
        assert attempts.sends == len(ENDED) + 1
        assert not attempts.may_have_run

    def test_stream_is_sent_to_the_engine_that_works(self) -> None:
        script = Script(connect_error=REFUSED)
        system = system_of(script, "works", role=EndpointRole.DECODE)
        system.pool.script_by_endpoint["works"] = Script(body=EVENT)
        with system.health.track_request("works"):
            answer = start_stream(system)
        assert isinstance(answer, StreamedAnswer)
        assert list(answer.events) == [EVENT]


class TestPoolThatRefusesAllConnections:
    """Guards against requests that try a large pool of ended endpoints again and again.

    All endpoints end at once. The first request finds each of them ended, and the
    following ones would do so, too, with thousands of connections a second.
    """

    def test_each_endpoint_is_tried_once_and_then_few(self) -> None:
        more = [f"more-{number}" for number in range(50)]
        system = system_of(Script(connect_error=REFUSED), *more)
        system.pool.script_by_endpoint |= dict.fromkeys(
            more, Script(connect_error=REFUSED)
        )
        for expected in (len(ENDED) + len(more), MAXIMUM_SENDS):
            system.pool.connects.clear()
            with pytest.raises(RequestRefusedError) as raised:
                ask(system)
            assert raised.value.error_id == "endpoints_refused"
            assert raised.value.ran is Ran.NO
            assert len(system.pool.connects) == expected
            assert len(set(system.pool.connects)) == expected

    def test_stream_does_not_wait_for_their_capacity(self) -> None:
        system = system_of(Script(connect_error=REFUSED), role=EndpointRole.DECODE)
        with pytest.raises(RequestRefusedError) as raised:
            start_stream(system)
        assert raised.value.error_id == "endpoints_refused"
        assert sorted(system.pool.connects) == ENDED


class TestSilentEndpoints:
    """Guards against requests that wait for one silent endpoint after another."""

    def test_are_tried_no_more_often_than_the_maximum(self) -> None:
        script = Script(connect_seconds=CONNECT_SECONDS, connect_error=TIMED_OUT)
        system = system_of(script)
        with pytest.raises(RequestRefusedError):
            ask(system, timeout_ms=10_000)
        assert len(system.pool.connects) == MAXIMUM_SENDS


class TestEndpointsThatAreReached:
    """Guards against more runs, or more load, because unsent tries don't count."""

    @pytest.mark.parametrize(
        ("error", "attempts", "expected"),
        [(FULL, 9, MAXIMUM_SENDS), (CUT, 2, 2), (CUT, 9, MAXIMUM_SENDS)],
        ids=["full", "crash", "crash_with_many_attempts"],
    )
    def test_count_as_before(
        self, error: EndpointError, attempts: int, expected: int
    ) -> None:
        reached = [f"reached-{number}" for number in range(MAXIMUM_SENDS + 2)]
        system = system_of(Script(connect_error=REFUSED), *reached)
        system.pool.script_by_endpoint |= dict.fromkeys(reached, Script(error=error))
        with ExitStack() as stack:
            for name in reached:
                stack.enter_context(system.health.track_request(name))
            with pytest.raises(RequestRefusedError):
                ask(system, maximum_attempts=attempts)
        assert len(system.pool.connects) == len(ENDED) + expected
        assert len(system.pool.sends) == expected


class TestRetryBudget:
    """Guards against a budget that requests spend on endpoints they don't reach.

    A full endpoint refuses the request. It then spends a retry on each ended endpoint,
    and the client gets 503 for want of retries while an endpoint would have run it.
    """

    def test_one_retry_is_enough_for_one_that_arrives(self) -> None:
        system = system_of(Script(connect_error=REFUSED), "full", "works")
        system.pool.script_by_endpoint["full"] = Script(error=FULL)
        while system.budgets.left_by_service().get(SERVICE, 2.0) >= 2.0:
            assert system.budgets.spend(SERVICE)
        with ExitStack() as stack:
            for name in [*ENDED, "works", "works"]:
                stack.enter_context(system.health.track_request(name))
            answer = ask(system)
        assert answer.body == BODY + b"works"
        assert sorted(system.pool.connects) == [*ENDED, "full", "works"]
        assert not system.budgets.has_retry_left(SERVICE)
