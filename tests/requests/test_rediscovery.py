"""Requests whose host temporarily knows no endpoint."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.kernel import Deadline, Ran, RequestRefusedError
from jujubeslip.requests import _model_path
from jujubeslip.requests._model_attempt import ModelProgress
from jujubeslip.requests._model_path import ModelPath


class Router:
    """Refuses a number of reservations before it grants one."""

    def __init__(self, refusals: int) -> None:
        self.left = refusals

    def reserve(self, *_: Any) -> str:
        self.left -= 1
        if self.left >= 0:
            raise RequestRefusedError("no_capacity", "No endpoint is known.")
        return "granted"


def reserve(refusals: int, ran: Ran, wait_seconds: float = 5.0) -> Any:
    unused: Any = None
    router: Any = Router(refusals)
    path = ModelPath("owner", router, unused, unused, unused)
    reservation_request: Any = SimpleNamespace(wait_until=Deadline.after(wait_seconds))
    context: Any = SimpleNamespace(interrupted=lambda: False)
    return path._reserve_with_retries(
        reservation_request, context, ModelProgress(ran=ran)
    )


class TestRefusalAfterAnAttempt:
    """Guards against losing a request that was prefilled before a suspension."""

    @pytest.fixture(autouse=True)
    def _short_pause(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(_model_path, "REDISCOVERY_PAUSE_SECONDS", 0.001)

    def test_is_retried_if_the_request_may_have_run(self) -> None:
        assert reserve(3, Ran.UNKNOWN) == "granted"

    def test_is_final_if_the_request_has_not_run(self) -> None:
        with pytest.raises(RequestRefusedError):
            reserve(1, Ran.NO)

    def test_is_final_after_the_wait_limit(self) -> None:
        with pytest.raises(RequestRefusedError):
            reserve(10_000, Ran.UNKNOWN, wait_seconds=0.05)
