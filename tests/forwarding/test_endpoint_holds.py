"""Endpoints that ask for backoff or announce that they leave, with real processes."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from threading import Event

import pytest

from jujubeslip.tracing import cause_of, lines_about
from tests.fakes.endpoint_notices import (
    DRAIN_SECONDS,
    ENTRIES,
    IMMEDIATE_REFUSAL_SECONDS,
    MAXIMUM_IN_BACKOFF,
    SITUATIONS,
    Situation,
    ask,
    ask_for_backoff,
    by_sender,
    count_late_after_leaving,
    maximum_in_backoff,
    obeys_notices,
    offer,
    offer_in,
    partitioned,
    report_leaving,
    restarted,
    served_share,
    wait_used_again,
    without_leader,
)
from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    PlatformSystem,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until
from tests.forwarding.test_endpoint_limits import lines, workers

STREAM = "/stream/x"
PLAIN_ROUTES = ("/safe/x", "/unsafe/x")


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1),
        route("stream", "/stream/", "model", **shape, maxAttempts=2),
        route("resumed", "/resumed/", "model", **shape, maxAttempts=3, resumable=True),
    ]
    folder = tmp_path_factory.mktemp("endpoint-holds")
    with PlatformSystem(
        folder, controls=3, entries=ENTRIES, has_proxies=True, retry_allowance=500
    ) as running:
        running.put_until_accepted(configuration(1, routes, [PLAIN, ENGINE]))
        running.wait_ready()
        yield running


class TestBackoffOfAPlainEndpoint:
    """Guards against requests to an endpoint during the backoff that it asked for."""

    @pytest.mark.parametrize("backoff", ["3", "2.4"])
    @pytest.mark.parametrize("target", PLAIN_ROUTES)
    def test_is_respected_by_each_host_while_others_serve(
        self, system: PlatformSystem, target: str, backoff: str
    ) -> None:
        with workers(system, 2) as (refusing, free):
            system.wait_served(target, method="POST", body=b"p")
            refusing.backoff = backoff
            replies = offer(system, target, 4.0)
            assert any(arrival.backoff for arrival in refusing.arrivals)
            assert maximum_in_backoff(refusing) <= MAXIMUM_IN_BACKOFF
            assert served_share(replies) > 0.95
            assert len(free.arrivals) > 100

    @pytest.mark.parametrize("situation", [without_leader, partitioned])
    def test_is_respected_without_a_leader(
        self, system: PlatformSystem, situation: Situation
    ) -> None:
        with workers(system, 2) as (refusing, _), situation(system):
            refusing.backoff = "3"
            replies = offer(system, "/safe/x", 4.0)
            assert any(arrival.backoff for arrival in refusing.arrivals)
            assert maximum_in_backoff(refusing) <= MAXIMUM_IN_BACKOFF
            assert served_share(replies) > 0.95

    def test_ends_after_its_duration(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = "1.5"
            wait_until(
                lambda: ask(system, "/safe/x").error == "endpoint_backoff", "backoff"
            )
            asked_at = next(item.at for item in worker.arrivals if item.backoff)
            worker.backoff = ""
            wait_until(lambda: ask(system, "/safe/x").reply.status == 200, "used")
            assert 1.5 <= worker.arrivals[-1].at - asked_at < 2.0

    def test_is_respected_however_long(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = "99999999999"
            offer(system, "/safe/x", 1.0)
            arrived = len(worker.arrivals)
            worker.backoff = ""
            replies = offer(system, "/safe/x", 2.0)
            assert len(worker.arrivals) == arrived
            assert {item.error for item in replies} == {"endpoint_backoff"}

    @pytest.mark.parametrize("backoff", ["soon", "-3", "0"])
    def test_is_ignored_if_it_can_not_be_parsed(
        self, system: PlatformSystem, backoff: str
    ) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = backoff
            assert ask(system, "/safe/x").reply.status == 503
            worker.backoff = ""
            assert ask(system, "/safe/x").reply.status == 200

    def test_does_not_apply_to_the_next_start(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            worker.started_at_ms = 1_700_000_000_000
            wait_until(lambda: ask(system, "/safe/x").reply.status == 200, "served")
            worker.backoff = "60"
            offer(system, "/safe/x", 0.5)
            with restarted(system, worker) as later:
                wait_used_again(system, later, "/safe/x")


class TestAllEndpointsInBackoff:
    """Guards against requests that wait for endpoints while all are in backoff."""

    @pytest.mark.parametrize("target", [*PLAIN_ROUTES, STREAM])
    @pytest.mark.parametrize("situation", SITUATIONS)
    def test_request_is_refused_at_once_with_the_time_of_return(
        self, system: PlatformSystem, target: str, situation: Situation
    ) -> None:
        service, stage = ("model", "decode") if target == STREAM else ("plain", "")
        with workers(system, 2, service, stage) as refusing:
            headers = PROMPT if target == STREAM else {}
            system.wait_served(target, method="POST", body=b"p", headers=headers)
            for worker in refusing:
                worker.backoff = "20"
            replies = offer_in(situation, system, target, 2.0)
            for worker in refusing:
                assert maximum_in_backoff(worker) <= MAXIMUM_IN_BACKOFF
            latest = replies[len(replies) // 2 :]
            assert {item.error for item in latest} == {"endpoint_backoff"}
            for item in latest:
                refusal = json.loads(item.reply.body)
                assert (item.reply.status, refusal["ran"]) == (503, "no")
                assert 16 < float(item.reply.headers["retry-after"]) < 21
            assert (
                sorted(item.seconds for item in latest)[-3] < IMMEDIATE_REFUSAL_SECONDS
            )

    def test_a_trace_names_them(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (worker,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            worker.backoff = "20"
            wait_until(
                lambda: ask(system, "/safe/x").error == "endpoint_backoff", "backoff"
            )
            ask(system, "/safe/x")
            request_id = system.last_request_id
            path = system.folder / "backoff.log"

            def cause() -> str:
                path.write_text(system.entries[0].output())
                return cause_of(lines_about(request_id, [path]))

            wait_until(lambda: "asked this host for backoff" in cause(), "the cause")
            assert worker.worker_id in cause()
            # This line is logged before the request's own lines.
            line = lines(system, 0, "endpoint asked for backoff")[-1]
            assert line["start_id"] == worker.worker_id
            assert 19 < line["seconds"] <= 20


class TestBackoffOfAnEngine:
    """Guards against prefills, decodes and reservations in an engine's backoff."""

    @pytest.mark.parametrize("situation", SITUATIONS)
    def test_is_respected_for_decode_and_prefill_engines(
        self, system: PlatformSystem, situation: Situation
    ) -> None:
        with (
            workers(system, 2, "model", "decode") as (refusing, _),
            workers(system, 2, "model", "prefill") as (refusing_prefill_engine, _),
        ):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            refusing.backoff = refusing_prefill_engine.backoff = "3"
            replies = offer_in(situation, system, STREAM, 4.0)
            for worker in (refusing, refusing_prefill_engine):
                assert any(arrival.backoff for arrival in worker.arrivals)
                assert maximum_in_backoff(worker) <= MAXIMUM_IN_BACKOFF
            assert served_share(replies) > 0.9


