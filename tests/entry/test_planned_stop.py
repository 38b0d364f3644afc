"""A planned stop cuts off no request in flight."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from concurrent.futures import Future

import pytest

from tests.fakes.client import ClientAnswer, OpenCall
from tests.fakes.cluster import Cluster, EngineSpec, PlainSpec
from tests.fakes.processes import wait_until
from tests.fakes.scenarios import model_endpoints, small_system
from tests.requests.support import (
    DECODE_GATE_TOKENS,
    PATIENT_DECLARATION,
    assert_whole,
    heal,
    in_background,
    open_call,
    pause,
    resume,
    wait_in_phase,
    whole_text,
)

ENDPOINTS: tuple[EngineSpec | PlainSpec, ...] = (
    *model_endpoints(decodes=3),
    PlainSpec("plain-1", "confirmations"),
)
STREAMS = 8


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    spec = small_system(ENDPOINTS, entries=3, declaration=PATIENT_DECLARATION)
    with Cluster(spec, tmp_path_factory.mktemp("stop")) as cluster:
        yield cluster


@pytest.fixture(autouse=True)
def _healed(cluster: Cluster) -> Iterator[None]:
    yield
    heal(cluster)


def open_streams(cluster: Cluster, entry: str, name: str) -> list[Future[ClientAnswer]]:
    """Open streams through an entry host and wait until all are being decoded."""
    pause(cluster, "decode")
    names = [f"{name}-{number}" for number in range(STREAMS)]
    answers = [in_background(open_call(cluster, entry, one).answer) for one in names]
    for one in names:
        wait_in_phase(cluster, one, "decode")
    return answers


def open_plain(cluster: Cluster, entry: str, name: str) -> Future[ClientAnswer]:
    """Send a confirmation and wait until the service has it."""
    cluster.order_faults("plain-1", pause_phase="after")
    message = {"shift": 7, "repeatable": False}
    call = open_call(cluster, entry, name, message, "confirmations", name)
    answer = in_background(call.answer)
    wait_until(lambda: cluster.held("plain-1"), "the service has it")
    return answer


class TestEntryHostThatIsStopped:
    """An operator stops an entry host while answers stream through it.

    If it ended at once every stream would be cut, and a confirmation's answer lost.
    It refuses new requests truthfully, finishes what is open down to the last byte,
    and only then ends, with status 0. A second signal must not hurry it.
    """

    def test_finishes_its_streams(self, cluster: Cluster) -> None:
        home = cluster.home_id(ENDPOINTS[0])
        entry, other = (host for host in cluster.entry_ids if host != home)
        self._stop(cluster, entry, other)

    def test_hands_the_endpoints_over_when_it_is_their_home(
        self, cluster: Cluster
    ) -> None:
        home = cluster.home_id(ENDPOINTS[0])
        other = next(host for host in cluster.entry_ids if host != home)
        self._stop(cluster, home, other)

    @staticmethod
    def _stop(cluster: Cluster, entry: str, other: str) -> None:
        streams = open_streams(cluster, entry, f"streams-{entry}")
        plain = open_plain(cluster, entry, f"plain-{entry}")
        process = cluster.process_by_name[entry]
        process.signal(signal.SIGTERM)
        wait_until(lambda: cluster.entry_status(entry).stopping, "it is stopping")
        process.signal(signal.SIGTERM)
        assert _refusal(cluster, entry) in ("no", "refused")
        elsewhere = in_background(open_call(cluster, other, "elsewhere").answer)
        wait_in_phase(cluster, "elsewhere", "decode")
        assert process.running
        resume(cluster, "decode")
        cluster.order_faults("plain-1", resume_phase="after")
        for stream in streams:
            assert_whole(stream.result())
        assert plain.result().status == 200
        assert_whole(elsewhere.result())
        assert process.wait() == 0

    def test_ends_short_answers_with_their_last_bytes(self, cluster: Cluster) -> None:
        """The client's library reads an unfinished chunked body as an error."""
        for round_number in range(3):
            entry = cluster.entry_ids[round_number]
            pause(cluster, "decode")
            name = f"short-{round_number}"
            call = open_call(cluster, entry, name)
            wait_in_phase(cluster, name, "decode")
            process = cluster.process_by_name[entry]
            process.signal(signal.SIGTERM)
            wait_until(lambda: not _listens(cluster, entry), "the port is closed")  # noqa: B023
            resume(cluster, "decode")
            assert read_to_the_end(call).endswith(b"\r\n0\r\n\r\n")
            assert process.wait() == 0
            heal(cluster)


class TestEngineThatIsDrained:
    """An engine is drained, as for a change of its role, while it decodes.

    It finishes what it holds, gets nothing new, and ends with status 0.
    """

    def test_finishes_its_streams(self, cluster: Cluster) -> None:
        home = cluster.home_id(ENDPOINTS[0])
        streams = open_streams(cluster, home, "drained")
        (drained, *_) = (
            name for name in ("decode-1", "decode-2", "decode-3") if cluster.held(name)
        )
        process = cluster.process_by_name[drained]
        process.signal(signal.SIGTERM)
        wait_until(lambda: _usable_decodes(cluster, home) == 3, "it is used no more")
        resume(cluster, "decode")
        for stream in streams:
            assert_whole(stream.result())
        assert process.wait() == 0


def _usable_decodes(cluster: Cluster, home: str) -> int:
    """Return the usable endpoints of the model service; one prefill is among them."""
    pools = cluster.entry_status(home).pools
    return sum(p.usable_endpoints for p in pools if p.service_name == "summaries")


def _refusal(cluster: Cluster, entry: str) -> str:
    """Return what a new request hears: `ran`, or that the port is closed."""
    try:
        return open_call(cluster, entry, "new").answer().ran
    except ConnectionRefusedError:
        return "refused"


def _listens(cluster: Cluster, entry: str) -> bool:
    try:
        open_call(cluster, entry, "probe").close()
    except ConnectionRefusedError:
        return False
    return True


def read_to_the_end(call: OpenCall) -> bytes:
    """Return the last bytes of an answer as they came over the connection."""
    sock = call._connection.sock
    data = b""
    while part := sock.recv(65536):
        data += part
    assert whole_text().split()[DECODE_GATE_TOKENS].encode() in data
    return data
