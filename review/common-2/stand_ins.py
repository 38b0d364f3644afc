"""Stand-ins for the scripts of this review: machines, workers, operator and clients.

Only the standard library is used. All addresses are loopback addresses with free
ports; everything that is written lies in a temporary folder, except for record.txt.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, BinaryIO

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
# The bounds of the deployment, in seconds, as on the sheet of the site.
CONTACT_SECONDS = 3.0
CONFIG_APPLY_SECONDS = 2.0
BEAT_SECONDS = 1.2
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}

Headers = list[tuple[str, str]]


class CaseNotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


_taken_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address with a free port, a different one each time."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _taken_ports:
            _taken_ports.add(port)
            return f"{HOST}:{port}"


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of an address."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


# HTTP


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: Headers
    body: bytes = b""
    is_whole: bool = True

    def header(self, name: str) -> str:
        """Return the first value of a header, empty without one."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split()[1])


def read_message(file: BinaryIO, is_answer: bool) -> Message | None:
    """Return the next message, None at the end of the connection."""
    line = file.readline(65536)
    if not line:
        return None
    headers: Headers = []
    while (field_line := file.readline(65536)) not in (b"\r\n", b""):
        name, _, value = field_line.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    message = Message(line.decode("latin-1").rstrip(), headers)
    _read_body(file, message, is_answer)
    return message


def _read_body(file: BinaryIO, message: Message, is_answer: bool) -> None:
    if "chunked" in message.header("Transfer-Encoding").lower():
        message.body, message.is_whole = _read_chunks(file)
        return
    length = message.header("Content-Length")
    if length:
        message.body = file.read(int(length))
        message.is_whole = len(message.body) == int(length)
    elif is_answer and message.status not in (204, 304):
        message.body = file.read()


def _read_chunks(file: BinaryIO) -> tuple[bytes, bool]:
    body = b""
    while True:
        line = file.readline()
        if not line.endswith(b"\r\n"):
            return body, False
        size = int(line.split(b";")[0], 16)
        if not size:
            while file.readline() not in (b"\r\n", b""):
                pass
            return body, True
        part = file.read(size)
        body += part
        if len(part) < size:
            return body, False
        file.readline()


