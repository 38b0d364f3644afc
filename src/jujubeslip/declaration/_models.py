"""Data classes of the declaration that operators keep in version control."""

from __future__ import annotations

import enum
from dataclasses import field
from functools import cached_property
from pathlib import Path
from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass
from returns.result import Result

from jujubeslip.kernel._settings import STRICT, Name, SettingsProblem, read_toml_as

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
    """How far apart the endpoints of a pool, or of one request's choice, may be."""

    ZONE = "zone"
    REGION = "region"


@dataclass(frozen=True, config=STRICT)
class Service:
    """A service that clients call; times in milliseconds."""

    name: Name
    kind: ServiceKind = ServiceKind.MODEL
    model: str = ""
    adapter: str = ""
    maximum_duration_ms: Milliseconds = 120_000
    maximum_prompt_tokens: Tokens = 100_000
    maximum_output_tokens: Tokens = 8_192
    retry_budget_share: Annotated[float, Field(ge=0.0, le=1.0)] = 0.1
    path: str = "/"
    pooling: Spread = Spread.REGION


@dataclass(frozen=True, config=STRICT)
class Condition:
    """When a rule holds: every key that is given must fit the request."""

    service: str | None = None
    model: str | None = None
    adapter: str | None = None
    client: str | None = None
    priority: PriorityClass | None = None
    prompt_tokens_min: int | None = None
    prompt_tokens_max: int | None = None
    repeatable: bool | None = None
    queue_wait_ms_min: int | None = None
    load_min: float | None = None
    availability_zone: str | None = None


@dataclass(frozen=True, config=STRICT)
class Action:
    """What a rule does with a request that it matches; times in milliseconds."""

    priority: PriorityClass = PriorityClass.STANDARD
    first_token_ms: Milliseconds = 30_000
    between_tokens_ms: Milliseconds = 1_000
    wait_ms: Milliseconds = 30_000
    refuse: str = ""
    pool: str = ""
    spread: Spread = Spread.REGION


@dataclass(frozen=True, config=STRICT)
class Rule:
    """When this holds, then do that; the first rule that matches decides."""

    name: Name
    when: Condition = field(default_factory=Condition)
    then: Action = field(default_factory=Action)


@dataclass(frozen=True, config=STRICT)
class Client:
    """A client account; keys are kept as SHA-256 hashes in hexadecimal."""

    name: Name
    key_sha256: tuple[KeyHash, ...]
    requests_per_second: Annotated[float, Field(gt=0)] | None = None
    tokens_per_second: Annotated[float, Field(gt=0)] | None = None


@dataclass(frozen=True, config=STRICT)
class Placement:
    """How many engines of each role a service wants in each availability zone."""

    service: str
    model: str
    prefill: dict[str, int] = field(default_factory=dict)
    decode: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, config=STRICT)
class Declaration:
    """Everything that operators declare; in force everywhere at one revision."""

    service: tuple[Service, ...] = ()
    rule: tuple[Rule, ...] = ()
    client: tuple[Client, ...] = ()
    placement: tuple[Placement, ...] = ()
    weight_loads_at_once: Annotated[int, Field(ge=1)] = 1

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
    """Read a declaration from TOML text, or say everything that is wrong."""
    return read_toml_as(Declaration, Path(source), text)
