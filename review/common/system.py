"""A small deployment on loopback: settings, processes, the operator and clients.

The processes are started with the commands of the deploy file. Their settings are the
templates of the deploy file, filled in as the platform does. Each machine has a
loopback address of its own.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Any, Self

ROOT = Path(__file__).resolve().parents[2]
HOST = "boards.example"
LLM, FEED = "bulletin-llm", "board-feed"
BOUNDS = {
    "graceS": 8,
    "leaseMs": 3000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 54,
}
READY_SECONDS = 40.0
# After this time a case gives up, with status 2.
LIMIT_SECONDS = 115


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing."""


def wait_until(
    condition: Callable[[], Any], what: str, seconds: float = READY_SECONDS
) -> Any:
    """Return the condition's first true value, or raise CannotRunError."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() > end:
            raise CannotRunError(f"after {seconds} s still not: {what}")
        time.sleep(0.05)
    return value


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in the parts of the template language that the two templates use."""

    def value_of(path: str) -> Any:
        found: Any = values
        for part in path.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        return match[2] if value_of(match[1]) else ""

    def placeholder(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        found = value_of(path)
        if form == "json" or isinstance(found, bool):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^#/}][^}]*)\}\}", placeholder, text)


@dataclass(frozen=True)
class Reply:
    """What a client received; `is_whole` if the answer's end arrived."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool
    seconds: float


class System:
    """Control hosts, entry hosts and workers, each a process of its own."""

    def __init__(self, record: Path, controls: int = 3, entries: int = 2) -> None:
        self._record = record.open("w")
        self._record_lock = threading.Lock()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._net = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        ports = self._free_ports(controls + entries + 1, 8)
        self.peer_port, self.relay_port, self.http_port, self.ready_port = ports[:4]
        self.control_port, self.worker_port = ports[4:6]
        self.control_ips = [f"{self._net}.{10 + n}" for n in range(controls)]
        self.entry_ips = [f"{self._net}.{30 + n}" for n in range(entries)]
        self.controls = [f"{ip}:{self.control_port}" for ip in self.control_ips]
        self.unframed_file = self.folder / "unframed"
        self.lapsed_file = self.folder / "lapsed"
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._workers = 0
        self._address_by_worker: dict[str, str] = {}

    def _free_ports(self, machines: int, count: int) -> list[int]:
        """Return ports that are free now at all addresses of this deployment."""
        found: list[int] = []
        while len(found) < count:
            port = random.randrange(10_000, 32_000)
            try:
                for number in range(1, 60):
                    with socket.socket() as sock:
                        sock.bind((f"{self._net}.{number}", port))
            except OSError:
                continue
            if port not in found:
                found.append(port)
        return found

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._record.close()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str, is_printed: bool = True) -> None:
        """Write a line to the record, and to standard output."""
        line = f"{time.strftime('%H:%M:%S')} {text}"
        with self._record_lock:
            if not self._record.closed:
                self._record.write(line + "\n")
                self._record.flush()
        if is_printed:
            print(line, flush=True)

    # Processes

    def start_role(
        self, role: str, number: int, bootstrap: bool = True, zone: str = "zone-a"
    ) -> str:
        """Start a control or entry host; return its name."""
        ips = self.control_ips if role == "control" else self.entry_ips
        ip = ips[number]
        name = f"{role}-{number}"
        values = {
            "nodeName": name,
            "zone": zone,
            "region": "region-a",
            "ip": ip,
            "portRange": [self.peer_port, self.relay_port],
            "dataDir": str(self.folder / name),
            "seeds": self.controls[:3],
            "bootstrap": bootstrap,
            "tolerate": {"machines": 1},
            "listen": {
                "front": f"{ip}:{self.http_port}",
                "readyAddr": f"{ip}:{self.ready_port}",
                "control": f"{ip}:{self.control_port}",
            },
            "bounds": BOUNDS,
        }
        deployed = self._roles[role]
        settings = self.folder / f"{name}.toml"
        settings.write_text(render((ROOT / deployed["template"]).read_text(), values))
        command = deployed["run"].split()
        command[0] = sys.executable
        command[command.index("--settings") + 1] = str(settings)
        self._start(name, command, {"PYTHONPATH": str(ROOT / "target/deps")})
        return name

    def start_worker(self, service: str, stage: str = "", **options: Any) -> str:
        """Start a worker; return its name."""
        self._workers += 1
        name = f"w-{stage or 'plain'}-{self._workers}"
        address = f"{self._net}.{40 + self._workers}:{self.worker_port}"
        program = options.pop("program", ROOT / "review/common/worker.py")
        command = [sys.executable, str(program)]
        settings = {
            "id": name,
            "service": service,
            "stage": stage,
            "address": address,
            "controls": ",".join(self.controls),
            "log": self.folder / "workers.log",
            "unframed-file": self.unframed_file,
            "lapsed-file": self.lapsed_file,
            **options,
        }
        command += [f"--{key}={value}" for key, value in settings.items()]
        self._start(name, command, {})
        self._address_by_worker[name] = settings["address"]
        return name

    def address_of(self, worker: str) -> str:
        """Return where a worker serves."""
        return self._address_by_worker[worker]

    def _start(self, name: str, command: list[str], extra: dict[str, str]) -> None:
        environment = {"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment | extra,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this case started."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()

    def pid(self, name: str) -> int:
        """Return the id of a process that this case started."""
        return self._processes[name].pid

    def status(self, name: str) -> int | None:
        """Return the exit status of a process, None while it runs."""
        return self._processes[name].poll()

    def log_of(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def record_runs(self) -> None:
        """Write what all workers ran to the record, without the single events."""
        for line in self.worker_log():
            if line["what"] != "event":
                self.note(f"worker: {json.dumps(line)}", is_printed=False)

    def worker_log(self) -> list[dict[str, Any]]:
        """Return what all workers logged, in order."""
        path = self.folder / "workers.log"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    # The operator and the platform

    def configuration(
        self, version: int, routes: list[dict[str, Any]]
    ) -> dict[str, Any]:
        """Return a configuration with these routes and the two services."""
        engine = {
            "slots": 64,
            "kvTokens": 103755,
            "kvTokenBytes": 131072,
            "linkMbps": 4700000.0,
            "moves": True,
            "backups": True,
            "stride": 1,
            "most": 12,
            "kvTtlS": 0.5,
            "switchS": 6.0,
            "pinMs": 4000.0,
            "holdMs": 2000.0,
            "models": [{"name": "m"}],
        }
        common = {"healthPath": "/health", "protocol": "h1", "tls": False}
        return {
            "version": version,
            "routes": routes,
            "services": [
                {"name": LLM, "maxConns": 360, **common, "engine": engine},
                {"name": FEED, "maxConns": 100, **common},
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }

    def put(self, body: dict[str, Any], control: int = 0) -> int:
        """Send a configuration; return the status, 0 without a response."""
        connection = http.client.HTTPConnection(self.controls[control], timeout=2)
        status = 0
        try:
            connection.request("PUT", "/config", json.dumps(body))
            status = connection.getresponse().status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        change = f"config version {body['version']} to control-{control}"
        self.note(f"sent: {change}; answered: {status}", False)
        return status

    def put_until_acknowledged(self, body: dict[str, Any]) -> None:
        """Send a configuration to one control host after another until it is taken."""
        turns = iter(range(10_000))
        wait_until(
            lambda: self.put(body, next(turns) % len(self.controls)) == 200,
            "the configuration is acknowledged",
        )

    def is_ready(self, entry: int) -> bool:
        """Return whether an entry host says that it is ready."""
        address = f"{self.entry_ips[entry]}:{self.ready_port}"
        connection = http.client.HTTPConnection(address, timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    # Clients

    def ask(
        self,
        entry: int,
        path: str,
        method: str = "POST",
        body: bytes | None = b"a bulletin",
        headers: dict[str, str] | None = None,
        deadline_ms: int = 14_000,
        request_id: str = "",
        on_part: Callable[[bytes], None] = lambda _: None,
    ) -> Reply:
        """Send a request as a client of the platform does; return what came back."""
        began = time.monotonic()
        request_id = request_id or secrets.token_hex(8)
        self.note(f"sent: {request_id} {method} {path} to entry-{entry}", False)
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        address = f"{self.entry_ips[entry]}:{self.http_port}"
        connection = http.client.HTTPConnection(address, timeout=deadline_ms / 1000 + 1)
        parts: list[bytes] = []
        is_whole = False
        status, names = 0, {}
        try:
            connection.request(method, path, body, sent)
            response = connection.getresponse()
            status = response.status
            names = {name.lower(): value for name, value in response.getheaders()}
            while part := response.read1():
                parts.append(part)
                on_part(part)
            is_whole = not response.length
        except (OSError, http.client.HTTPException):
            is_whole = False
        finally:
            connection.close()
        seconds = time.monotonic() - began
        end = f"{status}, {'whole' if is_whole else 'not whole'}, {seconds:.2f} s"
        self.note(f"answered: {request_id} {end}", False)
        return Reply(status, names, b"".join(parts), is_whole, seconds)


def prompt(parts: int = 2) -> dict[str, str]:
    """Return the headers of a request to a language model."""
    own = secrets.token_hex(4)
    return {
        "Model": "m",
        "Token-Count": "5200,70",
        "Prompt-Prefix": f"5c1e07a2:200,{own}:5000",
        "Length-Hint": "70",
    }


def route(name: str, prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 800,
        "sloMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "sticky": False,
        "resumable": False,
        "gapSloMs": 0,
        **fields,
    }


def stream_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of streams."""
    shape = {"kind": "stream", "timeoutMs": 14000, "sloMs": 900, "gapSloMs": 300}
    return route(name, prefix, LLM, **{**shape, "sticky": True, **fields})


def _end(number: int, _: object) -> None:
    """End all processes that were started, when the case is ended from outside."""
    raise CannotRunError(f"ended by {signal.Signals(number).name}")


def run_case(case: Callable[[System, bool], bool], record: Path, **system: int) -> int:
    """Run a case; return 1 if it saw the rule broken, 0 if not, 2 if it can't run."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGALRM, _end)
    signal.alarm(LIMIT_SECONDS)
    with System(record, **system) as running:
        running.note(f"trouble: {with_trouble}")
        try:
            is_broken = case(running, with_trouble)
        except (CannotRunError, OSError) as error:
            running.note(f"can't run: {error}")
            return 2
        running.record_runs()
        running.note("rule broken" if is_broken else "rule held")
        return int(is_broken)
