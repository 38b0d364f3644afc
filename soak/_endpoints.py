"""Endpoints that announce themselves, leave, crash and start again."""

from __future__ import annotations

import http.client
import json
import random
import threading
import time
from contextlib import ExitStack
from typing import Any

from soak._observations import (
    Departure,
    EndpointArrival,
    EndpointCrash,
    Observations,
    Run,
)
from soak._schedule import (
    CONTROLS,
    DECODE_ENDPOINTS,
    DELAYED_ANNOUNCEMENT_SECONDS,
    LEAVE_SERVES_SECONDS,
    PREFILL_ENDPOINTS,
)
from soak._system import SoakSystem
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.platform_worker import Arrival, PlatformWorker, WorkerRun

ANNOUNCE_INTERVAL_SECONDS = 0.3
# How long an endpoint waits for an acknowledgement before it tries another host.
ANNOUNCE_TIMEOUT_SECONDS = 1.0
# How long an endpoint that leaves tries to get an acknowledgement, in seconds.
LEAVE_RETRY_SECONDS = 5.0
# A stream lasts for one and a half seconds: longer than a host may take to detect that
# its client disconnected.
STREAM_EVENTS = 150
# The bodies of client requests, harmless and crashing.
REQUEST_BODY = b"what is asked"
FATAL_BODY = b"what ends its endpoint"
# How long an endpoint is down after a request crashed it, in seconds.
CRASHED_SECONDS = 0.5
# Paths of calls by the system itself, which are not client requests.
SYSTEM_TARGETS = ("/order", "/health")
# The client account of all clients, and its key, which no endpoint may see.
ACCOUNT = "soaking"
API_KEY = "k-soak-5a27"
PLAIN_RUN_SECONDS = (0.002, 0.02, 0.25)


def _is_identified(run: WorkerRun) -> bool:
    """Return whether the request names the client account and omits its key."""
    value_by_name = {name.lower(): value for name, value in run.headers.items()}
    named = value_by_name.get("tenant") == ACCOUNT
    return named and API_KEY not in str(value_by_name)


