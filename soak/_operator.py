"""An operator that applies configurations and reads them back."""

from __future__ import annotations

import json
import random
import time
from dataclasses import replace

from soak._endpoints import ACCOUNT, API_KEY, call
from soak._observations import ConfigurationPut, ConfigurationRead, Observations
from soak._schedule import CONTROLS
from soak._system import SoakSystem
from tests.fakes.platform_system import ENGINE, PLAIN, configuration, route

STREAM_TIMEOUT_MS = 6000
PLAIN_TIMEOUT_MS = 2500
# How often a repeatable request may be sent to endpoints that may run it.
MAXIMUM_ATTEMPTS = 2
PAUSE_SECONDS = (0.2, 2.0)
READ_PAUSE_SECONDS = 0.05
# How long one call may take, and how long a version is retried before the next, in
# seconds.
CALL_SECONDS = 2.0
VERSION_SECONDS = 6.0
# How often an acknowledged version is sent again, with its content or another one.
RESEND_SHARE = 0.2


def make_configuration(version: int) -> str:
    """Return the content of a version, which adds a route to the previous version."""
    stream = {"timeoutMs": STREAM_TIMEOUT_MS, "sloMs": 900, "gapSloMs": 300}
    plain = {"timeoutMs": PLAIN_TIMEOUT_MS, "maxAttempts": MAXIMUM_ATTEMPTS}
    once = {**stream, "kind": "stream", "maxAttempts": 1}
    again = {**stream, "kind": "stream", "maxAttempts": 2, "resumable": True}
    unsafe = {**plain, "kind": "unsafe"}
    routes = [
        route("safe", "/safe/", "plain", **plain),
        route("unsafe", "/unsafe/", "plain", **unsafe),
        route("stream", "/stream/", "model", **once),
        route("resumable", "/resumable/", "model", **again),
    ]
    for added in range(1, version + 1):
        routes.append(route(f"since-{added}", f"/since-{added}/", "plain", **plain))
    fields = configuration(version, routes, [PLAIN, ENGINE])
    account = {"name": ACCOUNT, "apiKeys": [API_KEY], "priority": 1}
    return json.dumps({**fields, "tenants": [account]})


class Operator:
    """Sends configurations with increasing versions, and reads the one in force."""

    def __init__(self, system: SoakSystem, seed: int) -> None:
        self._system = system
        self._observations: Observations = system.observations
        self._rng = random.Random(f"{seed}/operator")
        self._read_rng = random.Random(f"{seed}/reader")

    def put_initial_version(self) -> None:
        """Send the first version until it is acknowledged."""
        while not self._put(1, make_configuration(1)):
            time.sleep(READ_PAUSE_SECONDS)

    def run(self) -> None:
        """Send one version after the other until the soak ends."""
        version = 1
        while not self._system.stopping.wait(self._rng.uniform(*PAUSE_SECONDS)):
            version += 1
            self._put_until_acknowledged(version)
            if self._rng.random() < RESEND_SHARE:
                self._resend_changed_version()

    def read(self) -> None:
        """Read the configuration at random control hosts until the soak ends."""
        while not self._system.stopping.wait(READ_PAUSE_SECONDS):
            self.read_once(self._read_rng.choice(CONTROLS))

    def read_once(self, slot: str) -> bool:
        """Read the configuration at a control host; return whether that succeeded."""
        begun_at = time.monotonic()
        status, content = call(
            self._address(slot), "GET", "/config", None, CALL_SECONDS
        )
        if status != 200:
            return False
        version = json.loads(content)["version"]
        ended_at = time.monotonic()
        found = ConfigurationRead(slot, begun_at, ended_at, version, content)
        self._observations.reads.append(found)
        return True

    def _put_until_acknowledged(self, version: int) -> None:
        content = make_configuration(version)
        deadline = time.monotonic() + VERSION_SECONDS
        while time.monotonic() < deadline and not self._system.stopping.is_set():
            if self._put(version, content):
                return
            time.sleep(READ_PAUSE_SECONDS)

    def _put(self, version: int, content: str) -> bool:
        """Record and send a version; return whether it is acknowledged."""
        puts = self._observations.put_by_version
        puts.setdefault(version, ConfigurationPut(version, content))
        address = self._address(self._rng.choice(CONTROLS))
        status, _ = call(address, "PUT", "/config", content, CALL_SECONDS)
        if status != 200:
            return False
        puts[version] = replace(puts[version], acknowledged_at=time.monotonic())
        return True

    def _resend_changed_version(self) -> None:
        """Send an acknowledged version with another content, which must be ignored."""
        acknowledged = [
            put
            for put in self._observations.put_by_version.values()
            if put.acknowledged_at < time.monotonic()
        ]
        if not acknowledged:
            return
        put = self._rng.choice(acknowledged)
        content = put.content.replace('"maxConns": 100', '"maxConns": 99')
        address = self._address(self._rng.choice(CONTROLS))
        call(address, "PUT", "/config", content, CALL_SECONDS)

    def _address(self, slot: str) -> str:
        return self._system.proxy_by_link[f"operator>{slot}"].address
