"""Engine memory is freed when the client or the entry host of a request is lost."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.fakes.cluster import Cluster
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import model_endpoints, small_system
from tests.requests.support import (
    DECODE_GATE_TOKENS,
    LONG_TIMEOUT_DECLARATION,
    PHASES,
    assert_complete,
    heal,
    held_phases,
    in_background,
    open_call,
    pause,
    read_tokens,
    resume,
    wait_held,
    wait_in_phase,
    wait_not_held,
)

DECODES = ("decode-1", "decode-2")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    spec = small_system(
        model_endpoints(prefills=2, decodes=2),
        entries=3,
        declaration=LONG_TIMEOUT_DECLARATION,
        hops=frozenset(("*", name) for name in DECODES),
    )
    with Cluster(spec, tmp_path_factory.mktemp("held")) as cluster:
        yield cluster


@pytest.fixture
def hosts(cluster: Cluster) -> tuple[str, str, str]:
    """Return the home of the engines and the two other entry hosts."""
    home = cluster.home_id(cluster.spec.endpoints[0])
    first, second = (host for host in cluster.entry_ids if host != home)
    return home, first, second


@pytest.fixture(autouse=True)
def _healed(cluster: Cluster) -> Iterator[None]:
    yield
    heal(cluster)


class TestClientDisconnect:
    """A client closes its connection while its request is in some phase.

    The entry host must detect the close while it waits for the engine, and cancel the
    attempt; otherwise the engine holds the memory for good. The request of another
    client in the same phase must not be affected.
    """

    @pytest.mark.parametrize("phase", PHASES)
    def test_frees_the_memory_in_each_phase(
        self, cluster: Cluster, hosts: tuple[str, str, str], phase: str
    ) -> None:
        _, entry, other = hosts
        closed_name, open_name = f"gone-{phase}", f"living-{phase}"
        pause(cluster, phase)
        closed_call = open_call(cluster, entry, closed_name)
        wait_in_phase(cluster, closed_name, phase)
        open_answer = in_background(open_call(cluster, other, open_name).answer)
        wait_held(cluster, open_name)
        if phase == "decode":
            read_tokens(closed_call.events(), DECODE_GATE_TOKENS)
        closed_call.close()
        wait_not_held(cluster, closed_name)
        assert held_phases(cluster, open_name)
        resume(cluster, phase)
        assert_complete(open_answer.result())
        cluster.wait_nothing_held()

    def test_frees_what_waits_in_the_queue(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        _, entry, other = hosts
        pause(cluster, "prefill")
        ahead = [
            in_background(open_call(cluster, other, f"ahead-{number}").answer)
            for number in range(24)
        ]
        wait_until(lambda: _queued(cluster) > 0, "requests wait at the home")
        queued = open_call(cluster, entry, "queued")
        wait_until(lambda: _open_requests(cluster, entry) == 1, "the request is open")
        queued.close()
        wait_until(lambda: _open_requests(cluster, entry) == 0, "the request is closed")
        wait_not_held(cluster, "queued")
        resume(cluster, "prefill")
        for future in ahead:
            assert_complete(future.result())
        cluster.wait_nothing_held()
        assert held_phases(cluster, "queued") == []


class TestKilledEntryHost:
    """An entry host is killed with SIGKILL while it serves a request.

    It can't cancel its requests, which would hold engine memory for good. The home must
    find them in the engine's list of held requests, check the state of their owner, and
    cancel those of the dead incarnation. If the home dies too, the next home does this.
    """

    @pytest.mark.parametrize("phase", PHASES)
    def test_is_swept_in_each_phase(
        self, cluster: Cluster, hosts: tuple[str, str, str], phase: str
    ) -> None:
        _, entry, other = hosts
        self._check(cluster, phase, entry, other, (entry,))

    @pytest.mark.parametrize("phase", PHASES)
    def test_is_swept_when_the_home_dies_too(
        self, cluster: Cluster, hosts: tuple[str, str, str], phase: str
    ) -> None:
        home, entry, other = hosts
        self._check(cluster, phase, entry, other, (entry, home))

    def _check(
        self,
        cluster: Cluster,
        phase: str,
        entry: str,
        other: str,
        killed: tuple[str, ...],
    ) -> None:
        closed_name, open_name = f"killed-{phase}", f"spared-{phase}"
        pause(cluster, phase)
        closed_call = open_call(cluster, entry, closed_name)
        wait_in_phase(cluster, closed_name, phase)
        open_answer = in_background(open_call(cluster, other, open_name).answer)
        wait_held(cluster, open_name)
        for host in killed:
            cluster.process_by_name[host].kill()
        wait_not_held(cluster, closed_name)
        assert held_phases(cluster, open_name)
        resume(cluster, phase)
        assert_complete(open_answer.result())
        closed_call.close()
        cluster.wait_nothing_held()


class TestLostCancel:
    """A cancel does not reach the engine, or has no effect there.

    The client has disconnected and the entry host has cancelled, but the engine ignored
    the cancel or was unreachable at that moment. The sweep must find the request in the
    engine's list and resend the cancel until it is no longer held.
    """

    def test_is_resent(self, cluster: Cluster, hosts: tuple[str, str, str]) -> None:
        _, entry, _ = hosts
        pause(cluster, "decode")
        call = open_call(cluster, entry, "ignored")
        read_tokens(call.events(), DECODE_GATE_TOKENS)
        for name in DECODES:
            cluster.set_faults(name, ignore_cancel=3)
        call.close()
        wait_not_held(cluster, "ignored")
        for name in DECODES:
            cluster.set_faults(name, ignore_cancel=0)
        resume(cluster, "decode")

    def test_is_swept_when_it_comes_back_from_a_cut(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        _, entry, _ = hosts
        pause(cluster, "decode")
        call = open_call(cluster, entry, "cut")
        read_tokens(call.events(), DECODE_GATE_TOKENS)
        proxies = [cluster.proxy_by_hop[("*", name)] for name in DECODES]
        for proxy in proxies:
            proxy.cut()
        cluster.process_by_name[entry].kill()
        call.close()
        assert "decode" in held_phases(cluster, "cut")
        for proxy in proxies:
            proxy.heal()
        wait_not_held(cluster, "cut")


class TestAbandonedAttempt:
    """An engine ignores the cancel of an attempt whose request continues elsewhere.

    The stream of the first decode engine breaks and the request is resumed on the
    second one. The request's owner is alive and still serves it, so a sweep that only
    checked the request would leave the first attempt's memory held until its end.
    """

    def test_is_swept_while_the_request_goes_on(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        _, entry, _ = hosts
        pause(cluster, "decode")
        call = open_call(cluster, entry, "moved")
        events = call.events()
        tokens = read_tokens(events, DECODE_GATE_TOKENS)
        (first,) = (
            name
            for name in DECODES
            if any(item["phase"] == "decode" for item in cluster.held(name))
        )
        cluster.set_faults(first, ignore_cancel=3)
        cluster.proxy_by_hop[("*", first)].reset()
        (second,) = (name for name in DECODES if name != first)
        wait_until(
            lambda: any(
                item["attempt"] == 2 and item["phase"] == "decode"
                for item in cluster.held(second)
            ),
            "the second engine decodes",
        )
        wait_until(lambda: not cluster.held(first), "the first engine holds nothing")
        cluster.set_faults(first, ignore_cancel=0)
        resume(cluster, "decode")
        tokens += [item.fields["token"] for item in events if item.name == "token"]
        call.close()
        assert len(tokens) == 8
        cluster.wait_nothing_held()


def _open_requests(cluster: Cluster, entry_id: str) -> int:
    return int(cluster.entry_status(entry_id).open_requests)


def _queued(cluster: Cluster) -> int:
    home = cluster.home_id(cluster.spec.endpoints[0])
    return sum(pool.queued for pool in cluster.entry_status(home).pools)
