"""The HTTP server's part in a planned stop."""

from __future__ import annotations

import http.client
import threading
from collections.abc import Iterable

import pytest

from jujubeslip.entry._http_server import HttpServer
from jujubeslip.kernel import EntrySettings, Process
from tests.fakes.processes import free_address
from tests.requests.support import in_background

STILL_WAITING_SECONDS = 0.5


class TestWaitUntilFlushed:
    """A process ends once every answer has been written.

    A chunked answer ends with bytes that the server writes after the application has
    closed its iterator. If only unsent bytes counted, the process could end between
    the two, and the client's library would take the whole answer for a broken one.
    """

    def test_waits_for_answers_that_are_being_served(self) -> None:
        address = free_address()
        begun, gate = threading.Event(), threading.Event()

        def app(environ: object, start_response: object) -> Iterable[bytes]:
            begun.set()
            gate.wait(20)
            start_response("200 OK", [])  # type: ignore[operator]
            return [b"whole"]

        process = Process("test")
        server = HttpServer(_settings(address), app)
        server.start(process)
        connection = http.client.HTTPConnection(address, timeout=20)
        connection.request("GET", "/")
        assert begun.wait(20)
        flushed = in_background(server.wait_until_flushed)
        with pytest.raises(TimeoutError):
            flushed.result(STILL_WAITING_SECONDS)
        gate.set()
        flushed.result(20)
        assert connection.getresponse().read() == b"whole"
        connection.close()
        process.stopped.set()
        server.stop_listening()


def _settings(address: str) -> EntrySettings:
    return EntrySettings(
        host_id="entry-1",
        availability_zone="zone-1",
        region="region-1",
        http_address=address,
        peer_address="127.0.0.1:1",
        peer_secret="a-secret",
        endpoint_secret="a-secret",
        http_threads=8,
        reserved_threads=1,
    )
