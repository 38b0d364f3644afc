"""The check of an endpoint's port that tells whether its process has ended."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import ExitStack

from jujubeslip.endpoints import _process_end, has_ended
from tests.fakes.platform_worker import PlatformWorker


class TestHasEnded:
    def test_is_false_for_a_running_process(self) -> None:
        with PlatformWorker("sound", "plain") as worker:
            assert not has_ended(worker.address)

    def test_is_true_for_a_killed_process(self) -> None:
        worker = PlatformWorker("gone", "plain")
        worker.kill()
        assert has_ended(worker.address)

    def test_returns_in_time_for_a_silent_endpoint(self) -> None:
        with socket.socket() as listener, ExitStack() as pending:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            # Fill the backlog with unaccepted connections; further ones get no answer.
            for _ in range(4):
                client = pending.enter_context(socket.socket())
                client.setblocking(False)
                client.connect_ex(listener.getsockname())
            host, port = listener.getsockname()
            started = time.monotonic()
            assert not has_ended(f"{host}:{port}")
            assert time.monotonic() - started < 5 * _process_end.END_CHECK_SECONDS

    def test_is_true_for_a_process_that_closes_its_port_last(self) -> None:
        """Guards against a process that still listens as its connections close."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            threading.Timer(0.005, listener.close).start()
            assert has_ended(f"{host}:{port}")

    def test_is_false_for_a_process_with_too_many_connections(self) -> None:
        """Guards against whole answers that are taken for cut off."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            closing = threading.Thread(target=close_next, args=(listener, 2))
            closing.start()
            assert not has_ended(f"{host}:{port}")
            closing.join()


def close_next(listener: socket.socket, count: int) -> None:
    """Accept connections and close each at once."""
    for _ in range(count):
        listener.accept()[0].close()
