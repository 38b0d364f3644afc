"""Requests through separate processes, without failures."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.fakes.client import ask
from tests.fakes.cluster import Cluster, Setting
from tests.fakes.collector import Collector
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import small_system

PROMPT = "the stop at fifth and main is closed today"


@pytest.fixture(scope="module")
def collector() -> Iterator[Collector]:
    collector = Collector()
    yield collector
    collector.stop()


@pytest.fixture(scope="module")
def cluster(
    tmp_path_factory: pytest.TempPathFactory, collector: Collector
) -> Iterator[Cluster]:
    telemetry: dict[str, Setting] = {
        "otlp_endpoint": f"http://{collector.address}",
        "export_interval_ms": 200,
    }
    spec = small_system(telemetry=telemetry)
    with Cluster(spec, tmp_path_factory.mktemp("whole-path")) as cluster:
        yield cluster


class TestModelRequest:
    def test_streams_the_complete_answer_with_its_rule(self, cluster: Cluster) -> None:
        message = {"prompt": PROMPT, "max_tokens": 12, "priority": "urgent"}
        answer = ask(cluster.client_address("entry-1"), "summaries", message)
        assert answer.complete, answer
        assert answer.tokens == 12
        assert answer.rule == "board-lines-first"

    def test_collects_the_answer_when_no_stream_is_asked_for(
        self, cluster: Cluster
    ) -> None:
        streamed = {"prompt": PROMPT, "max_tokens": 5}
        collected = {**streamed, "stream": False}
        address = cluster.client_address("entry-2")
        first = ask(address, "summaries", streamed)
        second = ask(address, "summaries", collected)
        assert first.text == second.text != ""

    def test_holds_nothing_afterwards(self, cluster: Cluster) -> None:
        cluster.wait_nothing_held()


class TestPlainRequest:
    def test_forwards_the_answer(self, cluster: Cluster) -> None:
        message = {"shift": 7, "repeatable": False}
        answer = ask(cluster.client_address("entry-1"), "confirmations", message)
        assert answer.status == 200, answer
        runs = cluster.endpoint_call("plain-1", "GET", "/v1/records")["runs"]
        assert len(runs) == 1


class TestTelemetry:
    def test_exports_a_span_for_each_hop(
        self, cluster: Cluster, collector: Collector
    ) -> None:
        message = {"prompt": PROMPT, "max_tokens": 2}
        ask(cluster.client_address("entry-1"), "summaries", message)
        hops = {"request", "reserve", "prefill", "transfer", "decode"}
        wait_until(lambda: hops <= collector.span_names(), "a span for each hop")