def encode(first_line: str, headers: Iterable[tuple[str, str]], body: bytes) -> bytes:
    """Return the bytes of a message whose length is named."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Headers | None = None,
    seconds: float = 5.0,
) -> Message | None:
    """Send one request over a new connection; return None without an answer."""
    given = headers or [("Host", address)]
    with socket.create_connection(split_address(address), seconds) as connection:
        connection.settimeout(seconds)
        connection.sendall(encode(f"{method} {path} HTTP/1.1", given, body))
        with connection.makefile("rb") as file:
            return read_message(file, is_answer=True)


# The record of a case


class Record:
    """The lines of record.txt, each with the seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_at

    def note(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{self.now:8.3f} {text}\n")
            self._file.flush()


# Machines


class Machine:
    """A machine with one process of the system, started as the deploy file says."""

    def __init__(self, name: str, command: str, settings: str, folder: Path) -> None:
        self.name = name
        self._command = command
        self._settings_path = folder / f"{name}.toml"
        self._settings_path.write_text(settings, encoding="utf-8")
        self._log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with no variables of the caller but these."""
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        command = [sys.executable, "-m", "jujubeslip.cli", self._command]
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(self._settings_path)],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def change_settings(self, old: str, new: str) -> None:
        """Change a line of the settings file, for the next start."""
        text = self._settings_path.read_text(encoding="utf-8")
        assert old in text
        self._settings_path.write_text(text.replace(old, new), encoding="utf-8")

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        """End the process, if it runs."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def memory_mb(self) -> float:
        """Return the memory that the process uses, 0 if it doesn't run."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


CONTROL_SETTINGS = """\
host_id = "{name}"
availability_zone = "{zone}"
region = "cymru"
peer_address = "{peer}"
peer_listen_address = "{listen}"
peer_secret = "between-hosts-of-one-system"
data_folder = "{folder}/data-{name}"
seeds = {seeds}
may_found = true
admits_any_host = true
tolerated_losses = 1
http_address = "{http}"
interface = "platform"
election_timeout_ms = 700
heartbeat_ms = 140
order_lease_ms = 3000
telemetry = {{ log_stream = "stdout" }}
"""

ENTRY_SETTINGS = """\
host_id = "{name}"
availability_zone = "{zone}"
http_address = "{http}"
ready_address = "{ready}"
peer_secret = "between-hosts-of-one-system"
seeds = {seeds}
relay_address = "{relay}"
interface = "platform"
stop_limit_ms = 8000
retry_ratio = 0.2
retry_window_ms = 10000
retry_allowance = 54
policy = "least-cost"
reads_prompts_apart = true
telemetry = {{ log_stream = "stdout" }}
"""


class Link:
    """The network before the peer port of one control machine.

    `cut` holds the names of machines whose connections it keeps silent, as a partition
    does: open ones carry nothing more, and new ones are not answered.
    """

    def __init__(self, address: str, target: str) -> None:
        self._target = target
        self.cut: set[str] = set()
        self._listener = socket.create_server(split_address(address), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            caller, _ = self._listener.accept()
            threading.Thread(target=self._carry, args=(caller,), daemon=True).start()

    def _is_cut(self, hello: bytes) -> bool:
        return any(name.encode() in hello for name in self.cut)

    def _carry(self, caller: socket.socket) -> None:
        """Carry one connection; its first bytes tell which machine it is from."""
        try:
            hello = caller.recv(65536)
            self._wait_while_cut(hello)
            server = socket.create_connection(split_address(self._target), 2.0)
            server.settimeout(None)
            server.sendall(hello)
        except OSError:
            caller.close()
            return
        back = threading.Thread(
            target=self._pump, args=(server, caller, hello), daemon=True
        )
        back.start()
        self._pump(caller, server, hello)

    def _wait_while_cut(self, hello: bytes) -> bool:
        waited = False
        while self._is_cut(hello):
            waited = True
            time.sleep(0.05)
        return waited

    def _pump(self, source: socket.socket, target: socket.socket, hello: bytes) -> None:
        try:
            while data := source.recv(65536):
                if self._wait_while_cut(hello):
                    # What was on its way is lost; the connection ends with the cut.
                    break
                target.sendall(data)
        except OSError:
            pass
        for item in (source, target):
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


@dataclass
class System:
    """The machines of a small deployment, each control machine behind a link."""

    record: Record
    core: int
    front: int
    zones: tuple[str, ...] = ("caerdydd", "abertawe", "wrecsam", "aberystwyth")
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    control_addresses: list[str] = field(default_factory=list)
    front_addresses: list[str] = field(default_factory=list)
    ready_addresses: list[str] = field(default_factory=list)
    peers: list[str] = field(default_factory=list)
    links: list[Link] = field(default_factory=list)
    controls: list[Machine] = field(default_factory=list)
    fronts: list[Machine] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Write the settings of all machines."""
        self.peers = [free_address() for _ in range(self.core)]
        seeds = json.dumps(self.peers[:3])
        for number, peer in enumerate(self.peers):
            listen, http = free_address(), free_address()
            self.links.append(Link(peer, listen))
            self.control_addresses.append(http)
            name, zone = f"core-{number}", self.zones[number % len(self.zones)]
            settings = CONTROL_SETTINGS.format(
                name=name,
                zone=zone,
                peer=peer,
                listen=listen,
                folder=self.folder,
                seeds=seeds,
                http=http,
            )
            self.controls.append(Machine(name, "control", settings, self.folder))
        for number in range(self.front):
            http, ready = free_address(), free_address()
            self.front_addresses.append(http)
            self.ready_addresses.append(ready)
            name, zone = f"front-{number}", self.zones[number % len(self.zones)]
            settings = ENTRY_SETTINGS.format(
                name=name,
                zone=zone,
                http=http,
                ready=ready,
                relay=free_address(),
                seeds=seeds,
            )
            self.fronts.append(Machine(name, "forward", settings, self.folder))

    def start(self) -> None:
        """Start all processes."""
        for machine in (*self.controls, *self.fronts):
            machine.start()

    def close(self) -> None:
        """End all processes and remove the folder."""
        for machine in (*self.controls, *self.fronts):
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def put_config(self, config: dict[str, Any], seconds: float = 15.0) -> float:
        """Send a config until it is acknowledged; return when it was."""
        body = json.dumps(config).encode()
        until = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < until:
            address = self.control_addresses[turn % self.core]
            turn += 1
            try:
                answer = call(address, "PUT", "/config", body, seconds=1.0)
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                self.record.note(f"config {config['version']} acknowledged")
                return self.record.now
            time.sleep(0.2)
        raise CaseNotRunError(f"config {config['version']} was not acknowledged")

    def try_config(self, config: dict[str, Any], number: int) -> int:
        """Send a config to one control machine; return the status, 0 without one."""
        body = json.dumps(config).encode()
        address = self.control_addresses[number]
        try:
            answer = call(address, "PUT", "/config", body, seconds=1.0)
        except OSError:
            answer = None
        status = 0 if answer is None else answer.status
        self.record.note(
            f"operator sends config {config['version']} to core-{number}: {status}"
        )
        return status

    def ready_count(self) -> int:
        """Return how many front machines say that they are ready."""
        return sum(map(_is_ready, self.ready_addresses))

    def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait until each front machine says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(map(_is_ready, self.ready_addresses)):
                return
            time.sleep(0.2)
        raise CaseNotRunError("the front machines are not ready")


def _is_ready(address: str) -> bool:
    try:
        answer = call(address, "GET", "/ready", seconds=1.0)
    except OSError:
        return False
    return answer is not None and answer.status == 200


# Workers

Answer = Callable[["Worker", socket.socket, Message], bool]


def answer_at_once(worker: Worker, connection: socket.socket, request: Message) -> bool:
    """Run the request and answer it; return that the connection is kept."""
    request_id = request.header("Request-Id")
    worker.note_run(request_id, request)
    headers = [("Request-Id", request_id), ("Server-Stamp", STAMP)]
    connection.sendall(encode("HTTP/1.1 200 OK", headers, b"x" * 800))
    return True


class Worker:
    """A worker of a plain service, which sends heartbeats and serves requests."""

    def __init__(
        self,
        system: System,
        service: str,
        answer: Answer = answer_at_once,
        worker_id: str = "",
        born: int = 0,
        beats: bool = True,
    ) -> None:
        """Start the worker; without `beats` it sends no heartbeats by itself."""
        self.worker_id = worker_id or f"i-{uuid.uuid4().hex[:8]}"
        self.service = service
        self._born = born
        self._system = system
        self._answer = answer
        self._listener = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._sequence = 0
        self._is_open = True
        self._connections: set[socket.socket] = set()
        self.runs: list[str] = []
        self.run_times: list[float] = []
        """When each run began, in seconds since the case began."""
        threading.Thread(target=self._accept, daemon=True).start()
        if beats:
            threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def end(self) -> None:
        """End the process: its port and its connections close."""
        self._is_open = False
        self._listener.close()
        for connection in list(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def note_run(self, request_id: str, request: Message) -> None:
        """Record that the worker has begun to work on a request."""
        self.runs.append(request_id)
        self.run_times.append(self._system.record.now)
        line = request.first_line.removesuffix(" HTTP/1.1")
        self._system.record.note(f"worker {self.worker_id} runs {request_id} {line}")

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self._system.record.note(text)

    def next_entry(self) -> bytes:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self._system.zones[0],
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._sequence,
        }
        return json.dumps(entry | ({"born": self._born} if self._born else {})).encode()

    def send_heartbeat(self, number: int, body: bytes) -> bool:
        """Send a heartbeat to one control machine; return whether it acknowledges."""
        path = f"/instances/{self.worker_id}"
        address = self._system.control_addresses[number]
        try:
            answer = call(address, "PUT", path, body, seconds=1.0)
        except OSError:
            return False
        return answer is not None and answer.status == 200

    def _send_heartbeats(self) -> None:
        number = 0
        while self._is_open:
            body = self.next_entry()
            for _ in self._system.control_addresses:
                if self.send_heartbeat(number % self._system.core, body):
                    break
                number += 1
            time.sleep(BEAT_SECONDS)

    def _accept(self) -> None:
        while self._is_open:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(caller,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        self._connections.add(connection)
        with connection, connection.makefile("rb") as file:
            try:
                while (request := read_message(file, False)) is not None:
                    if not self._serve_one(connection, request):
                        return
            except OSError:
                return

    def _serve_one(self, connection: socket.socket, request: Message) -> bool:
        expected = request.header("Expect-Instance")
        if expected not in ("", self.worker_id):
            headers = [
                ("Request-Id", request.header("Request-Id")),
                ("Instance-Id", self.worker_id),
                ("Not-Run", "1"),
            ]
            connection.sendall(encode("HTTP/1.1 421 Misdirected", headers, b""))
            return True
        return self._answer(self, connection, request)


# Clients and the operator's configs


def route(name: str, prefix: str, service: str, kind: str = "safe") -> dict[str, Any]:
    """Return a route of a config."""
    return {
        "name": name,
        "host": "rota.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "sloMs": 125,
        "priority": 2,
        "service": service,
        "maxAttempts": 2 if kind == "safe" else 1,
        "sticky": False,
        "resumable": False,
    }


def plain_config(version: int, prefixes: Iterable[str]) -> dict[str, Any]:
    """Return a config with a safe route to one plain service for each prefix."""
    service = {
        "name": "rota-desk",
        "healthPath": "/health",
        "maxConns": 100,
        "protocol": "h1",
        "tls": False,
    }
    routes = [route(f"r-{item.strip('/')}", item, "rota-desk") for item in prefixes]
    return {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": LIMITS,
    }


def client_headers(deadline_ms: int = 1500) -> Headers:
    """Return the headers of a request with an id of its own."""
    return [
        ("Host", "rota.example"),
        ("Request-Id", uuid.uuid4().hex[:16]),
        ("Deadline-Ms", str(deadline_ms)),
    ]


def ask(system: System, number: int, path: str) -> int:
    """Send a request to one front machine; return the status, 0 without an answer."""
    headers = client_headers()
    request_id = headers[1][1]
    system.record.note(f"client sends {request_id} GET {path} to front-{number}")
    try:
        answer = call(
            system.front_addresses[number], "GET", path, headers=headers, seconds=2.0
        )
    except OSError:
        answer = None
    status = 0 if answer is None else answer.status
    system.record.note(f"client gets {request_id} {status} from front-{number}")
    return status


# Running a case

# A case may run for 120 seconds.
LIMIT_SECONDS = 115


def _end_early(number: int, _: object) -> None:
    raise CaseNotRunError(f"ended by {signal.Signals(number).name}")


def run_case(folder: Path, case: Callable[[Record, bool], bool]) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it didn't run.

    `case` takes the record and whether the disruption happens, and returns whether the
    rule held.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _end_early)
    signal.alarm(LIMIT_SECONDS)
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"disruption: {'yes' if with_trouble else 'no'}")
    try:
        held = case(record, with_trouble)
    except Exception as error:
        record.note(f"not run: {error!r}")
        print(f"not run: {error!r}")
        return 2
    record.note("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
