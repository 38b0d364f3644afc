"""Identification of client accounts by their keys, with real processes."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    HOST,
    PLAIN,
    PROMPT,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

FIRST_KEY, SECOND_KEY, OTHER_KEY = "k-first-7f3a", "k-second-91bd", "k-other-e440"
CLOSED, OPEN, MODEL = "/closed/x", "/open/x", "/model/x"
ROUTES = [
    route("closed", "/closed/", "plain"),
    route("open", "/open/", "plain", public=True),
    route("model", "/model/", "model", kind="stream", timeoutMs=6000, sloMs=900),
]


def account(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a client account as the operator declares it."""
    return {"name": name, "apiKeys": list(keys), **fields}


ACCOUNTS = [account("boards", FIRST_KEY, SECOND_KEY), account("desks", OTHER_KEY)]


def with_accounts(version: int, accounts: list[dict[str, Any]]) -> dict[str, Any]:
    fields = configuration(version, ROUTES, [PLAIN, ENGINE])
    return {**fields, "tenants": accounts}


def key(text: str) -> dict[str, str]:
    return {"Authorization": f"Token {text}"}


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    with PlatformSystem(tmp_path_factory.mktemp("accounts")) as running:
        running.put_until_accepted(with_accounts(1, ACCOUNTS))
        running.wait_ready()
        running.add(PlatformWorker("plain-1", "plain"))
        running.add(PlatformWorker("reads-1", "model", stage="prefill"))
        running.add(PlatformWorker("answers-1", "model", stage="decode"))
        for path in (OPEN, MODEL):
            wait_until(
                lambda path=path: served(running, path),  # type: ignore[misc]
                f"{path} is served",
            )
        yield running


def served(system: PlatformSystem, path: str) -> bool:
    headers = {**key(FIRST_KEY), **(PROMPT if path == MODEL else {})}
    return system.ask(path, headers=headers, deadline_ms=5000).status == 200


def workers(system: PlatformSystem) -> list[PlatformWorker]:
    return system._workers


def received(system: PlatformSystem) -> list[dict[str, str]]:
    """Return the headers of every call to a worker for the last request."""
    request_id = system.last_request_id
    sent = [run.headers for worker in workers(system) for run in worker.runs]
    sent += [
        headers for worker in workers(system) for headers in worker.prefill_headers
    ]
    return [
        {name.lower(): value for name, value in headers.items()}
        for headers in sent
        if headers.get("Request-Id") == request_id
    ]


class TestKeyOfAnAccount:
    """Guards against a client's key that is passed on to endpoints.

    Whoever reads the requests of an endpoint could then use the key.
    """

    def test_endpoint_gets_the_name_and_not_the_key(
        self, system: PlatformSystem
    ) -> None:
        assert system.ask(CLOSED, headers=key(SECOND_KEY)).status == 200
        (headers,) = received(system)
        assert headers["tenant"] == "boards"
        assert "authorization" not in headers
        assert SECOND_KEY not in str(headers)

    def test_so_does_the_prefill_engine(self, system: PlatformSystem) -> None:
        headers = {**key(OTHER_KEY), **PROMPT}
        assert system.ask(MODEL, headers=headers, deadline_ms=5000).status == 200
        got = received(system)
        assert [item["tenant"] for item in got] == ["desks", "desks"]
        assert OTHER_KEY not in str(got)

    def test_name_in_the_clients_own_header_is_dropped(
        self, system: PlatformSystem
    ) -> None:
        for name in ("Tenant", "tenant", "TENANT"):
            headers = {**key(FIRST_KEY), name: "desks", "Connection": "tenant"}
            assert system.ask(CLOSED, headers=headers).status == 200
            (got,) = received(system)
            assert got["tenant"] == "boards"
        assert system.ask(OPEN, headers={"Tenant": "desks"}).status == 200
        (got,) = received(system)
        assert "tenant" not in got

    def test_public_route_needs_no_key(self, system: PlatformSystem) -> None:
        assert system.ask(OPEN).status == 200
        assert system.ask(OPEN, headers=key("nobody's")).status == 200
        (headers,) = received(system)
        assert not {"tenant", "authorization"} & headers.keys()


