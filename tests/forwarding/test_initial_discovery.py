"""Requests that reach a newly started host which knows no endpoint yet."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.discovery import EndpointRegistry
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.forwarding._initial_discovery import (
    WAIT_SECONDS,
    InitialDiscovery,
)
from jujubeslip.kernel import Deadline
from jujubeslip.peers import EndpointRole
from tests.fakes.engines import engine


def context(
    seconds: float = 14.0,
    service_name: str = "model",
    client_disconnected: bool = False,
) -> Any:
    return SimpleNamespace(
        request=SimpleNamespace(request_id="r-1", arrived=Deadline.after(0)),
        service_name=service_name,
        end_by=Deadline.after(seconds),
        client_disconnected=lambda: client_disconnected,
    )


def announce_after(
    registry: EndpointRegistry, seconds: float, role: EndpointRole
) -> None:
    def announce() -> None:
        time.sleep(seconds)
        registry.merge([engine("e-1", role)])

    threading.Thread(target=announce, daemon=True).start()


def waited(discovery: InitialDiscovery, request_context: Any) -> float:
    began = time.monotonic()
    discovery.wait_for(request_context)
    return time.monotonic() - began


class TestNewlyStartedHost:
    """Guards against refusals between the configuration and the first announcement.

    All hosts lose power for 1.2 s, and the endpoints announce themselves 0.3 s after
    the restart. For 0.17 s the hosts had a configuration and knew no endpoint: 64
    requests ended with no_endpoint, 17 of them streams. Their clients had to retry, and
    those that had retried before gave up.
    """

    @pytest.mark.parametrize("role", [EndpointRole.PLAIN, EndpointRole.DECODE])
    def test_requests_wait_for_an_endpoint(self, role: EndpointRole) -> None:
        registry = EndpointRegistry()
        announce_after(registry, 0.3, role)
        assert 0.2 < waited(InitialDiscovery(registry), context()) < WAIT_SECONDS

    def test_a_prefill_engine_does_not_end_the_wait(self) -> None:
        registry = EndpointRegistry()
        registry.merge([engine("p-1", EndpointRole.PREFILL)])
        announce_after(registry, 0.3, EndpointRole.DECODE)
        assert 0.2 < waited(InitialDiscovery(registry), context()) < WAIT_SECONDS

    def test_wait_is_bounded(self) -> None:
        seconds = waited(InitialDiscovery(EndpointRegistry()), context())
        assert WAIT_SECONDS <= seconds < WAIT_SECONDS + 0.3

    def test_most_of_the_time_is_left_for_the_answer(self) -> None:
        assert waited(InitialDiscovery(EndpointRegistry()), context(seconds=0.6)) < 0.4

    def test_disconnect_ends_the_wait(self) -> None:
        with pytest.raises(ClientDisconnectedError):
            InitialDiscovery(EndpointRegistry()).wait_for(
                context(client_disconnected=True)
            )

    def test_requests_do_not_wait_if_an_endpoint_is_known(self) -> None:
        registry = EndpointRegistry()
        registry.merge([engine("e-1", EndpointRole.DECODE)])
        assert waited(InitialDiscovery(registry), context()) < 0.1


class TestLongRunningHost:
    """Requests of a service without endpoints are refused at once."""

    def test_requests_do_not_wait(self, monkeypatch: pytest.MonkeyPatch) -> None:
        discovery = InitialDiscovery(EndpointRegistry())
        monkeypatch.setattr(discovery, "_unknown_until", Deadline.after(0))
        assert waited(discovery, context()) < 0.1
