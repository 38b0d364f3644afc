"""Requests that crash every endpoint that runs them, with real processes."""

from __future__ import annotations

import json
import re
import signal
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
from click.testing import CliRunner

from jujubeslip.cli import main
from jujubeslip.tracing import cause_of, lines_about
from tests.fakes.fleet import Fleet
from tests.fakes.platform_system import (
    ENGINE,
    PLAIN,
    PROMPT,
    SECRET,
    PlatformSystem,
    Reply,
    configuration,
    route,
)
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import wait_until

FATAL = b"this ends the process"
ENTRIES = 3
# Number of crashes after which the hosts quarantine a content, and how often it may
# still reach an endpoint after the time in which the hosts notify each other, in
# seconds.
CRASHES = 3
MAXIMUM_RUNS_AFTER_CONTACT = 3
CONTACT_SECONDS = 2.0
# Number of events of a stream that lasts for more than a second.
LONG_STREAM_EVENTS = 130
# Number of contents that crash endpoints, one after the other.
FATAL_CONTENT_COUNT = 8


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[PlatformSystem]:
    shape = {"kind": "stream", "timeoutMs": 4000, "sloMs": 900, "gapSloMs": 300}
    routes = [
        route("safe", "/safe/", "plain"),
        route("unsafe", "/unsafe/", "plain", kind="unsafe", maxAttempts=1),
        route("stream", "/stream/", "model", **shape, maxAttempts=1),
        route("long", "/long/", "long-model", **shape, maxAttempts=1),
    ]
    long_model = {**ENGINE, "name": "long-model"}
    folder = tmp_path_factory.mktemp("crashing")
    with PlatformSystem(folder, controls=3, entries=ENTRIES) as running:
        running.put_until_accepted(
            configuration(1, routes, [PLAIN, ENGINE, long_model])
        )
        running.wait_ready()
        with (
            Fleet(running, 3, crashes_on=FATAL) as fleet,
            Fleet(running, 3, "model", stage="decode", crashes_on=FATAL) as engines,
            Fleet(
                *(running, 3, "long-model"),
                stage="decode",
                crashes_on=FATAL,
                events=LONG_STREAM_EVENTS,
            ) as long_engines,
        ):
            running.add(PlatformWorker("reader", "model", "prefill"))
            running.add(PlatformWorker("long-reader", "long-model", "prefill"))
            running.wait_served("/unsafe/x", method="POST", body=b"harmless")
            running.wait_served("/stream/x", method="POST", headers=PROMPT)
            running.fleets = {  # type: ignore[attr-defined]
                "/unsafe/": fleet,
                "/stream/": engines,
                "/long/": long_engines,
            }
            yield running


def send(
    system: PlatformSystem, target: str, body: bytes = FATAL, entry: int = 0
) -> Reply:
    headers = {} if target.startswith("/unsafe/") else PROMPT
    return system.ask(target, "POST", body, headers, entry, deadline_ms=4000)


def lines(system: PlatformSystem, entry: int, message: str) -> list[dict[str, Any]]:
    found = [json.loads(line) for line in system.entries[entry].output().splitlines()]
    return [line for line in found if line.get("message") == message]


class TestRunThatIsCutOff:
    """Guards against logs that don't distinguish a crash from a lost answer."""

    def test_line_says_that_the_endpoint_has_ended(
        self, system: PlatformSystem
    ) -> None:
        assert send(system, "/unsafe/told").status == 502
        request_id = system.last_request_id
        wait_until(lambda: lines(system, 0, "run cut off"), "the line")
        line = lines(system, 0, "run cut off")[-1]
        assert line["request_id"] == request_id
        assert line["endpoint_ended"]
        assert line["fingerprint"]

    def test_line_says_that_the_endpoint_runs_on(self, system: PlatformSystem) -> None:
        with PlatformWorker("loses", "plain") as worker:
            worker.faults.lose = 1000
            system.add(worker)

            def logged() -> bool:
                send(system, "/unsafe/lost", b"harmless")
                found = lines(system, 0, "run cut off")
                return any(line["start_id"] == "loses" for line in found)

            wait_until(logged, "a line about the worker that loses answers")
            system.withdraw(worker)
            system.heartbeat(worker, "draining")
        found = [
            line
            for line in lines(system, 0, "run cut off")
            if line["start_id"] == "loses"
        ]
        assert not any(line["endpoint_ended"] for line in found)

    def test_equal_requests_have_equal_fingerprints(
        self, system: PlatformSystem
    ) -> None:
        for target in ("/unsafe/same", "/unsafe/same", "/unsafe/other"):
            before = len(lines(system, 1, "run cut off"))
            wait_until(
                lambda: send(system, target, entry=1).status == 502,  # noqa: B023
                "an endpoint takes it",
            )
            wait_until(
                lambda: len(lines(system, 1, "run cut off")) > before,  # noqa: B023
                "the line",
            )
        first, second, third = (
            line["fingerprint"] for line in lines(system, 1, "run cut off")[-3:]
        )
        assert first == second != third


