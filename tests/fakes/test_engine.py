"""Tests of the stand-in engine: its timing, its memory and its streams."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.fakes._records import answer_text, block_hashes
from tests.fakes.processes import ManagedProcess, call_json, wait_until

PROMPT = " ".join(f"p{number}" for number in range(200))
StartEngine = Callable[..., str]


@pytest.fixture
def start_engine(tmp_path: Path) -> Iterator[StartEngine]:
    """Return a function that starts an engine and returns its address."""
    started: list[ManagedProcess] = []

    def start(role: str, **options: object) -> str:
        name = f"{role}-{len(started)}"
        arguments = ["--endpoint-id", name, "--role", role, "--service", "s"]
        for key, value in options.items():
            arguments.append(f"--{key.replace('_', '-')}")
            arguments += [] if value is True else [str(value)]
        process = ManagedProcess(name, "tests.fakes.engine", arguments, tmp_path)
        started.append(process)
        return str(process.wait_ready()["address"])

    yield start
    for process in started:
        process.kill()


def prefill(address: str, request_id: str, prompt: str = PROMPT, priority: int = 1):
    body = {
        "request_id": request_id,
        "attempt": 1,
        "owner": "entry-1/1",
        "model": "model",
        "prompt": prompt,
        "priority": priority,
    }
    return call_json(address, "POST", "/v1/prefill", body)


def import_cache(address: str, source: str, request_id: str, kv_id: str, **more):
    body = {"request_id": request_id, "attempt": 1, "owner": "entry-1/1"}
    body |= {"source": source, "kv_id": kv_id, **more}
    return call_json(address, "POST", "/v1/import", body)


def decode(address: str, request_id: str, kv_id: str, offset: int, limit: int):
    """Return the lines of a decode stream."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    body = {"request_id": request_id, "attempt": 1, "kv_id": kv_id}
    body |= {"offset": offset, "max_tokens": limit}
    connection.request("POST", "/v1/decode", json.dumps(body))
    lines = [json.loads(line) for line in connection.getresponse()]
    connection.close()
    return lines


def text_of(lines: list[dict]) -> str:
    return "".join(line["token"] for line in lines if "token" in line)


def held(address: str) -> list[dict]:
    return call_json(address, "GET", "/v1/status")[1]["held"]


def set_faults(address: str, **faults: object) -> None:
    assert call_json(address, "POST", "/v1/admin/faults", faults)[0] == 200


class TestPrefill:
    """The prefill queue, its prefix cache and the results that it holds."""

    def test_a_cached_prefix_costs_nothing(self, start_engine: StartEngine) -> None:
        engine = start_engine("prefill")
        first = prefill(engine, "a")[1]
        second = prefill(engine, "b")[1]
        assert (first["cached_tokens"], first["computed_tokens"]) == (0, 200)
        assert (second["cached_tokens"], second["computed_tokens"]) == (192, 8)
        events = call_json(engine, "GET", "/v1/events?after=0")[1]["events"]
        hashes = dict(block_hashes(PROMPT))
        assert {event["prefix_hash"] for event in events} == {hashes[1], hashes[2]}

    def test_computing_takes_the_time_of_its_tokens(
        self, start_engine: StartEngine
    ) -> None:
        engine = start_engine("prefill", prefill_tokens_per_second=1000)
        started = time.monotonic()
        prefill(engine, "a")
        assert time.monotonic() - started >= 0.2

    def test_the_least_recently_used_result_is_evicted(
        self, start_engine: StartEngine
    ) -> None:
        engine = start_engine("prefill", held_tokens_limit=500)
        kv_ids = [prefill(engine, name)[1]["kv_id"] for name in "abc"]
        assert call_json(engine, "GET", f"/v1/export/{kv_ids[0]}")[0] == 410
        assert [item["request_id"] for item in held(engine)] == ["b", "c"]

    def test_cancel_frees_a_queued_and_a_running_prefill(
        self, start_engine: StartEngine
    ) -> None:
        engine = start_engine("prefill")
        set_faults(engine, pause_phase="prefill")
        with ThreadPoolExecutor(2) as executor:
            running = executor.submit(prefill, engine, "running")
            wait_until(lambda: len(held(engine)) == 1, "the first is held")
            queued = executor.submit(prefill, engine, "queued")
            wait_until(lambda: len(held(engine)) == 2, "both are held")
            for name in ("queued", "running"):
                body = {"request_id": name, "attempt": 1}
                answer = call_json(engine, "POST", "/v1/cancel", body)[1]
                assert answer["cancelled"] is True
            assert running.result()[1] == {"reason": "cancelled"}
            assert queued.result()[1] == {"reason": "cancelled"}
        assert held(engine) == []


