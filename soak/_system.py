"""The processes of the soak, and the proxies between them.

The proxies stand where an address of the product's settings or of an announcement can
lead through one: clients to entry hosts, operators and endpoints to control hosts,
entry hosts to endpoints, and, by the table of replicas, control hosts to each other.
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
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.platform_system import SECRET, Host, PlatformSystem
from tests.fakes.processes import free_address, wait_until

# The bounds that the forwarding hosts are given.
STOP_LIMIT_MS = 8000
RETRY_RATIO = 0.1
RETRY_ALLOWANCE = 12
RETRY_WINDOW_MS = 10_000
# How long a process may take to end after SIGTERM before it is killed, in seconds:
# longer than its limit by what a busy machine may need.
STOP_SECONDS = 40.0
# How long the control hosts may take to be whole again after a fault, in seconds.
WHOLE_SECONDS = 60.0
STATUS_SECONDS = 1.0


@dataclass
class SoakHost:
    """A place of a host: its process, which may be started again and again."""

    slot: str
    host: Host
    address: str
    """Where clients reach an entry host, and peers a control host."""
    boot: int = 0
    wanted: bool = False
    """Whether its process should run."""
    lock: threading.RLock = field(default_factory=threading.RLock)
    """Held while its process is ended and started."""


class SoakSystem:
    """Three control hosts and three entry hosts, each behind proxies."""

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
        self._link_controls()

    def start_all(self) -> None:
        """Start all processes; return once the control hosts are one cluster."""
        for slot in self.host_by_slot:
            self.start(slot)
        self.wait_whole()
        # Founded by the real addresses, the hosts go on through the proxies.
        for slot in CONTROLS:
            self.kill(slot)
            self._write_control_settings(slot)
        for slot in CONTROLS:
            self.start(slot)
        self.wait_whole()

    def close(self) -> None:
        """End every process that was started, whatever state it is in."""
        self.stopping.set()
        for place in self.host_by_slot.values():
            with place.lock:
                place.wanted = False
                place.host.kill()
        for proxy in self.proxy_by_link.values():
            proxy.stop()

    # Processes

    def start(self, slot: str) -> None:
        """Start the host's process, unless the soak ends."""
        place = self.host_by_slot[slot]
        with place.lock:
            if self.stopping.is_set():
                return
            place.host.start()
            place.boot += 1
            place.wanted = True

    def kill(self, slot: str) -> None:
        """End the host's process at once."""
        place = self.host_by_slot[slot]
        with place.lock:
            place.wanted = False
            place.host.kill()

    def stop(self, slot: str) -> None:
        """Ask the host's process to end, and note how it does."""
        place = self.host_by_slot[slot]
        with place.lock:
            process = place.host.process
            if process is None:
                return
            self._wait_to_handle(slot, signal.SIGTERM)
            place.wanted = False
            asked_at = time.monotonic()
            process.terminate()
            status: int | None = None
            with suppress(subprocess.TimeoutExpired):
                status = process.wait(STOP_SECONDS)
            if not self.stopping.is_set():
                end = ProcessEnd(slot, asked_at, time.monotonic(), status)
                self.observations.ends.append(end)
            place.host.kill()

    def send_signal(self, slot: str, number: signal.Signals) -> None:
        """Send the host's process a signal, if there is one."""
        if self.host_by_slot[slot].host.process is not None:
            self.host_by_slot[slot].host.signal(number)

    def _wait_to_handle(self, slot: str, number: signal.Signals) -> None:
        """Wait until the host's process has got so far as to handle the signal.

        One that comes while Python still starts ends the process by default.
        """
        process = self.host_by_slot[slot].host.process
        if process is not None:
            wait_until(
                lambda: not process.running or handles(process.pid, number),
                f"{slot} handles {number.name}",
                WHOLE_SECONDS,
            )

    def look_for_ended(self) -> None:
        """Note each process that has ended though nobody asked for it; restart it."""
        for place in self.host_by_slot.values():
            if place.lock.acquire(blocking=False):
                try:
                    self._look_at(place)
                finally:
                    place.lock.release()

    def _look_at(self, place: SoakHost) -> None:
        process = place.host.process
        if not place.wanted or process is None or process.running:
            return
        end = ProcessEnd(place.slot, None, time.monotonic(), process.wait())
        self.observations.ends.append(end)
        self.start(place.slot)

    # Disks

    def lose_disk(self, slot: str) -> None:
        """Remove the data folder of a control host that does not run."""
        shutil.rmtree(self._folder / self.host_by_slot[slot].host.name)

    def fill_disk(self, slot: str) -> None:
        """Let the host's next writes fail; the limit ends with the process."""
        process = self.host_by_slot[slot].host.process
        if process is not None and process.running:
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, 0))

    def replace_control(self, slot: str) -> None:
        """Start an empty control host at another address in place of one."""
        number = CONTROLS.index(slot)
        platform = self._platform
        place = self.host_by_slot[slot]
        with place.lock:
            self.kill(slot)
            self.lose_disk(slot)
            former, place.address = place.address, free_address()
            name = f"control-{self._replaced}"
            self._replaced += 1
            platform.seeds[number] = place.address
            platform.control_http[number] = http_address = free_address()
            operators = self.proxy_by_link[f"operator>{slot}"]
            operators.target = _split(http_address)
            for other in CONTROLS:
                if other != slot:
                    self.proxy_by_link[f"{other}>{slot}"].target = _split(place.address)
            place.host = Host(self._folder, name, "control", "")
            for other in CONTROLS:
                self._write_control_settings(other)
            self._tell_entries(former, place.address)
            self.start(slot)

    def _tell_entries(self, former: str, address: str) -> None:
        """Write the seeds that there are now into the settings of entry hosts."""
        for slot in ENTRIES:
            path = self.host_by_slot[slot].host.settings_path
            path.write_text(path.read_text().replace(former, address))
            process = self.host_by_slot[slot].host.process
            if process is not None and handles(process.pid, signal.SIGHUP):
                process.signal(signal.SIGHUP)

    # Control hosts

    def status(self, slot: str) -> ControlStatus | None:
        """Return how a control host sees the cluster, None without an answer."""
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

    def wait_whole(self) -> None:
        """Wait until all control hosts vote and one of them leads."""
        wait_until(self._is_whole, "all control hosts vote", WHOLE_SECONDS)

    def _is_whole(self) -> bool:
        """Say whether each host's replica votes, as it is now.

        A host that has lost its disk is there again before its new replica votes; the
        voter of its name is the one that is lost, until the leader has replaced it.
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
        """Write settings by which the host reaches the others through proxies."""
        place = self.host_by_slot[slot]
        http_address = self._platform.control_http[CONTROLS.index(slot)]
        settings = self._platform.control_settings(
            place.host.name, place.address, http_address, may_found=False
        )
        for other in CONTROLS:
            peer = self.host_by_slot[other]
            address = peer.address
            if other != slot:
                address = self.proxy_by_link[f"{slot}>{other}"].address
            settings += (
                f'[[replicas]]\nhost_id = "{peer.host.name}"\naddress = "{address}"\n'
            )
        place.host.settings_path.write_text(settings)

    def all_locks(self) -> ExitStack:
        """Return a context that holds every host's lock, taken in one order."""
        stack = ExitStack()
        for place in self.host_by_slot.values():
            stack.enter_context(place.lock)
        return stack


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def handles(pid: int, number: signal.Signals) -> bool:
    """Say whether a process handles the signal, by what the kernel knows of it."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    caught = next((line for line in lines if line.startswith("SigCgt:")), "SigCgt: 0")
    return bool(int(caught.partition(":")[2], 16) >> (number - 1) & 1)
