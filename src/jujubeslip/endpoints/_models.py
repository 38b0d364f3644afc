"""Data classes for what endpoints are told and what they answer."""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.peers import EndpointRole


@dataclass(frozen=True)
class RequestRef:
    """One attempt of one request, and the entry process that it is held for."""

    request_id: str
    attempt: int
    owner: str


@dataclass(frozen=True)
class PrefillResult:
    """A computed prompt; `kv_id` names its KV cache at the prefill endpoint."""

    kv_id: str
    prompt_tokens: int
    cached_tokens: int
    computed_tokens: int


@dataclass(frozen=True)
class HeldItem:
    """Something an engine holds in memory for an attempt; `age_ms` is the engine's."""

    request_id: str
    attempt: int
    owner: str
    phase: str
    tokens: int
    age_ms: int


@dataclass(frozen=True)
class EndpointStatus:
    """An endpoint's own account of itself; the load is as old as it says."""

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
    """A prompt prefix that an engine stored or evicted; late, and some are lost."""

    number: int
    stored: bool
    prefix_hash: str
    tokens: int


@dataclass(frozen=True)
class PlainAnswer:
    """A plain service's answer, passed on as it is."""

    status: int
    content_type: str
    body: bytes
