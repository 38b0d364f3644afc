"""The trace command explains a failed request from the logs of its hosts."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 8000, "sloMs": 100, "gapSloMs": 300}
    routes = [
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
        route("unsafe", "/unsafe/", "plain", kind="unsafe"),
    ]
    with PlatformSystem(tmp_path_factory.mktemp("trace")) as running:
        running.put_until_accepted(configuration(1, routes, [ENGINE, PLAIN]))
        running.wait_ready()
        yield running


class Engines:
    """One prefill engine and one decode engine."""

    def __init__(self, system: PlatformSystem, name: str) -> None:
        self._system = system
        self.prefill_engine = system.add(
            PlatformWorker(f"reader-{name}", "model", "prefill")
        )
        self.decode_engine = system.add(
            PlatformWorker(f"engine-{name}", "model", "decode")
        )

    def leave(self) -> None:
        for worker in (self.prefill_engine, self.decode_engine):
            self._system.withdraw(worker)
            assert self._system.leave(worker) == 200
            worker.close()


def ask_stream(system: PlatformSystem) -> Reply:
    return system.ask("/stream/x", "POST", b"prompt", PROMPT, deadline_ms=8000)


def wait_for_grants(system: PlatformSystem, engines: Engines) -> None:
    def granted() -> bool:
        ask_stream(system)
        grants = system.logged("grant at an engine")
        ids = [line["endpoint_id"] for line in grants]
        return engines.decode_engine.worker_id in ids

    wait_until(granted, "the leader grants the engine")


def trace(system: PlatformSystem, folder: Path) -> str:
    """Return the command's output for the last request."""
    request_id = system.last_request_id
    wait_until(lambda: has_ended(system, request_id), "its end is logged")
    files = []
    for host in (*system.controls, *system.entries):
        path = folder / f"{host.name}.log"
        path.write_text(host.output())
        files.append(str(path))
    command = [sys.executable, "-m", "jujubeslip.cli", "trace"]
    completed = subprocess.run(
        [*command, request_id, *files], capture_output=True, text=True, check=True
    )
    return completed.stdout


def has_ended(system: PlatformSystem, request_id: str) -> bool:
    lines = system.entries[0].output().splitlines()
    return any('"request ended"' in line and request_id in line for line in lines)


class TestRefusedRequest:
    """Guards against a 503 that operators can't explain.

    The engines' consoles show free slots, but memory is exhausted: the engine has
    memory for the prompt, but not for the growth of its answers.
    """

    def test_is_explained_by_the_leader_that_refused_it(
        self, system: PlatformSystem, tmp_path: Path
    ) -> None:
        engines = Engines(system, "full")
        wait_for_grants(system, engines)
        engines.decode_engine.capacity = 110
        wait_until(
            lambda: ask_stream(system).status == 503, "the leader knows the free memory"
        )
        request_id = system.last_request_id
        wait_until(
            lambda: any(
                line["request_id"] == request_id
                for line in system.logged("no grant at an engine")
            ),
            "the leader's refusal is logged",
        )
        text = trace(system, tmp_path)
        engines.leave()
        assert "control-0.log no grant at an engine" in text
        assert (
            "cause: Refused, not run: the leader found no engine with enough free "
            "memory for its 100 prompt tokens" in text
        )
        assert "100 prompt tokens" in text


class TestLostAnswer:
    """A request ends with 502: its endpoint accepted it and closed the connection."""

    def test_is_explained_by_the_endpoint(
        self, system: PlatformSystem, tmp_path: Path
    ) -> None:
        worker = system.add(PlatformWorker("plain-lost", "plain"))
        system.wait_served("/unsafe/x", method="POST", body=b"shift")
        worker.faults.lose = 1
        assert system.ask("/unsafe/x", "POST", b"shift").status == 502
        text = trace(system, tmp_path)
        assert "cause: Its answer was lost: endpoint plain-lost took it" in text
        assert "answer_cut" in text


class TestLateStream:
    """A stream's first event is late: its KV cache was lost after the prefill.

    The decode engine prefills the prompt again, which takes longer.
    """

    def test_is_explained_by_the_lost_kv_cache(
        self, system: PlatformSystem, tmp_path: Path
    ) -> None:
        engines = Engines(system, "late")
        wait_for_grants(system, engines)
        engines.decode_engine.faults.lapse = 1
        engines.decode_engine.run_seconds = 0.5
        assert ask_stream(system).complete
        text = trace(system, tmp_path)
        engines.leave()
        assert "cause: Answered whole, late: its first event came after" in text
        assert "its prompt had been prefilled, its KV cache was lost" in text


class TestUnknownRequest:
    def test_is_reported_as_unknown(
        self, system: PlatformSystem, tmp_path: Path
    ) -> None:
        path = tmp_path / "empty.log"
        path.write_text("not a line of ours\n")
        command = [sys.executable, "-m", "jujubeslip.cli", "trace", "none", str(path)]
        completed = subprocess.run(command, capture_output=True, text=True, check=True)
        assert "No line names this request" in completed.stdout

    def test_missing_file_is_named(self, tmp_path: Path) -> None:
        path = tmp_path / "missing.log"
        command = [sys.executable, "-m", "jujubeslip.cli", "trace", "none", str(path)]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        assert completed.returncode == 3
        assert str(path) in completed.stderr
