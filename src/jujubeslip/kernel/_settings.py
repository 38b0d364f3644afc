"""Settings of a process: one TOML file, validated completely before startup."""

from __future__ import annotations

import difflib
import ipaddress
import tomllib
from dataclasses import field
from dataclasses import fields as dataclass_fields
from pathlib import Path
from typing import Annotated, Any, TypeVar, get_args, get_type_hints

from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from returns.result import Failure, Result, Success

T = TypeVar("T")

STRICT = ConfigDict(extra="forbid")

MAXIMUM_PORT = 65535


def _validate_address(text: str) -> str:
    """Return the address; check its port and octets, which the pattern does not."""
    ip, _, port = text.rpartition(":")
    if not 0 < int(port) <= MAXIMUM_PORT:
        raise ValueError(f"the port is not between 1 and {MAXIMUM_PORT}")
    ipaddress.IPv4Address(ip)
    return text


Address = Annotated[
    str,
    Field(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$", description="IP:port"),
    AfterValidator(_validate_address),
]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


@dataclass(frozen=True)
class SettingsProblem:
    """A problem of a settings file: file, key, message and remedy."""

    file: str
    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.message} {self.remedy}"


@dataclass(frozen=True, config=STRICT)
class PeerAddress:
    """The peer address of another process of the system."""

    host_id: Name
    """The other process's host_id."""
    address: Address
    """Its peer_address."""


@dataclass(frozen=True, config=STRICT)
class TelemetrySettings:
    """Where logs, metrics and spans go."""

    log_format: Annotated[str, Field(pattern="^(json|text)$")] = "json"
    """`json` or `text`, one line per record."""
    log_stream: Annotated[str, Field(pattern="^(stdout|stderr)$")] = "stderr"
    """Where log lines go: `stdout` or `stderr`."""
    log_level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    """Lowest level that is written: DEBUG, INFO, WARNING or ERROR."""
    metrics_address: Address | None = None
    """Where the metrics are served as text; without it they are not served."""
    otlp_endpoint: str = ""
    """Base URL of an OTLP/HTTP collector; without it nothing is recorded."""
    export_interval_ms: Annotated[int, Field(ge=100)] = 10_000
    """How often metrics and spans are exported."""


@dataclass(frozen=True, config=STRICT)
class EntrySettings:
    """Settings of `jujubeslip entry`; times in milliseconds, sizes in bytes."""

    host_id: Name
    """Name of this host, unique among entry hosts; stable over restarts."""
    availability_zone: Name
    """Availability zone that this host is in."""
    region: Name
    """Region that its availability zone is in."""
    http_address: Address
    """Where clients and endpoints reach it."""
    peer_address: Address
    """Where the other processes of the system reach it."""
    peer_secret: Annotated[str, Field(min_length=8)]
    """Secret of all processes of the system, and of operators."""
    endpoint_secret: Annotated[str, Field(min_length=8)]
    """Secret that endpoints announce themselves with."""
    peer_listen_address: Address | None = None
    """Where it listens for them, if that differs, for example behind NAT."""
    entry_peers: tuple[PeerAddress, ...] = ()
    """Some other entry hosts; the remaining ones are learned from them."""
    control_peers: tuple[PeerAddress, ...] = ()
    """All control hosts."""
    http_threads: Annotated[int, Field(ge=8, le=1000)] = 160
    """HTTP requests served at a time, each in a thread."""
    reserved_threads: Annotated[int, Field(ge=1)] = 16
    """How many of `http_threads` are reserved for announcements and readiness."""
    maximum_connections: Annotated[int, Field(ge=16)] = 3000
    """Largest number of open HTTP connections; further ones wait."""
    maximum_body_bytes: Annotated[int, Field(ge=1024)] = 4_194_304
    """Longest body of a request; a longer one is refused with 413."""
    receive_timeout_ms: Annotated[int, Field(ge=100)] = 10_000
    """The connection closes if a request is incomplete after this time."""
    policy: Name = "home"
    """`home`, or a baseline for comparisons."""
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    """The table [telemetry], see below."""


