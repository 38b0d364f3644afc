"""Bad input gets a clear error, holds nothing, and harms no other client."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from tests.fakes.client import ask
from tests.fakes.cluster import CLIENT_KEY, Cluster
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import small_system
from tests.requests.support import assert_whole, model_message, open_call

SLOW_CLIENTS = 300
RECEIVE_TIMEOUT_MS = 1500
MAXIMUM_BODY = 65_536
PATH = "/v1/services/summaries/requests"
VALID = json.dumps(model_message()).encode()


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    options = {
        "receive_timeout_ms": RECEIVE_TIMEOUT_MS,
        "maximum_body_bytes": MAXIMUM_BODY,
    }
    spec = small_system(entry_options=options)
    with Cluster(spec, tmp_path_factory.mktemp("bad-input")) as cluster:
        yield cluster


@pytest.fixture(autouse=True)
def _unharmed(cluster: Cluster) -> Iterator[None]:
    yield
    assert_whole(open_call(cluster, "entry-1", "unharmed").answer())
    assert cluster.entry_status("entry-1").open_requests == 0
    cluster.wait_nothing_held()


def head(length: int, path: str = PATH, key: str = CLIENT_KEY, more: str = "") -> bytes:
    """Return the head of a request with this body length."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {length}\r\n{more}\r\n"
    ).encode()


def exchange(cluster: Cluster, data: bytes) -> int:
    """Send bytes and return the answer's status."""
    host, port = cluster.client_address("entry-1").split(":")
    with socket.create_connection((host, int(port)), 20) as connection:
        try:
            connection.sendall(data)
        except ConnectionError:
            pass
        with connection.makefile("rb") as reader:
            return int(reader.readline().split()[1])


class TestRequestThatIsWrong:
    """A client sends what can't be served; it learns what is wrong, at once."""

    @pytest.mark.parametrize(
        "body",
        [
            b"{",
            b"[]",
            b"\xff\xfe",
            b"[" * 20_000,
            b"{}",
            json.dumps({"prompt": 5}).encode(),
            json.dumps(model_message(0)).encode(),
            json.dumps(model_message(-1)).encode(),
            json.dumps(model_message(10**30)).encode(),
            json.dumps(model_message(True)).encode(),
            json.dumps(model_message(priority="now")).encode(),
            json.dumps(model_message(priority=[])).encode(),
            json.dumps(model_message(colour="red")).encode(),
        ],
        ids=lambda body: body[-24:].decode("latin-1"),
    )
    def test_is_refused_with_400(self, cluster: Cluster, body: bytes) -> None:
        status = exchange(cluster, head(len(body)) + body)
        assert status == 400

    def test_with_an_unknown_service_is_refused(self, cluster: Cluster) -> None:
        answer = ask(cluster.client_address("entry-1"), "nobody", model_message())
        assert (answer.status, answer.error["error_id"]) == (404, "service_unknown")

    def test_with_an_unknown_key_is_refused(self, cluster: Cluster) -> None:
        address = cluster.client_address("entry-1")
        answer = ask(address, "summaries", model_message(), key="someone")
        assert (answer.status, answer.error["error_id"]) == (401, "client_unknown")
        assert "someone" not in cluster.process_by_name["entry-1"].output()

    @pytest.mark.parametrize("name", ["X-Request-Id", "Idempotency-Key"])
    @pytest.mark.parametrize(
        "value", ["x" * 300, "a\tb", "\xe9\xe9"], ids=["long", "tab", "not-ascii"]
    )
    def test_with_an_absurd_header_is_refused(
        self, cluster: Cluster, name: str, value: str
    ) -> None:
        more = f"{name}: {value}\r\n"
        status = exchange(cluster, head(len(VALID), more=more) + VALID)
        assert status == 400

    def test_with_an_over_long_body_is_refused(self, cluster: Cluster) -> None:
        size = MAXIMUM_BODY * 4
        status = exchange(cluster, head(size) + b" " * size)
        assert status == 413

    def test_with_an_over_long_header_is_refused(self, cluster: Cluster) -> None:
        more = f"X-Long: {'x' * 100_000}\r\n"
        status = exchange(cluster, head(0, more=more))
        assert status == 431

    def test_with_a_body_that_is_cut_is_not_begun(self, cluster: Cluster) -> None:
        host, port = cluster.client_address("entry-1").split(":")
        before = _prefills(cluster)
        for part in (1, len(VALID) // 2, len(VALID) - 1):
            with socket.create_connection((host, int(port)), 20) as connection:
                connection.sendall(head(len(VALID)) + VALID[:part])
        assert _prefills(cluster) == before


class TestSlowClients:
    """Hundreds of clients send their request a byte at a time.

    Each would hold its connection for hours, until none is left for the others. They
    are closed once the time to send a request has passed; others are served meanwhile.
    """

    def test_are_closed_and_harm_no_other(self, cluster: Cluster) -> None:
        host, port = cluster.client_address("entry-1").split(":")
        whole = head(len(VALID)) + VALID
        slow = [
            socket.create_connection((host, int(port)), 20) for _ in range(SLOW_CLIENTS)
        ]
        sent = 0

        def all_closed() -> bool:
            nonlocal sent
            for connection in slow:
                _send_byte(connection, whole[sent : sent + 1])
            sent += 1
            assert_whole(open_call(cluster, "entry-1", "meanwhile").answer())
            return all(map(_is_closed, slow))

        wait_until(all_closed, "every slow client is closed", 30)
        for connection in slow:
            connection.close()


def _send_byte(connection: socket.socket, byte: bytes) -> None:
    try:
        connection.sendall(byte)
    except OSError:
        return


def _is_closed(connection: socket.socket) -> bool:
    connection.setblocking(False)
    try:
        return connection.recv(1024) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.setblocking(True)


def _prefills(cluster: Cluster) -> int:
    records: dict[str, Any] = cluster.endpoint_call("prefill-1", "GET", "/v1/records")
    return len(records["runs"])
