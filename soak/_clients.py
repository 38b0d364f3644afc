"""Clients that keep connections open and use them until the process is gone."""

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
# How long a client waits for the next bytes, in seconds: far longer than any answer
# may take, so that only one that never comes ends it.
PATIENCE_SECONDS = 20.0
PAUSE_SECONDS = (0.0, 0.15)
UNCONNECTED_PAUSE_SECONDS = 0.1
# Each client goes on using one connection to each entry host, so that each of them is
# idle for a moment and may be used just when its host stops. A share of the requests
# begins on a new one.
FRESH_SHARE = 0.1
# How many of the streams a client leaves, after at most how many bytes.
LEAVING_SHARE = 0.15
LEAVING_BYTES = 600
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
    leaves_after: float
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
        self._chance = random.Random(f"{seed}/client/{name}")
        self._sent = 0
        self._connection_by_entry: dict[str, http.client.HTTPConnection] = {}
        self._connected_at_by_entry: dict[str, float] = {}

    def run(self) -> None:
        """Send requests until the soak ends."""
        while not self._system.stopping.wait(self._chance.uniform(*PAUSE_SECONDS)):
            found = self.ask(self._plan())
            if found.outcome is Outcome.UNCONNECTED:
                self._system.stopping.wait(UNCONNECTED_PAUSE_SECONDS)

    def ask(self, plan: _Plan) -> ClientCall:
        """Send one request and note what came of it."""
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        boot = self._system.host_by_slot[plan.entry].boot
        now = time.monotonic()
        begun = ClientCall(
            *(request_id, plan.kind, plan.entry, boot, now, now, Outcome.UNCONNECTED),
            version=plan.version,
        )
        noted = self._carry_out(plan, begun)
        same = self._system.host_by_slot[plan.entry].boot == boot
        noted = replace(noted, ended_at=time.monotonic(), boot=boot if same else 0)
        if noted.outcome is not Outcome.ANSWERED:
            self._drop(plan.entry)
        if not self._system.stopping.is_set():
            self._observations.calls.append(noted)
        return noted

    def ask_now(self, entry: str) -> ClientCall:
        """Send one request at an entry host and wait for its whole answer."""
        return self.ask(replace(self._plan(), entry=entry, leaves_after=math.inf))

    def ask_anywhere(self) -> ClientCall:
        """Send one request at some entry host and wait for its whole answer."""
        return self.ask_now(self._chance.choice(ENTRIES))

    def _plan(self) -> _Plan:
        entry = self._chance.choice(ENTRIES)
        if self._kind is Kind.PROBE:
            version = self._acknowledged_version()
            return _Plan(self._kind, entry, f"/since-{version}/x", math.inf, version)
        leaves = math.inf
        if self._kind.is_stream and self._chance.random() < LEAVING_SHARE:
            leaves = self._chance.uniform(1, LEAVING_BYTES)
        return _Plan(self._kind, entry, f"/{self._kind.value}/x", leaves)

    def _acknowledged_version(self) -> int:
        puts = list(self._observations.put_by_version.values())
        held = [put.version for put in puts if put.acknowledged_at < math.inf]
        return max(held)

    def _carry_out(self, plan: _Plan, begun: ClientCall) -> ClientCall:
        try:
            connection = self._connect(plan.entry)
        except OSError:
            return begun
        connected_at = self._connected_at_by_entry[plan.entry]
        begun = replace(begun, connected_at=connected_at, outcome=Outcome.CUT)
        try:
            response = self._send(connection, plan, begun.request_id)
            return self._receive(response, plan, self._with_head(begun, response))
        except TimeoutError:
            return replace(begun, outcome=Outcome.SILENT)
        except (OSError, http.client.HTTPException) as error:
            return replace(begun, error=repr(error))

    def _connect(self, entry: str) -> http.client.HTTPConnection:
        """Return the kept connection, or a new one."""
        if self._chance.random() < FRESH_SHARE:
            self._drop(entry)
        connection = self._connection_by_entry.get(entry)
        if connection is not None and connection.sock is not None:
            return connection
        address = self._system.proxy_by_link[f"client>{entry}"].address
        connection = http.client.HTTPConnection(address, timeout=CONNECT_SECONDS)
        connection.connect()
        connection.sock.settimeout(PATIENCE_SECONDS)
        # A request is never sent again by itself: each has an id of its own.
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
            # A client that passes for another account is not believed.
            "Tenant": "another",
            **(PROMPT if streams else {}),
        }
        connection.request("POST", plan.path, self._body, headers)
        return connection.getresponse()

    @staticmethod
    def _with_head(begun: ClientCall, response: http.client.HTTPResponse) -> ClientCall:
        return replace(
            begun,
            status=response.status,
            echoed_id=response.getheader("Request-Id", ""),
            stamp=response.getheader("Server-Stamp", ""),
        )

    @staticmethod
    def _receive(
        response: http.client.HTTPResponse, plan: _Plan, noted: ClientCall
    ) -> ClientCall:
        """Read the answer; what came is kept also when its end did not."""
        if not response.chunked:
            return replace(noted, body=response.read(), outcome=Outcome.ANSWERED)
        body = b""
        outcome = Outcome.ANSWERED
        problem = ""
        try:
            while part := response.read1():
                body += part
                if len(body) > plan.leaves_after:
                    response.close()
                    outcome = Outcome.LEFT
                    break
        except TimeoutError:
            outcome = Outcome.SILENT
        except (OSError, http.client.HTTPException) as error:
            outcome = Outcome.CUT
            problem = repr(error)
        return replace(noted, body=body, outcome=outcome, error=problem)