@dataclass(frozen=True, config=STRICT)
class ControlSettings:
    """Settings of `jujubeslip control`, on a host that has a disk."""

    host_id: Name
    """Name of this host, unique among control hosts; stable over restarts."""
    availability_zone: Name
    """Availability zone that this host is in."""
    region: Name
    """Region that its availability zone is in."""
    peer_address: Address
    """Where the other processes of the system reach it."""
    peer_secret: Annotated[str, Field(min_length=8)]
    """Secret of all processes of the system, and of operators."""
    data_folder: Path
    """Folder on a persistent disk; used by this process only."""
    peer_listen_address: Address | None = None
    """Where it listens for them, if that differs from `peer_address`."""
    replicas: tuple[PeerAddress, ...] = ()
    """All control hosts, including this one, if they are known in advance."""
    seeds: tuple[Address, ...] = ()
    """Some control hosts, if not all are known; the others are learned from them."""
    seed_port: Annotated[int, Field(ge=0, le=MAXIMUM_PORT)] = 0
    """Peer port of the control hosts, if it differs from the one in `seeds`."""
    may_found: bool = True
    """Whether this host may bootstrap a cluster; false once one is bootstrapped."""
    admits_any_host: bool = False
    """Whether a host that no operator has added may join."""
    tolerated_losses: Annotated[int, Field(ge=0)] = 1
    """Control hosts that may be lost at once; an unresponsive one is only removed
    while enough remain for that."""
    http_address: Address | None = None
    """Where operators and endpoints reach it, if `interface` uses HTTP."""
    interface: Name = "native"
    """Protocol at `http_address`."""
    order_lease_ms: Annotated[int, Field(ge=0)] = 3000
    """How long orders of one leader to engines exclude orders of the next leader."""
    changes_roles: bool = True
    """Whether engines are ordered to change their role when a role lacks capacity."""
    grants_engines: bool = True
    """Whether the leader grants engines to the requests of all hosts."""
    memory_margin: Annotated[float, Field(ge=-1, le=1)] = 0.05
    """Share of an engine's memory that the leader leaves free."""
    memory_caution: Annotated[float, Field(ge=0, le=5)] = 1.5
    """Safety margin: standard deviations above its mean at which the forecast of
    memory use must still fit."""
    passed_ms: Annotated[int, Field(ge=0)] = 300
    """How long smaller requests may bypass a request that waits for memory."""
    reader_wait_ms: Annotated[int, Field(ge=0)] = 300
    """How long a request waits for a prefill engine before a decode engine prefills
    its prompt, which pauses the other answers of that engine."""
    lower_priority_share: Annotated[float, Field(ge=0, le=0.5)] = 0.1
    """Share of the granted tokens of a service's engines that requests of lower
    priorities keep while they wait and are in time."""
    shares_between_accounts: bool = True
    """Whether requests of accounts that hold more than their part of a service's
    engines go after those of others when not all can be in time."""
    limit_window_ms: Annotated[int, Field(ge=100)] = 8000
    """Time window in which an account's limit holds, over all hosts."""
    limit_overage: Annotated[float, Field(ge=0)] = 0.1
    """Share of the limit by which it may be exceeded in such a window."""
    limit_slack: Annotated[float, Field(ge=0)] = 0.0
    """Further amount by which it may be exceeded, in the limit's unit."""
    election_timeout_ms: Annotated[int, Field(ge=50)] = 1000
    """Silence of the leader after which a follower starts an election."""
    heartbeat_ms: Annotated[int, Field(ge=10)] = 200
    """Interval at which a leader renews its lease with each follower."""
    snapshot_every: Annotated[int, Field(ge=10)] = 1000
    """Log entries between two snapshots."""
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    """The table [telemetry], see below."""

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Peer addresses of the seeds."""
        return seed_addresses(self.seeds, self.seed_port)


def seed_addresses(seeds: tuple[str, ...], port: int) -> tuple[str, ...]:
    """Return the seeds' addresses with this port, or unchanged if the port is 0."""
    if not port:
        return seeds
    return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in seeds)