class TestExport:
    """Transfers of KV caches over the link of the engine."""

    def test_concurrent_exports_share_the_rate_of_the_link(
        self, start_engine: StartEngine
    ) -> None:
        source = start_engine(
            "prefill", kv_bytes_per_token=1000, link_bytes_per_second=1_000_000
        )
        target = start_engine("decode")
        kv_ids = [prefill(source, name)[1]["kv_id"] for name in "ab"]
        started = time.monotonic()
        with ThreadPoolExecutor(2) as executor:
            imports = [
                executor.submit(import_cache, target, source, name, kv_id)
                for name, kv_id in zip("ab", kv_ids, strict=True)
            ]
            assert [item.result()[0] for item in imports] == [200, 200]
        assert time.monotonic() - started >= 0.4
        assert held(source) == []

    def test_a_truncated_export_fails_the_import(
        self, start_engine: StartEngine
    ) -> None:
        source, target = start_engine("prefill"), start_engine("decode")
        kv_id = prefill(source, "a")[1]["kv_id"]
        set_faults(source, truncate_next_export=1)
        status, answer = import_cache(target, source, "a", kv_id)
        assert (status, answer["reason"]) == (502, "transfer_failed")
        assert held(target) == []
        assert import_cache(target, source, "a", kv_id)[0] == 200


class TestDecode:
    """Decode slots and the streams of tokens."""

    def test_a_resumed_stream_continues_the_same_text(
        self, start_engine: StartEngine
    ) -> None:
        source, target = start_engine("prefill"), start_engine("decode")
        kv_id = prefill(source, "a")[1]["kv_id"]
        import_cache(target, source, "a", kv_id)
        set_faults(target, truncate_next_decode=1, truncate_after_tokens=4)
        cut = decode(target, "a", kv_id, 0, 10)
        rest = decode(target, "a", kv_id, 4, 10)
        assert not any(line.get("end") for line in cut)
        assert rest[-1] == {"request_id": "a", "attempt": 1, "end": True, "tokens": 10}
        assert text_of(cut) + text_of(rest) == answer_text(PROMPT, 10)
        assert held(target) == []

    def test_waiting_imports_get_slots_in_order_of_priority(
        self, start_engine: StartEngine
    ) -> None:
        source, target = start_engine("prefill"), start_engine("decode", slots=1)
        kv_ids = {name: prefill(source, name)[1]["kv_id"] for name in "abc"}
        import_cache(target, source, "a", kv_ids["a"])
        full = import_cache(target, source, "b", kv_ids["b"], wait=False)
        assert (full[0], full[1]["reason"]) == (409, "full")
        order: list[str] = []

        def run(name: str, priority: int) -> None:
            import_cache(target, source, name, kv_ids[name], priority=priority)
            order.append(name)
            decode(target, name, kv_ids[name], 0, 2)

        low = threading.Thread(target=run, args=("b", 2))
        low.start()
        wait_until(lambda: len(held(target)) == 2, "b waits")
        high = threading.Thread(target=run, args=("c", 0))
        high.start()
        wait_until(lambda: len(held(target)) == 3, "c waits")
        decode(target, "a", kv_ids["a"], 0, 2)
        low.join()
        high.join()
        assert order == ["c", "b"]

    def test_memory_of_a_disconnected_client_is_held_until_cancel(
        self, start_engine: StartEngine
    ) -> None:
        source, target = start_engine("prefill"), start_engine("decode")
        kv_id = prefill(source, "a")[1]["kv_id"]
        import_cache(target, source, "a", kv_id)
        set_faults(target, truncate_next_decode=1, truncate_after_tokens=1)
        decode(target, "a", kv_id, 0, 10)
        assert [item["phase"] for item in held(target)] == ["decode"]
        call_json(target, "POST", "/v1/cancel", {"request_id": "a", "attempt": 1})
        assert held(target) == []


class TestOrders:
    """Orders with fencing numbers."""

    def test_an_old_fence_is_refused_only_by_engines_that_check(
        self, start_engine: StartEngine
    ) -> None:
        def order(address: str, number: str, fence: int) -> int:
            body = {"order_id": number, "fence": fence, "kind": "load_model"}
            return call_json(
                address, "POST", "/v1/orders", {**body, "model": f"m{number}"}
            )[0]

        checking = start_engine("decode", check_fence=True)
        ignoring = start_engine("decode")
        assert [order(checking, "1", 5), order(checking, "2", 4)] == [200, 409]
        assert [order(ignoring, "1", 5), order(ignoring, "2", 4)] == [200, 200]