class TestRequestWithoutAValidKey:
    """No account has the key: the request gets 401 at once, and runs nowhere."""

    @pytest.mark.parametrize(
        "authorization",
        [
            None,
            "",
            "Token",
            "Token ",
            "Token nobody's",
            f"Bearer {FIRST_KEY}",
            f"Token {FIRST_KEY}x",
            f"Token {FIRST_KEY.upper()}",
            f"Token {FIRST_KEY} {FIRST_KEY}",
            f"Token {FIRST_KEY}, Token {FIRST_KEY}",
            FIRST_KEY,
        ],
    )
    def test_is_refused(
        self, system: PlatformSystem, authorization: str | None
    ) -> None:
        headers = {} if authorization is None else {"Authorization": authorization}
        reply = system.ask(CLOSED, headers=headers)
        assert reply.status == 401
        assert b'"ran": "no"' in reply.body
        assert b"key" in reply.body
        assert received(system) == []

    def test_is_refused_when_the_header_comes_twice(
        self, system: PlatformSystem
    ) -> None:
        host, _, port = system.entry_http[0].partition(":")
        with socket.create_connection((host, int(port)), timeout=5) as client:
            client.sendall(
                f"GET {CLOSED} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: two-keys\r\n"
                f"Authorization: Token {FIRST_KEY}\r\n"
                f"Authorization: Token {OTHER_KEY}\r\n\r\n".encode()
            )
            assert b" 401 " in client.recv(1000)

    def test_unknown_route_is_reported_first(self, system: PlatformSystem) -> None:
        assert system.ask("/nowhere/").status == 404


class TestChangesOfKeys:
    """The operator removes a key, and adds another one."""

    def test_are_in_force_on_open_connections(
        self, tmp_path_factory: pytest.TempPathFactory
    ) -> None:
        with PlatformSystem(tmp_path_factory.mktemp("changes")) as system:
            system.put_until_accepted(with_accounts(1, ACCOUNTS))
            system.wait_ready()
            system.add(PlatformWorker("plain-1", "plain"))
            asked = {"path": CLOSED, "headers": key(FIRST_KEY)}
            wait_until(
                lambda: system.ask(**asked).status == 200,  # type: ignore[arg-type]
                "the key holds",
            )
            left = [account("boards", "k-new"), account("desks", OTHER_KEY)]
            system.put_until_accepted(with_accounts(2, left))
            wait_until(
                lambda: system.ask(**asked).status == 401,  # type: ignore[arg-type]
                "the key is refused",
            )
            assert system.ask(CLOSED, headers=key("k-new")).status == 200
            system.put_until_accepted(configuration(3, ROUTES, [PLAIN, ENGINE]))
            wait_until(lambda: system.ask(CLOSED).status == 200, "no key is needed")
            (got,) = received(system)
            assert "tenant" not in got


def ask_as(system: PlatformSystem, api_key: str) -> str:
    """Send a request with a key; return its id."""
    system.ask(CLOSED, headers=key(api_key))
    return system.last_request_id


class TestKeysInOutput:
    """Guards against keys in logs and metrics, where every reader could use them."""

    def test_there_is_none(self, system: PlatformSystem) -> None:
        served = ask_as(system, FIRST_KEY)
        refused = ask_as(system, "k-nobody-55aa")
        doubled = [account("a", OTHER_KEY), account("b", OTHER_KEY)]
        assert system.put(with_accounts(9, doubled)) == 400
        wrong = [account("a", OTHER_KEY, ratePerS="k-wrong-11bb")]
        assert system.put(with_accounts(9, wrong)) == 400
        hosts = (*system.controls, *system.entries)

        def written_by_all() -> str:
            return "".join(host.output() for host in hosts)

        for request_id in (served, refused):
            wait_until(
                lambda request_id=request_id: request_id in written_by_all(),  # type: ignore[misc]
                "the lines of the request",
            )
        written = written_by_all()
        metrics = str(system.metrics(system.entry_metrics[0]))
        for text in (FIRST_KEY, OTHER_KEY, "k-nobody-55aa", "k-wrong-11bb"):
            assert text not in written
            assert text not in metrics
