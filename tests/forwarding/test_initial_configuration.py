"""Requests that reach a newly started host which has no configuration yet."""

from __future__ import annotations

import threading
import time
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.forwarding._routes_follower import RoutesFollower
from jujubeslip.forwarding._service import ForwardService
from jujubeslip.kernel import Deadline, RequestRefusedError
from jujubeslip.peers import PeerIdentity

CONTENT = "the routes"


class Routes(RoutesFollower):
    """A routes follower that applies a configuration after a given time."""

    def __init__(self) -> None:
        table = SimpleNamespace(
            version=1, routes=(), find_route=lambda host, path: None
        )
        interface: Any = SimpleNamespace(
            read_routes=lambda content: SimpleNamespace(unwrap=lambda: table)
        )
        super().__init__(interface, PeerIdentity("host", 1, "secret-of-tests"))

    def put_after(self, seconds: float) -> None:
        def put() -> None:
            time.sleep(seconds)
            self._put_in_force(1, CONTENT)

        threading.Thread(target=put, daemon=True).start()


def refusal_of(routes: Routes, client_seconds: float | None = None) -> str:
    """Return the error id of a request, which is always refused for want of a route."""
    unused: Any = None
    service = ForwardService(routes, unused, unused, unused)
    request: Any = SimpleNamespace(
        request_id="r-1",
        host="host",
        path="/path/",
        arrived=Deadline.after(0),
        client_deadline=(
            None if client_seconds is None else Deadline.after(client_seconds)
        ),
    )
    with pytest.raises(RequestRefusedError) as refused:
        service.answer(request, lambda: False)
    return refused.value.error_id


class TestNewlyStartedHost:
    """Guards against refusals while a newly started host waits for its configuration.

    All hosts lose power and start at once; for 0.8 s none has a configuration. Clients
    that retried after half a second still found no configuration and gave up: 56 of 58
    requests of two seconds were refused twice.
    """

    def test_requests_wait_for_its_configuration(self) -> None:
        routes = Routes()
        routes.put_after(0.3)
        assert refusal_of(routes) == "no_route"

    def test_requests_are_refused_if_none_arrives(self) -> None:
        assert refusal_of(Routes()) == "no_configuration"

    def test_most_of_the_time_is_left_for_the_answer(self) -> None:
        routes = Routes()
        began = time.monotonic()
        assert refusal_of(routes, client_seconds=0.6) == "no_configuration"
        assert time.monotonic() - began < 0.5
