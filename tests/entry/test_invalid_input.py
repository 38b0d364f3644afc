"""Invalid input is refused with a clear error and affects no other client."""

from __future__ import annotations

import http.client
import json
import socket
from collections.abc import Iterator

import pytest

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import (
    ControlPeer,
    EntryPeer,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
)
from tests.entry.support import (
    BODY_BYTES,
    REQUESTS,
    body,
    check_error,
    check_unaffected,
    connect,
    send,
    strict_system,
)
from tests.fakes.client import ask
from tests.fakes.cluster import (
    CLIENT_KEY,
    ENDPOINT_SECRET,
    PEER_SECRET,
    Cluster,
)
from tests.fakes.processes import ManagedProcess
from tests.requests.support import (
    SERVICE,
    WAIT_SECONDS,
    assert_complete,
    engines,
    model_message,
    open_call,
    wait_in_phase,
)

WRONG_KEY = "wrong-key-for-tests"
ENDPOINTS = "/v1/endpoints"
ANNOUNCEMENT = {
    "endpoint_id": "stranger",
    "incarnation": 1,
    "address": "127.0.0.1:9",
    "availability_zone": "zone-1",
    "service": SERVICE,
    "role": "decode",
    "slots": 4,
}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    with Cluster(strict_system(), tmp_path_factory.mktemp("bad-input")) as cluster:
        yield cluster


class TestInvalidRequest:
    """A client sends an invalid request while others stream from the same entry host.

    The error must say what to correct. A plain "500" would make the caller turn to the
    operators. No endpoint receives the request, and the streams continue.
    """

    @pytest.mark.parametrize(
        "content",
        [
            b"",
            b"{",
            b"[]",
            b"null",
            b"\xff\xfe",
            b"[" * 50_000,
            b'{"prompt": "a", "max_tokens": ' + b"9" * 5000 + b"}",
            body(unknown=1),
            body(prompt=""),
            body(prompt=7),
            body(prompt="\ud800 " * 70),
            body(prompt="word " * 20_000),
            body(max_tokens=0),
            body(max_tokens=-1),
            body(max_tokens=10**30),
            body(max_tokens=1.5),
            body(max_tokens=True),
            body(max_tokens=float("inf")),
            body(max_tokens="8"),
            body(priority="soon"),
            body(priority=[]),
            body(stream="no"),
            body(repeatable=None),
            body(model=["m"]),
        ],
        ids=lambda content: repr(content[-24:]),
    )
    def test_is_refused(self, cluster: Cluster, content: bytes) -> None:
        status, error = send(cluster, content)
        assert status in (400, 413)
        known = {400: "request_invalid", 413: "body_too_long"}
        check_error(error, known[status])

    @pytest.mark.parametrize(
        "headers",
        [
            {"X-Request-Id": "a b"},
            {"X-Request-Id": "x" * 200},
            {"Idempotency-Key": "k" * 500},
        ],
        ids=str,
    )
    def test_is_refused_for_its_headers(
        self, cluster: Cluster, headers: dict[str, str]
    ) -> None:
        status, error = send(cluster, body(), headers=headers)
        assert status == 400
        check_error(error, "request_invalid")

    @pytest.mark.parametrize("accept", ["\u00e9", "*/*"])
    def test_malformed_optional_headers_are_ignored(
        self, cluster: Cluster, accept: str
    ) -> None:
        headers = {
            "Accept": accept,
            "X-Forwarded-For": "9" * 100,
            "Traceparent": "garbage",
            "Idempotency-Key": accept,
            "X-Request-Id": "odd",
        }
        call = open_call(cluster, "entry-1", "odd")
        assert_complete(call.answer())
        address = cluster.client_address("entry-1")
        assert_complete(ask(address, SERVICE, model_message(), headers))

    def test_affects_no_stream_and_reaches_no_endpoint(self, cluster: Cluster) -> None:
        cluster.set_faults("prefill-1", pause_phase="prefill")
        call = open_call(cluster, "entry-1", "beside")
        wait_in_phase(cluster, "beside", "prefill")
        before = self._runs(cluster)
        for content in (b"{", body(max_tokens=10**30), body(unknown=1)):
            send(cluster, content)
        assert self._runs(cluster) == before
        cluster.set_faults("prefill-1", resume_phase="prefill")
        assert_complete(call.answer())
        check_unaffected(cluster)

    def _runs(self, cluster: Cluster) -> int:
        return sum(
            len(cluster.endpoint_call(name, "GET", "/v1/records")["runs"])
            for name in engines(cluster)
        )


class TestOversizedRequest:
    """A client sends more than an entry host accepts; the error names the limit.

    The HTTP library rejects such a request before the application sees it. Its text
    page lacks the `error_id` and `remedy` that clients read from each refusal.
    """

    def test_body(self, cluster: Cluster) -> None:
        status, error = send(cluster, body(prompt="w " * BODY_BYTES))
        assert status == 413
        check_error(error, "body_too_long")
        check_unaffected(cluster)

    def test_headers(self, cluster: Cluster) -> None:
        status, error = send(cluster, body(), headers={"X-Long": "h" * 40_000})
        assert status == 431
        check_error(error, "headers_too_long")
        check_unaffected(cluster)

    def test_content_length_that_is_no_number(self, cluster: Cluster) -> None:
        with connect(cluster) as connection:
            connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n")
            response = http.client.HTTPResponse(connection)
            response.begin()
            assert response.status == 400
            check_error(json.loads(response.read())["error"], "http_invalid")
        check_unaffected(cluster)


