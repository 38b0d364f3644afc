"""Control processes for tests; a fault proxy links each pair of replicas."""

from __future__ import annotations

import os
import secrets
import shutil
import signal
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, Self, TypeVar

from jujubeslip.control import ControlClient
from jujubeslip.kernel import Deadline, PeerAddress, PeerUnavailableError
from jujubeslip.peers import (
    ApplyReply,
    ApplyRequest,
    ControlPeer,
    ControlStatus,
    KeyClaim,
    KeyReply,
    NotLeader,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
)
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.processes import ManagedProcess, free_address, wait_until

T = TypeVar("T")

BOUND_SECONDS = 40.0
ELECTION_TIMEOUT_MS = 400
HEARTBEAT_MS = 80


class ControlHost:
    """One control process with its settings, data folder and output."""

    def __init__(self, folder: Path, host_id: str, secret: str) -> None:
        self.host_id = host_id
        self.address = free_address()
        self.folder = folder
        self.data_folder = folder / host_id
        self.settings_path = folder / f"{host_id}.toml"
        self.process: ManagedProcess | None = None
        self._secret = secret
        identity = PeerIdentity("test", 1, secret)
        self.client = PeerClient(ControlPeer.Client, self.address, identity)

    def write_settings(self, replicas: list[PeerAddress], extra: str) -> None:
        tables = "".join(
            f'[[replicas]]\nhost_id = "{peer.host_id}"\naddress = "{peer.address}"\n'
            for peer in replicas
        )
        self.settings_path.write_text(
            f'host_id = "{self.host_id}"\navailability_zone = "zone"\n'
            f'region = "region"\npeer_address = "{self.address}"\n'
            f'peer_secret = "{self._secret}"\ndata_folder = "{self.data_folder}"\n'
            f"{extra}\n{tables}"
        )

    def start(self) -> None:
        arguments = ["control", "--settings", str(self.settings_path)]
        self.process = ManagedProcess(
            self.host_id, "jujubeslip.cli", arguments, self.folder
        )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.running

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.signal(number)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process = None

    def freeze(self) -> None:
        """Stop the process and wait until the kernel has stopped each thread."""
        assert self.process is not None
        self.process.signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)

    def output(self) -> str:
        return (self.folder / f"{self.host_id}.log").read_text(errors="replace")

    def lose_disk(self) -> None:
        shutil.rmtree(self.data_folder)

    def call(self, operation: Callable[[Any], T], timeout: float = 1.0) -> T:
        return self.client.call(operation, timeout)

    def status(self) -> ControlStatus | None:
        try:
            return self.call(lambda peer: peer.status())
        except (PeerUnavailableError, PeerRefusal):
            return None

    def leads(self) -> bool:
        """Return whether the host leads according to its own status."""
        status = self.status()
        return status is not None and status.leader_id == status.replica_id


class ControlCluster:
    """Control hosts named control-1, control-2, ...; stops them all on exit."""

    def __init__(self, folder: Path, count: int, **settings: int) -> None:
        self.folder = folder
        defaults = {
            "election_timeout_ms": ELECTION_TIMEOUT_MS,
            "heartbeat_ms": HEARTBEAT_MS,
        }
        self._extra = "\n".join(f"{k} = {v}" for k, v in (defaults | settings).items())
        self.host_by_id: dict[str, ControlHost] = {}
        self.proxy_by_pair: dict[tuple[str, str], FaultProxy] = {}
        self.secret = secrets.token_hex(8)
        for number in range(1, count + 1):
            self.create_host(f"control-{number}")
        self.link()
        for host in self.hosts:
            host.start()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for host in self.hosts:
            host.kill()
        for proxy in self.proxy_by_pair.values():
            proxy.stop()
        if error is not None:
            for host in self.hosts:
                print(f"--- {host.host_id}\n{host.output()[-4000:]}")

    @property
    def hosts(self) -> list[ControlHost]:
        return list(self.host_by_id.values())

    @property
    def client(self) -> ControlClient:
        addresses = [PeerAddress(host.host_id, host.address) for host in self.hosts]
        return ControlClient(addresses, PeerIdentity("test", 1, self.secret))

    def create_host(self, host_id: str) -> ControlHost:
        host = ControlHost(self.folder, host_id, self.secret)
        self.host_by_id[host_id] = host
        return host

    def link(self) -> None:
        """Write all settings, with fault proxies as addresses of the other hosts."""
        for source in self.hosts:
            peers = []
            for target in self.hosts:
                if source is target:
                    peers.append(PeerAddress(target.host_id, target.address))
                    continue
                pair = (source.host_id, target.host_id)
                if pair not in self.proxy_by_pair:
                    self.proxy_by_pair[pair] = FaultProxy(target.address)
                proxy = self.proxy_by_pair[pair]
                peers.append(PeerAddress(target.host_id, proxy.address))
            source.write_settings(peers, self._extra)

    def link_unknown_host(self, host: ControlHost) -> None:
        """Write settings for a process that the other hosts' settings don't name."""
        peers = [PeerAddress(item.host_id, item.address) for item in self.others()]
        host.write_settings(peers, self._extra)

    def cut(self, host: ControlHost) -> None:
        """Partition the host from the other replicas, but not from clients."""
        for pair, proxy in self.proxy_by_pair.items():
            if host.host_id in pair:
                proxy.cut()

    def heal(self) -> None:
        for proxy in self.proxy_by_pair.values():
            proxy.heal()

    def leader(self, among: list[ControlHost] | None = None) -> ControlHost:
        """Wait for a host that leads according to its own status; return it."""

        def find() -> ControlHost | None:
            for host in among or self.hosts:
                if host.running and host.leads():
                    return host
            return None

        leader = wait_until(find, "a leader", BOUND_SECONDS)
        assert leader is not None
        return leader

    def others(self, *hosts: ControlHost) -> list[ControlHost]:
        return [host for host in self.hosts if host not in hosts]

    def apply(self, number: int, base: int) -> ApplyReply:
        request = make_change(number, base)
        return self.client.apply_configuration(request, Deadline.after(BOUND_SECONDS))

    def claim(self, key: str, request: str = "r1") -> KeyReply:
        deadline = Deadline.after(BOUND_SECONDS)
        return self.client.claim_key(make_claim(key, request), deadline)

    def voter_ids(self) -> set[str]:
        status = self.leader().status()
        assert status is not None
        return {item.replica_id for item in status.replicas if item.voter}

    def wait_applied(self, host: ControlHost, revision: int) -> None:
        def applied() -> bool:
            status = host.status()
            return status is not None and status.configuration_revision >= revision

        what = f"revision {revision} on {host.host_id}"
        wait_until(applied, what, BOUND_SECONDS)


def make_change(number: int, base: int, operator: str = "operator") -> ApplyRequest:
    return ApplyRequest(f"change-{number}", base, f"# change {number}", operator)


def make_claim(key: str, request: str = "r1") -> KeyClaim:
    return KeyClaim("client", key, request, "entry-1/1", "fingerprint")


def ask_directly(host: ControlHost, operation: Callable[[Any], T]) -> T | None:
    """Return this host's answer, None if it refuses or does not lead."""
    try:
        return host.call(operation, 2.0)
    except (NotLeader, PeerRefusal, PeerUnavailableError):
        return None
