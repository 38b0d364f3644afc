"""The operator's configurations: validation, and which version is in force."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure

from jujubeslip.platform._configurations import read_routes
from jujubeslip.routes import RouteKind, rank_of
from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

ROUTES = [route("a", "/a/", "plain"), route("b", "/a/b/", "plain")]
VALID = configuration(7, ROUTES, [PLAIN])


def changed(**route_fields: Any) -> dict[str, Any]:
    """Return the valid configuration with a changed first route."""
    result = copy.deepcopy(VALID)
    result["routes"][0].update(route_fields)
    return result


def with_engine(**engine_fields: Any) -> dict[str, Any]:
    """Return the valid configuration with a changed engine service added."""
    service: dict[str, Any] = copy.deepcopy(ENGINE)
    service["engine"].update(engine_fields)
    return {**VALID, "services": [PLAIN, service]}


def with_limit(name: str, value: Any) -> dict[str, Any]:
    """Return the valid configuration with a changed limit on clients' requests."""
    return {**VALID, "limits": {**VALID["limits"], name: value}}


def with_accounts(*accounts: Any) -> dict[str, Any]:
    """Return the valid configuration with client accounts."""
    return {**VALID, "tenants": list(accounts)}


ACCOUNT = {"name": "boards", "apiKeys": ["k1"]}
INVALID_ACCOUNTS: dict[str, Any] = {
    "accounts that share a key": with_accounts(ACCOUNT, {**ACCOUNT, "name": "desks"}),
    "an account twice": with_accounts(ACCOUNT, {"name": "boards", "apiKeys": ["k2"]}),
    "an empty key": with_accounts({**ACCOUNT, "apiKeys": [""]}),
    "a number for a key": with_accounts({**ACCOUNT, "apiKeys": [1]}),
    "text for the keys": with_accounts({**ACCOUNT, "apiKeys": "k1"}),
    "no keys": with_accounts({"name": "boards"}),
    "no name": with_accounts({"apiKeys": ["k1"]}),
    "an empty name": with_accounts({**ACCOUNT, "name": ""}),
    "a name that ends its header": with_accounts({**ACCOUNT, "name": "a\r\nb"}),
    "a number for a name": with_accounts({**ACCOUNT, "name": 7}),
    "text for an account": with_accounts("boards"),
    "accounts that are no list": {**VALID, "tenants": 3},
    "a rate below 0": with_accounts({**ACCOUNT, "ratePerS": -1}),
    "a rate that is not finite": with_accounts({**ACCOUNT, "ratePerS": float("inf")}),
    "a rate that is no number": with_accounts({**ACCOUNT, "ratePerS": float("nan")}),
    "a burst below 0": with_accounts({**ACCOUNT, "ratePerS": 1, "burst": -1}),
    "text for a rate": with_accounts({**ACCOUNT, "ratePerS": "9"}),
    "truth for a rate": with_accounts({**ACCOUNT, "ratePerS": True}),
    "text for a priority of an account": with_accounts({**ACCOUNT, "priority": "1"}),
    "a priority of an account below 0": with_accounts({**ACCOUNT, "priority": -1}),
    "a fraction for a priority": with_accounts({**ACCOUNT, "priority": 1.5}),
    "a priority that is no number": with_accounts(
        {**ACCOUNT, "priority": float("nan")}
    ),
    "fewer than 0 tokens": with_accounts({**ACCOUNT, "plainTokens": -1}),
}
INVALID: dict[str, Any] = {
    **INVALID_ACCOUNTS,
    "unknown service": changed(service="nobody"),
    "same place": changed(pathPrefix="/a/b/"),
    "no weight": changed(split=[{"service": "plain", "weight": 0}]),
    "no timeout": changed(timeoutMs=0),
    "text for a number": changed(timeoutMs="1500"),
    "unknown kind": changed(kind="maybe"),
    "version zero": {**VALID, "version": 0},
    "no version": {name: VALID[name] for name in VALID if name != "version"},
    "no routes": {name: VALID[name] for name in VALID if name != "routes"},
    "list": [VALID],
    "text for a priority": changed(priority="high"),
    "a priority below 0": changed(priority=-1),
    "a fraction for the priority of a route": changed(priority=0.5),
    "truth for a priority": changed(priority=True),
    "fraction of a connection": {**VALID, "services": [{**PLAIN, "maxConns": 0.5}]},
    "text for an engine's memory": with_engine(kvTokens="100"),
    "no time for a prompt": with_engine(kvTtlS=None),
    "no limits": {name: VALID[name] for name in VALID if name != "limits"},
    **{f"text for {name}": with_limit(name, "1") for name in VALID["limits"]},
}


