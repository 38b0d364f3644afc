"""Watches by which other hosts follow the state of this control host."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from returns.result import Success

from jujubeslip.control._relay_list import RelayList
from jujubeslip.control._replica import Replica
from jujubeslip.control._slow_list import SlowList
from jujubeslip.discovery import (
    EndpointRegistry,
    to_record,
    to_removal_record,
    to_slow_endpoint_record,
    usable_reports,
)
from jujubeslip.kernel import (
    Deadline,
    StrictModel,
    Text,
    Whole,
    read_fields,
    steady_seconds,
)
from jujubeslip.peers import (
    RelayRecord,
    ServicePressure,
    SlowEndpointRecord,
    WatchReply,
    WatchRequest,
)
from jujubeslip.quarantine import CrashRegistry, to_crash_record, usable_histories

logger = logging.getLogger(__name__)

MAXIMUM_WAIT_SECONDS = 5.0
# Timeout after which a silent watcher counts as disconnected or stopped, in seconds; it
# is then neither counted nor waited for. A watcher asks about once a second.
WATCHER_TIMEOUT_SECONDS = 3.0
# How long an entry host that is not heard from counts as cut off, in seconds; after
# that it counts as removed.
ENTRY_HOST_RETENTION_SECONDS = 600.0


@dataclass(frozen=True)
class _Watcher:
    asked_at: float
    known_version: int
    is_entry_host: bool
    pressures: tuple[ServicePressure, ...]
    relay: RelayRecord | None


@dataclass(frozen=True)
class _Leader:
    """The control host that leads, and in which term."""

    address: str
    term: int


NO_LEADER = _Leader("", 0)


class _PressureFields(StrictModel):
    """The required fields of a load, none of which Thrift itself requires."""

    service_name: Text
    waited: Whole
    prompt_ms_per_second: Whole


def usable_pressures(
    watcher_id: str, reported: Sequence[ServicePressure]
) -> list[ServicePressure]:
    """Return the valid loads, and log each invalid one.

    A host of another version may omit a field. The sum over all hosts would then fail,
    and no engine of any service would be ordered to change role.
    """
    usable = []
    for pressure in reported:
        read = read_fields(_PressureFields, vars(pressure))
        if isinstance(read, Success):
            usable.append(pressure)
            continue
        extra = {"watcher_id": watcher_id, "problem": read.failure()}
        logger.info("load reported by host not valid", extra=extra)
    return usable


class Watches:
    """Answers watches of this host's endpoints, configuration, crashes and leader."""

    def __init__(
        self,
        replica: Replica,
        registry: EndpointRegistry,
        addresses: Callable[[], list[str]],
        crash_registry: CrashRegistry | None = None,
    ) -> None:
        self._crash_registry = crash_registry or CrashRegistry()
        self._replica = replica
        self._registry = registry
        self._addresses = addresses
        self._watcher_by_id: dict[str, _Watcher] = {}
        self._entry_asked_at_by_host: dict[str, float] = {}
        self._relay_list = RelayList()
        self._slow_list = SlowList()
        self._changed = threading.Condition()

    def answer(self, request: WatchRequest) -> WatchReply:
        """Wait for changes and return them; each call confirms the previous reply.

        A watcher that names an older start of this host, or none, gets everything.
        """
        is_same_start = request.book_id == self._registry.book_id
        known = (request.known_version or 0) if is_same_start else 0
        known_crashes = (request.known_crash_version or 0) if is_same_start else 0
        self._record_watcher(request, known)
        reported = usable_histories(request.watcher_id, request.crashes or ())
        self._crash_registry.merge(reported)
        wait = Deadline.from_remaining_ms(request.wait_ms or 0)
        known_configuration = request.known_configuration_version or 0
        known_leader = self._known_leader(request)
        self._registry.wait_for_changes(
            known,
            lambda: (
                self._configuration_version() > known_configuration
                or self._crash_version(request) > known_crashes
                or self._leader() not in (known_leader, NO_LEADER)
            ),
            wait.earlier_of(Deadline.after(MAXIMUM_WAIT_SECONDS)),
        )
        version, changed = self._registry.changes_since(known)
        # With the changed endpoints alone, a host that knows a later start than this
        # one would not learn of its removal.
        removals = self._registry.removals_since(known)
        crash_version, crashes = (
            self._crash_registry.changes_for_entry_host(known_crashes)
            if request.is_entry_host
            else self._crash_registry.changes_since(known_crashes)
        )
        known_relays = (request.known_relay_version or 0) if is_same_start else 0
        relay_version, relays = self._relays_since(known_relays, request)
        with self._replica.lock:
            leader = self._leader()
        return WatchReply(
            self._registry.book_id,
            version,
            [to_record(endpoint) for endpoint in changed],
            self._configuration_version(),
            self._addresses(),
            self._count_entry_hosts(),
            leader.address,
            crash_version,
            [to_crash_record(history) for history in crashes],
            [to_removal_record(removal) for removal in removals],
            leader.term,
            relay_version,
            relays,
            self._slow_endpoints(request),
        )

    def _slow_endpoints(self, request: WatchRequest) -> list[SlowEndpointRecord] | None:
        """Return the slow endpoints for an entry host, None if there are none."""
        listed = self._slow_list.listed() if request.is_entry_host else ()
        return [to_slow_endpoint_record(item) for item in listed] or None

    def _relays_since(
        self, known_version: int, request: WatchRequest
    ) -> tuple[int, list[RelayRecord] | None]:
        """Return the version and the relays for the watcher, None if it has them."""
        if not request.is_entry_host:
            return 0, None
        with self._changed:
            self._update_relays()
            version = self._relay_list.version
            if version == known_version:
                return version, None
            return version, self._relay_list.chosen_for(_host_of(request.watcher_id))

    def _crash_version(self, request: WatchRequest) -> int:
        """Return the version of the newest crash that the watcher must get at once.

        Entry hosts get other crashes with the next reply.
        """
        registry = self._crash_registry
        return registry.suspects_version if request.is_entry_host else registry.version

    def follow_configuration(self) -> None:
        """Wake the waiting watches whenever a newer configuration is applied here."""
        replica = self._replica
        known = 0
        while not replica.process.stopped.is_set():
            with replica.lock:
                replica.configuration_changed.wait_for(
                    lambda: self._configuration_version() > known,  # noqa: B023
                    MAXIMUM_WAIT_SECONDS,
                )
            known = self._configuration_version()
            self._registry.wake()

    def follow_leader(self) -> None:
        """Wake the waiting watches whenever this host learns of another leader."""
        replica = self._replica
        known = NO_LEADER
        while not replica.process.stopped.is_set():
            with replica.lock:
                if self._leader() == known:
                    replica.role_changed.wait(MAXIMUM_WAIT_SECONDS)
                known = self._leader()
            self._registry.wake()

    def _known_leader(self, request: WatchRequest) -> _Leader:
        """Return the leader that the watcher reports, else the one known here."""
        if request.known_leader_term is None:
            return self._leader()
        return _Leader(request.known_leader_address or "", request.known_leader_term)

    def wait_until_confirmed(self, version: int, deadline: Deadline) -> bool:
        """Wait until each live watcher has confirmed this version of the registry.

        The removal of a leaving endpoint is acknowledged after that: by then, no host
        that this one can reach sends requests to it. The wait for a host that can't be
        reached ends at the deadline.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self._all_confirmed(version), deadline.remaining()
            )

    def _record_watcher(self, request: WatchRequest, known_version: int) -> None:
        pressures = usable_pressures(request.watcher_id, request.pressures or ())
        answer_times = usable_reports(request.watcher_id, request.answer_times or ())
        self._slow_list.record(_host_of(request.watcher_id), tuple(answer_times))
        with self._changed:
            before = self._watcher_by_id.get(request.watcher_id)
            # The same object is kept, so that lists of relays compare by identity.
            is_same_relay = before is not None and before.relay == request.relay
            relay = before.relay if before and is_same_relay else request.relay
            self._watcher_by_id[request.watcher_id] = _Watcher(
                steady_seconds(),
                known_version,
                request.is_entry_host,
                tuple(pressures),
                relay,
            )
            if request.is_entry_host:
                host_id = _host_of(request.watcher_id)
                self._entry_asked_at_by_host[host_id] = steady_seconds()
            self._changed.notify_all()

    def _update_relays(self) -> None:
        """List the relays among the live watchers; the caller holds the lock."""
        relays = (watcher.relay for watcher in self._live())
        self._relay_list.replace(relay for relay in relays if relay is not None)

    def heard_share(self) -> float:
        """Return the share of the known entry hosts that are currently heard from."""
        now = steady_seconds()
        with self._changed:
            asked_at_by_host = self._entry_asked_at_by_host
            for host_id, asked_at in list(asked_at_by_host.items()):
                if asked_at < now - ENTRY_HOST_RETENTION_SECONDS:
                    del asked_at_by_host[host_id]
            if not asked_at_by_host:
                return 1.0
            asked = asked_at_by_host.values()
            return sum(at > now - WATCHER_TIMEOUT_SECONDS for at in asked) / len(asked)

    def pressure_of(self, service_name: str) -> ServicePressure:
        """Return the sum of the loads that live entry hosts report for a service."""
        with self._changed:
            reported = [
                pressure
                for watcher in self._live()
                for pressure in watcher.pressures
                if pressure.service_name == service_name
            ]
        return ServicePressure(
            service_name,
            sum(pressure.waited for pressure in reported),
            sum(pressure.prompt_ms_per_second for pressure in reported),
        )

    def _all_confirmed(self, version: int) -> bool:
        return all(watcher.known_version >= version for watcher in self._live())

    def _live(self) -> list[_Watcher]:
        oldest = steady_seconds() - WATCHER_TIMEOUT_SECONDS
        for watcher_id, watcher in list(self._watcher_by_id.items()):
            if watcher.asked_at < oldest:
                del self._watcher_by_id[watcher_id]
        return list(self._watcher_by_id.values())

    def _count_entry_hosts(self) -> int:
        with self._changed:
            return sum(watcher.is_entry_host for watcher in self._live())

    def _leader(self) -> _Leader:
        # Without the replica's lock, as below; replies are built while holding it.
        replica = self._replica
        if not replica.hears_leader:
            return NO_LEADER
        contact = replica.leader
        return _Leader(contact.address, contact.term) if contact.address else NO_LEADER

    def _configuration_version(self) -> int:
        # Without the replica's lock: waiting watches call this while they hold the
        # registry's lock.
        return int(self._replica.machine.configurations.current.revision)


def _host_of(watcher_id: str) -> str:
    """Return the host of a watcher: each start of its process has another id."""
    return watcher_id.partition("/")[0]