@pytest.mark.parametrize("give_notice", [ask_for_backoff, report_leaving])
class TestRequestsInProgress:
    """Guards against sends to an endpoint chosen or granted before its notice.

    The requests that are in progress must respect the notice, too.
    """

    def test_retries(
        self, system: PlatformSystem, give_notice: Callable[[PlatformWorker], None]
    ) -> None:
        with workers(system, 2) as (held, failing):
            system.wait_served("/safe/x", method="POST", body=b"p")
            failing.faults.fail = 1_000_000
            give_notice(held)
            offer(system, "/safe/x", 4.0)
            assert obeys_notices(held)

    def test_those_that_wait_for_capacity(
        self, system: PlatformSystem, give_notice: Callable[[PlatformWorker], None]
    ) -> None:
        with workers(system, 1, "model", "decode") as (held,):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            held.run_seconds = 0.3
            with ThreadPoolExecutor(1) as pool:
                offered = pool.submit(offer, system, STREAM, 5.0, range(ENTRIES), 6)
                time.sleep(1.0)
                give_notice(held)
                replies = offered.result()
            assert obeys_notices(held)
            errors = {item.error for item in replies}
            assert errors <= {"", "endpoint_backoff", "no_room", "no_endpoint"}

    def test_those_whose_prompt_is_being_prefilled(
        self, system: PlatformSystem, give_notice: Callable[[PlatformWorker], None]
    ) -> None:
        with (
            workers(system, 2, "model", "decode") as (held, _),
            workers(system, 1, "model", "prefill") as (prefill_engine,),
        ):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            prefill_engine.prefill_seconds = 0.8
            with ThreadPoolExecutor(1) as pool:
                offered = pool.submit(offer, system, STREAM, 5.0, [0], 6)
                time.sleep(1.0)
                give_notice(held)
                offered.result()
            assert maximum_in_backoff(held) <= MAXIMUM_IN_BACKOFF
            assert count_late_after_leaving(held) == 0

    def test_resumed_streams(
        self, system: PlatformSystem, give_notice: Callable[[PlatformWorker], None]
    ) -> None:
        with workers(system, 3, "model", "decode") as (cutting, held, free):
            target = "/resumed/x"
            wait_until(lambda: ask(system, target).reply.status == 200, "served")
            give_notice(held)
            cutting.events = free.events = held.events = 20
            ended = Event()

            def cut() -> None:
                while not ended.wait(0.1):
                    cutting.faults.cut_stream_after = 3

            with ThreadPoolExecutor(1) as pool:
                pool.submit(cut)
                replies = offer(system, target, 4.0)
                ended.set()
            assert obeys_notices(held)
            assert sum(item.reply.complete for item in replies) > 0.9 * len(replies)


