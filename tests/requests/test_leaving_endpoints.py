"""An endpoint that is leaving gets no new work after three seconds."""

from __future__ import annotations

import signal
from collections.abc import Iterator

import pytest

from tests.fakes._records import now_ms
from tests.fakes.cluster import ENDPOINT_SECRET, Cluster, EngineSpec, PlainSpec
from tests.fakes.processes import call_json, wait_until
from tests.fakes.scenarios import model_endpoints, small_system
from tests.requests.support import (
    LONG_TIMEOUT_DECLARATION,
    assert_complete,
    heal,
    in_background,
    open_call,
    pause,
    resume,
    wait_held,
)

ENDPOINTS: tuple[EngineSpec | PlainSpec, ...] = model_endpoints(prefills=1, decodes=2)
LEAVE_LIMIT_MS = 3000
OBSERVATION_MS = 5000


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    entries = ("entry-1", "entry-2", "entry-3")
    hops = {(one, other) for one in entries for other in entries if one != other}
    spec = small_system(
        ENDPOINTS, entries=3, hops=frozenset(hops), declaration=LONG_TIMEOUT_DECLARATION
    )
    with Cluster(spec, tmp_path_factory.mktemp("leaving")) as cluster:
        yield cluster


@pytest.fixture(autouse=True)
def _healed(cluster: Cluster) -> Iterator[None]:
    yield
    for host in cluster.entry_ids:
        cluster.process_by_name[host].signal(signal.SIGCONT)
    heal(cluster)


def begin_to_leave(cluster: Cluster) -> tuple[str, int]:
    """Make the busy decode engine leave; return it and when it began to leave."""
    pause(cluster, "decode")
    in_background(open_call(cluster, "entry-2", "stays").answer)
    wait_held(cluster, "stays")
    wait_until(
        lambda: any(cluster.held(name) for name in ("decode-1", "decode-2")), "busy"
    )
    (leaving,) = (name for name in ("decode-1", "decode-2") if cluster.held(name))
    (other,) = (name for name in ("decode-1", "decode-2") if name != leaving)
    cluster.set_faults(other, resume_phase="decode")
    cluster.process_by_name[leaving].signal(signal.SIGTERM)
    left_ms = wait_until(
        lambda: cluster.endpoint_call(leaving, "GET", "/v1/records")["leaving_ms"],
        "it leaves",
    )
    return leaving, left_ms


def assert_no_new_work(
    cluster: Cluster, leaving: str, left_ms: int, hosts: list[str]
) -> None:
    """Send requests for a while; by its own records, the engine must run none late."""
    wait_until(lambda: now_ms() > left_ms + LEAVE_LIMIT_MS, "it has left")
    number = 0
    while now_ms() < left_ms + OBSERVATION_MS:
        number += 1
        host = hosts[number % len(hosts)]
        assert_complete(open_call(cluster, host, f"new-{number}").answer())
    runs = cluster.endpoint_call(leaving, "GET", "/v1/records")["runs"]
    late = [run for run in runs if run["started_ms"] > left_ms + LEAVE_LIMIT_MS]
    assert late == []
    resume(cluster, "decode")
    assert cluster.process_by_name[leaving].wait() == 0


class TestLeavingEndpoint:
    """A decode engine gets SIGTERM and announces that it is leaving.

    The entry host that gets the announcement, or the engine's home, is frozen or
    unreachable at that moment and does not forward it. The other hosts would continue
    to send work to the engine until it exits.
    """

    def test_gets_no_new_work_when_its_home_is_frozen(self, cluster: Cluster) -> None:
        home = cluster.home_id(ENDPOINTS[0])
        leaving, left_ms = begin_to_leave(cluster)
        cluster.process_by_name[home].signal(signal.SIGSTOP)
        hosts = [host for host in cluster.entry_ids if host != home]
        assert_no_new_work(cluster, leaving, left_ms, hosts)

    def test_gets_no_new_work_when_the_announced_host_is_unreachable(
        self, cluster: Cluster
    ) -> None:
        for hop, proxy in cluster.proxy_by_hop.items():
            if "entry-1" in hop:
                proxy.cut()
        leaving, left_ms = begin_to_leave(cluster)
        assert_no_new_work(cluster, leaving, left_ms, ["entry-2", "entry-3"])

    def test_gets_no_new_work_after_a_late_old_announcement(
        self, cluster: Cluster
    ) -> None:
        leaving, left_ms = begin_to_leave(cluster)
        old = self._announcement(cluster, leaving)
        headers = {"Authorization": f"Bearer {ENDPOINT_SECRET}"}
        for host in cluster.entry_ids:
            address = cluster.http_address_by_id[host]
            status, _ = call_json(address, "POST", "/v1/endpoints", old, headers)
            assert status == 200
        assert_no_new_work(cluster, leaving, left_ms, list(cluster.entry_ids))

    @staticmethod
    def _announcement(cluster: Cluster, name: str) -> dict:
        status = cluster.endpoint_call(name, "GET", "/v1/status")
        return {
            "endpoint_id": name,
            "incarnation": status["incarnation"],
            "address": cluster.endpoint_address_by_id[name],
            "availability_zone": "zone-1",
            "service": "summaries",
            "role": "decode",
            "model": "model",
            "slots": status["slots"],
            "leaving": False,
        }


class TestRestartedEndpoint:
    """An engine left and exited, and is restarted at the same address.

    Leaving is final only for the incarnation that announced it, not for the endpoint.
    """

    def test_gets_work_again(self, cluster: Cluster) -> None:
        for name in ("decode-1", "decode-2"):
            process = cluster.process_by_name[name]
            process.signal(signal.SIGTERM)
            assert process.wait() == 0
            spec = next(spec for spec in ENDPOINTS if spec.endpoint_id == name)
            cluster.start_endpoint(spec).wait_ready()
        cluster.wait_endpoints_usable()
        assert_complete(open_call(cluster, "entry-1", "back").answer())
