"""Control hosts and forwarding hosts on loopback, with the platform's interface."""

from __future__ import annotations

import http.client
import itertools
import json
import signal
import threading
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.platform_worker import PlatformWorker
from tests.fakes.processes import ManagedProcess, free_address, wait_until

HOST = "boards.example"
HEARTBEAT_SECONDS = 0.3
SECRET = "between-hosts-of-one-test"


def route(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 1500,
        "sloMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def configuration(
    version: int, routes: Sequence[dict[str, Any]], services: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


PLAIN = {"name": "plain", "healthPath": "/health", "maxConns": 100}
ENGINE = {
    "name": "model",
    "healthPath": "/health",
    "maxConns": 100,
    "engine": {
        "slots": 8,
        "kvTokens": 100_000,
        "kvTokenBytes": 1024,
        "kvTtlS": 0.5,
        "stride": 1,
        "holdMs": 2000.0,
    },
}
PROMPT = {
    "Model": "m",
    "Token-Count": "100,20",
    "Prompt-Prefix": "aa:40,bb:60",
}


@dataclass(frozen=True)
class Reply:
    """A response as a client receives it; `complete` if its end arrived."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Host:
    """One host of the system, whose process can be killed and restarted."""

    def __init__(self, folder: Path, name: str, command: str, settings: str) -> None:
        self.name = name
        self._folder = folder
        self._command = command
        self.settings_path = folder / f"{name}.toml"
        self.settings_path.write_text(settings)
        self.process: ManagedProcess | None = None
        self._routes_path: Path | None = None

    def route_by(self, routes_path: Path) -> None:
        """Redirect the outgoing connections of later starts as this file says."""
        self._routes_path = routes_path

    def start(self) -> None:
        """Start the process."""
        module = "jujubeslip.cli"
        arguments = [self._command, "--settings", str(self.settings_path)]
        if self._routes_path is not None:
            module = "tests.fakes.routed_host"
            arguments.insert(0, str(self._routes_path))
        self.process = ManagedProcess(self.name, module, arguments, self._folder)

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process = None

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.signal(number)

    def output(self) -> str:
        """Return the complete lines that the process wrote."""
        written = self.process.output() if self.process else ""
        return written[: written.rfind("\n") + 1]


class PlatformSystem:
    """Control hosts and forwarding hosts, with workers that are announced to them."""

    def __init__(
        self,
        folder: Path,
        controls: int = 1,
        entries: int = 1,
        has_proxies: bool = False,
        **entry: Any,
    ) -> None:
        """Prepare the hosts; proxies, if any, are between control hosts and others."""
        self.folder = folder
        self._entry_settings = entry
        self._ids = itertools.count(1)
        self.last_request_id = ""
        self._workers: list[PlatformWorker] = []
        self._stopped = threading.Event()
        self.seeds = [free_address() for _ in range(controls)]
        self._listen_addresses = list(self.seeds)
        self.proxies: list[FaultProxy] = []
        """Proxies in front of the control hosts, for other processes of the system."""
        if has_proxies:
            self.proxies = [FaultProxy(address) for address in self._listen_addresses]
            self.seeds = [proxy.address for proxy in self.proxies]
        self.control_http = [free_address() for _ in range(controls)]
        self.control_metrics = [free_address() for _ in range(controls)]
        self.controls = [self._control(number) for number in range(controls)]
        self.entry_http = [free_address() for _ in range(entries)]
        self.ready_http = [free_address() for _ in range(entries)]
        self.relay_http = [free_address() for _ in range(entries)]
        self.entry_metrics = [free_address() for _ in range(entries)]
        self.entries = [self._entry(number) for number in range(entries)]

    def _control(self, number: int) -> Host:
        return Host(
            self.folder,
            f"control-{number}",
            "control",
            self.control_settings(
                f"control-{number}", self.seeds[number], self.control_http[number]
            )
            + f'peer_listen_address = "{self._listen_addresses[number]}"\n'
            + f'[telemetry]\nmetrics_address = "{self.control_metrics[number]}"\n',
        )

    def control_settings(
        self, name: str, peer: str, http_address: str, may_found: bool = True
    ) -> str:
        """Return the settings of a control host."""
        return (
            f'host_id = "{name}"\navailability_zone = "zone-1"\nregion = "region"\n'
            f'peer_address = "{peer}"\npeer_secret = "{SECRET}"\n'
            f'data_folder = "{self.folder / name}"\nseeds = {json.dumps(self.seeds)}\n'
            f"may_found = {json.dumps(may_found)}\nadmits_any_host = true\n"
            f'http_address = "{http_address}"\ninterface = "platform"\n'
            "election_timeout_ms = 400\nheartbeat_ms = 80\n"
        )

    def _entry(self, number: int) -> Host:
        extra = "".join(
            f"{key} = {json.dumps(value)}\n"
            for key, value in self._entry_settings.items()
        )
        settings = (
            f'host_id = "entry-{number}"\navailability_zone = "zone-1"\n'
            f'http_address = "{self.entry_http[number]}"\n'
            f'ready_address = "{self.ready_http[number]}"\n'
            f'relay_address = "{self.relay_http[number]}"\n'
            f'peer_secret = "{SECRET}"\nseeds = {json.dumps(self.seeds)}\n'
            f'interface = "platform"\n{extra}'
            f'[telemetry]\nmetrics_address = "{self.entry_metrics[number]}"\n'
        )
        return Host(self.folder, f"entry-{number}", "forward", settings)

    def __enter__(self) -> Self:
        for host in (*self.controls, *self.entries):
            host.start()
        threading.Thread(target=self._announce, daemon=True).start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stopped.set()
        for host in (*self.controls, *self.entries):
            if error is not None:
                print(f"--- {host.name}\n{host.output()[-6000:]}")
            host.kill()
        for worker in self._workers:
            worker.close()
        for proxy in self.proxies:
            proxy.stop()

    # The operator and the workers

    def put(self, body: Any, control: int = 0, timeout: float = 3.0) -> int | None:
        """Send a configuration; return the status, None without a response."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self._call(control, "PUT", "/config", content, timeout)[0]

    def put_until_accepted(self, body: Any, control: int = 0) -> None:
        """Send a configuration until it is acknowledged."""
        wait_until(lambda: self.put(body, control) == 200, "configuration accepted")

    def read(self, control: int = 0) -> tuple[int | None, Any]:
        """Read the configuration; return the status and the body."""
        status, content = self._call(control, "GET", "/config", None, 3.0)
        return status, json.loads(content) if content else None

    def heartbeat(
        self, worker: PlatformWorker, state: str = "ready", control: int = 0
    ) -> int:
        """Announce a worker once; return the status."""
        return self.send_announcement(
            worker.worker_id, worker.heartbeat(state), control
        )

    def send_announcement(
        self, worker_id: str, heartbeat: dict[str, Any], control: int = 0
    ) -> int:
        """Send an announcement, which may be an old one; return the status."""
        path = f"/instances/{worker_id}"
        return (
            self._call(control, "PUT", path, json.dumps(heartbeat).encode(), 3.0)[0]
            or 0
        )

    def leave(
        self, worker: PlatformWorker, control: int = 0, includes_start: bool = False
    ) -> int:
        """Announce the removal of a worker; return the status."""
        path = f"/instances/{worker.worker_id}"
        body = json.dumps(worker.start_fields()).encode() if includes_start else None
        return self._call(control, "DELETE", path, body, 3.0)[0] or 0

    def add(self, worker: PlatformWorker, control: int = 0) -> PlatformWorker:
        """Announce a worker repeatedly from now on, and close it at the end."""
        self._workers.append(worker)
        wait_until(
            lambda: self.heartbeat(worker, control=control) == 200,
            f"{worker.worker_id} announced",
        )
        return worker

    def restart(self, worker: PlatformWorker, **changed: Any) -> PlatformWorker:
        """Kill a worker, and announce and return its next start."""
        self.withdraw(worker)
        started_at_ms = (worker.started_at_ms or 0) + 5000
        return self.add(worker.kill_and_restart(started_at_ms, **changed))

    def withdraw(self, worker: PlatformWorker) -> None:
        """Stop announcing a worker."""
        self._workers.remove(worker)

    def _announce(self) -> None:
        while not self._stopped.wait(HEARTBEAT_SECONDS):
            for worker in list(self._workers):
                for control in range(len(self.controls)):
                    if self.heartbeat(worker, control=control) == 200:
                        break

    def _call(
        self, control: int, method: str, path: str, body: bytes | None, timeout: float
    ) -> tuple[int | None, bytes]:
        connection = http.client.HTTPConnection(
            self.control_http[control], timeout=timeout
        )
        try:
            connection.request(method, path, body)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return None, b""
        finally:
            connection.close()

    # Clients

    def ask(
        self,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        entry: int = 0,
        deadline_ms: int = 1500,
    ) -> Reply:
        """Send a request as a client and return the response."""
        sent = {
            "Host": HOST,
            "Request-Id": f"{next(self._ids):016x}",
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        self.last_request_id = sent["Request-Id"]
        connection = http.client.HTTPConnection(self.entry_http[entry], timeout=20)
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            parts: list[bytes] = []
            complete = True
            try:
                while part := response.read1():
                    parts.append(part)
            except (OSError, http.client.HTTPException):
                complete = False
            names = {name.lower(): value for name, value in response.getheaders()}
            return Reply(response.status, names, b"".join(parts), complete)
        finally:
            connection.close()

    def logged(self, message: str) -> list[dict[str, Any]]:
        """Return the log records with this message that control hosts wrote."""
        texts = [host.output() for host in self.controls]
        lines = [line for text in texts for line in text.splitlines()]
        found = [json.loads(line) for line in lines if f'"{message}"' in line]
        return [item for item in found if item["message"] == message]

    def metrics(self, address: str) -> dict[str, float]:
        """Return the metrics that a process serves, by name and labels."""
        connection = http.client.HTTPConnection(address, timeout=5)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        finally:
            connection.close()
        lines = [line for line in text.splitlines() if not line.startswith("#")]
        pairs = [line.rsplit(" ", 1) for line in lines]
        return {name: float(value) for name, value in pairs}

    def ready(self, entry: int = 0) -> bool:
        """Return whether an entry host reports that it is ready."""
        connection = http.client.HTTPConnection(self.ready_http[entry], timeout=2)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self) -> None:
        """Wait until all entry hosts are ready."""
        for entry in range(len(self.entries)):
            wait_until(lambda entry=entry: self.ready(entry), "entry host ready")  # type: ignore[misc]

    def wait_served(self, path: str, **request: Any) -> None:
        """Wait until a request on the path is answered with 200."""
        self.wait_ready()
        wait_until(lambda: self.ask(path, **request).status == 200, f"{path} is served")
