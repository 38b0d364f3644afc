"""Reservations by a host without a leader: which engines it asks, and how long."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.admission import MemoryOptions
from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.forwarding._models import Attempts
from jujubeslip.forwarding._reservations import Reservation, Reservations
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.peers import EndpointRole
from jujubeslip.platform._endpoint_calls import read_head
from jujubeslip.routes import EngineService, PromptShape
from tests.fakes.engines import engine
from tests.fakes.platform_worker import PlatformWorker
from tests.forwarding.test_endpoint_starts import build_sender

OWN_ZONE, OTHER_ZONE = "zone-1", "zone-2"
OPTIONS = MemoryOptions(margin=0.05, safety_deviations=1.0)
PROMPT = PromptShape(prompt_tokens=100, maximum_output_tokens=20)


@pytest.fixture(autouse=True, scope="module")
def plugins() -> None:
    load_plugins()


def at(address: str, name: str, zone: str) -> Endpoint:
    """Return an engine that answers at this address."""
    return replace(engine(name, EndpointRole.DECODE, zone), address=address)


@pytest.fixture
def near() -> Iterator[PlatformWorker]:
    with PlatformWorker("near", "model", "decode") as worker:
        yield worker


@pytest.fixture
def silent_address() -> Iterator[str]:
    """Return an address that takes connections and never answers."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(16)
        host, port = listener.getsockname()
        yield f"{host}:{port}"


def reserve(
    *endpoints: Endpoint, busy: str = "", paused: str = "", seconds: float = 0.65
) -> tuple[Reservation | None, float]:
    """Return the reservation that a request gets, and how long that took."""
    registry = EndpointRegistry()
    registry.merge(endpoints)
    sender = build_sender(registry)
    reservations = Reservations(sender, OPTIONS, OWN_ZONE)
    context: Any = SimpleNamespace(
        request=SimpleNamespace(request_id="r-1"),
        service_name="model",
        target_by=Deadline.after(0.9),
        rank=0,
        client_disconnected=lambda: False,
    )
    engine_service = EngineService(slots=8, reservation_ms=2000)
    limit = Deadline.after(seconds)
    for _ in range(5 if busy else 0):
        sender.health._add_open(busy, 1)
    if paused:
        sender.health.note_unreachable(paused)
    began = time.monotonic()
    found = reservations.take(context, Attempts(), engine_service, PROMPT, limit)
    return found, time.monotonic() - began


class TestPartitionedZone:
    """Guards against time spent on silent engines of other zones.

    The hosts of a partitioned zone have no leader and still know the engines of other
    zones. Each of those may cost 0.4 s for its report, 0.4 s for a connection and as
    long for the reservation. Of 14 streams in the zone five were refused, after up to
    1.4 s.
    """

    def test_own_engines_are_asked_first(
        self, near: PlatformWorker, silent_address: str
    ) -> None:
        own = at(near.address, "near", OWN_ZONE)
        beyond = at(silent_address, "silent", OTHER_ZONE)
        found, seconds = reserve(own, beyond, busy=own.start_id)
        assert found is not None and found.endpoint.endpoint_id == "near"
        assert seconds < 0.2

    def test_a_silent_engine_costs_little(
        self, near: PlatformWorker, silent_address: str
    ) -> None:
        """A crashed engine of the own zone is silent, too."""
        own = at(near.address, "near", OWN_ZONE)
        silent = at(silent_address, "silent", OWN_ZONE)
        found, seconds = reserve(own, silent, busy=own.start_id)
        assert found is not None and found.endpoint.endpoint_id == "near"
        assert seconds < 0.4

    def test_a_skipped_engine_is_asked_if_no_other_is_left(
        self, near: PlatformWorker
    ) -> None:
        """The partition has ended, and engines that were silent are still skipped."""
        own = at(near.address, "near", OWN_ZONE)
        found, seconds = reserve(own, paused=own.start_id, seconds=0.3)
        assert found is not None and seconds < 0.2

    def test_other_zones_are_asked_if_the_own_zone_has_no_engine(
        self, near: PlatformWorker
    ) -> None:
        found, _ = reserve(at(near.address, "near", OTHER_ZONE))
        assert found is not None

    def test_other_zones_are_asked_if_the_own_zone_is_full(
        self, near: PlatformWorker
    ) -> None:
        with PlatformWorker("full", "model", "decode") as full:
            full.faults.no_room = 9
            found, _ = reserve(
                at(full.address, "full", OWN_ZONE),
                at(near.address, "near", OTHER_ZONE),
            )
        assert found is not None and found.endpoint.endpoint_id == "near"


class TestReservationAtAnEngineInBackoff:
    """Guards against calls that release a reservation during an engine's backoff."""

    @pytest.mark.parametrize("backoff", ["", "3"])
    def test_expires_by_itself(self, near: PlatformWorker, backoff: str) -> None:
        own = at(near.address, "near", OWN_ZONE)
        registry = EndpointRegistry()
        registry.merge([own])
        sender = build_sender(registry)
        reservations = Reservations(sender, OPTIONS, OWN_ZONE)
        near.reservations["r1"] = 100
        refusal = read_head(503, [("Retry-After", backoff)])
        sender.limits.notices.record_answer(own, refusal, 0.0)
        request: Any = SimpleNamespace(request_id="r-1")
        context: Any = SimpleNamespace(request=request)
        reservations.release(context, Reservation(own, "r1"))
        assert ("r1" in near.reservations) == bool(backoff)
