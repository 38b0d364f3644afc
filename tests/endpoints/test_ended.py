"""Whether an endpoint's process has ended, as its port shows."""

from __future__ import annotations

import socket
import time
from contextlib import ExitStack

from jujubeslip.endpoints import _connections, has_ended
from tests.fakes.platform_worker import PlatformWorker


class TestEndpointThatMayHaveEnded:
    def test_one_that_serves_has_not(self) -> None:
        with PlatformWorker("sound", "plain") as worker:
            assert not has_ended(worker.address)

    def test_one_whose_process_is_gone_has(self) -> None:
        worker = PlatformWorker("gone", "plain")
        worker.kill()
        assert has_ended(worker.address)

    def test_one_that_is_silent_holds_nobody_up(self) -> None:
        with socket.socket() as listener, ExitStack() as pending:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            # Connections that nobody accepts: further ones get no answer.
            for _ in range(4):
                client = pending.enter_context(socket.socket())
                client.setblocking(False)
                client.connect_ex(listener.getsockname())
            host, port = listener.getsockname()
            started = time.monotonic()
            assert not has_ended(f"{host}:{port}")
            assert time.monotonic() - started < 5 * _connections.ENDED_SECONDS
