"""Data classes of a client's request."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from jujubeslip.declaration import Action, Client, PriorityClass, Service
from jujubeslip.kernel import Deadline

# Prefixes are compared at these multiples of tokens, doubled each time.
PREFIX_BLOCK_TOKENS = 64


@dataclass(frozen=True)
class ClientRequest:
    """A request as the client sent it, validated; `body` is for plain services."""

    request_id: str
    client: Client
    service: Service
    model: str
    adapter: str
    priority: PriorityClass
    prompt: str
    max_tokens: int
    repeatable: bool
    stream: bool
    idempotency_key: str
    body: bytes

    @cached_property
    def prompt_tokens(self) -> int:
        """Return the prompt's length in tokens, a token being a word."""
        return len(self.prompt.split())

    @cached_property
    def prefix_hashes(self) -> tuple[str, ...]:
        """Return the hashes by which engines name the prompt's prefixes."""
        words = self.prompt.split()
        hashes = []
        size = PREFIX_BLOCK_TOKENS
        while size <= len(words):
            digest = hashlib.sha256(" ".join(words[:size]).encode())
            hashes.append(digest.hexdigest()[:16])
            size *= 2
        return tuple(hashes)

    @cached_property
    def fingerprint(self) -> str:
        """Return a digest of what is asked, to tell a resend from another request."""
        digest = hashlib.sha256(self.body)
        digest.update(self.service.name.encode())
        return digest.hexdigest()


@dataclass(frozen=True)
class RequestContext:
    """A request with what its rule decided; deadlines are instants of this process.

    `interrupted` says that nobody waits for the answer any more, or that an operator
    abandoned the request; `abandoned` only the latter.
    """

    request: ClientRequest
    rule_name: str
    action: Action
    first_token_by: Deadline
    wait_until: Deadline
    end_by: Deadline
    interrupted: Callable[[], bool]
    abandoned: Callable[[], bool] = lambda: False
