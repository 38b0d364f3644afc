"""Clients that record their answers, and a consistency check of the record."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass, field

from jujubeslip.control import ControlClient
from jujubeslip.kernel import Deadline, PeerUnavailableError
from jujubeslip.peers import (
    ApplyReply,
    ApplyRequest,
    KeyReply,
    KeyStatus,
    PeerRefusal,
)
from tests.control.cluster import make_claim

TRY_SECONDS = 3.0
KEYS = 40
PAUSE_SECONDS = 0.01
# Below the number of changes that control hosts remember, since a resend of a forgotten
# change would count as a new one.
RESENDS = 9000
KEPT_REVISIONS = 900


@dataclass(frozen=True)
class AnsweredChange:
    """A change and its answer; times are monotonic timestamps in seconds."""

    request: ApplyRequest
    reply: ApplyReply
    answered_at: float


@dataclass(frozen=True)
class AnsweredClaim:
    """A claim and its answer."""

    key: str
    request_id: str
    reply: KeyReply


@dataclass(frozen=True)
class AnsweredRead:
    """A read at the leader and when it began."""

    begun_at: float
    revision: int
    change_id: str


@dataclass
class History:
    """All answers that the clients received."""

    changes: list[AnsweredChange] = field(default_factory=list)
    claims: list[AnsweredClaim] = field(default_factory=list)
    reads: list[AnsweredRead] = field(default_factory=list)
    unanswered: int = 0
    stop: threading.Event = field(default_factory=threading.Event)

    def run_operator(self, client: ControlClient, name: str, seed: int) -> None:
        """Apply changes, some based on an old revision; resend until answered."""
        rng = random.Random(seed)
        base = 0
        number = 0
        while not self.stop.wait(PAUSE_SECONDS):
            number += 1
            change_id = f"{name}-{number}"
            declaration = f"# {change_id}"
            request = ApplyRequest(change_id, base, declaration, name)
            reply = self._apply_until_answered(client, request)
            if reply is None:
                continue
            base = reply.revision if rng.random() < 0.9 else max(0, base - 1)

    def run_claimer(self, client: ControlClient, name: str, seed: int) -> None:
        """Claim keys that other claimers claim as well."""
        rng = random.Random(seed)
        number = 0
        while not self.stop.wait(PAUSE_SECONDS):
            number += 1
            key = f"key-{rng.randrange(KEYS)}-{int(time.monotonic())}"
            request_id = f"{name}-{number}"
            claim = make_claim(key, request_id)
            try:
                reply = client.claim_key(claim, Deadline.after(TRY_SECONDS))
            except (PeerUnavailableError, PeerRefusal):
                self.unanswered += 1
                continue
            self.claims.append(AnsweredClaim(key, request_id, reply))

    def run_reader(self, client: ControlClient) -> None:
        """Read the configuration at the leader."""
        while not self.stop.wait(PAUSE_SECONDS):
            begun_at = time.monotonic()
            try:
                found = client.get_configuration(-1, 0)
            except (PeerUnavailableError, PeerRefusal):
                self.unanswered += 1
                continue
            self.reads.append(AnsweredRead(begun_at, found.revision, found.change_id))

    def _apply_until_answered(
        self, client: ControlClient, request: ApplyRequest
    ) -> ApplyReply | None:
        while not self.stop.is_set():
            try:
                reply = client.apply_configuration(request, Deadline.after(TRY_SECONDS))
            except (PeerUnavailableError, PeerRefusal):
                self.unanswered += 1
                continue
            self.changes.append(AnsweredChange(request, reply, time.monotonic()))
            return reply
        return None


def check_history(history: History, client: ControlClient) -> None:
    """Raise AssertionError if an answer was reverted or contradicts another."""
    winner_by_revision = _check_winners(history)
    _check_reads(history, winner_by_revision)
    _check_resends(history, client)
    _check_claims(history, client)


def _check_winners(history: History) -> dict[int, str]:
    winner_by_revision: dict[int, str] = {}
    for change in history.changes:
        if change.reply.accepted:
            revision = change.reply.revision
            assert change.request.base_revision == revision - 1
            assert revision not in winner_by_revision, f"two winners of {revision}"
            winner_by_revision[revision] = change.request.change_id
    for change in history.changes:
        if not change.reply.accepted:
            winner = winner_by_revision.get(change.reply.revision)
            assert winner in (None, change.reply.winner_change_id), change
    return winner_by_revision


def _check_reads(history: History, winner_by_revision: dict[int, str]) -> None:
    answered = sorted(
        (change.answered_at, change.reply.revision) for change in history.changes
    )
    for read in history.reads:
        winner = winner_by_revision.get(read.revision)
        assert winner in (None, read.change_id), f"another configuration: {read}"
    newest, position = 0, 0
    for read in sorted(history.reads, key=lambda item: item.begun_at):
        while position < len(answered) and answered[position][0] < read.begun_at:
            newest = max(newest, answered[position][1])
            position += 1
        assert read.revision >= newest, f"stale read: {read}, {newest} was answered"


def _check_resends(history: History, client: ControlClient) -> None:
    """Expect a resend to get the first answer again.

    For old revisions the answer no longer includes the accepted declaration.
    """
    newest = client.get_configuration(-1, 0).revision
    for change in history.changes[-RESENDS:]:
        again = client.apply_configuration(change.request, Deadline.after(20.0))
        if change.reply.revision > newest - KEPT_REVISIONS:
            assert again == change.reply, f"lost or reverted: {change}, now {again}"
        outcome = (again.accepted, again.revision)
        assert outcome == (change.reply.accepted, change.reply.revision), change


def _check_claims(history: History, client: ControlClient) -> None:
    holder_by_key: dict[str, str] = {}
    for claimed in history.claims:
        if claimed.reply.status == KeyStatus.FIRST:
            assert claimed.key not in holder_by_key, f"double claim: {claimed}"
            holder_by_key[claimed.key] = claimed.request_id
    for claimed in history.claims:
        holder = holder_by_key.get(claimed.key)
        assert holder in (None, claimed.reply.request_id), f"{claimed}, not {holder}"
    for key, holder in holder_by_key.items():
        reply = client.claim_key(make_claim(key, "checker"), Deadline.after(20.0))
        assert reply.status == KeyStatus.RUNNING
        assert reply.request_id == holder, f"lost claim of {key} by {holder}"
