"""Starts processes for tests, waits for them with timeouts, and ends only these."""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 30.0
STOP_SECONDS = 15.0
POLL_SECONDS = 0.02
PORTS = (10_000, 32_000)

_reservations: list[socket.socket] = []


def free_address() -> str:
    """Return a loopback address whose port stays reserved for this test process.

    Without a reservation another test could take a free port before this one's server
    starts. A bound socket that doesn't listen reserves it: servers, which set
    SO_REUSEADDR, can bind the same port, and reservations of other tests cannot. The
    port is below those that the system assigns to outgoing connections.
    """
    while True:
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", random.randrange(*PORTS)))
        except OSError:
            reservation.close()
            continue
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reservations.append(reservation)
        return f"127.0.0.1:{reservation.getsockname()[1]}"


def wait_until(
    condition: Callable[[], T], what: str, timeout: float = READY_SECONDS
) -> T:
    """Return the condition's first true value, or raise TimeoutError with `what`."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"after {timeout} s still not: {what}")
        time.sleep(POLL_SECONDS)


def call_json(
    address: str,
    method: str,
    path: str,
    body: dict | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> tuple[int, dict]:
    """Make one HTTP call and return its status and its JSON body."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        content = None if body is None else json.dumps(body)
        connection.request(method, path, content, headers or {})
        response = connection.getresponse()
        answer = response.read()
        return response.status, json.loads(answer) if answer else {}
    finally:
        connection.close()


class ManagedProcess:
    """A process that runs a Python module, with its output."""

    def __init__(self, name: str, module: str, arguments: Sequence[str], folder: Path):
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._lines: list[str] = []
        self._changed = threading.Condition()
        # Import the code of this tree, also if another version is installed.
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        environment = {**os.environ, "PYTHONPATH": path, "PYTHONUNBUFFERED": "1"}
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            with self._changed:
                self._lines.append(line)
                self._changed.notify_all()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.poll() is None

    def output(self) -> str:
        """Return what the process wrote to standard output and standard error."""
        with self._changed:
            lines = "".join(self._lines)
        return lines + self.log_path.read_text(errors="replace")

    def wait_ready(self, timeout: float = READY_SECONDS) -> dict:
        """Return the ready line that the stand-ins print once they listen."""

        def ready_line() -> dict | None:
            if not self.running:
                raise RuntimeError(f"{self.name} ended early: {self.output()}")
            with self._changed:
                ready = [line for line in self._lines if '"ready"' in line]
            return json.loads(ready[0]) if ready else None

        line = wait_until(ready_line, f"{self.name} is ready", timeout)
        assert line is not None
        return line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL to the process and wait for its end."""
        self._process.kill()
        self._process.wait()

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout: float = STOP_SECONDS) -> int:
        """Return the exit status, or raise subprocess.TimeoutExpired."""
        return self._process.wait(timeout)

    def stop(self, timeout: float = STOP_SECONDS) -> None:
        """Stop gracefully, or with SIGKILL after the timeout."""
        self.signal(signal.SIGCONT)
        self.terminate()
        try:
            self.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
