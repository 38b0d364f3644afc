"""A small system for tests: control hosts, entry hosts, engines, plain services."""

from __future__ import annotations

import hashlib
import json
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from jujubeslip.declaration import Spread, parse_declaration
from jujubeslip.kernel import JujubeslipError
from jujubeslip.membership import rendezvous_order
from jujubeslip.peers import (
    ApplyRequest,
    ControlPeer,
    EntryPeer,
    EntryStatus,
    HostStatus,
    NotLeader,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
)
from tests.fakes.fault_proxy import FaultProxy
from tests.fakes.processes import (
    ManagedProcess,
    call_json,
    free_address,
    wait_until,
)

PEER_SECRET = "peer-secret-for-tests"
ENDPOINT_SECRET = "endpoint-secret-for-tests"
CLIENT_KEY = "client-key-for-tests"
CALL_SECONDS = 3.0
READY_SECONDS = 40.0
HARD_STOP_SECONDS = 3.0

Setting = str | int | float | bool
Hop = tuple[str, str]


@dataclass(frozen=True)
class EngineSpec:
    """One stand-in engine; `options` are command-line options, such as `slots`."""

    endpoint_id: str
    service: str
    role: str
    zone: str = "zone-1"
    model: str = "model"
    options: Mapping[str, Setting] = field(default_factory=dict)


@dataclass(frozen=True)
class PlainSpec:
    """One stand-in plain service."""

    endpoint_id: str
    service: str
    zone: str = "zone-1"
    options: Mapping[str, Setting] = field(default_factory=dict)


@dataclass(frozen=True)
class ClusterSpec:
    """The processes to start; host `entry-1` is in the first of `entry_zones`, etc.

    `hops` puts a fault proxy between one process and another: ("entry-1",
    "control-2"), ("control-1", "control-2") or ("entry-1", "entry-2") for the address
    in the settings, ("*", "entry-1") for the address by which all other processes of
    the system call the host, ("client", "entry-1"), or ("*", "engine-1") in front of an
    endpoint, which then announces the address of the proxy.
    """

    declaration: str
    endpoints: tuple[EngineSpec | PlainSpec, ...] = ()
    entry_zones: tuple[str, ...] = ("zone-1",) * 3
    control_zones: tuple[str, ...] = ("zone-1",) * 3
    region: str = "region-1"
    entry_options: Mapping[str, Setting] = field(default_factory=dict)
    control_options: Mapping[str, Setting] = field(default_factory=dict)
    telemetry: Mapping[str, Setting] = field(default_factory=dict)
    hops: frozenset[Hop] = frozenset()


