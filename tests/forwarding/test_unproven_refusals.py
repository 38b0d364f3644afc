"""Statuses that promise "not run", from endpoints that have run the request."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from jujubeslip.endpoints import EndpointRefusedError
from jujubeslip.forwarding._models import Attempts, WholeAnswer
from jujubeslip.forwarding._plain_path import PlainPath
from jujubeslip.forwarding._second_sends import SecondSends
from jujubeslip.hedging import SecondSendOptions
from jujubeslip.kernel import Ran, RequestRefusedError
from jujubeslip.platform._endpoint_calls import read_head
from jujubeslip.routes import RouteKind
from tests.fakes.partitions import (
    PATHS,
    SAFE,
    STREAM,
    UNSAFE,
    Partitions,
    partitionable_system,
)
from tests.fakes.platform_system import PROMPT
from tests.fakes.processes import wait_until
from tests.fakes.scripted_endpoints import Script, ScriptedSystem

NOT_RUN_STATUSES = (408, 429, 503)
ENTRIES = 3
RELAYED, DIRECT = 0, 1
UNPROVEN = "jujubeslip_forward_unproven_answers_total"


class TestStatus:
    """Guards against a status that clients take for a promise, and hosts don't."""

    def test_of_an_answer_may_read_as_not_run(self) -> None:
        found = {
            code for code in range(200, 600) if read_head(code, []).reads_as_not_run
        }
        assert found == {421, *NOT_RUN_STATUSES}

    def test_that_misdirects_needs_no_further_proof(self) -> None:
        assert read_head(421, []).not_run


class Host:
    """A path to two endpoints with scripts."""

    def __init__(self, has_second_sends: bool) -> None:
        self._system = ScriptedSystem("a", "b")
        sender = self._system.sender
        options = SecondSendOptions(share=1.0, percentile=95.0, floor_seconds=0.03)
        second_sends = SecondSends(sender, options, lambda _: False)
        self._path = PlainPath(sender, second_sends if has_second_sends else None)
        self.attempts = Attempts()

    def set_scripts(self, first: Script, second: Script) -> None:
        """Set how the endpoints answer."""
        self._system.pool.script_by_endpoint.update({"a": first, "b": second})

    def ask(self, kind: RouteKind) -> WholeAnswer:
        """Send a request and return its answer."""
        self.attempts = Attempts()
        maximum = 2 if kind is RouteKind.SAFE else 1
        context = self._system.context("r", kind=kind, maximum_attempts=maximum)
        return self._path.answer(context, self.attempts)


@pytest.fixture(params=[True, False], ids=["second sends", "one send"])
def host(request: pytest.FixtureRequest) -> Host:
    return Host(has_second_sends=request.param)


class TestRequest:
    """Guards against a client that is told "not run" after its request has run."""

    @pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    def test_that_has_run_is_not_refused(
        self, host: Host, status: int, kind: RouteKind
    ) -> None:
        host.set_scripts(Script(status=status), Script(status=status))
        with pytest.raises(RequestRefusedError) as raised:
            host.ask(kind)
        assert (raised.value.status, raised.value.ran) == (502, Ran.UNKNOWN)
        assert raised.value.retry_after is None
        assert host.attempts.runs == (2 if kind is RouteKind.SAFE else 1)

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    def test_that_may_be_repeated_goes_to_another_endpoint(
        self, host: Host, status: int
    ) -> None:
        host.set_scripts(Script(status=status), Script())
        assert [host.ask(RouteKind.SAFE).status for _ in range(4)] == [200] * 4

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    def test_that_an_endpoint_states_not_to_have_run_is_refused(
        self, host: Host, status: int
    ) -> None:
        refusal = Script(status=status, headers={"Not-Run": "1"})
        host.set_scripts(refusal, refusal)
        with pytest.raises(RequestRefusedError) as raised:
            host.ask(RouteKind.UNSAFE)
        assert (raised.value.status, raised.value.ran) == (503, Ran.NO)
        assert isinstance(host.attempts.last_error, EndpointRefusedError)

    def test_keeps_the_failure_that_another_endpoint_reported(self, host: Host) -> None:
        host.set_scripts(Script(status=500), Script(status=503))
        assert host.ask(RouteKind.SAFE).status == 500


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Partitions]:
    folder = tmp_path_factory.mktemp("refusals")
    with partitionable_system(folder, ENTRIES, retry_allowance=500) as partitions:
        yield partitions


@pytest.fixture(params=[DIRECT, RELAYED], ids=["direct", "relayed"])
def entry(request: pytest.FixtureRequest, running: Partitions) -> Iterator[int]:
    """Return a host that reaches the endpoints directly, or through another host."""
    if request.param == DIRECT:
        yield DIRECT
        return
    with running.cut((RELAYED,), "reset"):
        wait_until(lambda: running.is_served(RELAYED, UNSAFE), "requests are relayed")
        yield RELAYED


@contextmanager
def fault(partitions: Partitions, name: str, status: int) -> Iterator[None]:
    """Return a context within which each endpoint fails one request."""
    for worker in partitions.workers:
        worker.faults.busy_status = status
        setattr(worker.faults, name, 1)
    try:
        yield
    finally:
        for worker in partitions.workers:
            setattr(worker.faults, name, 0)


class TestClient:
    """Guards against a promise that reaches a client over any way to an endpoint."""

    @pytest.mark.parametrize("path", PATHS)
    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    def test_is_not_told_that_its_request_has_not_run(
        self, running: Partitions, entry: int, path: str, status: int
    ) -> None:
        before = unproven(running, entry)
        with fault(running, "busy", status):
            reply = running.system.ask(path, headers=PROMPT, entry=entry)
        assert reply.status == 502
        assert "server-stamp" not in reply.headers
        runs = [run for worker in running.workers for run in worker.run_ids()]
        sent = 2 if path == SAFE else 1
        assert runs.count(running.system.last_request_id) == sent
        assert unproven(running, entry) == before + sent
        running.wait_served()

    @pytest.mark.parametrize("path", [UNSAFE, STREAM])
    def test_still_gets_other_failures_as_they_are(
        self, running: Partitions, entry: int, path: str
    ) -> None:
        with fault(running, "fail", 500):
            reply = running.system.ask(path, headers=PROMPT, entry=entry)
        assert (reply.status, reply.body) == (500, b"answer")
        assert "server-stamp" in reply.headers
        running.wait_served()


def unproven(partitions: Partitions, entry: int) -> float:
    values = partitions.system.metrics(partitions.system.entry_metrics[entry])
    return sum(
        value
        for key, value in values.items()
        if key.startswith(UNPROVEN) and "refusal_unproven" in key
    )
