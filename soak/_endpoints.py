"""Endpoints that announce themselves, leave, crash and come back."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from typing import Any

from soak._observations import (
    Departure,
    EndpointArrival,
    EndpointEnd,
    Observations,
    Run,
)
from soak._schedule import (
    CONTROLS,
    DECODE_ENDPOINTS,
    LATE_BEAT_SECONDS,
    LEAVE_SERVES_SECONDS,
    PREFILL_ENDPOINTS,
)
from soak._system import SoakSystem
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.platform_worker import Arrival, PlatformWorker, WorkerRun

BEAT_SECONDS = 0.3
# How long an endpoint waits for an acknowledgement before it asks another host.
BEAT_ANSWER_SECONDS = 1.0
# How long one that leaves tries to be acknowledged, in seconds.
LEAVE_TRIES_SECONDS = 5.0
# A stream lasts for one and a half seconds: longer than a host may take to see that
# its client has left.
STREAM_EVENTS = 150
# What clients ask for, and the calls of the system that are no requests.
REQUEST_BODY = b"what is asked"
FATAL_BODY = b"what ends its endpoint"
# How long an endpoint is down that such a request has ended, in seconds.
ENDED_SECONDS = 0.5
SYSTEM_TARGETS = ("/order", "/health")
# The client account of all clients, and its key, which no endpoint may see.
ACCOUNT = "soaking"
API_KEY = "k-soak-5a27"
PLAIN_RUN_SECONDS = (0.002, 0.02, 0.25)


def _is_identified(run: WorkerRun) -> bool:
    """Say whether the endpoint was told the client account, and not its key."""
    value_by_name = {name.lower(): value for name, value in run.headers.items()}
    named = value_by_name.get("tenant") == ACCOUNT
    return named and API_KEY not in str(value_by_name)


class _RunLog(list[WorkerRun]):
    """Notes each run as the endpoint begins it."""

    def __init__(self, endpoint: SoakEndpoint, endpoint_id: str) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._endpoint_id = endpoint_id

    def append(self, run: WorkerRun) -> None:
        """Note a run."""
        endpoint = self._endpoint
        # Cut off by the end of its sender: the stand-in goes on with what it has, and
        # an endpoint would not begin.
        incomplete = len(run.body) < int(run.headers.get("Content-Length", 0))
        if run.target in SYSTEM_TARGETS or incomplete:
            return
        noted = Run(
            run.request_id,
            self._endpoint_id,
            endpoint.slot,
            endpoint.service,
            time.monotonic(),
            "Last-Event-Id" in run.headers,
            run.method == "POST"
            and run.body in (REQUEST_BODY, FATAL_BODY)
            and _is_identified(run),
        )
        endpoint.observations.runs.append(noted)


class _GoneLog(list[str]):
    """Notes each request whose caller the endpoint has seen leave."""

    def __init__(self, observations: Observations) -> None:
        super().__init__()
        self._observations = observations

    def append(self, request_id: str) -> None:
        """Note a request."""
        self._observations.gone_by_request_id.setdefault(request_id, time.monotonic())


class _ArrivalLog(list[Arrival]):
    """Notes each request that reaches the endpoint, also one that it turns away."""

    def __init__(self, endpoint: SoakEndpoint, endpoint_id: str) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._endpoint_id = endpoint_id

    def append(self, arrival: Arrival) -> None:
        """Note a request; what has no id is a call of the system's own."""
        if not arrival.request_id:
            return
        noted = EndpointArrival(
            arrival.request_id,
            self._endpoint_id,
            self._endpoint.slot,
            arrival.at,
            float(arrival.backoff or 0),
            arrival.told_leaving,
        )
        self._endpoint.observations.arrivals.append(noted)


