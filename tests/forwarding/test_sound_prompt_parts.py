"""Sound requests beside fatal parts of prompts, and what hosts know after restarts."""

from __future__ import annotations

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
from click.testing import CliRunner

from jujubeslip.cli import main
from jujubeslip.quarantine import part_fingerprint_of
from tests.fakes.fatal_parts import (
    ENTRIES,
    LEAST_SERVED_SHARE,
    MAXIMUM_LATE_REQUESTS,
    SYSTEM_PART,
    FatalSystem,
    Sent,
    fatal_system,
)
from tests.fakes.platform_system import SECRET
from tests.fakes.processes import wait_until

TENANT_PART = "7e4a47"
# How often engines are killed one after the other, and the pause between, in seconds.
KILLS = 8
KILL_PAUSE_SECONDS = 0.3


@pytest.fixture(scope="module")
def fatal(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FatalSystem]:
    with fatal_system(tmp_path_factory.mktemp("sound-parts")) as running:
        yield running


def refused(sent: list[Sent]) -> list[Sent]:
    return [item for item in sent if b"request_quarantined" in item.reply.body]


def quarantine(fatal: FatalSystem, part: str) -> list[str]:
    """Send unlike requests with the part until every host refuses it."""
    shared = [SYSTEM_PART, part]
    for entry in range(ENTRIES):
        wait_until(
            lambda entry=entry: (  # type: ignore[misc]
                fatal.is_served([SYSTEM_PART]) and fatal.is_quarantined(shared, entry)
            ),
            "it is refused",
        )
    return shared


class TestSoundRequests:
    """Guards against refusing sound requests for what crashes endpoints."""

    def test_are_served_beside_several_fatal_parts(self, fatal: FatalSystem) -> None:
        prompts = [[SYSTEM_PART, TENANT_PART, f"fa7a1{number}"] for number in range(3)]
        sound = [SYSTEM_PART, TENANT_PART]
        with ThreadPoolExecutor(len(prompts) + 1) as pool:
            attacks = [pool.submit(fatal.send_for, 5.0, *prompt) for prompt in prompts]
            beside = pool.submit(fatal.send_for, 5.0, *sound)
            for attack in attacks:
                attack.result()
        assert refused(beside.result()) == []
        late = [fatal.clients.send(prompt) for prompt in prompts * 5]
        assert len(fatal.reached(late)) <= MAXIMUM_LATE_REQUESTS * len(prompts)
        after = fatal.send_for(2.0, *sound)
        served = [item for item in after if item.reply.complete]
        assert len(served) >= LEAST_SERVED_SHARE * len(after)
        assert refused(after) == []

    def test_are_served_while_engines_are_killed_from_outside(
        self, fatal: FatalSystem
    ) -> None:
        with ThreadPoolExecutor(ENTRIES) as pool:
            clients = [
                pool.submit(
                    fatal.send_for, KILLS * KILL_PAUSE_SECONDS, SYSTEM_PART, TENANT_PART
                )
                for _ in range(ENTRIES)
            ]
            fatal.kill_engines(KILLS, KILL_PAUSE_SECONDS)
            sent = [item for client in clients for item in client.result()]
        assert refused(sent) == []
        wait_until(
            lambda: fatal.is_served([SYSTEM_PART, TENANT_PART]), "they are served"
        )


class TestKnowledgeOfHosts:
    """Guards against a quarantine of a part that is lost with a host or a leader."""

    def test_restarted_entry_host_refuses_it(self, fatal: FatalSystem) -> None:
        shared = quarantine(fatal, "fa7a13")
        fatal.system.entries[1].kill()
        fatal.system.entries[1].start()
        wait_until(lambda: fatal.system.ready(1), "the host is ready")
        sent = [fatal.clients.send(shared, entry=1) for _ in range(10)]
        assert len(fatal.reached(sent)) <= MAXIMUM_LATE_REQUESTS

    def test_restarted_control_hosts_learn_of_it(self, fatal: FatalSystem) -> None:
        shared = quarantine(fatal, "fa7a14")
        for host in fatal.system.controls:
            host.kill()
        for host in fatal.system.controls:
            host.start()
        wait_until(
            lambda: fatal.system.put(fatal.system.read()[1]) == 200, "a leader is there"
        )
        fatal.system.entries[2].kill()
        fatal.system.entries[2].start()
        wait_until(lambda: fatal.system.ready(2), "the host is ready")
        sent = [fatal.clients.send(shared, entry=2) for _ in range(10)]
        assert len(fatal.reached(sent)) <= MAXIMUM_LATE_REQUESTS

    def test_it_is_established_without_a_leader(self, fatal: FatalSystem) -> None:
        for host in fatal.system.controls[1:]:
            host.kill()
        try:
            wait_until(lambda: fatal.is_served([SYSTEM_PART]), "served without leader")
            quarantine(fatal, "fa7a15")
        finally:
            for host in fatal.system.controls[1:]:
                host.start()


class TestOperators:
    def test_list_explain_and_lift_it(self, fatal: FatalSystem) -> None:
        shared = quarantine(fatal, "fa7a16")
        options = ["--peer-secret", SECRET]
        for address in fatal.system.seeds:
            options += ["--control", address]
        command = ["quarantine", "list", "--part", "fa7a16", *options, "--json"]
        result = CliRunner().invoke(main, command)
        assert result.exit_code == 0, result.output
        shown = json.loads(result.stdout)
        assert shown["contents"] == []
        (part,) = shown["parts"]
        assert part["fingerprint"] == part_fingerprint_of("fa7a16")
        reply = fatal.clients.send(shared, entry=0).reply
        refusal = json.loads(reply.body)
        assert (reply.status, refusal["ran"]) == (503, "no")
        assert part["fingerprint"] in refusal["remedy"]
        assert float(reply.headers["retry-after"]) > 0
        lift = ["quarantine", "lift", part["fingerprint"], *options]
        assert CliRunner().invoke(main, lift).exit_code == 0
        for entry in range(ENTRIES):
            wait_until(
                lambda entry=entry: not fatal.is_quarantined(shared, entry),  # type: ignore[misc]
                "it runs again",
            )
