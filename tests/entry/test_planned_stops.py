"""A planned shutdown interrupts no request in flight."""

from __future__ import annotations

import http.client
import json
import threading
from collections.abc import Iterator
from concurrent.futures import Future

import pytest
from waitress import wasyncore

from jujubeslip.entry._process import http_options
from jujubeslip.http_server import HttpServer
from jujubeslip.kernel import EntrySettings, Process
from jujubeslip.peers import EntryPeer, PeerClient, PeerIdentity, PeerRefusal
from tests.fakes.client import ClientAnswer, ask
from tests.fakes.cluster import CLIENT_KEY, PEER_SECRET, Cluster, EngineSpec, PlainSpec
from tests.fakes.processes import ManagedProcess, free_address, wait_until
from tests.fakes.scenarios import model_endpoints, small_system
from tests.requests.support import (
    DECODE_GATE_TOKENS,
    LONG_TIMEOUT_DECLARATION,
    SERVICE,
    WAIT_SECONDS,
    assert_complete,
    engines,
    heal,
    in_background,
    model_message,
    open_call,
    pause,
    resume,
    runs_named,
    wait_in_phase,
)

DECODES = ("decode-1", "decode-2")
PLAIN = "confirmations"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    plain = PlainSpec("plain-1", PLAIN, options={"slots": 1})
    endpoints: tuple[EngineSpec | PlainSpec, ...] = (*model_endpoints(2, 2), plain)
    spec = small_system(endpoints, entries=3, declaration=LONG_TIMEOUT_DECLARATION)
    with Cluster(spec, tmp_path_factory.mktemp("stops")) as cluster:
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


def open_streams(cluster: Cluster, host: str, name: str, count: int) -> list[Future]:
    """Open streams that are paused in decode; the futures return their answers."""
    futures = []
    for number in range(count):
        call = open_call(cluster, host, f"{name}-{number}")
        wait_in_phase(cluster, f"{name}-{number}", "decode")
        futures.append(in_background(call.answer))
    return futures


def engines_in(cluster: Cluster, phase: str) -> list[str]:
    """Return the engines that hold a request in the phase."""
    return [
        name
        for name in engines(cluster)
        if any(item["phase"] == phase for item in cluster.held(name))
    ]


def wait_refused(cluster: Cluster, host: str) -> None:
    """Wait until the entry host refuses new connections."""

    def refused() -> bool:
        address = cluster.http_address_by_id[host]
        connection = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
        try:
            connection.connect()
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:
            # The connection was queued when the listening socket was closed.
            return False
        finally:
            connection.close()
        return False

    wait_until(refused, f"{host} stops listening", WAIT_SECONDS)