class TestReadRoutes:
    def test_valid_one_is_read(self) -> None:
        table = read_routes(json.dumps(VALID)).unwrap()
        assert table.version == 7
        assert table.routes[0].kind is RouteKind.SAFE

    def test_service_of_engines_is_read(self) -> None:
        table = read_routes(json.dumps(with_engine(slots=5))).unwrap()
        engine = table.service_by_name["model"].engine
        assert engine is not None and engine.slots == 5

    def test_accounts_are_read_without_their_keys(self) -> None:
        limited = {**ACCOUNT, "unit": "tokens", "plainTokens": 200, "ratePerS": 9.5}
        fields = with_accounts(limited, {"name": "desks", "apiKeys": ["k2", "k3"]})
        accounts = read_routes(json.dumps(fields)).unwrap().accounts
        assert accounts is not None
        first, second = accounts.accounts
        assert first.limit is not None and first.limit.per_second == 9.5
        assert first.counts_tokens and first.plain_tokens == 200
        assert second.limit is None
        assert accounts.holder_of("k3") is second
        assert accounts.holder_of("") is None
        assert "k3" not in repr(accounts)

    def test_without_accounts_no_key_is_asked_for(self) -> None:
        assert read_routes(json.dumps(VALID)).unwrap().accounts is None
        assert read_routes(json.dumps(with_accounts())).unwrap().accounts is not None

    def test_priorities_are_read(self) -> None:
        routes = [
            route("a", "/a/", "plain", priority=2),
            {k: v for k, v in route("b", "/b/", "plain").items() if k != "priority"},
        ]
        fields = configuration(7, routes, [PLAIN])
        table = read_routes(json.dumps(fields)).unwrap()
        assert [item.priority for item in table.routes] == [2, 0]
        assert table.ranks_by_service == {"plain": (0, 2)}

    def test_priority_of_an_account_overrides_that_of_routes(self) -> None:
        urgent = {**ACCOUNT, "priority": 3}
        fields = with_accounts(urgent, {"name": "desks", "apiKeys": ["k2"]})
        table = read_routes(json.dumps(fields)).unwrap()
        assert table.accounts is not None
        ranks = [
            rank_of(table.routes[0], account) for account in table.accounts.accounts
        ]
        assert [*ranks, rank_of(table.routes[0], None)] == [3, 1, 1]
        assert table.ranks_by_service == {"plain": (1, 3)}

    @pytest.mark.parametrize("name", INVALID_ACCOUNTS)
    def test_problem_of_an_account_names_no_key(self, name: str) -> None:
        fields = json.loads(json.dumps(INVALID_ACCOUNTS[name]))
        assert "k1" not in read_routes(json.dumps(fields)).failure()

    def test_longest_prefix_matches(self) -> None:
        table = read_routes(json.dumps(VALID)).unwrap()
        found = [table.find_route("boards.example", path) for path in ("/a/b/c", "/a/")]
        assert [item.name for item in found if item] == ["b", "a"]
        assert table.find_route("boards.example", "/b/") is None
        assert table.find_route("other.example", "/a/b/c") is None

    def test_unknown_fields_are_ignored(self) -> None:
        fields = {**changed(newField=1), "another": {}}
        assert read_routes(json.dumps(fields)).unwrap().version == 7

    @pytest.mark.parametrize("name", INVALID)
    def test_invalid_one_is_refused_with_a_reason(self, name: str) -> None:
        refused = read_routes(json.dumps(INVALID[name]))
        assert isinstance(refused, Failure)
        assert refused.failure()

    def test_truncated_one_is_refused(self) -> None:
        content = json.dumps(VALID)
        assert isinstance(read_routes(content[: len(content) // 2]), Failure)


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    with PlatformSystem(tmp_path_factory.mktemp("configurations"), 3, 1) as running:
        running.add(PlatformWorker("w-1", "plain"))
        yield running


class TestAcceptedConfiguration:
    """Operators number their changes, send them concurrently, and retry them.

    The highest acknowledged version stays in force on every host.
    """

    def test_host_without_configuration_refuses_requests(
        self, system: PlatformSystem
    ) -> None:
        wait_until(lambda: "serves" in system.entries[0].output(), "entry host starts")
        reply = system.ask("/a/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert not system.ready()

    def test_highest_version_is_in_force_and_stays(
        self, system: PlatformSystem
    ) -> None:
        system.put_until_accepted(configuration(20, ROUTES, [PLAIN]))
        system.wait_served("/a/x")
        other = configuration(20, ROUTES[:1], [PLAIN])
        older = configuration(19, ROUTES[:1], [PLAIN])
        for control in range(3):
            assert system.put(other, control) == 200
            assert system.put(older, control) == 200
            assert system.read(control) == (200, configuration(20, ROUTES, [PLAIN]))

    def test_invalid_one_changes_nothing(self, system: PlatformSystem) -> None:
        before = system.read()
        for fields in INVALID.values():
            assert system.put(fields, 1) == 400
        assert system.put(b'{"version": 900, "rou', 2) == 400
        assert system.read() == before

    def test_is_in_force_on_the_entry_host_at_once(
        self, system: PlatformSystem
    ) -> None:
        added = [*ROUTES, route("c", "/c/", "plain")]
        assert system.ask("/c/x").status == 404
        system.put_until_accepted(configuration(30, added, [PLAIN]), 2)
        wait_until(lambda: system.ask("/c/x").status == 200, "new route in force", 2)

    def test_survives_the_death_of_all_control_hosts(
        self, system: PlatformSystem
    ) -> None:
        system.put_until_accepted(configuration(40, ROUTES, [PLAIN]), 1)
        for host in system.controls:
            host.kill()
        assert system.ask("/a/x").status == 200
        for host in system.controls:
            host.start()
        wait_until(lambda: system.read()[0] == 200, "configuration read")
        assert system.read()[1]["version"] == 40

    def test_host_without_a_majority_refuses_reads(
        self, system: PlatformSystem
    ) -> None:
        """A host partitioned from the majority can't know of newer versions."""
        for host in system.controls[1:]:
            host.kill()
        wait_until(lambda: system.read()[0] == 503, "no read without a majority")
        assert system.put(configuration(50, ROUTES, [PLAIN])) in (503, None)
        for host in system.controls[1:]:
            host.start()
        wait_until(lambda: system.read()[0] == 200, "configuration read again")


class TestMalformedAnnouncement:
    def test_is_refused_and_changes_nothing(self, tmp_path: Path) -> None:
        with PlatformSystem(tmp_path) as system:
            worker = PlatformWorker("w-1", "plain")
            system.put_until_accepted(configuration(1, ROUTES, [PLAIN]))
            system.wait_ready()
            for body in (b"{", b"[]", b"{}", b'{"service": "plain"}'):
                assert system._call(0, "PUT", "/instances/w-1", body, 3)[0] == 400
            assert system.ask("/a/x").status == 503
            worker.close()