class Cluster:
    """Starts and ends the processes of a ClusterSpec."""

    def __init__(self, spec: ClusterSpec, folder: Path) -> None:
        self.spec = spec
        self.folder = folder
        self.process_by_name: dict[str, ManagedProcess] = {}
        self.proxy_by_hop: dict[Hop, FaultProxy] = {}
        self.entry_ids = _host_ids("entry", len(spec.entry_zones))
        self.control_ids = _host_ids("control", len(spec.control_zones))
        hosts = (*self.entry_ids, *self.control_ids)
        self.peer_address_by_id = {host: free_address() for host in hosts}
        self.http_address_by_id = {host: free_address() for host in self.entry_ids}
        self.endpoint_address_by_id: dict[str, str] = {}

    def __enter__(self) -> Cluster:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes, apply the declaration and wait for all hosts."""
        for host_id in self.control_ids:
            self.start_control(host_id)
        for host_id in self.entry_ids:
            self.start_entry(host_id)
        for endpoint in self.spec.endpoints:
            self.start_endpoint(endpoint)
        for endpoint in self.spec.endpoints:
            self.process_by_name[endpoint.endpoint_id].wait_ready()
        if self.control_ids:
            self.apply(self.spec.declaration)
        for host_id in self.entry_ids:
            self.wait_entry_ready(host_id)
        if self.control_ids:
            self.wait_endpoints_usable()

    def stop(self) -> None:
        """End the processes and proxies of this cluster."""
        processes = list(self.process_by_name.values())
        for process in processes:
            process.terminate()
        end = time.monotonic() + HARD_STOP_SECONDS
        for process in processes:
            process.stop(max(0.1, end - time.monotonic()))
        for proxy in self.proxy_by_hop.values():
            proxy.stop()

    def start_control(self, host_id: str) -> ManagedProcess:
        """Start or restart a control host."""
        zone = self.spec.control_zones[self.control_ids.index(host_id)]
        data_folder = self.folder / host_id
        data_folder.mkdir(exist_ok=True)
        settings = {
            "host_id": host_id,
            "availability_zone": zone,
            "region": self.spec.region,
            "peer_address": self.peer_address_by_id[host_id],
            "peer_secret": PEER_SECRET,
            "data_folder": str(data_folder),
            **self.spec.control_options,
        }
        peers = {"replicas": self._peers(host_id, self.control_ids, include_self=True)}
        return self._start_host("control", host_id, settings, peers)

    def start_entry(self, host_id: str) -> ManagedProcess:
        """Start or restart an entry host."""
        settings = {
            "host_id": host_id,
            "availability_zone": self.spec.entry_zones[self.entry_ids.index(host_id)],
            "region": self.spec.region,
            "http_address": self.http_address_by_id[host_id],
            "peer_address": self._address_for(
                "*", host_id, self.peer_address_by_id[host_id]
            ),
            "peer_listen_address": self.peer_address_by_id[host_id],
            "peer_secret": PEER_SECRET,
            "endpoint_secret": ENDPOINT_SECRET,
            **self.spec.entry_options,
        }
        peers = {
            "entry_peers": self._peers(host_id, self.entry_ids),
            "control_peers": self._peers(host_id, self.control_ids),
        }
        return self._start_host("entry", host_id, settings, peers)

    def start_endpoint(self, spec: EngineSpec | PlainSpec) -> ManagedProcess:
        """Start or restart an engine or a plain service."""
        name = spec.endpoint_id
        address = self.endpoint_address_by_id.setdefault(name, free_address())
        options: dict[str, Setting] = {
            "endpoint-id": name,
            "address": address,
            "announced-address": self._address_for("*", name, address),
            "service": spec.service,
            "zone": spec.zone,
            "entry": ",".join(self._entries_of_zone(spec.zone)),
            "endpoint-secret": ENDPOINT_SECRET,
        }
        module = "tests.fakes.plain_service"
        if isinstance(spec, EngineSpec):
            module = "tests.fakes.engine"
            options |= {"role": spec.role, "model": spec.model}
        arguments = _command_line({**options, **spec.options})
        return self._start(name, module, arguments)

    def wait_entry_ready(self, host_id: str) -> None:
        """Wait until an entry host has a configuration."""
        address = self.http_address_by_id[host_id]
        process = self.process_by_name[host_id]

        def ready() -> bool:
            if not process.running:
                raise RuntimeError(f"{host_id} ended early: {process.output()}")
            return _status_of(address, "/v1/ready") == 200

        try:
            wait_until(ready, f"{host_id} is ready", READY_SECONDS)
        except TimeoutError as error:
            raise TimeoutError(f"{error}; its log: {process.output()}") from error

    def wait_endpoints_usable(self) -> None:
        """Wait until the entry hosts know each other and homes know their endpoints."""
        wait_until(
            lambda: (
                all(map(self._knows_all_hosts, self.entry_ids))
                and all(map(self._home_knows, self.spec.endpoints))
            ),
            "every endpoint is usable at its home",
            READY_SECONDS,
        )

    def entry_status(self, host_id: str) -> EntryStatus:
        """Return the status that an entry host reports."""
        identity = PeerIdentity("test", 1, PEER_SECRET)
        address = self.peer_address_by_id[host_id]
        client = PeerClient(EntryPeer.Client, address, identity)
        try:
            return client.call(lambda peer: peer.status(), CALL_SECONDS)
        finally:
            client.close()

    def home_id(self, endpoint: EngineSpec | PlainSpec) -> str:
        """Return the home of an endpoint while all entry hosts are alive."""
        declaration = parse_declaration(self.spec.declaration).unwrap()
        pooling = declaration.service_by_name[endpoint.service].pooling
        if pooling is Spread.REGION:
            key = f"home/{endpoint.service}/{self.spec.region}"
            return rendezvous_order(key, self.entry_ids)[0]
        pairs = zip(self.entry_ids, self.spec.entry_zones, strict=True)
        in_zone = [host for host, zone in pairs if zone == endpoint.zone]
        key = f"home/{endpoint.service}/{endpoint.zone}"
        return rendezvous_order(key, in_zone or self.entry_ids)[0]

    def _knows_all_hosts(self, host_id: str) -> bool:
        hosts = self.entry_status(host_id).hosts
        living = [host for host in hosts if host.status == HostStatus.ALIVE]
        return len(living) == len(self.entry_ids)

    def _home_knows(self, endpoint: EngineSpec | PlainSpec) -> bool:
        home_id = self.home_id(endpoint)
        wanted = sum(
            1
            for other in self.spec.endpoints
            if other.service == endpoint.service and self.home_id(other) == home_id
        )
        pools = self.entry_status(home_id).pools
        usable = sum(
            pool.usable_endpoints
            for pool in pools
            if pool.service_name == endpoint.service
        )
        return usable >= wanted

    def apply(self, declaration: str, operator: str = "test") -> int:
        """Apply a declaration through the leading control host; return its revision."""
        change_id = uuid.uuid4().hex

        def attempt() -> int:
            for host_id in self.control_ids:
                revision = self._apply_at(host_id, change_id, declaration, operator)
                if revision:
                    return revision
            return 0

        return wait_until(attempt, "the declaration is applied", READY_SECONDS)

    def _apply_at(
        self, host_id: str, change_id: str, declaration: str, operator: str
    ) -> int:
        client = self.control_client(host_id)
        try:
            held = client.call(lambda peer: peer.get_configuration(0, 0), CALL_SECONDS)
            request = ApplyRequest(change_id, held.revision, declaration, operator)
            reply = client.call(
                lambda peer: peer.apply_configuration(request), CALL_SECONDS
            )
            return int(reply.revision) if reply.accepted else 0
        except (NotLeader, PeerRefusal, JujubeslipError):
            return 0
        finally:
            client.close()

    def control_client(self, host_id: str) -> PeerClient:
        """Return a client of a control host's peer port, without a proxy."""
        identity = PeerIdentity("test", 1, PEER_SECRET)
        address = self.peer_address_by_id[host_id]
        return PeerClient(ControlPeer.Client, address, identity)

    def client_address(self, host_id: str) -> str:
        """Return the address at which clients reach an entry host."""
        return self._address_for("client", host_id, self.http_address_by_id[host_id])

    def endpoint_call(
        self, endpoint_id: str, method: str, path: str, body: dict | None = None
    ) -> dict:
        """Call an endpoint without its proxy; raise unless the status is 200."""
        address = self.endpoint_address_by_id[endpoint_id]
        status, answer = call_json(address, method, path, body)
        if status != 200:
            raise AssertionError(f"{endpoint_id} {path}: {status} {answer}")
        return answer

    def set_faults(self, endpoint_id: str, **faults: Setting) -> None:
        """Set faults at a stand-in."""
        self.endpoint_call(endpoint_id, "POST", "/v1/admin/faults", dict(faults))

    def wait_at_gate(self, endpoint_id: str, phase: str, count: int = 1) -> None:
        """Wait until `count` runs wait at the gate of a phase."""
        wait_until(
            lambda: (
                self.endpoint_call(endpoint_id, "GET", "/v1/admin/faults")[
                    "waiting"
                ].get(phase, 0)
                >= count
            ),
            f"{count} runs wait at {phase} of {endpoint_id}",
        )

    def held(self, endpoint_id: str) -> list[dict]:
        """Return the memory that an endpoint holds."""
        held = self.endpoint_call(endpoint_id, "GET", "/v1/status")["held"]
        assert isinstance(held, list)
        return held

    def wait_nothing_held(self, timeout: float = 20.0) -> None:
        """Wait until no running endpoint holds memory for any request."""
        names = [item.endpoint_id for item in self.spec.endpoints]
        running = [name for name in names if self.process_by_name[name].running]
        wait_until(
            lambda: not any(self.held(name) for name in running),
            f"nothing is held at {running}",
            timeout,
        )

    def _peers(
        self, host_id: str, others: tuple[str, ...], include_self: bool = False
    ) -> list[dict[str, str]]:
        return [
            {
                "host_id": other,
                "address": self._address_for(
                    self._hop_source(host_id, other),
                    other,
                    self.peer_address_by_id[other],
                ),
            }
            for other in others
            if include_self or other != host_id
        ]

    def _hop_source(self, source: str, target: str) -> str:
        return "*" if ("*", target) in self.spec.hops else source

    def _address_for(self, source: str, target: str, address: str) -> str:
        """Return the target's address, or the address of the proxy on the hop."""
        hop = (source, target)
        if hop not in self.spec.hops:
            return address
        if hop not in self.proxy_by_hop:
            self.proxy_by_hop[hop] = FaultProxy(address)
        return self.proxy_by_hop[hop].address

    def _entries_of_zone(self, zone: str) -> list[str]:
        """Return the entry hosts to announce to, starting with those of the zone."""
        pairs = zip(self.entry_ids, self.spec.entry_zones, strict=True)
        ordered = sorted(pairs, key=lambda pair: pair[1] != zone)
        return [self.http_address_by_id[host] for host, _ in ordered]

    def _start_host(
        self,
        command: str,
        host_id: str,
        settings: dict[str, Setting],
        peers: dict[str, list[dict[str, str]]],
    ) -> ManagedProcess:
        path = self.folder / f"{host_id}.toml"
        path.write_text(_to_toml(settings, peers, self.spec.telemetry))
        arguments = [command, "--settings", str(path)]
        return self._start(host_id, "jujubeslip.cli", arguments)

    def _start(self, name: str, module: str, arguments: list[str]) -> ManagedProcess:
        process = ManagedProcess(name, module, arguments, self.folder)
        self.process_by_name[name] = process
        return process


