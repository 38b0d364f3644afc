"""Helpers shared by the tests of invalid input."""

from __future__ import annotations

import http.client
import json
import socket

from tests.fakes.client import ask
from tests.fakes.cluster import (
    CLIENT_KEY,
    Cluster,
    ClusterSpec,
    EngineSpec,
    PlainSpec,
)
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import model_endpoints, small_system
from tests.requests.support import SERVICE, WAIT_SECONDS, assert_complete, model_message

RECEIVE_MS = 2000
BODY_BYTES = 100_000
REQUESTS = f"/v1/services/{SERVICE}/requests"


def strict_system() -> ClusterSpec:
    """Return a system with low limits that logs at the DEBUG level."""
    plain = PlainSpec("plain-1", "confirmations")
    endpoints: tuple[EngineSpec | PlainSpec, ...] = (*model_endpoints(), plain)
    return small_system(
        endpoints,
        entries=2,
        telemetry={"log_level": "DEBUG"},
        entry_options={
            "receive_timeout_ms": RECEIVE_MS,
            "maximum_body_bytes": BODY_BYTES,
        },
    )


def send(
    cluster: Cluster,
    body: bytes,
    path: str = REQUESTS,
    key: str = CLIENT_KEY,
    headers: dict[str, str] | None = None,
    method: str = "POST",
) -> tuple[int, dict]:
    """Send a raw body and return the status and the error of the response."""
    address = cluster.http_address_by_id["entry-1"]
    connection = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
    head = {"Authorization": f"Bearer {key}", **(headers or {})}
    try:
        connection.request(method, path, body, head)
        response = connection.getresponse()
        return response.status, json.loads(response.read())["error"]
    finally:
        connection.close()


def raw_head(length: int) -> bytes:
    """Return the head of a request with this content length."""
    return (
        f"POST {REQUESTS} HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {CLIENT_KEY}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def connect(cluster: Cluster) -> socket.socket:
    """Open a connection to an entry host's HTTP port."""
    host, port = cluster.http_address_by_id["entry-1"].split(":")
    return socket.create_connection((host, int(port)), WAIT_SECONDS)


def check_unaffected(cluster: Cluster) -> None:
    """Check that another client is served and that no resource stays held."""
    address = cluster.client_address("entry-1")
    assert_complete(ask(address, SERVICE, model_message()))
    wait_until(
        lambda: cluster.entry_status("entry-1").open_requests == 0,
        "no request is open",
    )
    cluster.wait_nothing_held()


def check_error(error: dict, error_id: str) -> None:
    """Check that an error has its id, a message and a remedy, and says `not run`."""
    assert error["error_id"] == error_id, error
    assert error["ran"] == "no"
    assert error["message"]
    assert error["remedy"]


def body(**fields: object) -> bytes:
    """Return a request body with some of its fields replaced."""
    return json.dumps({**model_message(), **fields}).encode()
