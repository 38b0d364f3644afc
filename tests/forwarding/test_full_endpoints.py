"""What this host does when endpoints refuse requests as full."""

from __future__ import annotations

from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.endpoints import (
    AnswerCutError,
    EndpointError,
    EndpointRefusedError,
)
from jujubeslip.forwarding._models import BUSY_RETRY_SECONDS, Attempts
from jujubeslip.forwarding._plain_path import PlainPath
from jujubeslip.kernel import Deadline, RequestRefusedError, load_plugins
from jujubeslip.peers import EndpointRole
from tests.fakes.scripted_endpoints import Script, ScriptedSystem
from tests.forwarding.test_endpoint_starts import (
    FIRST,
    build_sender,
    registry_of,
    start,
)

FULL = EndpointRefusedError(503, "full", False)
TARGET_SECONDS, CLIENT_SECONDS = 0.155, 1.6


@pytest.fixture(autouse=True, scope="module")
def plugins() -> None:
    load_plugins()


def retry_after(
    error: EndpointError,
    role: EndpointRole = EndpointRole.PLAIN,
    target_seconds: float = TARGET_SECONDS,
) -> float | None:
    """Return the Retry-After of a request to which the only endpoint gave the error."""
    endpoint = start(FIRST, role)
    sender = build_sender(registry_of(endpoint))
    end_by = Deadline.after(CLIENT_SECONDS)
    context: Any = SimpleNamespace(
        service_name="model",
        end_by=end_by,
        target_by=Deadline.after(target_seconds),
        request=SimpleNamespace(client_deadline=end_by),
    )
    attempts = Attempts()
    sender.note_error(attempts, endpoint, error)
    return sender.refusal(context, attempts, role).retry_after


class TestRetryAfter:
    """Guards against clients that return too late, and all at the same time."""

    def test_client_returns_while_it_can_be_in_time(self) -> None:
        found = [retry_after(FULL) for _ in range(20)]
        assert all(seconds and seconds < TARGET_SECONDS / 2 for seconds in found)
        assert len(set(found)) > 10

    def test_late_clients_return_spread_over_their_time(self) -> None:
        found = [retry_after(FULL, target_seconds=-0.1) or 0 for _ in range(20)]
        assert all(seconds <= CLIENT_SECONDS / 3 for seconds in found)
        assert max(found) - min(found) > 0.1

    def test_engines_have_the_time_of_before(self) -> None:
        assert retry_after(FULL, EndpointRole.DECODE) == BUSY_RETRY_SECONDS

    def test_request_that_may_have_run_has_none(self) -> None:
        assert retry_after(AnswerCutError("cut")) is None


class TestMeasuredTimes:
    """Guards against an endpoint that looks fast, as it refuses or fails at once."""

    @pytest.mark.parametrize(
        "script", [Script(error=FULL), Script(status=500)], ids=["refuses", "fails"]
    )
    def test_have_none_without_an_answer(self, script: Script) -> None:
        system = ScriptedSystem("a")
        times = system.sender.health.answer_times
        times.note_service("a", "plain")
        path = PlainPath(system.sender)
        for number in range(5):
            system.pool.script_by_endpoint["a"] = Script(0.05) if not number else script
            with suppress(RequestRefusedError):
                path.answer(system.context(f"r-{number}"), Attempts())
        assert times.usual_times("plain").median >= 0.05
