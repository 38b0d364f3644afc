"""The processes of the soak, and the proxies between them.

A proxy carries each link whose address comes from settings or announcements: clients to
entry hosts, operators and endpoints to control hosts, entry hosts to endpoints, and, by
the table of replicas in the settings, control hosts to each other.
"""

from __future__ import annotations

import resource
import shutil
import signal
import subprocess
import threading
import time
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path

from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import (
    ControlPeer,
    ControlStatus,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
)
from soak._observations import Observations, ProcessEnd
from soak._schedule import CONTROLS, ENTRIES
from tests.fakes.endpoint_links import EndpointLinks
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.platform_system import SECRET, Host, PlatformSystem
from tests.fakes.processes import free_address, wait_until

# Settings of the forwarding hosts, which the checks use as bounds.
STOP_LIMIT_MS = 8000
RETRY_RATIO = 0.1
RETRY_ALLOWANCE = 12
RETRY_WINDOW_MS = 10_000
# Part of the retry ratio; a slow request is sent to a second endpoint, too.
SECOND_SEND_SHARE = 0.05
# How long a process may take to end after SIGTERM before it is killed, in seconds: its
# stop limit and a margin for a busy machine.
STOP_SECONDS = 40.0
# How long the control cluster may take to be ready again after a fault, in seconds.
READY_SECONDS = 60.0
STATUS_SECONDS = 1.0


@dataclass
class SoakHost:
    """A host slot with its process, which may be restarted many times."""

    slot: str
    host: Host
    address: str
    """The address for clients of an entry host, or for peers of a control host."""
    boot: int = 0
    should_run: bool = False
    """Whether its process should run."""
    lock: threading.RLock = field(default_factory=threading.RLock)
    """Held while the process is ended and started."""