class SoakEndpoint:
    """A place of an endpoint, each start of which has another id and address."""

    def __init__(self, slot: str, number: int, system: SoakSystem, seed: int) -> None:
        self.slot = slot
        self.service = "plain" if slot.startswith("plain") else "model"
        self.observations = system.observations
        self._number = number
        self._system = system
        self._chance = random.Random(f"{seed}/{slot}")
        self._generation = 0
        self._silent = threading.Event()
        self.lock = threading.Lock()
        """Held while a fault acts on it: one at a time."""
        self.worker = self._start()

    def _start(self) -> PlatformWorker:
        self._generation += 1
        endpoint_id = f"{self.slot}-{self._generation}"
        stage = ""
        if self.slot in PREFILL_ENDPOINTS:
            stage = "prefill"
        if self.slot in DECODE_ENDPOINTS:
            stage = "decode"
        answer = f"the whole answer of {endpoint_id}; ".encode() * 8
        worker = PlatformWorker(
            endpoint_id,
            self.service,
            stage,
            answer=answer,
            events=STREAM_EVENTS,
            run_seconds=PLAIN_RUN_SECONDS[self._number % 3] if not stage else 0.0,
            crashes_on=FATAL_BODY,
            on_crash=self._end_by_request,
            runs=_RunLog(self, endpoint_id),
            gone_clients=_GoneLog(self.observations),
            arrivals=_ArrivalLog(self, endpoint_id),
        )
        self.observations.answer_by_endpoint[endpoint_id] = answer
        link = f"entry>{self.slot}"
        former = self._system.proxy_by_link.get(link)
        proxy = FaultProxy(worker.address)
        self._system.proxy_by_link[link] = proxy
        if former is not None:
            former.stop()
        # What it announces: entry hosts reach it through the proxy alone.
        worker.address = proxy.address
        self._silent.clear()
        return worker

    def close(self) -> None:
        """Serve no more; the connections to it end."""
        self._silent.set()
        proxy = self._system.proxy_by_link[f"entry>{self.slot}"]
        proxy.refuse()
        proxy.reset()
        self.worker.close()

    def announce(self) -> None:
        """Announce the endpoint until the soak ends."""
        while not self._system.stopping.wait(BEAT_SECONDS):
            if not self._silent.is_set():
                self._tell(self.worker.beat())

    def crash(self, seconds: float) -> None:
        """End without a word; start anew after these seconds."""
        self.close()
        self._system.stopping.wait(seconds)
        self.worker = self._start()

    def _end_by_request(self) -> bool:
        """End as a crashed process does, unless a fault is acting on it just now."""
        if not self.lock.acquire(blocking=False):
            return False
        kind = "stream" if self.service == "model" else "unsafe"
        self.observations.endpoint_ends.append(EndpointEnd(kind, time.monotonic()))
        threading.Thread(target=self._start_again, daemon=True).start()
        return True

    def _start_again(self) -> None:
        try:
            with self.observations.disturbing("ended by a request", self.slot):
                self.crash(ENDED_SECONDS)
        finally:
            self.lock.release()

    def leave(self, seconds: float, what: str) -> None:
        """Leave, serve on for a while, end, and start anew after these seconds.

        It serves as well as ever until it ends; only then is it disturbed.
        """
        self._silent.set()
        worker = self.worker
        earlier = worker.beat()
        draining = worker.beat("draining")
        manner = self._chance.choice(("draining", "DELETE"))
        deadline = time.monotonic() + LEAVE_TRIES_SECONDS
        control = ""
        while not control and time.monotonic() < deadline:
            control = self._tell(draining if manner == "draining" else None)
        if control:
            departure = Departure(
                worker.worker_id, self.slot, control, manner, time.monotonic()
            )
            self.observations.departures.append(departure)
            self._system.stopping.wait(LATE_BEAT_SECONDS)
            # One from before, which was held up on its way.
            self._tell(earlier)
        self._system.stopping.wait(LEAVE_SERVES_SECONDS)
        with self.observations.disturbing(what, self.slot):
            self.crash(seconds)

    def _tell(self, beat: dict[str, Any] | None) -> str:
        """Announce, or sign off without one; return the control host that took it."""
        body = None if beat is None else json.dumps(beat)
        method = "DELETE" if beat is None else "PUT"
        path = f"/instances/{self.worker.worker_id}"
        for slot in self._chance.sample(CONTROLS, len(CONTROLS)):
            proxy = self._system.proxy_by_link[f"operator>{slot}"]
            if call(proxy.address, method, path, body, BEAT_ANSWER_SECONDS)[0] == 200:
                return slot
            if self._system.stopping.is_set():
                break
        return ""


def call(
    address: str, method: str, path: str, body: str | None, timeout: float
) -> tuple[int | None, str]:
    """Make one HTTP call; return status and body, None without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return None, ""
    finally:
        connection.close()
