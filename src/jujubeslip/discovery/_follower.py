"""Follows what every control host knows, one task for each of them."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jujubeslip.discovery._book import EndpointBook
from jujubeslip.discovery._records import usable_endpoints, usable_removals
from jujubeslip.kernel import (
    Deadline,
    PeerUnavailableError,
    Process,
    steady_seconds,
)
from jujubeslip.peers import (
    ControlPeer,
    PeerClient,
    PeerIdentity,
    PeerRefusal,
    ServicePressure,
    WatchReply,
    WatchRequest,
)
from jujubeslip.quarantine import CrashRegistry, to_crash_record, usable_histories

logger = logging.getLogger(__name__)

# How long a control host lets a watch wait when there are no news, in milliseconds.
# Endpoints renew about once a second; a shorter wait would only ask more often.
WAIT_MS = 700
# How much longer than that an answer may take, in seconds. It is then taken for a
# connection that went silent, and asked again over a fresh one.
ANSWER_SECONDS = 0.5
# Between two tries to reach a control host that doesn't answer, in seconds.
RETRY_SECONDS = 0.3
MAXIMUM_RETRY_SECONDS = 1.2
# A control host that no other one names and that has not answered for this long is
# asked no more, in seconds: a replaced host never comes back at its address.
FORGOTTEN_SECONDS = 60.0


@dataclass(frozen=True)
class News:
    """What one answer of a control host said beside its endpoints."""

    address: str
    configuration_version: int
    entry_hosts: int
    """How many entry hosts ask it; it knows no other way to count them."""
    leader_address: str = ""
    """Peer address of the control host that leads, empty while none is known."""
    leader_term: int = 0
    """The term in which it leads, 0 where that was not told."""


@dataclass(frozen=True)
class Known:
    """What one control host has told so far."""

    book_id: int = 0
    book_version: int = 0
    configuration_version: int = 0
    crash_version: int = 0
    leader_address: str = ""
    leader_term: int = 0


class ControlFollowers:
    """Keeps a book up to date from all control hosts that are known.

    Each host is asked, not only one: an endpoint announces itself to any of them, also
    behind a cut, and the host that acknowledged a leaving endpoint tells of it at once.
    """

    def __init__(
        self,
        process: Process,
        identity: PeerIdentity,
        book: EndpointBook,
        on_news: Callable[[News], None],
        own_address: str = "",
        is_entry_host: bool = False,
        pressures: Callable[[], list[ServicePressure]] = list,
        crash_registry: CrashRegistry | None = None,
    ) -> None:
        self._crash_registry = crash_registry or CrashRegistry()
        self._process = process
        self._identity = identity
        self._book = book
        self._on_news = on_news
        self._own_address = own_address
        self._is_entry_host = is_entry_host
        self._pressures = pressures
        self._follower_by_address: dict[str, _Follower] = {}
        self._lock = threading.Lock()

    def addresses(self) -> list[str]:
        """Return the peer addresses of the control hosts that are followed."""
        with self._lock:
            return list(self._follower_by_address)

    def learn(self, addresses: Iterable[str]) -> None:
        """Follow the control hosts at these peer addresses, too."""
        for address in addresses:
            if address == self._own_address:
                continue
            with self._lock:
                follower = self._follower_by_address.get(address)
                if follower is None:
                    follower = _Follower(self, address)
                    self._follower_by_address[address] = follower
                    self._process.start_task(follower.run)
            follower.note_named()

    def reaches(self, address: str) -> bool:
        """Say whether the control host at this address answered when last asked."""
        with self._lock:
            follower = self._follower_by_address.get(address)
        return follower is not None and follower.reachable

    def count_reachable(self) -> int:
        """Return how many control hosts answered when last asked."""
        with self._lock:
            followers = list(self._follower_by_address.values())
        return sum(follower.reachable for follower in followers)

    # For the followers.

    @property
    def stopped(self) -> threading.Event:
        """Return the event that ends all tasks."""
        return self._process.stopped

    def client_of(self, address: str) -> PeerClient:
        """Return a client of the control host at this address."""
        return PeerClient(ControlPeer.Client, address, self._identity)

    def request(
        self, known: Known, told_crash_version: int
    ) -> tuple[WatchRequest, int]:
        """Return what to ask next, and the version of the crash book that it tells."""
        watcher_id = f"{self._identity.host_id}/{self._identity.incarnation}"
        crash_version, crashes = self._crash_registry.changes_since(told_crash_version)
        request = WatchRequest(
            known.book_id,
            known.book_version,
            WAIT_MS,
            self._is_entry_host,
            watcher_id,
            known.configuration_version,
            self._pressures(),
            known.crash_version,
            [to_crash_record(history) for history in crashes],
            known.leader_address,
            known.leader_term,
        )
        return request, crash_version

    def take(self, address: str, reply: WatchReply) -> None:
        """Take over an answer."""
        self._book.take(list(usable_endpoints(address, reply.endpoints or ())))
        self._book.take_removals(usable_removals(address, reply.removals or ()))
        self._crash_registry.take(usable_histories(address, reply.crashes or ()))
        self.learn(reply.control_addresses or ())
        news = News(
            address,
            reply.configuration_version or 0,
            reply.entry_hosts or 0,
            reply.leader_address or "",
            reply.leader_term or 0,
        )
        self._on_news(news)

    def forget(self, address: str) -> None:
        """Ask the host at this address no more."""
        with self._lock:
            self._follower_by_address.pop(address, None)


class _Follower:
    """Asks one control host, again and again."""

    def __init__(self, owner: ControlFollowers, address: str) -> None:
        self._owner = owner
        self._address = address
        self._client = owner.client_of(address)
        self._known = Known()
        self._told_crash_version = 0
        """Of the own crash book, as far as this start of the control host has it."""
        self._retry_seconds = RETRY_SECONDS
        self.reachable = False
        self._named_at = steady_seconds()
        self.answered_at = float("-inf")

    def note_named(self) -> None:
        """Note that the host is still named by a seed or another control host."""
        self._named_at = steady_seconds()

    def run(self) -> None:
        """Run until the process stops or the host is forgotten."""
        while not self._owner.stopped.is_set():
            if self._is_forgotten():
                self._owner.forget(self._address)
                logger.info("control host forgotten", extra={"address": self._address})
                return
            self._ask()

    def _is_forgotten(self) -> bool:
        latest = max(self._named_at, self.answered_at)
        return steady_seconds() - latest > FORGOTTEN_SECONDS

    def _ask(self) -> None:
        request, crash_version = self._owner.request(
            self._known, self._told_crash_version
        )
        timeout = WAIT_MS / 1000 + ANSWER_SECONDS
        started = Deadline.after(0)
        try:
            reply = self._client.call(lambda peer: peer.watch(request), timeout)
        except (PeerUnavailableError, PeerRefusal) as error:
            self._note_lost(error)
            self._owner.stopped.wait(self._retry_seconds)
            self._retry_seconds = min(self._retry_seconds * 2, MAXIMUM_RETRY_SECONDS)
            return
        self._note_answered(started.instant)
        self._owner.take(self._address, reply)
        is_same_start = reply.book_id == self._known.book_id
        self._told_crash_version = crash_version if is_same_start else 0
        self._known = Known(
            reply.book_id or 0,
            reply.version or 0,
            reply.configuration_version or 0,
            reply.crash_version or 0,
            reply.leader_address or "",
            reply.leader_term or 0,
        )

    def _note_answered(self, asked_at: float) -> None:
        if not self.reachable:
            logger.info("control host answers", extra={"address": self._address})
        self.reachable = True
        self._retry_seconds = RETRY_SECONDS
        self.answered_at = asked_at

    def _note_lost(self, error: Exception) -> None:
        if self.reachable:
            extra = {"address": self._address, "error": str(error)}
            logger.warning("control host lost", extra=extra)
        self.reachable = False
