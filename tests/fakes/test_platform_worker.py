"""The stand-in for a worker of the users' platform."""

from __future__ import annotations

import http.client
import time
from types import SimpleNamespace

import pytest

from tests.fakes import platform_worker
from tests.fakes.platform_worker import EVENT_PAUSE_SECONDS, PlatformWorker

EVENTS = 50
# How much longer than asked for a thread sleeps on a busy machine.
OVERSLEEP_FACTOR = 5.0


class TestStreamOnABusyMachine:
    """Guards against streams that outlast their route's timeout by the stand-in."""

    def test_lasts_as_long_as_on_an_idle_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        late_time = SimpleNamespace(
            monotonic=time.monotonic,
            sleep=lambda seconds: time.sleep(OVERSLEEP_FACTOR * seconds),
        )
        monkeypatch.setattr(platform_worker, "time", late_time)
        with PlatformWorker("engine-1", "model", "decode", events=EVENTS) as worker:
            connection = http.client.HTTPConnection(worker.address, timeout=10.0)
            begun_at = time.monotonic()
            connection.request("POST", "/", b"prompt", {"Request-Id": "request-1"})
            body = connection.getresponse().read()
            lasted = time.monotonic() - begun_at
            connection.close()
        assert body.count(b"id: ") == EVENTS
        assert lasted < EVENTS * EVENT_PAUSE_SECONDS * OVERSLEEP_FACTOR / 2
