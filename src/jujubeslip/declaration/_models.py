"""Data classes of the declaration that operators keep in version control."""

from __future__ import annotations

import enum
from dataclasses import field, fields
from functools import cached_property
from pathlib import Path
from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass
from returns.result import Result

from jujubeslip.kernel import STRICT, Name, SettingsProblem, read_toml_as

Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]
Tokens = Annotated[int, Field(ge=1, le=10_000_000)]
KeyHash = Annotated[str, Field(pattern="^[0-9a-f]{64}$")]


class ServiceKind(enum.Enum):
    """Whether a service is served by model engines or by a plain HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


class PriorityClass(enum.Enum):
    """The order in which waiting requests are served, urgent ones first."""

    URGENT = "urgent"
    STANDARD = "standard"
    BULK = "bulk"

    @property
    def rank(self) -> int:
        """Return the place in the order of service; 0 is served first."""
        return _RANK_BY_CLASS[self]


_RANK_BY_CLASS = {
    PriorityClass.URGENT: 0,
    PriorityClass.STANDARD: 1,
    PriorityClass.BULK: 2,
}


class Spread(enum.Enum):
    """Where the endpoints of a pool, or the candidates for a request, may be."""

    ZONE = "zone"
    REGION = "region"


@dataclass(frozen=True, config=STRICT)
class Service:
    """A service that clients call; times in milliseconds."""

    name: Name
    """Name that clients call it by."""
    kind: ServiceKind = ServiceKind.MODEL
    """`model` for prefill and decode engines, `plain` for an HTTP service."""
    model: str = ""
    """Model that its engines hold; required for kind `model`."""
    adapter: str = ""
    """Adapter for requests that name none."""
    maximum_duration_ms: Milliseconds = 120_000
    """Longest time from a request to the end of its answer."""
    maximum_prompt_tokens: Tokens = 100_000
    """Longest prompt; a longer one is refused."""
    maximum_output_tokens: Tokens = 8_192
    """Largest `max_tokens` that a request may ask for."""
    retry_budget_share: Annotated[float, Field(ge=0.0, le=1.0)] = 0.1
    """Retries, as a share of the service's requests."""
    path: str = "/"
    """Path of a plain service."""
    pooling: Spread = Spread.REGION
    """Whether a zone's endpoints, or a region's, have one home and one queue."""


@dataclass(frozen=True, config=STRICT)
class Condition:
    """When a rule matches: every key that is given must match the request."""

    service: str | None = None
    """Service that the request names."""
    model: str | None = None
    """Model that the request is for."""
    adapter: str | None = None
    """Adapter that the request is for."""
    client: str | None = None
    """Client account that sends the request."""
    priority: PriorityClass | None = None
    """Priority class that the request asks for."""
    prompt_tokens_min: int | None = None
    """Shortest prompt that matches, in tokens."""
    prompt_tokens_max: int | None = None
    """Longest prompt that matches, in tokens."""
    repeatable: bool | None = None
    """Whether the request may be run more than once."""
    queue_wait_ms_min: int | None = None
    """Smallest forecast wait in the service's queue."""
    load_min: float | None = None
    """Smallest share of the service's decode slots in use."""
    availability_zone: str | None = None
    """Availability zone of the entry host that received the request."""

    @cached_property
    def wanted_by_key(self) -> dict[str, object]:
        """Return the keys that are given, with the value that each requires."""
        values = {item.name: getattr(self, item.name) for item in fields(self)}
        return {key: value for key, value in values.items() if value is not None}


@dataclass(frozen=True, config=STRICT)
class Action:
    """What a rule does with a matching request; times in milliseconds."""

    priority: PriorityClass = PriorityClass.STANDARD
    """Priority class that the request is served in."""
    first_token_ms: Milliseconds = 30_000
    """Target for the first token; refused at once if it can't be met."""
    between_tokens_ms: Milliseconds = 1_000
    """Target between tokens."""
    wait_ms: Milliseconds = 30_000
    """Longest wait for an endpoint."""
    refuse: str = ""
    """Reason to refuse with; the other keys then have no effect."""
    pool: str = ""
    """Service whose endpoints serve it in place of its own; has no effect yet."""
    spread: Spread = Spread.REGION
    """Whether endpoints of the whole region may serve it, or its zone's."""


@dataclass(frozen=True, config=STRICT)
class Rule:
    """A condition with its action; the first rule that matches applies."""

    name: Name
    """Name that is reported in answers, logs and metrics."""
    when: Condition = field(default_factory=Condition)
    """Condition; a rule without one matches every request."""
    then: Action = field(default_factory=Action)
    """Action for matching requests."""


@dataclass(frozen=True, config=STRICT)
class Client:
    """A client account; its keys are given as SHA-256 hashes in hexadecimal."""

    name: Name
    """Name of the client account."""
    key_sha256: tuple[KeyHash, ...]
    """SHA-256 of each of its keys, in hexadecimal."""
    requests_per_second: Annotated[float, Field(gt=0)] | None = None
    """Limit of requests, over all entry hosts."""
    tokens_per_second: Annotated[float, Field(gt=0)] | None = None
    """Limit of prompt tokens and requested output tokens, over all entry hosts."""


@dataclass(frozen=True, config=STRICT)
class Placement:
    """How many engines of each role a service should have in each availability zone."""

    service: str
    """Service that the engines serve."""
    model: str
    """Model that they hold."""
    prefill: dict[str, int] = field(default_factory=dict)
    """Prefill engines by availability zone."""
    decode: dict[str, int] = field(default_factory=dict)
    """Decode engines by availability zone."""


@dataclass(frozen=True, config=STRICT)
class Declaration:
    """Everything that operators declare; all hosts apply the same revision."""

    service: tuple[Service, ...] = ()
    """The services."""
    rule: tuple[Rule, ...] = ()
    """The rules, in order."""
    client: tuple[Client, ...] = ()
    """The client accounts."""
    placement: tuple[Placement, ...] = ()
    """Wanted placements of engines; validated, but without effect yet."""
    weight_loads_at_once: Annotated[int, Field(ge=1)] = 1
    """Engines that load weights from the store at a time; has no effect yet."""

    @cached_property
    def service_by_name(self) -> dict[str, Service]:
        """Return the services by name."""
        return {service.name: service for service in self.service}

    @cached_property
    def client_by_key_hash(self) -> dict[str, Client]:
        """Return the client accounts by the hash of each of their keys."""
        return {key: client for client in self.client for key in client.key_sha256}


def parse_declaration(
    text: str, source: str = "declaration"
) -> Result[Declaration, tuple[SettingsProblem, ...]]:
    """Read a declaration from TOML text, or return all its problems."""
    return read_toml_as(Declaration, Path(source), text)
