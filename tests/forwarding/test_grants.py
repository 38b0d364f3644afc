"""How a host uses the leader's grants."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.forwarding._admissions import AdmissionAnswer
from jujubeslip.forwarding._grants import Grant, Grants, _wait_limit
from jujubeslip.forwarding._models import Attempts
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from tests.fakes.engines import engine


def prefill_engine(leaving: bool = False) -> Endpoint:
    return replace(engine("reader", EndpointRole.PREFILL), leaving=leaving)


def decode_engine(leaving: bool = False) -> Endpoint:
    return replace(engine("engine", EndpointRole.DECODE), leaving=leaving)


class Leader:
    """Grants the same decode and prefill engine to every request."""

    def __init__(self) -> None:
        self.ended: list[tuple[str, int]] = []

    def ask(self, *_: object) -> AdmissionAnswer:
        return AdmissionAnswer("engine", "reader", 0.0, 0.1)

    def report_prefilled(self, request_id: str, attempt: int) -> None:
        raise AssertionError("no prompt was prefilled")

    def end(self, request_id: str, attempt: int) -> None:
        self.ended.append((request_id, attempt))


def find(registry: EndpointRegistry, leader: Leader) -> Grant | None:
    service = SimpleNamespace(engine=SimpleNamespace(reservation_ms=2000))
    context: Any = SimpleNamespace(
        table=SimpleNamespace(service_by_name={"model": service}),
        service_name="model",
        request=SimpleNamespace(
            request_id="r-1", prompt="a prompt", arrived=Deadline.after(0)
        ),
        is_client_retry=False,
        end_by=Deadline.after(10),
        target_by=Deadline.after(1),
    )
    unused: Any = None
    pressures: Any = SimpleNamespace(note_wait=lambda name, waited: None)
    reservations: Any = SimpleNamespace(take=lambda *_: None)
    admissions: Any = leader
    grants = Grants(unused, registry, pressures, reservations, admissions)
    return grants.find(context, Attempts(), reads_itself=False)


class TestGrantOfAnEngineThatLeaves:
    """Guards against a request sent to an engine that is about to exit.

    An engine announces that it is leaving to a host from which the leader is cut off.
    The leader goes on granting this engine, and only the host knows that it leaves.
    """

    def test_is_ended(self) -> None:
        registry, leader = EndpointRegistry(), Leader()
        registry.merge([prefill_engine(), decode_engine(leaving=True)])
        assert find(registry, leader) is None
        assert leader.ended == [("r-1", 0)]

    def test_prefill_engine_is_not_used(self) -> None:
        registry, leader = EndpointRegistry(), Leader()
        registry.merge([prefill_engine(leaving=True), decode_engine()])
        grant = find(registry, leader)
        assert grant is not None and grant.endpoint.endpoint_id == "engine"
        assert grant.prefill_engine is None

    @pytest.mark.parametrize("missing", ["reader", "engine"])
    def test_that_is_not_known_is_not_used(self, missing: str) -> None:
        registry, leader = EndpointRegistry(), Leader()
        registry.merge(
            [
                item
                for item in (prefill_engine(), decode_engine())
                if item.endpoint_id != missing
            ]
        )
        grant = find(registry, leader)
        assert grant is None if missing == "engine" else grant is not None
        assert grant is None or grant.prefill_engine is None

    def test_of_engines_that_stay_is_used(self) -> None:
        registry, leader = EndpointRegistry(), Leader()
        registry.merge([prefill_engine(), decode_engine()])
        grant = find(registry, leader)
        assert grant is not None and grant.prefill_engine == registry.find("reader")
        assert grant.prefill_seconds == 0.1


class TestLimitOfWaiting:
    """Guards against the refusal of a request whose client would still wait.

    An engine crashes in the middle of an answer that may be resumed, and the client
    would wait for three seconds more. The request was refused within four milliseconds,
    since the target of its first event had passed long ago ("1254 ms answer_cut,
    1257 ms no grant in time, forecast 0.04 s"), and the client got a failure.
    """

    CLIENT_TIMEOUT_SECONDS = 3.6

    def limit(self, attempts: Attempts, is_client_retry: bool = False) -> float:
        """Return how long a request that arrived 1.2 s ago waits."""
        arrived = Deadline.after(-1.2)
        context: Any = SimpleNamespace(
            request=SimpleNamespace(arrived=arrived),
            route=SimpleNamespace(
                client_timeout_ms=int(1000 * self.CLIENT_TIMEOUT_SECONDS)
            ),
            is_client_retry=is_client_retry,
            end_by=Deadline.after(12),
            target_by=Deadline(arrived.timestamp + 0.9),
        )
        limit = _wait_limit(context, attempts)
        return limit.timestamp - Deadline.after(0).timestamp

    def test_of_a_first_attempt_ends_before_its_target(self) -> None:
        assert self.limit(Attempts()) < 0

    def test_of_one_whose_answer_broke_off_is_its_clients_timeout(self) -> None:
        assert self.limit(Attempts(runs=1, granted_ms=20)) == pytest.approx(
            3.2, abs=0.1
        )

    def test_of_one_whose_engine_was_lost_before_counts_from_its_start(self) -> None:
        assert self.limit(Attempts(granted_ms=20)) == pytest.approx(2.0, abs=0.1)

    def test_of_a_retry_counts_from_its_start(self) -> None:
        waits = self.limit(Attempts(), is_client_retry=True)
        assert waits == pytest.approx(2.0, abs=0.1)
