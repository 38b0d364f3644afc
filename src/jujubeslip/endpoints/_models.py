"""Data classes of requests to endpoints and their answers."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.peers import EndpointRole


@dataclass(frozen=True)
class RequestRef:
    """One attempt of a request, and the entry process that owns it."""

    request_id: str
    attempt: int
    owner: str


@dataclass(frozen=True)
class PrefillResult:
    """A prefilled prompt; `kv_id` names its KV cache at the prefill engine."""

    kv_id: str
    prompt_tokens: int
    cached_tokens: int
    computed_tokens: int


@dataclass(frozen=True)
class HeldItem:
    """What an engine holds in memory for an attempt; the engine measures `age_ms`."""

    request_id: str
    attempt: int
    owner: str
    phase: str
    tokens: int
    age_ms: int


@dataclass(frozen=True)
class EndpointStatus:
    """The status that an endpoint reports, with the load as of that report."""

    endpoint_id: str
    incarnation: int
    role: EndpointRole
    leaving: bool
    slots: int
    held: tuple[HeldItem, ...]
    queued: int
    running: int


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix that an engine stored or evicted; may be late or missing."""

    number: int
    stored: bool
    prefix_hash: str
    tokens: int


@dataclass(frozen=True)
class PlainAnswer:
    """A plain service's answer, forwarded unchanged."""

    status: int
    content_type: str
    body: bytes
