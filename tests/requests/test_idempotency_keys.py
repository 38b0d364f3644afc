"""A resend with the same idempotency key is answered without a second run."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import pytest

from jujubeslip.membership import rendezvous_order
from tests.fakes.client import ClientAnswer, OpenCall
from tests.fakes.cluster import Cluster, EngineSpec, PlainSpec
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import model_endpoints, small_system
from tests.requests.support import (
    DECODE_GATE_TOKENS,
    LONG_TIMEOUT_DECLARATION,
    assert_complete,
    engines,
    heal,
    in_background,
    open_call,
    pause,
    read_tokens,
    resume,
    runs_named,
)

CLIENT = "northvane"
PLAIN = "confirmations"
ENDPOINTS: tuple[EngineSpec | PlainSpec, ...] = (
    *model_endpoints(),
    PlainSpec("plain-1", PLAIN),
    PlainSpec("plain-2", PLAIN),
)
COVER_REQUEST: Mapping[str, Any] = {"surgery": "Pontcanna", "repeatable": True}
CONFIRMATION: Mapping[str, Any] = {"shift": 7, "repeatable": False}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    spec = small_system(
        ENDPOINTS, entries=3, controls=3, declaration=LONG_TIMEOUT_DECLARATION
    )
    with Cluster(spec, tmp_path_factory.mktemp("keys")) as cluster:
        yield cluster


@pytest.fixture(autouse=True)
def _healed(cluster: Cluster) -> Iterator[None]:
    yield
    heal(cluster)


def key_owners_in_order(cluster: Cluster, key: str) -> list[str]:
    """Return the entry hosts in the order in which they own the key."""
    return rendezvous_order(f"key/{CLIENT}/{key}", cluster.entry_ids)


def plain_call(
    cluster: Cluster, entry: str, key: str, message: Mapping[str, Any] = COVER_REQUEST
) -> OpenCall:
    return open_call(cluster, entry, f"plain-{entry}", message, PLAIN, key)


def ask_until_answered(
    cluster: Cluster, entry: str, key: str, message: Mapping[str, Any]
) -> ClientAnswer:
    """Resend until it is answered, as a client does that is told that nothing ran."""

    def attempt() -> ClientAnswer | None:
        answer = plain_call(cluster, entry, key, message).answer()
        if answer.status == 503:
            assert answer.ran == "no"
            return None
        return answer

    answer = wait_until(attempt, f"{entry} answers")
    assert answer is not None
    return answer


def plain_runs(cluster: Cluster, key: str) -> int:
    """Return how often the services ran a key, by their own records."""
    return sum(
        cluster.endpoint_call(name, "GET", "/v1/records")["runs_by_key"].get(key, 0)
        for name in engines(cluster, "plain")
    )


def pause_plain(cluster: Cluster, phase: str) -> None:
    for name in engines(cluster, "plain"):
        cluster.set_faults(name, pause_phase=phase)


def resume_plain(cluster: Cluster, phase: str) -> None:
    for name in engines(cluster, "plain"):
        cluster.set_faults(name, resume_phase=phase)


def copies_made(cluster: Cluster, entry: str, hosts: int) -> int:
    """Return how often an entry host copied its keys with this many live hosts."""
    output = cluster.process_by_name[entry].output().splitlines()
    lines = [
        line for line in output if "idempotency keys copied to their owners" in line
    ]
    return sum(1 for line in lines if line.count("entry-") == hosts)


class TestModelRequestResend:
    """A client that gets no answer resends its request through another host.

    The first run may still be in progress, or its answer may have been lost in transit.
    The resend must join the first run; if each host ran it, the client's display board
    would show a line twice.
    """

    def test_joins_the_run_in_progress(self, cluster: Cluster) -> None:
        pause(cluster, "decode")
        first, *others = cluster.entry_ids
        running = open_call(cluster, first, "first", key="joined")
        events = running.events()
        tokens = read_tokens(events, DECODE_GATE_TOKENS)
        resends = [
            in_background(open_call(cluster, host, "again", key="joined").answer)
            for host in others
        ]
        resume(cluster, "decode")
        tokens += [item.fields["token"] for item in events if item.name == "token"]
        for answer in resends:
            assert_complete(answer.result())
        assert "".join(tokens) == resends[0].result().text
        self._assert_not_run(cluster, "again")

    def test_gets_the_recorded_answer_afterwards(self, cluster: Cluster) -> None:
        first, *others = cluster.entry_ids
        assert_complete(open_call(cluster, first, "done", key="ended").answer())
        for host in others:
            assert_complete(open_call(cluster, host, "later", key="ended").answer())
        self._assert_not_run(cluster, "later")

    @staticmethod
    def _assert_not_run(cluster: Cluster, name: str) -> None:
        for engine in engines(cluster, "prefill"):
            assert runs_named(cluster, engine, name) == []


class TestRepeatableRequestResend:
    """A repeatable request with a key is resent and must not run twice.

    A second run would send two cleaners to one surgery. A repeatable request has no
    durable claim; it is protected by the owners of its key, also if one of them dies
    and restarts, and then another one dies.
    """

    def test_joins_the_run_of_a_disconnected_client(self, cluster: Cluster) -> None:
        pause_plain(cluster, "after")
        first, second, _ = cluster.entry_ids
        closed_call = plain_call(cluster, first, "went")
        wait_until(lambda: plain_runs(cluster, "went") == 1, "the service runs it")
        without_key = open_call(cluster, first, "unkeyed", COVER_REQUEST, PLAIN)
        wait_until(lambda: _open_requests(cluster, first) == 2, "both are open")
        closed_call.close()
        without_key.close()
        # The host that has detected the later close has detected the earlier one too.
        wait_until(lambda: _open_requests(cluster, first) < 2, "the close is seen")
        resend = in_background(plain_call(cluster, second, "went").answer)
        resume_plain(cluster, "after")
        assert resend.result().status == 200
        assert plain_runs(cluster, "went") == 1

    def test_is_not_run_again_when_an_owner_died(self, cluster: Cluster) -> None:
        first, second, third = key_owners_in_order(cluster, "keeper")
        assert plain_call(cluster, third, "keeper").answer().status == 200
        cluster.process_by_name[first].kill()
        for host in (second, third):
            answer = ask_until_answered(cluster, host, "keeper", COVER_REQUEST)
            assert answer.status == 200
        assert plain_runs(cluster, "keeper") == 1

    def test_is_not_run_again_when_the_second_owner_dies_after_the_first_restarted(
        self, cluster: Cluster
    ) -> None:
        first, second, third = key_owners_in_order(cluster, "both")
        assert plain_call(cluster, third, "both").answer().status == 200
        before = copies_made(cluster, second, 3)
        cluster.process_by_name[first].kill()
        wait_until(lambda: copies_made(cluster, second, 2), "two hosts have the key")
        cluster.start_entry(first)
        wait_until(
            lambda: copies_made(cluster, second, 3) > before, "the first has it again"
        )
        cluster.process_by_name[second].kill()
        for host in (first, third):
            answer = ask_until_answered(cluster, host, "both", COVER_REQUEST)
            assert answer.status == 200
        assert plain_runs(cluster, "both") == 1


class TestNonRepeatableRequest:
    """A shift confirmation is marked as not repeatable.

    The service, its answer, or the control leader is lost at any point, and the client
    resends the request through each entry host. By the service's own records it must
    run at most once, and the reported `ran` must be correct.
    """

    def test_is_not_run_again_through_any_host(self, cluster: Cluster) -> None:
        for host in cluster.entry_ids:
            answer = plain_call(cluster, host, "confirmed", CONFIRMATION).answer()
            assert answer.status == 200
        assert plain_runs(cluster, "confirmed") == 1

    def test_is_not_run_again_after_an_answer_too_long_to_record(
        self, cluster: Cluster
    ) -> None:
        message = {**CONFIRMATION, "note": "x" * 1_000_000}
        first, other, _ = cluster.entry_ids
        assert plain_call(cluster, first, "long", message).answer().status == 200
        resend = plain_call(cluster, other, "long", message).answer()
        assert (resend.status, resend.ran) == (409, "unknown")
        assert plain_runs(cluster, "long") == 1

    @pytest.mark.parametrize("phase", ["before", "after"])
    def test_is_unknown_when_the_service_dies(
        self, cluster: Cluster, phase: str
    ) -> None:
        key = f"dies-{phase}"
        pause_plain(cluster, phase)
        first, *others = cluster.entry_ids
        call = in_background(plain_call(cluster, first, key, CONFIRMATION).answer)
        names = engines(cluster, "plain")
        wait_until(
            lambda: any(cluster.held(name) for name in names), "the service has it"
        )
        (busy,) = (name for name in names if cluster.held(name))
        (idle,) = (name for name in names if name != busy)
        cluster.process_by_name[busy].kill()
        answer = call.result()
        assert (answer.status, answer.ran) == (502, "unknown")
        resume_plain(cluster, phase)
        for host in others:
            resend = plain_call(cluster, host, key, CONFIRMATION)
            answer = resend.answer()
            assert (answer.status, answer.ran) == (409, "unknown")
        assert plain_runs(cluster, key) == 0, f"{idle} ran it as well"

    def test_runs_later_when_the_service_refused_it(self, cluster: Cluster) -> None:
        for name in engines(cluster, "plain"):
            cluster.set_faults(name, refuse_next=20)
        first, second, _ = cluster.entry_ids
        refused = plain_call(cluster, first, "refused", CONFIRMATION).answer()
        assert refused.ran == "no"
        for name in engines(cluster, "plain"):
            cluster.set_faults(name, refuse_next=0)
        answer = ask_until_answered(cluster, second, "refused", CONFIRMATION)
        assert answer.status == 200
        assert plain_runs(cluster, "refused") == 1

    def test_is_recorded_when_its_entry_host_and_the_leader_die(
        self, cluster: Cluster
    ) -> None:
        pause_plain(cluster, "before")
        first, second, third = cluster.entry_ids
        call = in_background(_outcome, plain_call(cluster, first, "lost", CONFIRMATION))
        names = engines(cluster, "plain")
        wait_until(
            lambda: any(cluster.held(name) for name in names), "the service has it"
        )
        leader = _leader(cluster)
        cluster.process_by_name[leader].kill()
        cluster.process_by_name[first].kill()
        call.result()
        resume_plain(cluster, "before")
        wait_until(lambda: plain_runs(cluster, "lost") == 1, "the service ran it")
        for host in (second, third):
            answer = ask_until_answered(cluster, host, "lost", CONFIRMATION)
            assert answer.ran == "unknown"
        assert plain_runs(cluster, "lost") == 1
        cluster.start_control(leader)

    def test_is_refused_without_a_quorum_and_runs_later(self, cluster: Cluster) -> None:
        leader = _leader(cluster)
        stopped = [leader, next(host for host in cluster.control_ids if host != leader)]
        for host in stopped:
            cluster.process_by_name[host].kill()
        first, second, _ = cluster.entry_ids
        refused = plain_call(cluster, first, "quorum", CONFIRMATION).answer()
        assert (refused.status, refused.ran) == (503, "no")
        assert plain_runs(cluster, "quorum") == 0
        for host in stopped:
            cluster.start_control(host)
        answer = ask_until_answered(cluster, second, "quorum", CONFIRMATION)
        assert answer.status == 200
        assert plain_runs(cluster, "quorum") == 1


def _outcome(call: OpenCall) -> str:
    """Return the status that a client gets, or "cut" if its entry host died."""
    try:
        return str(call.answer().status)
    except (OSError, ValueError):
        return "cut"


def _leader(cluster: Cluster) -> str:
    def leading() -> str:
        for host in cluster.control_ids:
            if not cluster.process_by_name[host].running:
                continue
            client = cluster.control_client(host)
            try:
                status = client.call(lambda peer: peer.status(), 3.0)
            finally:
                client.close()
            if status.leader_id == status.replica_id:
                return host
        return ""

    return wait_until(leading, "a control host leads")


def _open_requests(cluster: Cluster, entry: str) -> int:
    return int(cluster.entry_status(entry).open_requests)
