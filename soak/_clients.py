"""Clients that keep connections open and reuse them until the process ends."""

from __future__ import annotations

import http.client
import math
import random
import time
from dataclasses import dataclass, replace

from soak._endpoints import API_KEY, FATAL_BODY, REQUEST_BODY
from soak._observations import ClientCall, Kind, Outcome
from soak._operator import PLAIN_TIMEOUT_MS, STREAM_TIMEOUT_MS
from soak._schedule import ENTRIES
from soak._system import SoakSystem
from tests.fakes.platform_system import HOST, PROMPT

CONNECT_SECONDS = 3.0
# How long a client waits for the next bytes, in seconds: far longer than any response
# may take, so that only a response that never comes exceeds it.
READ_TIMEOUT_SECONDS = 20.0
PAUSE_SECONDS = (0.0, 0.15)
UNCONNECTED_PAUSE_SECONDS = 0.1
# Each client reuses one connection to each entry host, so that the connection is idle
# at times and may be used just when its host stops. This share of the requests opens a
# new one.
NEW_CONNECTION_SHARE = 0.1
# The share of streams from which a client disconnects, after at most so many bytes.
DISCONNECT_SHARE = 0.15
DISCONNECT_BYTES = 600
CLIENTS = (
    *(Kind.SAFE,) * 3,
    *(Kind.UNSAFE,) * 3,
    *(Kind.STREAM,) * 2,
    *(Kind.RESUMABLE,) * 2,
    Kind.PROBE,
)


@dataclass(frozen=True)
class _Plan:
    """One request before it is sent."""

    kind: Kind
    entry: str
    path: str
    disconnects_after: float
    version: int = 0


class Client:
    """Sends requests of one kind, one after the other."""

    def __init__(
        self, name: str, kind: Kind, system: SoakSystem, seed: int, fatal: bool = False
    ) -> None:
        self._body = FATAL_BODY if fatal else REQUEST_BODY
        self._name = f"{kind.value}-{name}"
        self._kind = kind
        self._system = system
        self._observations = system.observations
        self._rng = random.Random(f"{seed}/client/{name}")
        self._sent = 0
        self._connection_by_entry: dict[str, http.client.HTTPConnection] = {}
        self._connected_at_by_entry: dict[str, float] = {}

    def run(self) -> None:
        """Send requests until the soak ends."""
        while not self._system.stopping.wait(self._rng.uniform(*PAUSE_SECONDS)):
            found = self.send_request(self._plan())
            if found.outcome is Outcome.UNCONNECTED:
                self._system.stopping.wait(UNCONNECTED_PAUSE_SECONDS)

    def send_request(self, plan: _Plan) -> ClientCall:
        """Send one request and record its outcome."""
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        boot = self._system.host_by_slot[plan.entry].boot
        now = time.monotonic()
        begun = ClientCall(
            *(request_id, plan.kind, plan.entry, boot, now, now, Outcome.UNCONNECTED),
            version=plan.version,
        )
        recorded = self._carry_out(plan, begun)
        same = self._system.host_by_slot[plan.entry].boot == boot
        recorded = replace(
            recorded, ended_at=time.monotonic(), boot=boot if same else 0
        )
        if recorded.outcome is not Outcome.ANSWERED:
            self._drop(plan.entry)
        if not self._system.stopping.is_set():
            self._observations.calls.append(recorded)
        return recorded

    def send_request_to(self, entry: str) -> ClientCall:
        """Send one request to an entry host and wait for the complete response."""
        return self.send_request(
            replace(self._plan(), entry=entry, disconnects_after=math.inf)
        )

    def send_request_to_any(self) -> ClientCall:
        """Send one request to a random entry host; wait for the complete response."""
        return self.send_request_to(self._rng.choice(ENTRIES))

    def _plan(self) -> _Plan:
        entry = self._rng.choice(ENTRIES)
        if self._kind is Kind.PROBE:
            version = self._acknowledged_version()
            return _Plan(self._kind, entry, f"/since-{version}/x", math.inf, version)
        disconnects_after = math.inf
        if self._kind.is_stream and self._rng.random() < DISCONNECT_SHARE:
            disconnects_after = self._rng.uniform(1, DISCONNECT_BYTES)
        return _Plan(self._kind, entry, f"/{self._kind.value}/x", disconnects_after)

    def _acknowledged_version(self) -> int:
        puts = list(self._observations.put_by_version.values())
        acknowledged = [put.version for put in puts if put.acknowledged_at < math.inf]
        return max(acknowledged)

    def _carry_out(self, plan: _Plan, begun: ClientCall) -> ClientCall:
        try:
            connection = self._connect(plan.entry)
        except OSError:
            return begun
        connected_at = self._connected_at_by_entry[plan.entry]
        begun = replace(begun, connected_at=connected_at, outcome=Outcome.CUT)
        try:
            response = self._send(connection, plan, begun.request_id)
            return self._receive(response, plan, self._with_headers(begun, response))
        except TimeoutError:
            return replace(begun, outcome=Outcome.SILENT)
        except (OSError, http.client.HTTPException) as error:
            return replace(begun, error=repr(error))

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        """Return the open connection to the entry host, or a new one."""
        if self._rng.random() < NEW_CONNECTION_SHARE:
            self._drop(entry)
        connection = self._connection_by_entry.get(entry)
        if connection is not None and connection.sock is not None:
            return connection
        address = self._system.proxy_by_link[f"client>{entry}"].address
        connection = http.client.HTTPConnection(address, timeout=CONNECT_SECONDS)
        connection.connect()
        connection.sock.settimeout(READ_TIMEOUT_SECONDS)
        # Without an automatic reconnect no request is sent twice under one id.
        connection.auto_open = 0
        self._connection_by_entry[entry] = connection
        self._connected_at_by_entry[entry] = time.monotonic()
        return connection

    def _drop(self, entry: str) -> None:
        connection = self._connection_by_entry.pop(entry, None)
        if connection is not None:
            connection.close()

    def _send(
        self,
        connection: http.client.HTTPConnection,
        plan: _Plan,
        request_id: str,
    ) -> http.client.HTTPResponse:
        streams = plan.kind.is_stream
        deadline_ms = STREAM_TIMEOUT_MS if streams else PLAIN_TIMEOUT_MS
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {API_KEY}",
            # The host must ignore the account that a client claims to be.
            "Tenant": "another",
            **(PROMPT if streams else {}),
        }
        connection.request("POST", plan.path, self._body, headers)
        return connection.getresponse()

    @staticmethod
    def _with_headers(
        begun: ClientCall, response: http.client.HTTPResponse
    ) -> ClientCall:
        return replace(
            begun,
            status=response.status,
            echoed_id=response.getheader("Request-Id", ""),
            stamp=response.getheader("Server-Stamp", ""),
        )

    @staticmethod
    def _receive(
        response: http.client.HTTPResponse, plan: _Plan, recorded: ClientCall
    ) -> ClientCall:
        """Read the response; the bytes received are kept also if its end is missing."""
        if not response.chunked:
            return replace(recorded, body=response.read(), outcome=Outcome.ANSWERED)
        body = b""
        outcome = Outcome.ANSWERED
        problem = ""
        try:
            while part := response.read1():
                body += part
                if len(body) > plan.disconnects_after:
                    response.close()
                    outcome = Outcome.LEFT
                    break
        except TimeoutError:
            outcome = Outcome.SILENT
        except (OSError, http.client.HTTPException) as error:
            outcome = Outcome.CUT
            problem = repr(error)
        return replace(recorded, body=body, outcome=outcome, error=problem)