class RepeatedRequest:
    """A request that is sent repeatedly, to the entry hosts in turn."""

    def __init__(self, system: PlatformSystem, fleet: Fleet, target: str) -> None:
        self._system = system
        self._fleet = fleet
        self._target = target
        self._sent_at_by_id: dict[str, float] = {}
        self._sends = 0

    def send(self, entry: int | None = None) -> Reply:
        """Send it once more, to the next entry host unless one is given."""
        self._sends += 1
        chosen = self._sends % ENTRIES if entry is None else entry
        sent_at = time.monotonic()
        reply = send(self._system, self._target, entry=chosen)
        self._sent_at_by_id[self._system.last_request_id] = sent_at
        return reply

    def send_until(self, count: int, what: str) -> None:
        """Send it until it has crashed this many endpoints."""

        def crashed() -> bool:
            self.send()
            return len(self.runs()) >= count

        wait_until(crashed, what)

    def runs(self) -> list[float]:
        """Return when the requests that reached an endpoint were sent, in order."""
        ran = set(self._fleet.run_ids())
        return sorted(at for name, at in self._sent_at_by_id.items() if name in ran)


class TestRequestThatCrashesEndpoints:
    """Guards against one content that crashes many endpoints through all hosts."""

    @pytest.mark.parametrize("prefix", ["/unsafe/", "/stream/"])
    def test_reaches_few_more_at_any_host(
        self, system: PlatformSystem, prefix: str
    ) -> None:
        fleet = system.fleets[prefix]  # type: ignore[attr-defined]
        fatal = RepeatedRequest(system, fleet, f"{prefix}fatal")
        fatal.send_until(CRASHES, "three endpoints ended")
        known_from = time.monotonic() + CONTACT_SECONDS
        while time.monotonic() < known_from + 4.0:
            fatal.send()
            time.sleep(0.1)
        late = [sent_at for sent_at in fatal.runs() if sent_at > known_from]
        assert len(late) <= MAXIMUM_RUNS_AFTER_CONTACT

    def test_is_refused_with_the_time_of_its_next_trial(
        self, system: PlatformSystem
    ) -> None:
        fatal = quarantined(system, "/unsafe/refused")
        reply = fatal.send()
        refusal = json.loads(reply.body)
        assert reply.status == 503
        assert (refusal["error"], refusal["ran"]) == ("request_quarantined", "no")
        assert float(reply.headers["retry-after"]) > 60
        assert "Server-Stamp" not in reply.headers

    def test_another_body_on_its_path_is_served(self, system: PlatformSystem) -> None:
        quarantined(system, "/unsafe/held")
        wait_until(
            lambda: send(system, "/unsafe/held", b"harmless").status == 200,
            "another request is served",
        )


class TestRequestsBesideOneThatCrashes:
    """Guards against refusing requests that only ran beside one that crashes.

    An endpoint that crashes also ends the other requests that it runs.
    """

    def test_polls_and_a_long_request_continue_to_be_served(
        self, system: PlatformSystem
    ) -> None:
        fleet = system.fleets["/unsafe/"]  # type: ignore[attr-defined]
        for worker in fleet.starts:
            worker.run_seconds = 0.02
        fatal = RepeatedRequest(system, fleet, "/unsafe/beside")
        ended = threading.Event()
        with ThreadPoolExecutor(4) as pool:
            polls = [pool.submit(poll, system, entry, ended) for entry in range(3)]
            long = pool.submit(send_until_served, system, ended)
            try:
                fatal.send_until(CRASHES, "three endpoints ended")
                wait_until(lambda: fatal.send().status == 503, "it is refused")
            finally:
                ended.set()
            errors = [error for found in polls for error in found.result()]
            assert "request_quarantined" not in errors
            assert "request_quarantined" not in long.result()
        for entry in range(ENTRIES):
            wait_until(
                lambda entry=entry: (
                    send(system, "/unsafe/poll", b"p", entry).status  # type: ignore[misc]
                    == 200
                ),
                "the poll is served",
            )


