"""A refusal reports "not run" only if that is certain, and otherwise "unknown"."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

import pytest

from tests.fakes.cluster import Cluster, EngineSpec, PlainSpec
from tests.fakes.fault_proxy import Direction, FaultProxy
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import model_endpoints, small_system
from tests.requests.support import (
    LONG_TIMEOUT_DECLARATION,
    heal,
    in_background,
    model_message,
    open_call,
    runs_named,
)

ENDPOINTS: tuple[EngineSpec | PlainSpec, ...] = (
    *model_endpoints(decodes=1),
    PlainSpec("plain-1", "confirmations"),
)
ENTRY_ID = "entry-1"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    hops = frozenset(("*", spec.endpoint_id) for spec in ENDPOINTS)
    spec = small_system(ENDPOINTS, hops=hops, declaration=LONG_TIMEOUT_DECLARATION)
    with Cluster(spec, tmp_path_factory.mktemp("not-run")) as cluster:
        yield cluster


@pytest.fixture(autouse=True)
def _healed(cluster: Cluster) -> Iterator[None]:
    yield
    heal(cluster)


@dataclass(frozen=True)
class Break:
    """A point at which the hop to an endpoint breaks, and the expected `ran`.

    An empty `ran` allows both "no" and "unknown".
    """

    name: str
    inject: Callable[[FaultProxy], None]
    ran: str


def _end(direction: Direction, after: int, reset: bool) -> Break:
    # Sticky, since the home's own calls to the endpoint pass through the proxy too.
    inject = partial(
        FaultProxy.end_next,
        after_bytes=after,
        direction=direction,
        reset=reset,
        sticky=True,
    )
    how = "reset" if reset else "close"
    return Break(f"{direction.value}-{after}-{how}", inject, "unknown")


BREAKS = (
    Break("refused", FaultProxy.refuse, "no"),
    Break("cut", FaultProxy.cut, "unknown"),
    Break("answer-cut", partial(FaultProxy.cut, direction=Direction.TO_CLIENT), ""),
    *(
        _end(direction, after, reset)
        for direction in Direction
        for after in (0, 40, 180)
        for reset in (False, True)
    ),
)


class TestBrokenHop:
    """The hop to an endpoint breaks before, in or after the request or its answer.

    A client that is told "not run" resends its request. If it had run, a shift would be
    confirmed twice, so the refusal is compared with the endpoint's own record of runs.
    """

    @pytest.mark.parametrize("point", BREAKS, ids=lambda point: point.name)
    def test_to_a_plain_service(self, cluster: Cluster, point: Break) -> None:
        point.inject(cluster.proxy_by_hop[("*", "plain-1")])
        name = f"plain-{point.name}"
        message = {"repeatable": False}
        answer = open_call(cluster, ENTRY_ID, name, message, "confirmations").answer()
        runs = runs_named(cluster, "plain-1", name)
        assert answer.status in (502, 503)
        assert answer.ran in ("no", "unknown")
        assert answer.ran == (point.ran or answer.ran)
        assert len(runs) <= (0 if answer.ran == "no" else 1)

    @pytest.mark.parametrize("point", BREAKS, ids=lambda point: point.name)
    def test_to_a_prefill_engine(self, cluster: Cluster, point: Break) -> None:
        point.inject(cluster.proxy_by_hop[("*", "prefill-1")])
        name = f"prefill-{point.name}"
        message = model_message(repeatable=False)
        answer = open_call(cluster, ENTRY_ID, name, message).answer()
        runs = runs_named(cluster, "prefill-1", name)
        assert answer.status in (502, 503)
        assert answer.ran in ("no", "unknown")
        assert answer.ran == (point.ran or answer.ran)
        assert len(runs) <= (0 if answer.ran == "no" else 1)

    def test_after_the_service_ran(self, cluster: Cluster) -> None:
        """A later attempt finds no endpoint; the first may have run nevertheless."""
        cluster.set_faults("plain-1", pause_phase="after")
        message = {"repeatable": True}
        call = open_call(cluster, ENTRY_ID, "ran", message, "confirmations")
        answer = in_background(call.answer)
        wait_until(lambda: runs_named(cluster, "plain-1", "ran"), "it ran")
        cluster.proxy_by_hop[("*", "plain-1")].cut()
        assert answer.result(40).ran == "unknown"
        assert answer.result().error["error_id"] == "no_capacity"


class TestRefusalByService:
    """The service itself reports that it refused the request before running it."""

    def test_is_reported_as_not_run(self, cluster: Cluster) -> None:
        cluster.set_faults("plain-1", refuse_next=20)
        message = {"repeatable": False}
        answer = open_call(cluster, ENTRY_ID, "full", message, "confirmations").answer()
        assert answer.ran == "no"
        assert runs_named(cluster, "plain-1", "full") == []