def hash_of_key(key: str = CLIENT_KEY) -> str:
    """Return the hash of a client's key, as a declaration stores it."""
    return hashlib.sha256(key.encode()).hexdigest()


def _host_ids(kind: str, count: int) -> tuple[str, ...]:
    return tuple(f"{kind}-{number}" for number in range(1, count + 1))


def _status_of(address: str, path: str) -> int:
    try:
        return call_json(address, "GET", path, timeout=CALL_SECONDS)[0]
    except (OSError, ValueError):
        return 0


def _command_line(options: Mapping[str, Setting]) -> list[str]:
    arguments: list[str] = []
    for name, value in options.items():
        flag = f"--{name.replace('_', '-')}"
        if value is True:
            arguments.append(flag)
        elif value is not False:
            arguments += [flag, str(value)]
    return arguments


def _to_toml(
    settings: Mapping[str, Setting],
    tables: Mapping[str, list[dict[str, str]]],
    telemetry: Mapping[str, Setting],
) -> str:
    lines = [f"{key} = {json.dumps(value)}" for key, value in settings.items()]
    for name, items in tables.items():
        for item in items:
            lines.append(f"[[{name}]]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in item.items()]
    if telemetry:
        lines.append("[telemetry]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in telemetry.items()]
    return "\n".join(lines) + "\n"