class _RunLog(list[WorkerRun]):
    """Records each run as the endpoint begins it."""

    def __init__(self, endpoint: SoakEndpoint, endpoint_id: str) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._endpoint_id = endpoint_id

    def append(self, run: WorkerRun) -> None:
        """Record a run, unless it is a system call or incomplete."""
        endpoint = self._endpoint
        # If its sender ended within the body, the stand-in runs the request with the
        # bytes it has; a real endpoint would not begin.
        incomplete = len(run.body) < int(run.headers.get("Content-Length", 0))
        if run.target in SYSTEM_TARGETS or incomplete:
            return
        recorded = Run(
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
        endpoint.observations.runs.append(recorded)


class _DisconnectLog(list[str]):
    """Records each request whose caller the endpoint saw disconnect."""

    def __init__(self, observations: Observations) -> None:
        super().__init__()
        self._observations = observations

    def append(self, request_id: str) -> None:
        """Record the time of the first notice of a request."""
        self._observations.disconnected_at_by_request_id.setdefault(
            request_id, time.monotonic()
        )


class _ArrivalLog(list[Arrival]):
    """Records each request that reaches the endpoint, also one that it rejects."""

    def __init__(self, endpoint: SoakEndpoint, endpoint_id: str) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._endpoint_id = endpoint_id

    def append(self, arrival: Arrival) -> None:
        """Record a request; one without an id is a call by the system itself."""
        if not arrival.request_id:
            return
        recorded = EndpointArrival(
            arrival.request_id,
            self._endpoint_id,
            self._endpoint.slot,
            arrival.at,
            float(arrival.backoff or 0),
            arrival.reported_leaving,
        )
        self._endpoint.observations.arrivals.append(recorded)


class SoakEndpoint:
    """An endpoint slot; each start of its process has a new id and address."""

    def __init__(self, slot: str, number: int, system: SoakSystem, seed: int) -> None:
        self.slot = slot
        self.service = "plain" if slot.startswith("plain") else "model"
        self.observations = system.observations
        self._number = number
        self._system = system
        self._rng = random.Random(f"{seed}/{slot}")
        self._generation = 0
        self._silenced = threading.Event()
        self.lock = threading.Lock()
        """Held while a fault acts on the endpoint: one at a time."""
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
            on_crash=self._crash_by_request,
            runs=_RunLog(self, endpoint_id),
            disconnected_clients=_DisconnectLog(self.observations),
            arrivals=_ArrivalLog(self, endpoint_id),
        )
        self.observations.answer_by_endpoint[endpoint_id] = answer
        link = f"entry>{self.slot}"
        previous = self._system.proxy_by_link.get(link)
        proxy = FaultProxy(worker.address)
        self._system.proxy_by_link[link] = proxy
        if previous is not None:
            previous.stop()
        self._system.link_endpoint(proxy.address)
        # The announced address: entry hosts reach the endpoint only through the proxy.
        worker.address = proxy.address
        self._silenced.clear()
        return worker

    def close(self) -> None:
        """Stop the endpoint and reset the connections to it."""
        self._silenced.set()
        self._refuse_connections()
        self._system.proxy_by_link[f"entry>{self.slot}"].reset()
        self.worker.close()

    def _refuse_connections(self) -> None:
        """Refuse new connections on the links to the endpoint, which then are reset.

        In this order, as the end of a process does: a host that has lost a connection
        tries another one to find out whether the endpoint has ended.
        """
        proxy = self._system.proxy_by_link[f"entry>{self.slot}"]
        proxy.refuse()
        self._system.end_endpoint(proxy.address)

    def announce(self) -> None:
        """Announce the endpoint until the soak ends."""
        while not self._system.stopping.wait(ANNOUNCE_INTERVAL_SECONDS):
            if not self._silenced.is_set():
                self._send_announcement(self.worker.heartbeat())

    def crash(self, seconds: float) -> None:
        """End without a notice; start again after these seconds."""
        self.close()
        self._system.stopping.wait(seconds)
        self.worker = self._start()

    def _crash_by_request(self) -> bool:
        """Crash the endpoint and return true, unless another fault is acting on it."""
        if not self.lock.acquire(blocking=False):
            return False
        kind = "stream" if self.service == "model" else "unsafe"
        self.observations.endpoint_crashes.append(EndpointCrash(kind, time.monotonic()))
        disturbance = ExitStack()
        disturbance.callback(self.lock.release)
        disturbance.enter_context(
            self.observations.disturbing("ended by a request", self.slot)
        )
        # The worker ends its connections as soon as this returns.
        self._refuse_connections()
        threading.Thread(
            target=self._restart_after_crash, args=(disturbance,), daemon=True
        ).start()
        return True

    def _restart_after_crash(self, disturbance: ExitStack) -> None:
        with disturbance:
            self.crash(CRASHED_SECONDS)

    def leave(self, seconds: float, what: str) -> None:
        """Leave, keep serving for a while, end, and start again after these seconds.

        The endpoint serves normally until it ends; it is disturbed only from then on.
        """
        self._silenced.set()
        worker = self.worker
        earlier = worker.heartbeat()
        draining = worker.heartbeat("draining")
        manner = self._rng.choice(("draining", "DELETE"))
        deadline = time.monotonic() + LEAVE_RETRY_SECONDS
        control = ""
        while not control and time.monotonic() < deadline:
            control = self._send_announcement(
                draining if manner == "draining" else None
            )
        if control:
            departure = Departure(
                worker.worker_id, self.slot, control, manner, time.monotonic()
            )
            self.observations.departures.append(departure)
            self._system.stopping.wait(DELAYED_ANNOUNCEMENT_SECONDS)
            # An announcement from before it left, which was delayed in transit.
            self._send_announcement(earlier)
        self._system.stopping.wait(LEAVE_SERVES_SECONDS)
        with self.observations.disturbing(what, self.slot):
            self.crash(seconds)

    def _send_announcement(self, announcement: dict[str, Any] | None) -> str:
        """Send an announcement, or a removal if None; return who acknowledged it."""
        body = None if announcement is None else json.dumps(announcement)
        method = "DELETE" if announcement is None else "PUT"
        path = f"/instances/{self.worker.worker_id}"
        for slot in self._rng.sample(CONTROLS, len(CONTROLS)):
            proxy = self._system.proxy_by_link[f"operator>{slot}"]
            if (
                call(proxy.address, method, path, body, ANNOUNCE_TIMEOUT_SECONDS)[0]
                == 200
            ):
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
