"""Keeps a registry current by watching every control host, one task for each."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jujubeslip.discovery._models import RelayHost
from jujubeslip.discovery._records import (
    usable_endpoints,
    usable_relays,
    usable_removals,
)
from jujubeslip.discovery._registry import EndpointRegistry
from jujubeslip.discovery._slow_endpoint_records import (
    to_answer_times_record,
    usable_slow_endpoints,
)
from jujubeslip.discovery._slow_endpoints import AnswerReport, SlowEndpoint
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
    RelayRecord,
    ServicePressure,
    WatchReply,
    WatchRequest,
)
from jujubeslip.quarantine import CrashRegistry, to_crash_record, usable_histories

logger = logging.getLogger(__name__)

# How long a control host holds a watch request open without changes, in milliseconds.
# Endpoints renew about once a second; a shorter wait would only send more requests.
WAIT_MS = 700
# How much longer than that a reply may take, in seconds. After that the connection is
# considered dead, and the request is sent again over a new one.
REPLY_MARGIN_SECONDS = 0.5
# Initial and maximum delay between attempts to reach a control host, in seconds.
RETRY_SECONDS = 0.3
MAXIMUM_RETRY_SECONDS = 1.2
# How often a waiting attempt checks whether it is to be made at once, in seconds.
RETRY_CHECK_SECONDS = 0.05
# A control host that no other host lists and that has not replied for this long is no
# longer watched, in seconds: a replaced host never returns to its address.
DROP_AFTER_SECONDS = 60.0


@dataclass(frozen=True)
class ControlUpdate:
    """The contents of one watch reply of a control host other than its endpoints."""

    address: str
    configuration_version: int
    entry_hosts: int
    """Number of entry hosts that watch it; it has no other way to count them."""
    leader_address: str = ""
    """Peer address of the leader, empty while none is known."""
    leader_term: int = 0
    """Term of the leader, 0 if it was not reported."""
    relays: tuple[RelayHost, ...] | None = None
    """Some entry hosts that relay requests, None if they are those of before."""
    slow_endpoints: tuple[SlowEndpoint, ...] = ()
    """All starts that many entry hosts find slow or failing."""


@dataclass(frozen=True)
class ReportedState:
    """The versions and the leader that one control host has reported so far."""

    book_id: int = 0
    book_version: int = 0
    configuration_version: int = 0
    crash_version: int = 0
    leader_address: str = ""
    leader_term: int = 0
    relay_version: int = 0


class ControlFollowers:
    """Keeps an endpoint registry up to date from all known control hosts.

    Every control host is watched, not only one: an endpoint may announce itself to any
    of them, also within a network partition, and the host that acknowledged that an
    endpoint leaves reports it at once.
    """

    def __init__(
        self,
        process: Process,
        identity: PeerIdentity,
        registry: EndpointRegistry,
        on_update: Callable[[ControlUpdate], None],
        own_address: str = "",
        is_entry_host: bool = False,
        pressures: Callable[[], list[ServicePressure]] = list,
        crash_registry: CrashRegistry | None = None,
        relay: Callable[[], RelayRecord | None] = lambda: None,
        answer_reports: Callable[[], list[AnswerReport]] = list,
    ) -> None:
        self._answer_reports = answer_reports
        self._relay = relay
        self._crash_registry = crash_registry or CrashRegistry()
        self._process = process
        self._identity = identity
        self._registry = registry
        self._on_update = on_update
        self._own_address = own_address
        self._is_entry_host = is_entry_host
        self._pressures = pressures
        self._follower_by_address: dict[str, _Follower] = {}
        self._lock = threading.Lock()

    def addresses(self) -> list[str]:
        """Return the peer addresses of the followed control hosts."""
        with self._lock:
            return list(self._follower_by_address)

    def learn(self, addresses: Iterable[str]) -> None:
        """Also follow the control hosts at these peer addresses."""
        for address in addresses:
            if address == self._own_address:
                continue
            with self._lock:
                follower = self._follower_by_address.get(address)
                if follower is None:
                    follower = _Follower(self, address)
                    self._follower_by_address[address] = follower
                    self._process.start_task(follower.run)
            follower.record_listed()

    def reaches(self, address: str) -> bool:
        """Return whether the control host replied to the latest watch request."""
        with self._lock:
            follower = self._follower_by_address.get(address)
        return follower is not None and follower.reachable

    def count_reachable(self) -> int:
        """Return how many control hosts replied to the latest watch request."""
        with self._lock:
            followers = list(self._follower_by_address.values())
        return sum(follower.reachable for follower in followers)

    # Called by the followers.

    @property
    def stopped(self) -> threading.Event:
        """Return the event that stops all tasks."""
        return self._process.stopped

    def client_of(self, address: str) -> PeerClient:
        """Return a client for the control host at this address."""
        return PeerClient(ControlPeer.Client, address, self._identity)

    def request(
        self, known: ReportedState, sent_crash_version: int
    ) -> tuple[WatchRequest, int]:
        """Return the next watch request and the crash version that it includes."""
        watcher_id = f"{self._identity.host_id}/{self._identity.incarnation}"
        crash_version, crashes = self._crash_registry.changes_since(sent_crash_version)
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
            self._relay(),
            known.relay_version,
            [to_answer_times_record(report) for report in self._answer_reports()]
            or None,
        )
        return request, crash_version

    def apply_reply(self, address: str, reply: WatchReply) -> None:
        """Apply a watch reply."""
        # First, so that no removed start is used between the two steps.
        self._registry.apply_removals(usable_removals(address, reply.removals or ()))
        self._registry.merge(list(usable_endpoints(address, reply.endpoints or ())))
        self._crash_registry.merge(usable_histories(address, reply.crashes or ()))
        self.learn(reply.control_addresses or ())
        update = ControlUpdate(
            address,
            reply.configuration_version or 0,
            reply.entry_hosts or 0,
            reply.leader_address or "",
            reply.leader_term or 0,
            None
            if reply.relays is None
            else tuple(usable_relays(address, reply.relays)),
            tuple(usable_slow_endpoints(address, reply.slow_endpoints or ())),
        )
        self._on_update(update)

    def retry_all(self) -> None:
        """Let the followers of unreachable control hosts try again at once.

        Control hosts that were lost together come back together. Requests wait outside
        the leader's queue until its own follower reaches it.
        """
        with self._lock:
            followers = list(self._follower_by_address.values())
        for follower in followers:
            follower.retry()

    def drop(self, address: str) -> None:
        """Stop following the control host at this address."""
        with self._lock:
            self._follower_by_address.pop(address, None)


class _Follower:
    """Watches one control host continuously."""

    def __init__(self, owner: ControlFollowers, address: str) -> None:
        self._owner = owner
        self._address = address
        self._client = owner.client_of(address)
        self._known = ReportedState()
        self._sent_crash_version = 0
        """Version of the local crash registry that the control host has received."""
        self._retry_seconds = RETRY_SECONDS
        self._retry_by = Deadline.after(0)
        self.reachable = False
        self._listed_at = steady_seconds()
        self.answered_at = float("-inf")

    def record_listed(self) -> None:
        """Record that a seed or another control host still lists this host."""
        self._listed_at = steady_seconds()

    def run(self) -> None:
        """Run until the process stops or the host is no longer followed."""
        while not self._owner.stopped.is_set():
            if self._is_expired():
                self._owner.drop(self._address)
                logger.info("control host dropped", extra={"address": self._address})
                return
            self._watch()

    def _is_expired(self) -> bool:
        latest = max(self._listed_at, self.answered_at)
        return steady_seconds() - latest > DROP_AFTER_SECONDS

    def _watch(self) -> None:
        request, crash_version = self._owner.request(
            self._known, self._sent_crash_version
        )
        timeout = WAIT_MS / 1000 + REPLY_MARGIN_SECONDS
        started = Deadline.after(0)
        try:
            reply = self._client.call(lambda peer: peer.watch(request), timeout)
        except (PeerUnavailableError, PeerRefusal) as error:
            self._record_failure(error)
            self._wait_for_retry()
            return
        self._record_reply(started.timestamp)
        self._owner.apply_reply(self._address, reply)
        is_same_start = reply.book_id == self._known.book_id
        self._sent_crash_version = crash_version if is_same_start else 0
        self._known = ReportedState(
            reply.book_id or 0,
            reply.version or 0,
            reply.configuration_version or 0,
            reply.crash_version or 0,
            reply.leader_address or "",
            reply.leader_term or 0,
            reply.relay_version or 0,
        )

    def retry(self) -> None:
        """Try to reach the host at once if an attempt has failed."""
        self._retry_by = Deadline.after(0)

    def _wait_for_retry(self) -> None:
        self._retry_by = Deadline.after(self._retry_seconds)
        while not self._retry_by.expired:
            pause = min(RETRY_CHECK_SECONDS, self._retry_by.remaining())
            if self._owner.stopped.wait(pause):
                return
        if self._owner.count_reachable():
            self._retry_seconds = min(self._retry_seconds * 2, MAXIMUM_RETRY_SECONDS)
        else:
            # Until one answers, requests wait outside the leader's queue.
            self._retry_seconds = RETRY_SECONDS

    def _record_reply(self, sent_at: float) -> None:
        if not self.reachable:
            logger.info("control host answers", extra={"address": self._address})
            self._owner.retry_all()
        self.reachable = True
        self._retry_seconds = RETRY_SECONDS
        self.answered_at = sent_at

    def _record_failure(self, error: Exception) -> None:
        if self.reachable:
            extra = {"address": self._address, "error": str(error)}
            logger.warning("control host unreachable", extra=extra)
        self.reachable = False
