"""Each caller gets the whole answer to its own request, once, whatever breaks."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.fakes.client import OpenCall
from tests.fakes.cluster import Cluster, EngineSpec, PlainSpec
from tests.fakes.fault_proxy import Direction, FaultProxy
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import DECLARATION, model_endpoints, small_system
from tests.requests.support import (
    DECODE_GATE_TOKENS,
    assert_whole,
    engines,
    heal,
    held_phases,
    in_background,
    model_message,
    open_call,
    pause,
    read_tokens,
    resume,
    runs_named,
    wait_in_phase,
    whole_text,
)

ENDPOINTS: tuple[EngineSpec | PlainSpec, ...] = (
    *model_endpoints(prefills=2, decodes=2),
    PlainSpec("plain-1", "confirmations"),
    PlainSpec("plain-2", "confirmations"),
)
# Each request here fails on purpose, so that a share of one retry is not enough.
GENEROUS = DECLARATION.replace(
    'model = "model"', 'model = "model"\nretry_budget_share = 1.0'
).replace('path = "/run"', 'path = "/run"\nretry_budget_share = 1.0')


# Longer than it takes to find that the engine holds the prefill no more.
LATE_REPLY_MS = 8000


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    entries = ("entry-1", "entry-2", "entry-3")
    hops = {("*", spec.endpoint_id) for spec in ENDPOINTS}
    hops |= {("client", entry) for entry in entries}
    hops |= {(one, other) for one in entries for other in entries if one != other}
    hops |= {(entry, "control-1") for entry in entries}
    spec = small_system(
        ENDPOINTS, entries=3, hops=frozenset(hops), declaration=GENEROUS
    )
    with Cluster(spec, tmp_path_factory.mktemp("whole")) as cluster:
        yield cluster


@pytest.fixture(autouse=True)
def _healed(cluster: Cluster) -> Iterator[None]:
    yield
    heal(cluster)


@pytest.fixture
def entry(cluster: Cluster) -> str:
    """Return an entry host that is not the home of the engines."""
    home = cluster.home_id(ENDPOINTS[0])
    return next(host for host in cluster.entry_ids if host != home)


def decode_proxies(cluster: Cluster) -> list[FaultProxy]:
    """Return the proxies in front of the decode engines."""
    return [cluster.proxy_by_hop[("*", name)] for name in engines(cluster, "decode")]


def refill_retries(cluster: Cluster, entry: str) -> None:
    """Send requests that need no retry, so that the next failures can have theirs."""
    for number in range(3):
        assert_whole(open_call(cluster, entry, f"refill-{number}").answer())


class TestStreamThatIsCut:
    """A decode stream ends early, at any byte, with or without a reset.

    The caller would read a short text. Without its end line a stream is never whole:
    the request is resumed at the next token, and the caller reads the undisturbed
    text, byte for byte.
    """

    @pytest.mark.parametrize("reset", [False, True])
    def test_is_resumed_from_each_offset(
        self, cluster: Cluster, entry: str, reset: bool
    ) -> None:
        for offset in range(0, 1400, 97):
            for proxy in decode_proxies(cluster):
                proxy.end_next(offset, Direction.TO_CLIENT, reset=reset)
            answer = open_call(cluster, entry, f"cut-{offset}").answer()
            for proxy in decode_proxies(cluster):
                proxy.heal()
            assert_whole(answer)
            refill_retries(cluster, entry)

    def test_is_resumed_when_the_engine_stops_after_some_tokens(
        self, cluster: Cluster, entry: str
    ) -> None:
        for tokens in range(8):
            for name in engines(cluster, "decode"):
                cluster.order_faults(
                    name, truncate_after_tokens=tokens, truncate_next_decode=1
                )
            assert_whole(open_call(cluster, entry, f"short-{tokens}").answer())
            refill_retries(cluster, entry)

    def test_is_resumed_when_the_engine_dies(
        self, cluster: Cluster, entry: str
    ) -> None:
        pause(cluster, "decode")
        call = open_call(cluster, entry, "dies")
        events = call.events()
        tokens = read_tokens(events, DECODE_GATE_TOKENS)
        (holder,) = (name for name in engines(cluster, "decode") if cluster.held(name))
        cluster.process_by_name[holder].kill()
        resume(cluster, "decode")
        tokens += [item.fields["token"] for item in events if item.name == "token"]
        call.close()
        assert "".join(tokens) == whole_text()


class TestReplyToAnotherRequest:
    """An engine answers with the reply to another request, or one that comes late.

    Replies that were crossed would give one caller another caller's answer, and a
    late reply of an abandoned attempt would be taken for the present one's.
    """

    @pytest.mark.parametrize("role", ["prefill", "decode"])
    def test_is_not_passed_on(self, cluster: Cluster, entry: str, role: str) -> None:
        for name in engines(cluster, role):
            cluster.order_faults(name, crossed_replies=1)
        name = f"crossed-{role}"
        assert_whole(open_call(cluster, entry, name).answer())
        runs = [
            run
            for engine in engines(cluster, "decode")
            for run in runs_named(cluster, engine, name)
        ]
        assert [run["attempt"] for run in runs if run["outcome"] == "done"] != [1]

    def test_that_comes_late_is_not_taken_for_the_next(
        self, cluster: Cluster, entry: str
    ) -> None:
        """The first prefill's reply is on its way while the second attempt goes on."""
        pause(cluster, "decode")
        for name in engines(cluster, "prefill"):
            cluster.order_faults(name, late_reply_ms=LATE_REPLY_MS, late_replies=1)
        call = open_call(cluster, entry, "late")
        answer = in_background(call.answer)
        wait_until(lambda: "decode" in held_phases(cluster, "late"), "it is decoded")
        wait_until(
            lambda: not any(map(cluster.held, engines(cluster, "prefill"))),
            "the late prefill is freed",
        )
        resume(cluster, "decode")
        assert_whole(answer.result(30))

    def test_of_a_plain_service_is_not_passed_on(
        self, cluster: Cluster, entry: str
    ) -> None:
        for name in engines(cluster, "plain"):
            cluster.order_faults(name, crossed_replies=1)
        call = open_call(
            cluster, entry, "crossed-plain", {"repeatable": False}, "confirmations"
        )
        answer = call.answer()
        assert answer.status == 502
        assert answer.ran == "unknown"


