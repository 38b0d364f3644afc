"""Limits of client accounts over all hosts, with real processes."""

from __future__ import annotations

import json
import signal
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from jujubeslip.cli import main
from jujubeslip.tracing import cause_of, lines_about
from tests.fakes.platform_system import PROMPT, SECRET, PlatformSystem, Reply
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until
from tests.forwarding.test_accounts import (
    CLOSED,
    MODEL,
    OPEN,
    account,
    key,
    with_accounts,
)

# PROMPT counts 120 tokens, a plain request 100.
LIMITED = {"unit": "tokens", "plainTokens": 100, "ratePerS": 100.0, "burst": 600}
HOSTS = 2
# Delay of the leader's answers, in seconds: longer than a host waits for them.
LATE_SECONDS = 0.4


def accounts(**hot_fields: Any) -> list[dict[str, Any]]:
    return [
        account("hot", "k-hot", **{**LIMITED, **hot_fields}),
        account("streams", "k-streams", **LIMITED),
        account("filled", "k-filled", **{**LIMITED, "plainTokens": 400}),
        account("late", "k-late", **LIMITED),
        account("free", "k-free"),
    ]


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    with PlatformSystem(tmp_path_factory.mktemp("limits"), entries=HOSTS) as running:
        running.put_until_accepted(with_accounts(1, accounts()))
        running.wait_ready()
        running.add(PlatformWorker("plain-1", "plain"))
        running.add(PlatformWorker("reads-1", "model", stage="prefill"))
        running.add(PlatformWorker("answers-1", "model", stage="decode"))
        for path in (OPEN, MODEL):
            headers = {**key("k-free"), **(PROMPT if path == MODEL else {})}
            running.wait_served(path, headers=headers, deadline_ms=5000)
        # A new leader's accounts start empty and fill up, as the slack is 0.
        wait_until(
            lambda: running.ask(CLOSED, headers=key("k-filled")).status == 200,
            "accounts have filled",
        )
        yield running


def ask_many(
    system: PlatformSystem, path: str, api_key: str, count: int
) -> list[Reply]:
    """Send this many requests at once, to all hosts in turn."""
    headers = {**key(api_key), **(PROMPT if path == MODEL else {})}

    def ask(number: int) -> Reply:
        return system.ask(path, headers=headers, entry=number % HOSTS, deadline_ms=5000)

    with ThreadPoolExecutor(count) as threads:
        return list(threads.map(ask, range(count)))


def use_by_account(system: PlatformSystem) -> dict[str, dict[str, Any]]:
    """Return what is left of each account's limit, as the leader shows operators."""
    address = system.seeds[0]
    command = ["status", "--control", address, "--peer-secret", SECRET, "--json"]
    result = CliRunner().invoke(main, command)
    return {use["account_name"]: use for use in json.loads(result.output)["accounts"]}


class TestAccountBeyondItsLimit:
    """One account sends many times its limit, to two hosts at once."""

    @pytest.mark.parametrize(
        ("path", "api_key"), [(CLOSED, "k-hot"), (MODEL, "k-streams")]
    )
    def test_is_refused_at_once_with_a_retry_time(
        self, system: PlatformSystem, path: str, api_key: str
    ) -> None:
        replies = ask_many(system, path, api_key, 24)
        served = [reply for reply in replies if reply.status == 200]
        refused = [reply for reply in replies if reply.status == 429]
        assert len(served) + len(refused) == len(replies)
        # 600 tokens at once, and 100 for each second that the requests took.
        assert 1 <= len(served) <= 10
        for reply in refused:
            assert 0 < float(reply.headers["retry-after"]) < 15
            assert b'"ran": "no"' in reply.body
            assert b"tokens" in reply.body

    def test_does_not_affect_other_accounts(self, system: PlatformSystem) -> None:
        ask_many(system, CLOSED, "k-hot", 12)
        replies = ask_many(system, CLOSED, "k-free", 12)
        assert {reply.status for reply in replies} == {200}

    def test_is_served_again_after_that_time(self, system: PlatformSystem) -> None:
        ask_many(system, CLOSED, "k-hot", 12)
        wait_until(
            lambda: system.ask(CLOSED, headers=key("k-hot")).status == 200,
            "the account is served again",
        )

    def test_is_named_in_the_logs(self, system: PlatformSystem) -> None:
        ask_many(system, CLOSED, "k-hot", 12)
        message = "request not within its account's limit"
        wait_until(
            lambda: any(message in host.output() for host in system.entries),
            "the line of a refusal",
        )

        def logged() -> list[dict[str, Any]]:
            return system.logged("account has used its limit")

        wait_until(
            lambda: "hot" in {line["account"] for line in logged()},
            "the line of the account",
        )
        assert {line["per_second"] for line in logged()} == {100}


class TestCauseOfARefusal:
    """Guards against refusals whose cause operators can't find out."""

    def cause(self, system: PlatformSystem, folder: Path) -> str:
        """Return the cause that trace finds for the last request in the hosts' logs."""
        paths = []
        for host in (*system.controls, *system.entries):
            paths.append(folder / f"{host.name}.log")
            paths[-1].write_text(host.output())
        return cause_of(lines_about(system.last_request_id, paths))

    def test_is_shown_for_a_key(self, system: PlatformSystem, tmp_path: Path) -> None:
        assert system.ask(CLOSED, headers=key("nobody's")).status == 401
        wait_until(
            lambda: "no account holds the key" in self.cause(system, tmp_path),
            "the cause",
        )

    def test_is_shown_for_a_limit(self, system: PlatformSystem, tmp_path: Path) -> None:
        wait_until(
            lambda: system.ask(CLOSED, headers=key("k-hot")).status == 429,
            "the limit is used",
        )
        wait_until(lambda: "account 'hot'" in self.cause(system, tmp_path), "the cause")
        assert "its limit is used" in self.cause(system, tmp_path)

    def test_what_is_left_is_shown(self, system: PlatformSystem) -> None:
        uses = use_by_account(system)
        assert uses["hot"]["per_second"] == 100
        assert uses["hot"]["left"] <= 600

    def test_is_counted_by_account(self, system: PlatformSystem) -> None:
        metrics = [system.metrics(address) for address in system.entry_metrics]
        names = {
            name for item in metrics for name in item if "account_refusals" in name
        }
        assert any('account="hot"' in name for name in names)


class TestLeaderThatAnswersLate:
    """Guards against refusals of allowed requests after one late answer."""

    def test_is_called_again(self, system: PlatformSystem) -> None:
        wait_until(
            lambda: system.ask(CLOSED, headers=key("k-late")).status == 200,
            "the account is served",
        )
        wait_until(
            lambda: use_by_account(system)["late"]["left"] >= 300, "the account fills"
        )
        leader = system.controls[0]
        leader.signal(signal.SIGSTOP)
        resumed = threading.Timer(LATE_SECONDS, leader.signal, [signal.SIGCONT])
        resumed.start()
        try:
            replies = ask_many(system, CLOSED, "k-late", 24)
        finally:
            resumed.join()
        assert {reply.status for reply in replies} <= {200, 429}
        assert 1 <= sum(reply.status == 200 for reply in replies) <= 10


class TestChangeOfALimit:
    """An operator raises or removes an account's limit."""

    def test_is_in_force_soon(self, system: PlatformSystem) -> None:
        ask_many(system, CLOSED, "k-hot", 12)
        system.put_until_accepted(with_accounts(5, accounts(ratePerS=0)))
        wait_until(
            lambda: (
                {reply.status for reply in ask_many(system, CLOSED, "k-hot", 12)}
                == {200}
            ),
            "no limit is in force",
        )