class SoakSystem:
    """The control hosts and entry hosts, each behind proxies."""

    def __init__(self, folder: Path, observations: Observations) -> None:
        self.observations = observations
        self.stopping = threading.Event()
        self._platform = PlatformSystem(
            folder,
            len(CONTROLS),
            len(ENTRIES),
            stop_limit_ms=STOP_LIMIT_MS,
            retry_ratio=RETRY_RATIO,
            retry_allowance=RETRY_ALLOWANCE,
            retry_window_ms=RETRY_WINDOW_MS,
            second_send_share=SECOND_SEND_SHARE,
            policy="expected-time",
        )
        platform = self._platform
        self._folder = folder
        self._replaced = len(CONTROLS)
        self.proxy_by_link: dict[str, FaultProxy] = {}
        self.host_by_slot: dict[str, SoakHost] = {}
        for number, slot in enumerate(CONTROLS):
            self.host_by_slot[slot] = SoakHost(
                slot, platform.controls[number], platform.seeds[number]
            )
            proxy = FaultProxy(platform.control_http[number])
            self.proxy_by_link[f"operator>{slot}"] = proxy
        for number, slot in enumerate(ENTRIES):
            address = platform.entry_http[number]
            self.host_by_slot[slot] = SoakHost(slot, platform.entries[number], address)
            self.proxy_by_link[f"client>{slot}"] = FaultProxy(address)
        self.endpoint_links_by_slot = {
            slot: EndpointLinks(self.host_by_slot[slot].host, folder)
            for slot in ENTRIES
        }
        self._link_controls()

    def link_endpoint(self, address: str) -> None:
        """Link all entry hosts to an endpoint's address."""
        for links in self.endpoint_links_by_slot.values():
            links.add(address)

    def end_endpoint(self, address: str) -> None:
        """Let entry hosts see that the endpoint at this address has ended."""
        for links in self.endpoint_links_by_slot.values():
            links.end(address)

    def start_all(self) -> None:
        """Start all processes; return once the control hosts form one cluster."""
        for slot in self.host_by_slot:
            self.start(slot)
        self.wait_until_ready()
        # The cluster bootstraps with direct addresses; then the hosts use the proxies.
        for slot in CONTROLS:
            self.kill(slot)
            self._write_control_settings(slot)
        for slot in CONTROLS:
            self.start(slot)
        self.wait_until_ready()

    def close(self) -> None:
        """Kill every process that was started, in any state."""
        self.stopping.set()
        for soak_host in self.host_by_slot.values():
            with soak_host.lock:
                soak_host.should_run = False
                soak_host.host.kill()
        for proxy in self.proxy_by_link.values():
            proxy.stop()
        for links in self.endpoint_links_by_slot.values():
            links.close()

    # Processes

    def start(self, slot: str) -> None:
        """Start the host's process, unless the soak ends."""
        soak_host = self.host_by_slot[slot]
        with soak_host.lock:
            if self.stopping.is_set():
                return
            soak_host.host.start()
            soak_host.boot += 1
            soak_host.should_run = True

    def kill(self, slot: str) -> None:
        """Kill the host's process."""
        soak_host = self.host_by_slot[slot]
        with soak_host.lock:
            soak_host.should_run = False
            soak_host.host.kill()

    def stop(self, slot: str) -> None:
        """Send SIGTERM to the host's process, and record how it ends."""
        soak_host = self.host_by_slot[slot]
        with soak_host.lock:
            process = soak_host.host.process
            if process is None:
                return
            self._wait_to_handle(slot, signal.SIGTERM)
            soak_host.should_run = False
            requested_at = time.monotonic()
            process.terminate()
            status: int | None = None
            with suppress(subprocess.TimeoutExpired):
                status = process.wait(STOP_SECONDS)
            if not self.stopping.is_set():
                end = ProcessEnd(slot, requested_at, time.monotonic(), status)
                self.observations.ends.append(end)
            soak_host.host.kill()

    def send_signal(self, slot: str, number: signal.Signals) -> None:
        """Send the host's process a signal, if it has one."""
        if self.host_by_slot[slot].host.process is not None:
            self.host_by_slot[slot].host.signal(number)

    def _wait_to_handle(self, slot: str, number: signal.Signals) -> None:
        """Wait until the host's process has installed its handler of the signal.

        A signal during the start of Python ends the process by default.
        """
        process = self.host_by_slot[slot].host.process
        if process is not None:
            wait_until(
                lambda: not process.running or handles_signal(process.pid, number),
                f"{slot} handles {number.name}",
                READY_SECONDS,
            )

    def restart_ended(self) -> None:
        """Record and restart each process that ended unexpectedly."""
        for soak_host in self.host_by_slot.values():
            if soak_host.lock.acquire(blocking=False):
                try:
                    self._restart_if_ended(soak_host)
                finally:
                    soak_host.lock.release()

    def _restart_if_ended(self, soak_host: SoakHost) -> None:
        process = soak_host.host.process
        if not soak_host.should_run or process is None or process.running:
            return
        end = ProcessEnd(soak_host.slot, None, time.monotonic(), process.wait())
        self.observations.ends.append(end)
        self.start(soak_host.slot)

    # Disks

    def remove_data_folder(self, slot: str) -> None:
        """Remove the data folder of a control host that does not run."""
        shutil.rmtree(self._folder / self.host_by_slot[slot].host.name)

    def fail_writes(self, slot: str) -> None:
        """Make the host's next writes fail, until its process ends."""
        process = self.host_by_slot[slot].host.process
        if process is not None and process.running:
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, 0))

    def replace_control(self, slot: str) -> None:
        """Replace a control host by an empty one at another address."""
        number = CONTROLS.index(slot)
        platform = self._platform
        soak_host = self.host_by_slot[slot]
        with soak_host.lock:
            self.kill(slot)
            self.remove_data_folder(slot)
            previous, soak_host.address = soak_host.address, free_address()
            name = f"control-{self._replaced}"
            self._replaced += 1
            platform.seeds[number] = soak_host.address
            platform.control_http[number] = http_address = free_address()
            operators = self.proxy_by_link[f"operator>{slot}"]
            operators.target = _parse_address(http_address)
            for other in CONTROLS:
                if other != slot:
                    self.proxy_by_link[f"{other}>{slot}"].target = _parse_address(
                        soak_host.address
                    )
            soak_host.host = Host(self._folder, name, "control", "")
            for other in CONTROLS:
                self._write_control_settings(other)
            self._update_entry_seeds(previous, soak_host.address)
            self.start(slot)

    def _update_entry_seeds(self, previous: str, address: str) -> None:
        """Replace the seed address in the settings of entry hosts and reload them."""
        for slot in ENTRIES:
            path = self.host_by_slot[slot].host.settings_path
            path.write_text(path.read_text().replace(previous, address))
            process = self.host_by_slot[slot].host.process
            if process is not None and handles_signal(process.pid, signal.SIGHUP):
                process.signal(signal.SIGHUP)

    # Control hosts

    def status(self, slot: str) -> ControlStatus | None:
        """Return the status that a control host reports, None without a response."""
        identity = PeerIdentity("soak", 1, SECRET)
        client = PeerClient(
            ControlPeer.Client, self.host_by_slot[slot].address, identity
        )
        try:
            return client.call(lambda asked: asked.status(), STATUS_SECONDS)
        except (PeerUnavailableError, PeerRefusal):
            return None
        finally:
            client.close()

    def wait_until_ready(self) -> None:
        """Wait until all control hosts are voters and one of them is the leader."""
        wait_until(self._is_ready, "all control hosts vote", READY_SECONDS)

    def _is_ready(self) -> bool:
        """Return whether the current replica of each host is a voter.

        A host that lost its disk answers again before its new replica is a voter; until
        the leader has replaced it, the voter of that host's name is the lost replica.
        """
        if self.stopping.is_set():
            return True
        known = [self.status(slot) for slot in CONTROLS]
        answered = [status for status in known if status is not None]
        if len(answered) < len(known):
            return False
        replicas = {status.replica_id for status in answered}
        return any(
            status.leader_id == status.replica_id
            and replicas <= {item.replica_id for item in status.replicas if item.voter}
            and not status.failure
            for status in answered
        )

    def _link_controls(self) -> None:
        for source in CONTROLS:
            for target in CONTROLS:
                if source != target:
                    address = self.host_by_slot[target].address
                    self.proxy_by_link[f"{source}>{target}"] = FaultProxy(address)

    def _write_control_settings(self, slot: str) -> None:
        """Write settings with which the host reaches the others through proxies."""
        soak_host = self.host_by_slot[slot]
        http_address = self._platform.control_http[CONTROLS.index(slot)]
        settings = self._platform.control_settings(
            soak_host.host.name, soak_host.address, http_address, may_found=False
        )
        for other in CONTROLS:
            peer = self.host_by_slot[other]
            address = peer.address
            if other != slot:
                address = self.proxy_by_link[f"{slot}>{other}"].address
            settings += (
                f'[[replicas]]\nhost_id = "{peer.host.name}"\naddress = "{address}"\n'
            )
        soak_host.host.settings_path.write_text(settings)

    def all_locks(self) -> ExitStack:
        """Return a context that holds every host's lock, acquired in a fixed order."""
        stack = ExitStack()
        for soak_host in self.host_by_slot.values():
            stack.enter_context(soak_host.lock)
        return stack


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """Return whether a process handles the signal, according to the kernel."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    caught = next((line for line in lines if line.startswith("SigCgt:")), "SigCgt: 0")
    return bool(int(caught.partition(":")[2], 16) >> (number - 1) & 1)