class TestEqualStreamsBesideOneThatCrashes:
    """Guards against refusing a harmless content whose answers are all cut off.

    Other contents crash its endpoints before any of its streams is complete.
    """

    def test_continue_to_be_served(self, system: PlatformSystem) -> None:
        fleet = system.fleets["/long/"]  # type: ignore[attr-defined]
        for entry in range(ENTRIES):
            assert send(system, "/long/poll", b"p", entry).status == 200
        ended = threading.Event()
        with ThreadPoolExecutor(ENTRIES) as pool:
            polls = [
                pool.submit(poll, system, entry, ended, "/long/poll")
                for entry in range(ENTRIES)
            ]
            try:
                for number in range(FATAL_CONTENT_COUNT):
                    fatal = RepeatedRequest(system, fleet, f"/long/fatal-{number}")
                    fatal.send_until(CRASHES, "three endpoints ended")
            finally:
                ended.set()
            errors = [error for found in polls for error in found.result()]
        assert "request_quarantined" not in errors
        for entry in range(ENTRIES):
            wait_until(
                lambda entry=entry: send(system, "/long/poll", b"p", entry).complete,  # type: ignore[misc]
                "the stream is served",
            )


def poll(
    system: PlatformSystem,
    entry: int,
    ended: threading.Event,
    target: str = "/unsafe/poll",
) -> list[str]:
    """Send equal requests until the event is set; return the errors received."""
    errors = []
    while not ended.wait(0.01):
        reply = send(system, target, b"p", entry)
        if reply.status != 200:
            errors.append(json.loads(reply.body)["error"])
    return errors


def send_until_served(system: PlatformSystem, ended: threading.Event) -> list[str]:
    """Send a long stream, and repeat it whenever it is lost; return the errors."""
    errors = []
    while not ended.is_set():
        reply = send(system, "/stream/long", b"harmless", 1)
        if reply.status != 200:
            errors.append(json.loads(reply.body)["error"])
    return errors


def quarantined(system: PlatformSystem, target: str) -> RepeatedRequest:
    """Send a content that crashes endpoints until every host refuses it."""
    fleet = system.fleets["/unsafe/"]  # type: ignore[attr-defined]
    fatal = RepeatedRequest(system, fleet, target)
    fatal.send_until(CRASHES, "three endpoints ended")
    for entry in range(ENTRIES):
        wait_until(lambda entry=entry: is_refused(fatal, entry), "it is refused")  # type: ignore[misc]
    return fatal


def is_refused(fatal: RepeatedRequest, entry: int) -> bool:
    reply = fatal.send(entry)
    return b"request_quarantined" in reply.body


