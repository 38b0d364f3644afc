"""The single-file build runs control and entry hosts, each as one process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import ControlPeer, PeerClient, PeerIdentity, PeerRefusal
from tests.fakes.processes import call_json, free_address, wait_until
from tools.build_binary import build

SECRET = "a-peer-secret-of-tests"
COMMON = f"""
availability_zone = "zone-1"
region = "region-1"
peer_secret = "{SECRET}"
"""


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the single file from this environment and return its path."""
    path = tmp_path_factory.mktemp("dist") / "jujubeslip"
    build(path)
    return path


class BinaryProcess:
    """A process of the single file that can't import this environment's packages."""

    def __init__(self, binary: Path, folder: Path, kind: str, settings: str) -> None:
        path = folder / f"{kind}.toml"
        path.write_text(settings)
        self.log_path = folder / f"{kind}.log"
        # The base interpreter of the virtual environment has none of the project's
        # packages; -I keeps environment variables and the current folder off its path.
        python = str(Path(sys.base_prefix) / "bin" / "python3.11")
        environment = {"PATH": os.environ["PATH"], "SHIV_ROOT": str(folder / "cache")}
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [python, "-I", str(binary), kind, "--settings", str(path)],
                env=environment,
                cwd=folder,
                stdout=log,
                stderr=log,
            )

    def descendants(self) -> list[str]:
        """Return the ids of the processes that this process has started."""
        tasks = Path(f"/proc/{self.process.pid}/task")
        return [
            child
            for task in tasks.iterdir()
            for child in (task / "children").read_text().split()
        ]

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")

    def stop(self) -> int:
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(20)


@pytest.fixture
def control(binary: Path, tmp_path: Path) -> Iterator[tuple[BinaryProcess, str]]:
    """Start a single control host; yield it and its address."""
    address = free_address()
    settings = f"""{COMMON}
host_id = "control-1"
peer_address = "{address}"
data_folder = "{tmp_path / "data"}"
[[replicas]]
host_id = "control-1"
address = "{address}"
"""
    started = BinaryProcess(binary, tmp_path, "control", settings)
    yield started, address
    started.process.kill()
    started.process.wait()


@pytest.fixture
def entry(binary: Path, tmp_path: Path) -> Iterator[tuple[BinaryProcess, str]]:
    """Start a single entry host; yield it and its HTTP address."""
    address = free_address()
    settings = f"""{COMMON}
host_id = "entry-1"
http_address = "{address}"
peer_address = "{free_address()}"
endpoint_secret = "an-endpoint-secret"
"""
    started = BinaryProcess(binary, tmp_path, "entry", settings)
    yield started, address
    started.process.kill()
    started.process.wait()


def has_leader(address: str) -> bool:
    identity = PeerIdentity("test", 1, SECRET)
    client = PeerClient(ControlPeer.Client, address, identity)
    try:
        status = client.call(lambda peer: peer.status(), 1.0)
    except (PeerUnavailableError, PeerRefusal):
        return False
    finally:
        client.close()
    return bool(status.leader_id)


def is_serving(address: str) -> bool:
    try:
        return call_json(address, "GET", "/v1/ready")[0] == 503
    except OSError:
        return False


class TestSingleFile:
    """Guards against a bootstrap that runs the host in a child process.

    A supervisor knows only the parent's process id. When it kills the parent, the child
    keeps running and serves requests beside its successor.
    """

    def test_control_host_is_one_process(
        self, control: tuple[BinaryProcess, str]
    ) -> None:
        started, address = control
        wait_until(lambda: has_leader(address), "the control host leads", 60)
        assert started.descendants() == []
        assert started.stop() == 0, started.log()

    def test_entry_host_is_one_process(self, entry: tuple[BinaryProcess, str]) -> None:
        started, address = entry
        wait_until(lambda: is_serving(address), "the entry host answers", 60)
        assert started.descendants() == []
        assert started.stop() == 0, started.log()
