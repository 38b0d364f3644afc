"""Each client gets the complete answer to its own request, once, despite failures."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future

import pytest

from tests.fakes.client import ClientAnswer, OpenCall
from tests.fakes.cluster import Cluster, EngineSpec, PlainSpec
from tests.fakes.fault_proxy import Direction, FaultProxy
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import DECLARATION, model_endpoints, small_system
from tests.requests.support import (
    DECODE_GATE_TOKENS,
    assert_complete,
    engines,
    expected_text,
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
)

ENDPOINTS: tuple[EngineSpec | PlainSpec, ...] = (
    *model_endpoints(prefills=2, decodes=2),
    PlainSpec("plain-1", "confirmations"),
    PlainSpec("plain-2", "confirmations"),
)
# Each request here fails on purpose, so that the default retry budget is too small.
LARGE_RETRY_BUDGET = DECLARATION.replace(
    'model = "model"', 'model = "model"\nretry_budget_share = 1.0'
).replace('path = "/run"', 'path = "/run"\nretry_budget_share = 1.0')


# Longer than it takes to detect that the engine no longer holds the prefill.
LATE_REPLY_MS = 8000


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    entries = ("entry-1", "entry-2", "entry-3")
    hops = {("*", spec.endpoint_id) for spec in ENDPOINTS}
    hops |= {("client", entry) for entry in entries}
    hops |= {(one, other) for one in entries for other in entries if one != other}
    hops |= {(entry, "control-1") for entry in entries}
    spec = small_system(
        ENDPOINTS, entries=3, hops=frozenset(hops), declaration=LARGE_RETRY_BUDGET
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
    """Send requests that need no retry, to refill the budget for the next retries."""
    for number in range(3):
        assert_complete(open_call(cluster, entry, f"refill-{number}").answer())


class TestTruncatedStream:
    """A decode stream ends early, at any byte, with or without a reset.

    The client would read a truncated text. A stream without its end line is never
    complete: the request must be resumed at the next token, and the client must get
    the same text as without the failure, byte for byte.
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
            assert_complete(answer)
            refill_retries(cluster, entry)

    def test_is_resumed_when_the_engine_stops_after_some_tokens(
        self, cluster: Cluster, entry: str
    ) -> None:
        for tokens in range(8):
            for name in engines(cluster, "decode"):
                cluster.set_faults(
                    name, truncate_after_tokens=tokens, truncate_next_decode=1
                )
            assert_complete(open_call(cluster, entry, f"short-{tokens}").answer())
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
        assert "".join(tokens) == expected_text()


class TestTruncatedAnswer:
    """Guards against the beginning of an answer that clients get as a whole one."""

    def test_of_engines_is_completed_where_no_stream_is_asked_for(
        self, cluster: Cluster, entry: str
    ) -> None:
        message = model_message(stream=False)
        for offset in range(0, 1400, 233):
            for proxy in decode_proxies(cluster):
                proxy.end_next(offset, Direction.TO_CLIENT)
            answer = open_call(cluster, entry, f"json-{offset}", message).answer()
            for proxy in decode_proxies(cluster):
                proxy.heal()
            assert_complete(answer)
            refill_retries(cluster, entry)

    def test_of_a_plain_service_is_no_success(
        self, cluster: Cluster, entry: str
    ) -> None:
        message = {"repeatable": False}
        for offset in range(0, 290, 23):
            for name in engines(cluster, "plain"):
                # Sticky, since the home's own calls pass through the proxies too.
                proxy = cluster.proxy_by_hop[("*", name)]
                proxy.end_next(offset, Direction.TO_CLIENT, sticky=True)
            name = f"plain-{offset}"
            answer = open_call(cluster, entry, name, message, "confirmations").answer()
            heal(cluster)
            assert (answer.status, answer.ran) == (502, "unknown")


class TestMisdirectedReply:
    """An engine sends the reply to another request, or a reply arrives late.

    With swapped replies, a client would get the answer of another client; a late reply
    to an abandoned attempt would be taken for the reply to the current one.
    """

    @pytest.mark.parametrize("role", ["prefill", "decode"])
    def test_is_not_forwarded(self, cluster: Cluster, entry: str, role: str) -> None:
        for name in engines(cluster, role):
            cluster.set_faults(name, crossed_replies=1)
        name = f"crossed-{role}"
        assert_complete(open_call(cluster, entry, name).answer())
        runs = [
            run
            for engine in engines(cluster, "decode")
            for run in runs_named(cluster, engine, name)
        ]
        assert [run["attempt"] for run in runs if run["outcome"] == "done"] != [1]

    def test_is_not_mistaken_for_the_next_reply_when_late(
        self, cluster: Cluster, entry: str
    ) -> None:
        """The first prefill's reply is in transit while the second attempt runs."""
        pause(cluster, "decode")
        for name in engines(cluster, "prefill"):
            cluster.set_faults(name, late_reply_ms=LATE_REPLY_MS, late_replies=1)
        call = open_call(cluster, entry, "late")
        answer = in_background(call.answer)
        wait_until(lambda: "decode" in held_phases(cluster, "late"), "it is decoded")
        wait_until(
            lambda: not any(map(cluster.held, engines(cluster, "prefill"))),
            "the late prefill is freed",
        )
        resume(cluster, "decode")
        assert_complete(answer.result(30))

    def test_of_a_plain_service_is_not_forwarded(
        self, cluster: Cluster, entry: str
    ) -> None:
        for name in engines(cluster, "plain"):
            cluster.set_faults(name, crossed_replies=1)
        call = open_call(
            cluster, entry, "crossed-plain", {"repeatable": False}, "confirmations"
        )
        answer = call.answer()
        assert answer.status == 502
        assert answer.ran == "unknown"


