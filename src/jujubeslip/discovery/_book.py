"""The endpoints that a host has heard of, and a version for each change."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace

from jujubeslip.discovery._addresses import AddressClaim, has_lost_address
from jujubeslip.discovery._models import Endpoint
from jujubeslip.discovery._removals import (
    REMEMBERED_SECONDS,
    KeptRemovals,
    Removal,
    latest_removal,
)
from jujubeslip.kernel import Deadline, new_incarnation, steady_seconds
from jujubeslip.peers import EndpointRole, RemovalScope

logger = logging.getLogger(__name__)

# A start that was not heard for this long gives way to one with an earlier time, in
# seconds. The clock of an endpoint may go back between two starts: the new one would
# be kept out for as long as the one before is remembered. Entry hosts pass a start over
# by then, so that little is lost where it is only cut off; an announcement of a start
# that is gone would have to be delayed for longer to be tried.
GIVES_WAY_SECONDS = 10.0
# An engine that was not heard for this long is given nothing by the leader, in seconds:
# engines announce themselves about once a second, at times some seconds late.
SILENT_SECONDS = 5.0


@dataclass(frozen=True)
class _Entry:
    claim: AddressClaim
    version: int

    @property
    def endpoint(self) -> Endpoint:
        """Return the latest start that is known."""
        return self.claim.endpoint


class EndpointBook:
    """What is known of each endpoint's latest start; may be used by many threads.

    Announcements reach different hosts, late and out of order, so two rules hold for
    each start. Only a higher sequence brings newer facts. And `leaving` is never taken
    back: an older "ready" that arrives after it would otherwise send work to an
    endpoint that is about to exit.

    Of two starts under one id the later one counts, by the time that the endpoint
    tells; nothing that the earlier one said, or says late, holds for it.
    """

    def __init__(self) -> None:
        self.book_id = new_incarnation()
        self._entry_by_id: dict[str, _Entry] = {}
        self._ids_by_address: dict[str, set[str]] = {}
        self._removals = KeptRemovals()
        self._version = 0
        # When the latest announcements were taken over; those that one host tells
        # together are known since the same instant.
        self._taken_at = steady_seconds()
        self._changed = threading.Condition()
        # Grows only when a caller should be told at once, not at each renewal.
        self._material_version = 0

    @property
    def version(self) -> int:
        """Return the version of the newest change."""
        with self._changed:
            return self._version

    def endpoints(self) -> list[Endpoint]:
        """Return all that are known, those that leave among them.

        Left out are those whose address another one has taken.
        """
        with self._changed:
            return [
                entry.endpoint
                for entry in self._entry_by_id.values()
                if not self._has_lost_address(entry)
            ]

    def engines(self, service_name: str, role: EndpointRole) -> list[Endpoint]:
        """Return a service's engines of a role that stay and were heard lately."""
        return [
            endpoint
            for endpoint in self._live_engines()
            if endpoint.service_name == service_name and endpoint.role == role
        ]

    def engine_services(self) -> set[str]:
        """Return the services of all engines that stay and were heard lately."""
        return {endpoint.service_name for endpoint in self._live_engines()}

    def _live_engines(self) -> list[Endpoint]:
        heard_since = steady_seconds() - SILENT_SECONDS
        return [
            endpoint
            for endpoint in self.endpoints()
            if endpoint.role != EndpointRole.PLAIN
            and endpoint.stays
            and endpoint.heard_at >= heard_since
        ]

    def find(self, endpoint_id: str) -> Endpoint | None:
        """Return what is known of an endpoint's latest start."""
        with self._changed:
            entry = self._entry_by_id.get(endpoint_id)
            return entry.endpoint if entry else None

    def find_start(self, start_id: str) -> Endpoint | None:
        """Return what is known of a start, None if it is not the latest one."""
        return next(
            (item for item in self.endpoints() if item.start_id == start_id), None
        )

    def is_over(self, endpoint: Endpoint) -> bool:
        """Say whether another start, or another endpoint, has taken its place."""
        with self._changed:
            entry = self._entry_by_id.get(endpoint.endpoint_id)
            if entry is None:
                return False
            is_later = entry.endpoint.start_id != endpoint.start_id
            return is_later or self._has_lost_address(entry)

    def take(self, told: Iterable[Endpoint]) -> int:
        """Take over what is newer, and return the version that includes it."""
        with self._changed:
            self._taken_at = steady_seconds()
            for endpoint in told:
                self._take_one(endpoint)
            return self._version

    def note_left(self, endpoint_id: str, started_at_ms: int = 0) -> int:
        """Note that an endpoint has left, and return the version that includes it.

        One that says which start it is for is final, and nothing to other starts.
        """
        return self.take_removals([self.removal_of(endpoint_id, started_at_ms)])

    def removal_of(self, endpoint_id: str, started_at_ms: int = 0) -> Removal:
        """Return the removal of an endpoint that signs off now.

        It is for the start that is named, else for the one that is known.
        """
        now = steady_seconds()
        if started_at_ms:
            scope = RemovalScope.NAMED_START
            return Removal(endpoint_id, now, started_at_ms, scope=scope)
        unbound = Removal(endpoint_id, now, 0)
        known = self.find(endpoint_id)
        if known is None:
            return unbound
        scope = (
            RemovalScope.LATEST_START if known.restarted else RemovalScope.ONLY_START
        )
        return replace(unbound, started_at_ms=known.started_at_ms, scope=scope)

    def take_removals(self, told: Iterable[Removal]) -> int:
        """Take over removals, and return the version that includes them."""
        with self._changed:
            for removal in told:
                self._take_removal(removal)
            return self._version

    def removals_since(self, version: int) -> Sequence[Removal]:
        """Return removals kept since a version, the latest where they are many."""
        with self._changed:
            return self._removals.since(version)

    def changes_since(self, version: int) -> tuple[int, list[Endpoint]]:
        """Return the newest version, and the endpoints changed since the given one."""
        with self._changed:
            changed = [
                entry.endpoint
                for entry in self._entry_by_id.values()
                if entry.version > version
            ]
            return self._version, changed

    def wait_for_news(
        self, known_version: int, other_news: Callable[[], bool], deadline: Deadline
    ) -> None:
        """Return once an endpoint came, left or changed, or at the deadline.

        Also once `other_news` is true, which is looked at after each `wake`.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._material_version > known_version or other_news(),
                deadline.remaining(),
            )

    def wake(self) -> None:
        """Let those who wait for news look at what else they wait for."""
        with self._changed:
            self._changed.notify_all()

    def _take_one(self, told: Endpoint) -> None:
        known = self._entry_by_id.get(told.endpoint_id)
        if known is None:
            unbound = self._removals.take_unbound(told.endpoint_id)
            if unbound is not None:
                self._take_removal(unbound.for_start(told))
            self._store(self._with_removal(told), material=True)
            return
        older = known.endpoint
        same_start = told.started_at_ms == older.started_at_ms
        newer = _merged(older, told) if same_start else _latest(older, told)
        self._replace(older, self._with_removal(newer))

    def _with_removal(self, endpoint: Endpoint) -> Endpoint:
        removal = self._removals.find(endpoint)
        return endpoint if removal is None else removal.apply_to(endpoint)

    def _take_removal(self, removal: Removal) -> None:
        """Keep a removal, and apply it to its endpoint where that is known.

        A host that has started anew, or hears of endpoints from other hosts alone, may
        be told of a removal first. Forgotten, it would be undone by the announcement
        that comes after it: requests go to an endpoint that exits. Other control hosts
        are told: that announcement may come to one of them.
        """
        entry = self._entry_by_id.get(removal.endpoint_id)
        known = entry.endpoint if entry else None
        bound = removal.for_start(known) if known else removal
        numbered = replace(bound, version=self._version + 1)
        if not self._removals.keep(numbered, steady_seconds()):
            return
        self._version += 1
        self._material_version = self._version
        self._changed.notify_all()
        extra = {
            "endpoint_id": bound.endpoint_id,
            "removed_start_ms": bound.started_at_ms,
            "scope": bound.scope.name,
            "known_start_ms": known.started_at_ms if known else None,
            "book_version": self._version,
        }
        logger.info("endpoint removed", extra=extra)
        if known:
            self._replace(known, bound.apply_to(known))

    def _replace(self, older: Endpoint, newer: Endpoint) -> None:
        if newer != older:
            self._store(newer, material=_differs(older, newer))

    def _has_lost_address(self, entry: _Entry) -> bool:
        ids = self._ids_by_address[entry.endpoint.address]
        if len(ids) == 1:
            return False
        claims = [self._entry_by_id[endpoint_id].claim for endpoint_id in ids]
        return has_lost_address(entry.claim, claims)

    def _claim(self, endpoint: Endpoint) -> AddressClaim:
        """Take an address for the endpoint, now unless its start has it already."""
        known = self._entry_by_id.get(endpoint.endpoint_id)
        if known is not None:
            earlier = known.endpoint
            is_same_start = earlier.start_id == endpoint.start_id
            if is_same_start and earlier.address == endpoint.address:
                return AddressClaim(endpoint, known.claim.since)
            self._forget_address(earlier)
        ids = self._ids_by_address.setdefault(endpoint.address, set())
        if ids:
            extra = {
                "address": endpoint.address,
                "endpoint_id": endpoint.endpoint_id,
                "earlier_ids": sorted(ids),
            }
            logger.info("address announced by another endpoint", extra=extra)
        ids.add(endpoint.endpoint_id)
        return AddressClaim(endpoint, self._taken_at)

    def _forget_address(self, endpoint: Endpoint) -> None:
        ids = self._ids_by_address[endpoint.address]
        ids.discard(endpoint.endpoint_id)
        if not ids:
            del self._ids_by_address[endpoint.address]

    def _store(self, endpoint: Endpoint, material: bool) -> None:
        self._version += 1
        claim = self._claim(endpoint)
        self._entry_by_id[endpoint.endpoint_id] = _Entry(claim, self._version)
        if not material:
            return
        self._material_version = self._version
        self._forget_old()
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
                "leaving": not endpoint.stays,
                "book_version": self._version,
            },
        )

    def _forget_old(self) -> None:
        oldest = steady_seconds() - REMEMBERED_SECONDS
        for endpoint_id, entry in list(self._entry_by_id.items()):
            if entry.endpoint.heard_at < oldest:
                del self._entry_by_id[endpoint_id]
                self._forget_address(entry.endpoint)


def _merged(older: Endpoint, told: Endpoint) -> Endpoint:
    """Return what is known of one start after a further account of it."""
    newer = older
    if told.sequence > older.sequence:
        newer = replace(told, heard_at=max(older.heard_at, told.heard_at))
    return replace(
        newer,
        leaving=older.leaving or told.leaving,
        restarted=older.restarted or told.restarted,
        removed_at=latest_removal(older.removed_at, told.removed_at),
    )


def _latest(older: Endpoint, told: Endpoint) -> Endpoint:
    """Return the start that counts of two that differ.

    Decided by the two alone, so that hosts which hear of them in another order, or
    tell each other, end with the same one.
    """
    heard_since = steady_seconds() - GIVES_WAY_SECONDS
    latest = max(
        (older, told),
        key=lambda item: (item.heard_at > heard_since, item.started_at_ms),
    )
    return replace(latest, restarted=True)


def _differs(older: Endpoint, newer: Endpoint) -> bool:
    """Say whether more than a renewal has changed."""
    return (
        older.started_at_ms != newer.started_at_ms
        or older.stays != newer.stays
        or older.address != newer.address
        or older.role != newer.role
        or older.service_name != newer.service_name
        or older.slots != newer.slots
    )