@dataclass(frozen=True, config=STRICT)
class ForwardSettings:
    """Settings of `jujubeslip forward`; times in milliseconds."""

    host_id: Name
    """Name of this host, unique among entry hosts; stable over restarts."""
    availability_zone: Name
    """Availability zone that this host is in."""
    http_address: Address
    """Where clients reach it."""
    ready_address: Address
    """Where load balancers check whether it accepts requests."""
    peer_secret: Annotated[str, Field(min_length=8)]
    """Secret of all processes of the system, and of operators."""
    seeds: tuple[Address, ...]
    """Some control hosts; the others are learned from them."""
    interface: Name
    """Protocol of clients and endpoints."""
    seed_port: Annotated[int, Field(ge=0, le=MAXIMUM_PORT)] = 0
    """Peer port of the control hosts, if it differs from the one in `seeds`."""
    relay_address: Address | None = None
    """Where other entry hosts that reach no endpoint send their requests; without it
    this host relays none."""
    http_threads: Annotated[int, Field(ge=8, le=1000)] = 112
    """Requests served at a time, each in a thread."""
    reserved_threads: Annotated[int, Field(ge=1)] = 16
    """How many of `http_threads` only refuse requests when all others are in use."""
    maximum_connections: Annotated[int, Field(ge=16)] = 2000
    """Largest number of open HTTP connections; further ones wait."""
    stop_limit_ms: Annotated[int, Field(ge=100)] = 8000
    """How long a stop may take before the process is killed."""
    retry_ratio: Annotated[float, Field(ge=0)] = 0.2
    """Retries per request of a service, over all hosts."""
    retry_window_ms: Annotated[int, Field(ge=100)] = 10_000
    """Time window in which retries are counted."""
    retry_allowance: Annotated[float, Field(ge=0)] = 50.0
    """Retries allowed in the window in addition to the ratio, over all hosts."""
    second_send_share: Annotated[float, Field(ge=0, le=1)] = 0.0
    """Second sends of slow requests per request of a service, over all hosts: a part
    of `retry_ratio`, which retries may use as far as they leave it. 0 for none."""
    second_send_percentile: Annotated[float, Field(ge=50, lt=100)] = 95.0
    """Percentage of a route's recent answers that came sooner than a second send."""
    second_send_floor_ms: Annotated[int, Field(ge=1)] = 20
    """Shortest wait for an answer before a second send."""
    limit_window_ms: Annotated[int, Field(ge=100)] = 8000
    """Time window in which an account's limit holds, over all hosts."""
    limit_overage: Annotated[float, Field(ge=0)] = 0.1
    """Share of the limit by which it may be exceeded in such a window."""
    limit_slack: Annotated[float, Field(ge=0)] = 0.0
    """Further amount by which it may be exceeded, in the limit's unit."""
    endpoint_silence_ms: Annotated[int, Field(ge=100)] = 10_000
    """Silence after which an endpoint is only used if there is no other one."""
    policy: Name = "least-cost"
    """`least-cost`; `expected-time`, which also measures answer times of plain
    endpoints; or a baseline for comparisons."""
    asks_leader: bool = True
    """Whether the leading control host is asked for grants of engines."""
    reads_prompts_apart: bool = True
    """Whether prefill engines prefill prompts; otherwise decode engines do it."""
    memory_margin: Annotated[float, Field(ge=-1, le=1)] = 0.05
    """Share of an engine's memory that the forecast leaves free; see docs/design."""
    memory_caution: Annotated[float, Field(ge=0, le=5)] = 1.5
    """Safety margin: standard deviations above its mean at which the forecast of
    memory use must still fit."""
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    """The table [telemetry], see below."""

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Peer addresses of the seeds."""
        return seed_addresses(self.seeds, self.seed_port)


def load_forward_settings(
    path: Path,
) -> Result[ForwardSettings, tuple[SettingsProblem, ...]]:
    """Read the settings of a forwarding host, or return all problems."""
    loaded = read_toml_as(ForwardSettings, path)
    if isinstance(loaded, Failure):
        return loaded
    settings = loaded.unwrap()
    if settings.second_send_share <= settings.retry_ratio:
        return loaded
    message = f"Second sends are a part of retry_ratio, {settings.retry_ratio}."
    remedy = "Lower second_send_share to that, or raise retry_ratio."
    return Failure((_problem(path, "second_send_share", message, remedy),))


def load_entry_settings(
    path: Path,
) -> Result[EntrySettings, tuple[SettingsProblem, ...]]:
    """Read the settings of an entry host, or return all problems."""
    return read_toml_as(EntrySettings, path)


def load_control_settings(
    path: Path,
) -> Result[ControlSettings, tuple[SettingsProblem, ...]]:
    """Read the settings of a control host, or return all problems."""
    return read_toml_as(ControlSettings, path)


def read_toml_as(
    kind: type[T], path: Path, text: str | None = None
) -> Result[T, tuple[SettingsProblem, ...]]:
    """Read a TOML file, or the given text instead, into a validated data class."""
    try:
        content = path.read_text() if text is None else text
        values = tomllib.loads(content)
    except OSError as error:
        reason = error.strerror or "not readable"
        return Failure((_problem(path, "-", reason, "Give the path of the file."),))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        remedy = "Correct the TOML syntax."
        return Failure((_problem(path, "-", f"{error}.", remedy),))
    try:
        return Success(TypeAdapter(kind).validate_python(values))
    except ValidationError as error:
        return Failure(tuple(_explain(kind, path, item) for item in error.errors()))


def _problem(path: Path, key: str, message: str, remedy: str) -> SettingsProblem:
    return SettingsProblem(str(path), key, message, remedy)


def _explain(kind: type, path: Path, item: Any) -> SettingsProblem:
    location = item["loc"]
    key = _key_path(location)
    if item["type"] == "unexpected_keyword_argument":
        return _explain_unknown_key(kind, path, location)
    if item["type"] == "missing":
        remedy = "Add the key; docs/reference/settings.md describes it."
        return _problem(path, key, "This key is required.", remedy)
    remedy = f"The value is {item['input']!r}; change it to a valid one."
    if "secret" in key:
        remedy = "Change the value to a valid one."
    return _problem(path, key, f"{item['msg']}.", remedy)


def _explain_unknown_key(
    kind: type, path: Path, location: tuple[str | int, ...]
) -> SettingsProblem:
    known = known_keys(kind, location[:-1])
    closest = difflib.get_close_matches(str(location[-1]), known, n=1, cutoff=0.0)
    remedy = f"Did you mean {closest[0]!r}?" if closest else "Remove the key."
    return _problem(path, _key_path(location), "There is no such key.", remedy)


def known_keys(kind: Any, location: tuple[str | int, ...]) -> list[str]:
    """Return the valid keys of the table at this location in the file."""
    table = _data_class_in(kind)
    for part in location:
        if isinstance(part, int):
            continue
        table = _data_class_in(get_type_hints(table).get(part))
    if not hasattr(table, "__dataclass_fields__"):
        return []
    return [item.name for item in dataclass_fields(table)]


def _data_class_in(kind: Any) -> Any:
    """Return the data class in `tuple[X, ...]`, `X | None` or `Annotated`."""
    while not hasattr(kind, "__dataclass_fields__"):
        inner = [item for item in get_args(kind) if item not in (Ellipsis, type(None))]
        if not inner:
            return kind
        kind = inner[0]
    return kind


def _key_path(location: tuple[str | int, ...]) -> str:
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in location]
    return "".join(parts).lstrip(".") or "-"