class TestSilentConnection:
    """A network device between two hosts loses the state of open connections.

    They stay silent for good while new connections work. A host that waited on them
    would wait until the request's deadline; it must detect this and reconnect.
    """

    def test_is_abandoned_during_a_stream(self, cluster: Cluster, entry: str) -> None:
        pause(cluster, "decode")
        call = open_call(cluster, entry, "silent-decode")
        events = call.events()
        tokens = read_tokens(events, DECODE_GATE_TOKENS)
        for proxy in decode_proxies(cluster):
            proxy.freeze()
        resume(cluster, "decode")
        tokens += [item.fields["token"] for item in events if item.name == "token"]
        call.close()
        assert "".join(tokens) == expected_text()

    @pytest.mark.parametrize("phase", ["prefill", "transfer"])
    def test_is_abandoned_while_waiting_for_a_reply(
        self, cluster: Cluster, entry: str, phase: str
    ) -> None:
        pause(cluster, phase)
        name = f"silent-{phase}"
        answer = in_background(open_call(cluster, entry, name).answer)
        wait_in_phase(cluster, name, phase)
        for engine in engines(cluster):
            cluster.proxy_by_hop[("*", engine)].freeze()
        resume(cluster, phase)
        assert_complete(answer.result(30))

    def test_is_abandoned_after_a_plain_service_has_run(
        self, cluster: Cluster, entry: str
    ) -> None:
        answer = self._run_plain(cluster, entry, "silent-plain")
        for name in engines(cluster, "plain"):
            cluster.proxy_by_hop[("*", name)].freeze()
            cluster.set_faults(name, resume_phase="after")
        assert answer.result(15).ran == "unknown"
        assert self._plain_runs(cluster, "silent-plain") == 1

    def test_is_not_run_again_if_the_service_accepts_no_connection(
        self, cluster: Cluster, entry: str
    ) -> None:
        """A refused connection tells that nothing was sent over it, not before it."""
        answer = self._run_plain(cluster, entry, "refusing-plain")
        for name in engines(cluster, "plain"):
            cluster.proxy_by_hop[("*", name)].refuse()
        assert answer.result(15).ran == "unknown"
        assert self._plain_runs(cluster, "refusing-plain") == 1

    def _run_plain(
        self, cluster: Cluster, entry: str, name: str
    ) -> Future[ClientAnswer]:
        """Return the answer to a request that a service has run and not answered."""
        for engine in engines(cluster, "plain"):
            cluster.set_faults(engine, pause_phase="after")
        message = {"repeatable": False}
        call = open_call(cluster, entry, name, message, "confirmations")
        answer = in_background(call.answer)
        wait_until(lambda: self._plain_runs(cluster, name), "it has run")
        return answer

    @staticmethod
    def _plain_runs(cluster: Cluster, name: str) -> int:
        return sum(
            len(runs_named(cluster, plain, name)) for plain in engines(cluster, "plain")
        )

    def test_is_abandoned_between_hosts(self, cluster: Cluster, entry: str) -> None:
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
            assert_complete(answer.result(20))

    def test_is_abandoned_by_a_client_that_resends_elsewhere(
        self, cluster: Cluster, entry: str
    ) -> None:
        """The resend gets the complete first answer, which is computed only once."""
        other = next(host for host in cluster.entry_ids if host != entry)
        pause(cluster, "decode")
        silent = open_call(cluster, entry, "silent-client", key="key-client")
        # Referenced until the end: garbage collection would close the connection, and a
        # request whose client disconnected may run again.
        events = silent.events()
        read_tokens(events, DECODE_GATE_TOKENS)
        cluster.proxy_by_hop[("client", entry)].freeze()
        resend = open_call(cluster, other, "resend", key="key-client")
        answer = in_background(resend.answer)
        resume(cluster, "decode")
        assert_complete(answer.result(20))
        silent.close()
        decoded = [
            run
            for name in engines(cluster, "decode")
            for run in runs_named(cluster, name, "resend")
        ]
        assert decoded == []


class TestTruncatedClientConnection:
    """The connection to the client ends at any byte of the answer.

    The client must be able to detect this: an answer without its end event is not
    complete.
    """

    def test_never_reports_a_truncated_answer_as_complete(
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
            assert not answer.complete or answer.text == expected_text()
