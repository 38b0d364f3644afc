"""Tests of the fault proxy and of the stand-ins for services and collectors."""

from __future__ import annotations

import socket
import socketserver
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor

from tests.fakes.collector import Collector
from tests.fakes.fault_proxy import RESET_ON_CLOSE, Direction, FaultProxy
from tests.fakes.processes import ManagedProcess, call_json


class _Echo(socketserver.BaseRequestHandler):
    def handle(self) -> None:
        while data := self.request.recv(4096):
            self.request.sendall(data)


@pytest.fixture
def proxy() -> Iterator[FaultProxy]:
    """Return a proxy in front of an echo server."""
    server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), _Echo)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    found = FaultProxy(f"127.0.0.1:{server.server_address[1]}")
    yield found
    found.stop()
    server.shutdown()
    server.server_close()


def connect(proxy: FaultProxy, timeout: float = 10.0) -> socket.socket:
    host, port = proxy.address.split(":")
    return socket.create_connection((host, int(port)), timeout)


def echo(connection: socket.socket, data: bytes) -> bytes:
    connection.sendall(data)
    return connection.recv(4096)


class TestFaultProxy:
    """Each fault and its effect on a connection."""

    def test_cut_bytes_go_on_after_heal(self, proxy: FaultProxy) -> None:
        with connect(proxy) as connection:
            assert echo(connection, b"one") == b"one"
            proxy.cut(Direction.TO_CLIENT)
            connection.sendall(b"two")
            connection.settimeout(0.3)
            with pytest.raises(TimeoutError):
                connection.recv(4096)
            proxy.heal()
            connection.settimeout(10)
            assert connection.recv(4096) == b"two"

    def test_frozen_connections_are_silent_while_new_ones_work(
        self, proxy: FaultProxy
    ) -> None:
        with connect(proxy) as old:
            assert echo(old, b"one") == b"one"
            proxy.freeze()
            with connect(proxy) as new:
                assert echo(new, b"two") == b"two"
            old.settimeout(0.3)
            with pytest.raises(TimeoutError):
                echo(old, b"three")

    def test_reset_ends_established_connections(self, proxy: FaultProxy) -> None:
        with connect(proxy) as connection:
            echo(connection, b"one")
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                connection.recv(4096)

    def test_reset_by_the_server_reaches_the_client_as_one(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        found = FaultProxy(f"127.0.0.1:{listener.getsockname()[1]}")
        with listener, connect(found) as connection:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            accepted.close()
            with pytest.raises(ConnectionResetError):
                connection.recv(4096)
        found.stop()

    def test_one_connection_is_truncated_once(self, proxy: FaultProxy) -> None:
        proxy.end_next(4)
        with connect(proxy) as connection:
            assert echo(connection, b"123456") == b"1234"
            assert connection.recv(4096) == b""
        with connect(proxy) as connection:
            assert echo(connection, b"123456") == b"123456"

    def test_delay_holds_bytes_back(self, proxy: FaultProxy) -> None:
        with connect(proxy) as connection:
            proxy.delay(0.2, Direction.TO_SERVER)
            started = time.monotonic()
            assert echo(connection, b"one") == b"one"
            assert time.monotonic() - started >= 0.2

    def test_refused_connections_work_after_heal(self, proxy: FaultProxy) -> None:
        proxy.refuse()
        with pytest.raises(ConnectionRefusedError):
            connect(proxy)
        proxy.heal()
        with connect(proxy) as connection:
            assert echo(connection, b"one") == b"one"


class TestPlainService:
    """The stand-in for plain services."""

    def test_runs_are_counted_and_refusals_are_not(self, tmp_path: Path) -> None:
        arguments = ["--endpoint-id", "p", "--service", "s"]
        process = ManagedProcess("p", "tests.fakes.plain_service", arguments, tmp_path)
        try:
            address = process.wait_ready()["address"]
            headers = {"X-Request-Id": "r", "X-Attempt": "1", "Idempotency-Key": "k"}
            call_json(address, "POST", "/v1/admin/faults", {"refuse_next": 1})
            refused = call_json(address, "POST", "/", {"a": 1}, headers)
            served = call_json(address, "POST", "/", {"a": 1}, headers)
            records = call_json(address, "GET", "/v1/records")[1]
            assert (refused[0], served[0]) == (503, 200)
            assert records["runs_by_key"] == {"k": 1}
            process.terminate()
            assert process.wait() == 0
        finally:
            process.stop()


class TestCollector:
    """The stand-in for an OTLP collector."""

    def test_spans_of_an_exporter_are_seen_by_name(self) -> None:
        collector = Collector()
        provider = TracerProvider()
        exporter = OTLPSpanExporter(f"http://{collector.address}/v1/traces")
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        with provider.get_tracer("test").start_as_current_span("hop") as span:
            span.set_attribute("key", "value")
        seen = collector.wait_for_spans("hop")[0]
        provider.shutdown()
        collector.stop()
        assert seen.attributes == {"key": "value"}