class TestUnauthorizedCaller:
    """A caller uses a wrong key or secret, or an unknown service, path or method."""

    @pytest.mark.parametrize("key", ["", WRONG_KEY, "\u00e9", ENDPOINT_SECRET])
    def test_client_account(self, cluster: Cluster, key: str) -> None:
        status, error = send(cluster, body(), key=key)
        assert status == 401
        check_error(error, "client_unknown")

    def test_service(self, cluster: Cluster) -> None:
        status, error = send(cluster, body(), "/v1/services/nowhere/requests")
        assert status == 404
        check_error(error, "service_unknown")

    @pytest.mark.parametrize(
        ("path", "method", "status", "error_id"),
        [
            ("/", "GET", 404, "path_unknown"),
            ("/v1/services/%ff/requests/more", "POST", 404, "path_unknown"),
            (REQUESTS, "DELETE", 405, "method_unknown"),
            (ENDPOINTS, "GET", 405, "method_unknown"),
        ],
    )
    def test_path_or_method(
        self, cluster: Cluster, path: str, method: str, status: int, error_id: str
    ) -> None:
        given, error = send(cluster, b"", path, method=method)
        assert given == status
        check_error(error, error_id)

    @pytest.mark.parametrize("secret", ["", WRONG_KEY, CLIENT_KEY, PEER_SECRET])
    def test_endpoint(self, cluster: Cluster, secret: str) -> None:
        content = json.dumps(ANNOUNCEMENT).encode()
        status, error = send(cluster, content, ENDPOINTS, secret)
        assert status == 401
        check_error(error, "not_authorized")

    @pytest.mark.parametrize("secret", ["", WRONG_KEY, CLIENT_KEY, ENDPOINT_SECRET])
    def test_peer_or_operator(self, cluster: Cluster, secret: str) -> None:
        identity = PeerIdentity("stranger", 1, secret)
        for kind, host in ((EntryPeer, "entry-1"), (ControlPeer, "control-1")):
            address = cluster.peer_address_by_id[host]
            client = PeerClient(kind.Client, address, identity)
            with pytest.raises(PeerRefusal) as refused:
                client.call(lambda peer: peer.status(), WAIT_SECONDS)
            client.close()
            assert refused.value.error_id == "peer_not_authorized"
            assert refused.value.remedy

    def test_operator_on_the_command_line(self, cluster: Cluster) -> None:
        address = cluster.peer_address_by_id["entry-1"]
        arguments = ["status", "--entry", address, "--peer-secret", WRONG_KEY]
        command = ManagedProcess(
            "wrong-operator", "jujubeslip.cli", arguments, cluster.folder
        )
        assert command.wait() == 1
        assert "peer_not_authorized" in command.output()

    def test_peer_with_another_protocol(self, cluster: Cluster) -> None:
        host, port = cluster.peer_address_by_id["entry-1"].split(":")
        for content in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\0\0\0\x04abcd"):
            with socket.create_connection((host, int(port))) as connection:
                connection.sendall(content)
        check_unaffected(cluster)


class TestInvalidAnnouncement:
    """An endpoint with the right secret sends an invalid announcement."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"incarnation": "first"},
            {"incarnation": 10**30},
            {"incarnation": float("inf")},
            {"incarnation": None},
            {"slots": -1},
            {"slots": 10**12},
            {"address": "here"},
            {"address": "127.0.0.999:1"},
            {"role": "cook"},
            {"role": []},
            {"leaving": "maybe"},
        ],
        ids=str,
    )
    def test_is_refused(self, cluster: Cluster, changes: dict) -> None:
        content = json.dumps({**ANNOUNCEMENT, **changes}).encode()
        status, error = send(cluster, content, ENDPOINTS, ENDPOINT_SECRET)
        assert status == 400, error
        check_error(error, "announcement_invalid")

    def test_is_refused_for_an_unknown_service(self, cluster: Cluster) -> None:
        content = json.dumps({**ANNOUNCEMENT, "service": "nowhere"}).encode()
        status, error = send(cluster, content, ENDPOINTS, ENDPOINT_SECRET)
        assert status == 404
        check_error(error, "service_unknown")


class TestLogs:
    """No log contains keys or secrets, not even at the DEBUG level."""

    def test_contain_no_secrets(self, cluster: Cluster) -> None:
        send(cluster, body(), key=WRONG_KEY)
        send(cluster, b"{", ENDPOINTS, WRONG_KEY)
        assert_complete(
            ask(cluster.client_address("entry-2"), SERVICE, model_message())
        )
        identity = PeerIdentity("stranger", 1, WRONG_KEY)
        address = cluster.peer_address_by_id["entry-1"]
        client = PeerClient(EntryPeer.Client, address, identity)
        with pytest.raises((PeerRefusal, PeerUnavailableError)):
            client.call(lambda peer: peer.status(), WAIT_SECONDS)
        for host in (*cluster.entry_ids, *cluster.control_ids):
            log = cluster.process_by_name[host].output()
            assert log or host in cluster.control_ids
            for key in (CLIENT_KEY, WRONG_KEY, ENDPOINT_SECRET, PEER_SECRET):
                assert key not in log, host
