"""Data classes of a client's request."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from jujubeslip.declaration import Action, Client, PriorityClass, Service
from jujubeslip.kernel import Deadline

# The shortest prefix that is hashed, in tokens; each further one is twice as long.
PREFIX_BLOCK_TOKENS = 64


@dataclass(frozen=True)
class ClientRequest:
    """A validated request of a client; plain services get its `body`."""

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
        """Return the prompt's length in tokens, counting each word as one token."""
        return len(self.prompt.split())

    @cached_property
    def prefix_hashes(self) -> tuple[str, ...]:
        """Return the hashes by which engines identify the prompt's prefixes."""
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
        """Return a digest that distinguishes a resend from another request."""
        digest = hashlib.sha256(self.body)
        digest.update(self.service.name.encode())
        return digest.hexdigest()


@dataclass(frozen=True)
class RequestContext:
    """A request with the action of its rule; deadlines use this process's clock.

    `interrupted` returns whether the client disconnected or an operator abandoned the
    request; `abandoned` returns whether an operator abandoned it.
    """

    request: ClientRequest
    rule_name: str
    action: Action
    first_token_by: Deadline
    wait_until: Deadline
    end_by: Deadline
    interrupted: Callable[[], bool]
    abandoned: Callable[[], bool] = lambda: False