class TestConnectionThatGoesSilent:
    """Something between two hosts loses track of the open connections.

    They stay silent for good while new ones work. A host that waited on them would
    wait until the request's deadline; it has to notice, and try a fresh connection.
    """

    def test_is_left_in_the_middle_of_a_stream(
        self, cluster: Cluster, entry: str
    ) -> None:
        pause(cluster, "decode")
        call = open_call(cluster, entry, "silent-decode")
        events = call.events()
        tokens = read_tokens(events, DECODE_GATE_TOKENS)
        for proxy in decode_proxies(cluster):
            proxy.freeze()
        resume(cluster, "decode")
        tokens += [item.fields["token"] for item in events if item.name == "token"]
        call.close()
        assert "".join(tokens) == whole_text()

    @pytest.mark.parametrize("phase", ["prefill", "transfer"])
    def test_is_left_while_an_answer_is_awaited(
        self, cluster: Cluster, entry: str, phase: str
    ) -> None:
        pause(cluster, phase)
        name = f"silent-{phase}"
        answer = in_background(open_call(cluster, entry, name).answer)
        wait_in_phase(cluster, name, phase)
        for engine in engines(cluster):
            cluster.proxy_by_hop[("*", engine)].freeze()
        resume(cluster, phase)
        assert_whole(answer.result(30))

    def test_is_left_when_a_plain_service_has_run(
        self, cluster: Cluster, entry: str
    ) -> None:
        for name in engines(cluster, "plain"):
            cluster.order_faults(name, pause_phase="after")
        message = {"repeatable": False}
        call = open_call(cluster, entry, "silent-plain", message, "confirmations")
        answer = in_background(call.answer)
        wait_until(lambda: self._plain_runs(cluster) == 1, "the service runs it")
        for name in engines(cluster, "plain"):
            cluster.proxy_by_hop[("*", name)].freeze()
            cluster.order_faults(name, resume_phase="after")
        assert answer.result(15).ran == "unknown"
        assert self._plain_runs(cluster) == 1

    @staticmethod
    def _plain_runs(cluster: Cluster) -> int:
        return sum(
            len(runs_named(cluster, name, "silent-plain"))
            for name in engines(cluster, "plain")
        )

    def test_is_left_between_hosts_of_the_system(
        self, cluster: Cluster, entry: str
    ) -> None:
        for hop, proxy in cluster.proxy_by_hop.items():
            if hop[0] in cluster.entry_ids:
                proxy.freeze()
        answers = [
            in_background(open_call(cluster, host, f"hosts-{host}").answer)
            for host in cluster.entry_ids
        ]
        key = {"repeatable": False}
        claimed = open_call(
            cluster, entry, "hosts-claim", key, "confirmations", "key-hosts"
        )
        assert claimed.answer().status == 200
        for answer in answers:
            assert_whole(answer.result(20))

    def test_is_left_by_the_client_who_asks_elsewhere(
        self, cluster: Cluster, entry: str
    ) -> None:
        """The first answer stays whole for the resend, and is computed once."""
        other = next(host for host in cluster.entry_ids if host != entry)
        pause(cluster, "decode")
        silent = open_call(cluster, entry, "silent-client", key="key-client")
        # Kept until the end: dropped, it would close the connection, and a request
        # whose client left may run again.
        events = silent.events()
        read_tokens(events, DECODE_GATE_TOKENS)
        cluster.proxy_by_hop[("client", entry)].freeze()
        resend = open_call(cluster, other, "resend", key="key-client")
        answer = in_background(resend.answer)
        resume(cluster, "decode")
        assert_whole(answer.result(20))
        silent.close()
        decoded = [
            run
            for name in engines(cluster, "decode")
            for run in runs_named(cluster, name, "resend")
        ]
        assert decoded == []


class TestClientSideThatIsCut:
    """The connection to the client ends at any byte of the answer.

    The client must be able to tell: without its end event an answer is not whole.
    """

    def test_never_shows_a_short_answer_as_whole(
        self, cluster: Cluster, entry: str
    ) -> None:
        address = cluster.client_address(entry)
        proxy = cluster.proxy_by_hop[("client", entry)]
        for offset in range(0, 900, 61):
            proxy.end_next(offset, Direction.TO_CLIENT)
            try:
                answer = OpenCall(address, "summaries", model_message()).answer()
            except OSError:
                continue
            except ValueError:
                continue
            finally:
                proxy.heal()
            assert not answer.whole or answer.text == whole_text()
