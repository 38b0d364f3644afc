"""The registry of endpoints known to a host, with a version for each change."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from jujubeslip.discovery._address_claims import AddressClaim, has_lost_address
from jujubeslip.discovery._models import Endpoint
from jujubeslip.discovery._removals import (
    RETENTION_SECONDS,
    Removal,
    RemovalStore,
    latest_removal,
)
from jujubeslip.kernel import Deadline, new_incarnation, steady_seconds
from jujubeslip.peers import EndpointRole, RemovalScope

logger = logging.getLogger(__name__)

# A start that has not been heard from for this long is replaced by one with an earlier
# start time, in seconds. The clock of an endpoint may go back between two starts, and
# the new start would otherwise be ignored for as long as the previous one is retained.
# By then, entry hosts skip a start that they have not heard from, so replacing one that
# is only partitioned costs little. An announcement of a start that has ended could be
# accepted only if it were delayed for longer than this.
STALE_START_SECONDS = 10.0
# The leader grants no requests to an engine that has not been heard from for this long,
# in seconds. Engines announce themselves about once a second, and an announcement that
# is several seconds late is tolerated.
ENGINE_SILENCE_SECONDS = 5.0


@dataclass(frozen=True)
class _Entry:
    claim: AddressClaim
    version: int

    @property
    def endpoint(self) -> Endpoint:
        """Return the latest known start."""
        return self.claim.endpoint


class EndpointRegistry:
    """Keeps the latest known start of each endpoint; thread-safe.

    Announcements reach different hosts, delayed and out of order, so two rules apply
    to each start. Only a higher sequence number updates it. And `leaving` is never
    reset: an older "ready" that arrives afterwards would otherwise send work to an
    endpoint that is about to exit.

    Of two starts with one id the one with the later start time, as reported by the
    endpoint, is valid; no announcement of the earlier start applies to it.
    """

    def __init__(self) -> None:
        self.book_id = new_incarnation()
        self._entry_by_id: dict[str, _Entry] = {}
        self._ids_by_address: dict[str, set[str]] = {}
        self._removals = RemovalStore()
        self._version = 0
        # When the latest announcements were applied; those that one host reports in
        # one update get the same time.
        self._updated_at = steady_seconds()
        self._changed = threading.Condition()
        # Increases only on changes that wake waiting callers, not on renewals.
        self._significant_version = 0

    @property
    def version(self) -> int:
        """Return the version of the newest change."""
        with self._changed:
            return self._version

    def endpoints(self) -> list[Endpoint]:
        """Return all known endpoints, including those that are leaving.

        Endpoints whose address another one has taken over are left out.
        """
        with self._changed:
            return [
                entry.endpoint
                for entry in self._entry_by_id.values()
                if not self._has_lost_address(entry)
            ]

    def engines(self, service_name: str, role: EndpointRole) -> list[Endpoint]:
        """Return a service's engines of a role that accept work and are not silent."""
        return [
            endpoint
            for endpoint in self._live_engines()
            if endpoint.service_name == service_name and endpoint.role == role
        ]

    def engine_services(self) -> set[str]:
        """Return the services of all engines that accept work and are not silent."""
        return {endpoint.service_name for endpoint in self._live_engines()}

    def _live_engines(self) -> list[Endpoint]:
        recent_since = steady_seconds() - ENGINE_SILENCE_SECONDS
        return [
            endpoint
            for endpoint in self.endpoints()
            if endpoint.role != EndpointRole.PLAIN
            and endpoint.accepts_work
            and endpoint.heard_at >= recent_since
        ]

    def find(self, endpoint_id: str) -> Endpoint | None:
        """Return the latest known start of an endpoint."""
        with self._changed:
            entry = self._entry_by_id.get(endpoint_id)
            return entry.endpoint if entry else None

    def find_start(self, start_id: str) -> Endpoint | None:
        """Return the endpoint with this start, None if it is not the latest one."""
        return next(
            (item for item in self.endpoints() if item.start_id == start_id), None
        )

    def is_superseded(self, endpoint: Endpoint) -> bool:
        """Return whether another start or another endpoint has replaced this one."""
        with self._changed:
            entry = self._entry_by_id.get(endpoint.endpoint_id)
            if entry is None:
                return False
            is_later = entry.endpoint.start_id != endpoint.start_id
            return is_later or self._has_lost_address(entry)

    def merge(self, reported: Iterable[Endpoint]) -> int:
        """Apply newer announcements and return the version that includes them."""
        with self._changed:
            self._updated_at = steady_seconds()
            for endpoint in reported:
                self._update_endpoint(endpoint)
            return self._version

    def remove_endpoint(self, endpoint_id: str, started_at_ms: int = 0) -> int:
        """Record the removal of an endpoint and return the version that includes it.

        A removal that names its start is final, and doesn't affect later starts.
        """
        return self.apply_removals([self.removal_of(endpoint_id, started_at_ms)])

    def removal_of(self, endpoint_id: str, started_at_ms: int = 0) -> Removal:
        """Return a removal, dated now, of an endpoint that signs off.

        It applies to the given start, or else to the known one.
        """
        now = steady_seconds()
        if started_at_ms:
            scope = RemovalScope.NAMED_START
            return Removal(endpoint_id, now, started_at_ms, scope=scope)
        without_start = Removal(endpoint_id, now, 0)
        known = self.find(endpoint_id)
        if known is None:
            return without_start
        scope = (
            RemovalScope.LATEST_START if known.restarted else RemovalScope.ONLY_START
        )
        return replace(without_start, started_at_ms=known.started_at_ms, scope=scope)

    def apply_removals(
        self, reported: Iterable[Removal], are_dated: bool = True
    ) -> int:
        """Apply removals and return the version that includes them.

        `are_dated` says that their times are exact, and not only the latest possible.
        """
        with self._changed:
            for removal in reported:
                self._add_removal(removal, are_dated)
            return self._version

    def removals_since(self, version: int) -> Sequence[Removal]:
        """Return the removals added since a version, only the latest of many."""
        with self._changed:
            return self._removals.since(version)

    def changes_since(self, version: int) -> tuple[int, list[Endpoint]]:
        """Return the current version and the endpoints changed since the given one."""
        with self._changed:
            changed = [
                entry.endpoint
                for entry in self._entry_by_id.values()
                if entry.version > version
            ]
            return self._version, changed

    def wait_for_changes(
        self,
        known_version: int,
        has_other_changes: Callable[[], bool],
        deadline: Deadline,
    ) -> None:
        """Wait until an endpoint is added, removed or changed, or the deadline.

        Also returns once `has_other_changes` is true, as checked after each `wake`.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._significant_version > known_version or has_other_changes()
                ),
                deadline.remaining(),
            )

    def wake(self) -> None:
        """Make waiting callers check their additional condition."""
        with self._changed:
            self._changed.notify_all()

    def _update_endpoint(self, reported: Endpoint) -> None:
        known = self._entry_by_id.get(reported.endpoint_id)
        if known is None:
            without_start = self._removals.pop_without_start(reported.endpoint_id)
            if without_start is not None:
                self._add_removal(without_start.for_start(reported))
            self._store(self._with_removal(reported), significant=True)
            return
        older = known.endpoint
        same_start = reported.started_at_ms == older.started_at_ms
        newer = _merged(older, reported) if same_start else _latest(older, reported)
        self._replace(older, self._with_removal(newer))

    def _with_removal(self, endpoint: Endpoint) -> Endpoint:
        removal = self._removals.find(endpoint)
        return endpoint if removal is None else removal.apply_to(endpoint)

    def _add_removal(self, removal: Removal, is_dated: bool = True) -> None:
        """Store a removal and apply it to its endpoint if that is known.

        A host that has restarted, or that learns of endpoints only from other hosts,
        may receive a removal before the announcement of its endpoint. If the removal
        were dropped, that announcement would undo it and requests would go to an
        endpoint that exits. Other control hosts get the removal too, since the
        announcement may arrive at one of them.
        """
        entry = self._entry_by_id.get(removal.endpoint_id)
        known = entry.endpoint if entry else None
        with_start = removal.for_start(known) if known else removal
        versioned = replace(with_start, version=self._version + 1)
        is_first = not self._removals.holds(versioned.key)
        if not self._removals.add(versioned, steady_seconds()):
            return
        self._version += 1
        self._significant_version = self._version
        self._changed.notify_all()
        extra = {
            "endpoint_id": with_start.endpoint_id,
            "removed_start_ms": with_start.started_at_ms,
            "scope": with_start.scope.name,
            "known_start_ms": known.started_at_ms if known else None,
            "book_version": self._version,
        }
        logger.info("endpoint removed", extra=extra)
        if entry is None or known is None:
            return
        known_since = min(entry.claim.since, known.heard_at)
        # A repeated removal may have a later time, after which the start has begun.
        includes_later = (
            is_first and is_dated and with_start.may_be_of_later(known_since)
        )
        self._replace(known, with_start.apply_to(known, includes_later))

    def _replace(self, older: Endpoint, newer: Endpoint) -> None:
        if newer != older:
            self._store(newer, significant=_differs(older, newer))

    def _has_lost_address(self, entry: _Entry) -> bool:
        ids = self._ids_by_address[entry.endpoint.address]
        if len(ids) == 1:
            return False
        claims = [self._entry_by_id[endpoint_id].claim for endpoint_id in ids]
        return has_lost_address(entry.claim, claims)

    def _claim(self, endpoint: Endpoint) -> AddressClaim:
        """Return the endpoint's claim to its address; a start keeps its earlier one."""
        known = self._entry_by_id.get(endpoint.endpoint_id)
        if known is not None:
            earlier = known.endpoint
            is_same_start = earlier.start_id == endpoint.start_id
            if is_same_start and earlier.address == endpoint.address:
                return AddressClaim(endpoint, known.claim.since)
            self._release_address(earlier)
        ids = self._ids_by_address.setdefault(endpoint.address, set())
        if ids:
            extra = {
                "address": endpoint.address,
                "endpoint_id": endpoint.endpoint_id,
                "earlier_ids": sorted(ids),
            }
            logger.info("address announced by another endpoint", extra=extra)
        ids.add(endpoint.endpoint_id)
        return AddressClaim(endpoint, self._updated_at)

    def _release_address(self, endpoint: Endpoint) -> None:
        ids = self._ids_by_address[endpoint.address]
        ids.discard(endpoint.endpoint_id)
        if not ids:
            del self._ids_by_address[endpoint.address]

    def _store(self, endpoint: Endpoint, significant: bool) -> None:
        self._version += 1
        claim = self._claim(endpoint)
        self._entry_by_id[endpoint.endpoint_id] = _Entry(claim, self._version)
        if not significant:
            return
        self._significant_version = self._version
        self._remove_expired()
        self._changed.notify_all()
        logger.info(
            "endpoint changed",
            extra={
                "endpoint_id": endpoint.endpoint_id,
                "service": endpoint.service_name,
                "address": endpoint.address,
                "role": endpoint.role.name,
                "started_at_ms": endpoint.started_at_ms,
                "sequence": endpoint.sequence,
                "leaving": not endpoint.accepts_work,
                "book_version": self._version,
            },
        )

    def _remove_expired(self) -> None:
        oldest = steady_seconds() - RETENTION_SECONDS
        for endpoint_id, entry in list(self._entry_by_id.items()):
            if entry.endpoint.heard_at < oldest:
                del self._entry_by_id[endpoint_id]
                self._release_address(entry.endpoint)


def _merged(older: Endpoint, reported: Endpoint) -> Endpoint:
    """Return one start with a further report of it applied."""
    newer = older
    if reported.sequence > older.sequence:
        newer = replace(reported, heard_at=max(older.heard_at, reported.heard_at))
    return replace(
        newer,
        leaving=older.leaving or reported.leaving,
        restarted=older.restarted or reported.restarted,
        removed_at=latest_removal(older.removed_at, reported.removed_at),
    )


def _latest(older: Endpoint, reported: Endpoint) -> Endpoint:
    """Return the valid one of two different starts.

    The decision depends only on the two starts, so that hosts which receive them in
    a different order, or from each other, arrive at the same one.
    """
    recent_since = steady_seconds() - STALE_START_SECONDS
    latest = max(
        (older, reported),
        key=lambda item: (item.heard_at > recent_since, item.started_at_ms),
    )
    return replace(latest, restarted=True)


def _differs(older: Endpoint, newer: Endpoint) -> bool:
    """Return whether the change is more than a renewal."""
    return (
        older.started_at_ms != newer.started_at_ms
        or older.accepts_work != newer.accepts_work
        or older.address != newer.address
        or older.role != newer.role
        or older.service_name != newer.service_name
        or older.slots != newer.slots
    )