class TestRestartsAndPartitions:
    """Guards against a quarantine that is lost with a host, a leader or a majority."""

    def test_a_restarted_host_refuses_it(self, system: PlatformSystem) -> None:
        fatal = quarantined(system, "/unsafe/restart")
        runs = len(fatal.runs())
        system.entries[1].kill()
        system.entries[1].start()
        wait_until(lambda: system.ready(1), "the host is ready")
        wait_until(lambda: is_refused(fatal, 1), "it is refused")
        assert len(fatal.runs()) <= runs + 1

    def test_control_hosts_that_all_restart_learn_of_it(
        self, system: PlatformSystem
    ) -> None:
        fatal = quarantined(system, "/unsafe/amnesia")
        for host in system.controls:
            host.kill()
        for host in system.controls:
            host.start()
        wait_until(
            lambda: system.put(current_configuration(system)) == 200,
            "a leader is there",
        )
        system.entries[2].kill()
        system.entries[2].start()
        wait_until(lambda: system.ready(2), "the host is ready")
        runs = len(fatal.runs())
        wait_until(lambda: is_refused(fatal, 2), "it is refused")
        assert len(fatal.runs()) <= runs + MAXIMUM_RUNS_AFTER_CONTACT

    def test_it_is_established_without_a_leader(self, system: PlatformSystem) -> None:
        for host in system.controls[1:]:
            host.kill()
        try:
            # The fleets announce themselves to the remaining control host.
            wait_until(
                lambda: send(system, "/unsafe/x", b"harmless").status == 200,
                "requests are served without a leader",
            )
            fatal = quarantined(system, "/unsafe/alone")
            runs = len(fatal.runs())
            for entry in range(ENTRIES):
                assert is_refused(fatal, entry)
            assert len(fatal.runs()) == runs
        finally:
            for host in system.controls[1:]:
                host.start()
        wait_until(
            lambda: system.put(current_configuration(system)) == 200,
            "a leader is there",
        )

    def test_a_zone_that_was_cut_off_notifies_the_others_afterwards(
        self, system: PlatformSystem
    ) -> None:
        # The suspended control hosts are silent, as beyond a network partition.
        for host in system.controls[1:]:
            host.signal(signal.SIGSTOP)
        try:
            fatal = quarantined(system, "/unsafe/cut")
        finally:
            for host in system.controls[1:]:
                host.signal(signal.SIGCONT)
        fatal.send(0)
        request_id = system.last_request_id
        wait_until(
            lambda: request_id in str(lines(system, 0, "request quarantined")),
            "the line of the refusal",
        )
        fingerprint = lines(system, 0, "request quarantined")[-1]["fingerprint"]
        for address in system.seeds[1:]:
            wait_until(
                lambda address=address: fingerprint in shown(address),  # type: ignore[misc]
                "the others know it",
            )


def shown(*addresses: str) -> str:
    """Return the contents that the control hosts list as quarantined."""
    options = ["--peer-secret", SECRET]
    for address in addresses:
        options += ["--control", address]
    result = CliRunner().invoke(main, ["quarantine", "list", *options, "--json"])
    return result.stdout if result.exit_code == 0 else ""


def current_configuration(system: PlatformSystem) -> Any:
    """Return the configuration in force, for another update with the same content."""
    return wait_until(lambda: system.read()[1], "the configuration is read")


class TestLiftOfAQuarantine:
    def test_content_is_listed_and_then_runs(self, system: PlatformSystem) -> None:
        fatal = quarantined(system, "/unsafe/lifted")
        options = ["--peer-secret", SECRET]
        for address in system.seeds:
            options += ["--control", address]
        request_id = system.last_request_id
        wait_until(
            lambda: any(
                line["request_id"] == request_id
                for line in lines(system, 2, "request quarantined")
            ),
            "the line of the refusal",
        )
        line = lines(system, 2, "request quarantined")[-1]
        shown = CliRunner().invoke(main, ["quarantine", "list", *options, "--json"])
        assert shown.exit_code == 0, shown.output
        contents = json.loads(shown.stdout)["contents"]
        assert line["fingerprint"] in {item["fingerprint"] for item in contents}
        assert line["request_id"] == request_id
        command = ["quarantine", "lift", line["fingerprint"], *options]
        lifted = CliRunner().invoke(main, command)
        assert lifted.exit_code == 0, lifted.output
        for entry in range(ENTRIES):
            wait_until(
                lambda entry=entry: not is_refused(fatal, entry),  # type: ignore[misc]
                "it runs again",
            )

    def test_fails_if_no_crash_is_known(self, system: PlatformSystem) -> None:
        options = ["--peer-secret", SECRET, "--control", system.seeds[0]]
        command = ["quarantine", "lift", "0123456789abcdef", *options]
        refused = CliRunner().invoke(main, command)
        assert refused.exit_code == 1
        assert "quarantine list" in refused.output

    def test_trace_says_why_it_was_refused(self, system: PlatformSystem) -> None:
        quarantined(system, "/unsafe/traced")
        request_id = system.last_request_id
        path = system.folder / "traced.log"

        def cause() -> str:
            path.write_text(system.entries[2].output())
            return cause_of(lines_about(request_id, [path]))

        wait_until(lambda: "quarantine" in cause(), "the cause")
        crashes = re.search(r"have ended (\d+) endpoints", cause())
        assert crashes is not None
        assert CRASHES <= int(crashes[1]) <= CRASHES + MAXIMUM_RUNS_AFTER_CONTACT