class TestEntryHostWithOpenStreams:
    """An entry host gets SIGTERM while clients read long answers from it.

    A host that exited at once would interrupt all of them, and the load balancer would
    send it new requests until it noticed. Instead it reports not ready, stops
    listening, and exits with status 0 after the last answer, however many signals it
    gets.
    """

    def test_finishes_them_and_refuses_new_requests(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        _, host, other = hosts
        process = cluster.process_by_name[host]
        pause(cluster, "decode")
        streams = open_streams(cluster, host, "long", 3)
        keep_alive = http.client.HTTPConnection(cluster.http_address_by_id[host])
        assert self._ask(keep_alive, "GET", "/v1/ready")[0] == 200
        process.terminate()
        wait_refused(cluster, host)
        assert self._ask(keep_alive, "GET", "/v1/ready")[0] == 503
        status, error = self._ask(
            keep_alive, "POST", f"/v1/services/{SERVICE}/requests"
        )
        assert (status, error["error_id"], error["ran"]) == (503, "stopping", "no")
        message = model_message(DECODE_GATE_TOKENS)
        assert ask(cluster.client_address(other), SERVICE, message).complete
        process.terminate()
        seen = cluster.entry_status(host)
        assert (seen.stopping, seen.open_requests) == (True, len(streams))
        resume(cluster, "decode")
        for stream in streams:
            assert_complete(stream.result())
        assert process.wait() == 0
        keep_alive.close()

    def _ask(
        self, connection: http.client.HTTPConnection, method: str, path: str
    ) -> tuple[int, dict]:
        body = json.dumps(model_message()) if method == "POST" else None
        headers = {"Authorization": f"Bearer {CLIENT_KEY}"}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read()).get("error", {})

    def test_finishes_unstreamed_answers(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        _, host, _ = hosts
        cluster.set_faults("plain-1", pause_phase="after")
        message = {"text": "x" * 1_000_000, "repeatable": False}
        future = in_background(open_call(cluster, host, "one", message, PLAIN).answer)
        cluster.wait_at_gate("plain-1", "after")
        process = cluster.process_by_name[host]
        process.terminate()
        wait_refused(cluster, host)
        cluster.set_faults("plain-1", resume_phase="after")
        answer = future.result()
        assert (answer.status, len(answer.body) > 1_000_000) == (200, True)
        assert process.wait() == 0


class TestUnsentBytes:
    """The last request of a stopping host has ended, but its bytes are not sent yet.

    The host counts a request as ended before the HTTP library has written the end of
    its answer. If it exited then, the client would read a truncated answer. So it
    waits for the threads that serve calls and for unsent bytes.
    """

    def test_delay_the_exit(self) -> None:
        ended, written = threading.Event(), threading.Event()

        class Body:
            def __iter__(self) -> Iterator[bytes]:
                yield b"first "

            def close(self) -> None:
                ended.set()
                written.wait(WAIT_SECONDS)

        def app(environ: dict, start_response: object) -> Body:
            start_response("200 OK", [])  # type: ignore[operator]
            return Body()

        address = free_address()
        server = HttpServer(http_options(_settings(address)), app)
        process = Process("test")
        server.start(process)
        answer = in_background(_read, address)
        try:
            assert ended.wait(WAIT_SECONDS)
            flushed = in_background(server.wait_until_flushed)
            with pytest.raises(TimeoutError):
                flushed.result(0.3)
            written.set()
            flushed.result(WAIT_SECONDS)
            assert answer.result(WAIT_SECONDS) == b"first "
        finally:
            written.set()
            process.stopped.set()
            _stop_server(server)


def _stop_server(server: HttpServer) -> None:
    """End the server's task, which otherwise runs until the process exits."""
    inner = server._server
    inner.trigger.pull_trigger(lambda: wasyncore.close_all(inner._map, True))


def _settings(address: str) -> EntrySettings:
    return EntrySettings(
        host_id="entry-1",
        availability_zone="zone-1",
        region="region-1",
        http_address=address,
        peer_address=free_address(),
        peer_secret=PEER_SECRET,
        endpoint_secret=PEER_SECRET,
    )


def _read(address: str) -> bytes:
    connection = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
    connection.request("GET", "/")
    return connection.getresponse().read()


class TestHomeWithQueue:
    """The home of the engines gets SIGTERM while it has a queue.

    Clients of other entry hosts wait for its grants and stream from engines that it
    granted. Its shutdown must interrupt none of them: the waiting requests go to the
    next home, which accounts for what the engines hold already.
    """

    def test_hands_over_its_queue(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        home, other, third = hosts
        pause(cluster, "decode")
        streams = open_streams(cluster, other, "streaming", 2)
        streams += open_streams(cluster, home, "own", 1)
        pause(cluster, "prefill")
        waiting = [
            in_background(open_call(cluster, host, f"waiting-{number}").answer)
            for number in range(6)
            for host in (other, third)
        ]
        wait_until(lambda: _queued(cluster, home) > 0, "requests wait at the home")
        process = cluster.process_by_name[home]
        process.terminate()
        wait_until(
            lambda: _queued(cluster, home) == 0,
            "no request waits at the old home",
            WAIT_SECONDS,
        )
        resume(cluster, "prefill")
        resume(cluster, "decode")
        for future in (*streams, *waiting):
            assert_complete(future.result())
        assert process.wait() == 0


class TestAbandon:
    """An operator ends a shutdown early, because an answer takes too long.

    Each caller gets an error that says whether its request ran. Waiting requests did
    not run and may be sent elsewhere at once. A request that reached an endpoint may
    have run: if it were reported as "not run", the client would resend a shift
    confirmation, and it would be made twice.
    """

    def test_reports_whether_each_request_ran(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        _, host, _ = hosts
        pause(cluster, "decode")
        (stream,) = open_streams(cluster, host, "begun", 1)
        cluster.set_faults("plain-1", pause_phase="before")
        running = self._confirmation(cluster, host, "shift-7")
        cluster.wait_at_gate("plain-1", "before")
        waiting = self._confirmation(cluster, host, "shift-8")
        pause(cluster, "prefill")
        names = [f"early-{number}" for number in range(16)]
        early = [in_background(open_call(cluster, host, name).answer) for name in names]
        wait_until(
            lambda: cluster.entry_status(host).open_requests == len(names) + 3,
            "all requests are open",
        )
        wait_until(lambda: engines_in(cluster, "prefill"), "a request is in prefill")
        process = cluster.process_by_name[host]
        assert self._drain(cluster, host).wait() == 0
        assert process.wait() == 0
        answer = stream.result()
        assert (answer.status, answer.complete, answer.tokens) == (200, False, 3)
        self._check(answer, "unknown")
        self._check(running.result(), "unknown")
        self._check(waiting.result(), "no")
        cluster.set_faults("plain-1", resume_phase="before")
        runs = cluster.endpoint_call("plain-1", "GET", "/v1/records")["runs"]
        assert "shift-8" not in {run["idempotency_key"] for run in runs}
        for name, future in zip(names, early, strict=True):
            began = any(runs_named(cluster, item, name) for item in engines(cluster))
            self._check(future.result(), "unknown" if began else "no")
        resume(cluster, "prefill")
        cluster.wait_nothing_held()

    def _confirmation(self, cluster: Cluster, host: str, key: str) -> Future:
        message = {"shift": key, "repeatable": False}
        call = open_call(cluster, host, "shift", message, PLAIN, key=key)
        return in_background(call.answer)

    def _check(self, answer: ClientAnswer, ran: str) -> None:
        assert answer.error["error_id"] == "abandoned", answer
        assert answer.error["remedy"]
        assert answer.ran == ran, answer

    def _drain(self, cluster: Cluster, host: str) -> ManagedProcess:
        arguments = ["drain", "--abandon", "--peer-secret", PEER_SECRET]
        arguments += ["--pid", str(cluster.process_by_name[host].pid)]
        arguments += ["--entry", cluster.peer_address_by_id[host]]
        return ManagedProcess("drain", "jujubeslip.cli", arguments, cluster.folder)

    def test_is_refused_by_a_host_that_is_not_stopping(
        self, cluster: Cluster, hosts: tuple[str, str, str]
    ) -> None:
        _, host, _ = hosts
        pause(cluster, "decode")
        (stream,) = open_streams(cluster, host, "going-on", 1)
        identity = PeerIdentity("test", 1, PEER_SECRET)
        address = cluster.peer_address_by_id[host]
        client = PeerClient(EntryPeer.Client, address, identity)
        with pytest.raises(PeerRefusal) as refused:
            client.call(lambda peer: peer.abandon(), WAIT_SECONDS)
        client.close()
        assert refused.value.error_id == "not_stopping"
        resume(cluster, "decode")
        assert_complete(stream.result())


class TestDrainedEngine:
    """An engine gets SIGTERM while it computes and streams for clients.

    It announces that it is leaving and exits once it holds no request. Its requests
    finish there, and new ones go to the other engine of its role.
    """

    @pytest.mark.parametrize("phase", ["prefill", "decode"])
    def test_finishes_its_requests(
        self, cluster: Cluster, hosts: tuple[str, str, str], phase: str
    ) -> None:
        _, host, other = hosts
        pause(cluster, phase)
        calls = []
        for number in range(4):
            name = f"drained-{phase}-{number}"
            calls.append(in_background(open_call(cluster, host, name).answer))
        leaving_engine = wait_until(
            lambda: engines_in(cluster, phase), f"{phase} runs"
        )[0]
        process = cluster.process_by_name[leaving_engine]
        process.terminate()
        wait_until(
            lambda: _is_leaving(cluster, leaving_engine), f"{leaving_engine} leaves"
        )
        resume(cluster, phase)
        for future in calls:
            assert_complete(future.result())
        assert process.wait() == 0
        for number in range(4):
            answer = open_call(cluster, other, f"after-{number}").answer()
            assert_complete(answer)


def _is_leaving(cluster: Cluster, endpoint_id: str) -> bool:
    return bool(cluster.endpoint_call(endpoint_id, "GET", "/v1/status")["leaving"])


def _queued(cluster: Cluster, host: str) -> int:
    return sum(pool.queued for pool in cluster.entry_status(host).pools)