class TestEndpointThatAnnouncesThatItLeaves:
    """Guards against requests to an endpoint whose answers say that it is leaving.

    Its announcements still say that it is ready, as if later ones were lost.
    """

    @pytest.mark.parametrize("target", PLAIN_ROUTES)
    def test_gets_nothing_more(self, system: PlatformSystem, target: str) -> None:
        with workers(system, 2) as (leaving, _):
            system.wait_served(target, method="POST", body=b"p")
            leaving.leaves = True
            replies = offer(system, target, DRAIN_SECONDS + 2.0)
            assert len(by_sender(leaving)) >= ENTRIES
            assert count_late_after_leaving(leaving) == 0
            assert served_share(replies) > 0.99

    @pytest.mark.parametrize("situation", SITUATIONS)
    def test_gets_no_prefills_and_no_decodes(
        self, system: PlatformSystem, situation: Situation
    ) -> None:
        with (
            workers(system, 2, "model", "decode") as (leaving, _),
            workers(system, 2, "model", "prefill") as (leaving_prefill_engine, _),
        ):
            system.wait_served(STREAM, method="POST", headers=PROMPT, body=b"p")
            leaving.leaves = leaving_prefill_engine.leaves = True
            replies = offer_in(situation, system, STREAM, DRAIN_SECONDS + 2.0)
            assert count_late_after_leaving(leaving) == 0
            assert count_late_after_leaving(leaving_prefill_engine) == 0
            assert served_share(replies) > 0.9

    def test_is_passed_on_to_the_client(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (leaving,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            leaving.leaves = True
            reply = ask(system, "/safe/x", 1).reply
            assert (reply.status, reply.headers["server-leaving"]) == (200, "1")

    def test_gets_nothing_if_no_other_is_left(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (leaving,):
            system.wait_served("/safe/x", method="POST", body=b"p")
            leaving.leaves = True
            replies = offer(system, "/safe/x", DRAIN_SECONDS + 1.0)
            assert count_late_after_leaving(leaving) == 0
            refused = [item for item in replies if item.error]
            assert {item.error for item in refused} == {"no_endpoint"}
            assert (
                sorted(item.seconds for item in refused)[-3] < IMMEDIATE_REFUSAL_SECONDS
            )

    def test_is_used_once_it_has_restarted(self, system: PlatformSystem) -> None:
        with workers(system, 1) as (leaving,):
            leaving.started_at_ms = 1_700_000_000_000
            wait_until(lambda: ask(system, "/safe/x").reply.status == 200, "served")
            leaving.leaves = True
            offer(system, "/safe/x", 0.5)
            with restarted(system, leaving) as later:
                wait_used_again(system, later, "/safe/x")
