"""A request that waits for a grant, and the decision about it."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

from jujubeslip.admission._account_shares import AccountPart
from jujubeslip.admission._capacity_search import CapacitySearch
from jujubeslip.admission._grant_counts import GrantedMeanwhile
from jujubeslip.admission._models import Grant, GrantRequest, MissingResource
from jujubeslip.admission._priority_order import LOWEST_PRIORITY
from jujubeslip.admission._waiting_queue import QueueEntry


@dataclass(frozen=True)
class Decision:
    """The outcome for a request: a grant, a refusal, or neither (it asks again)."""

    grant: Grant | None
    refused: bool
    forecast: float
    """Expected wait at the time when the request arrived, in seconds."""
    missing_resource: MissingResource | None = None
    """What the request lacked, if it is refused."""
    waited: float = 0.0
    """For how long the request has waited, in seconds."""
    granted_meanwhile: GrantedMeanwhile | None = None
    """The grants of other requests during that time, None before a decision."""
    account_part: AccountPart | None = None
    """What its account holds, None if that is not above the account's part."""


@dataclass
class WaitingRequest:
    grant_request: GrantRequest
    search: CapacitySearch
    since: float
    last_asked_at: float
    forecast: float
    is_unservable: bool
    """Whether it certainly gets no grant before its limit."""
    granted_before: dict[int, int] = field(default_factory=dict)
    """The number of grants before it arrived, by priority."""
    decision: Decision | None = None
    decided: threading.Event = field(default_factory=threading.Event)
    open_calls: int = 0
    """Number of calls that currently wait for this request's decision."""

    @property
    def entry(self) -> QueueEntry:
        return entry_of(self.grant_request)

    @property
    def prompt_tokens(self) -> int:
        return self.grant_request.prompt_tokens

    @property
    def accepts_any_engine(self) -> bool:
        """Return whether the request may run on any engine, like most others.

        A request that avoids some engines, or needs a decode engine that also prefills
        its prompt, may wait for seconds while there is capacity for all others.
        """
        return not self.search.avoided and not self.grant_request.reads_itself

    def blocks_others(self, now: float, bypass_seconds: float) -> bool:
        """Return whether freed capacity may go to no other request before this one."""
        return self.accepts_any_engine and now - self.since >= bypass_seconds


def entry_of(grant_request: GrantRequest) -> QueueEntry:
    """Return the entry of a request in the queue."""
    return QueueEntry(
        grant_request.target_by.timestamp,
        grant_request.request_id,
        min(LOWEST_PRIORITY, grant_request.priority),
        grant_request.expected_tokens,
        grant_request.sharing_account,
    )
