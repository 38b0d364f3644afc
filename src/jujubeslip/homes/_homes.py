"""The pools that this host is the home of, by service and place."""

from __future__ import annotations

import threading

from jujubeslip.homes._pool import Pool
from jujubeslip.homes._scheduler import SchedulerOptions
from jujubeslip.homes._tracker import EndpointTracker
from jujubeslip.kernel import Process
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import (
    Announcement,
    GrantProgress,
    PoolStatus,
    ReserveReply,
    ReserveRequest,
)

TICK_SECONDS = 0.1


class Homes:
    """Pools by service and place; one is opened by the first thing said about it."""

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        process: Process,
        options: SchedulerOptions,
        sweeps: bool = True,
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._process = process
        self._options = options
        self._sweeps = sweeps
        self._pool_by_place: dict[tuple[str, str], Pool] = {}
        self._tracked: set[tuple[str, int]] = set()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the task that moves the queues on."""
        self._process.repeat(TICK_SECONDS, self._tick)

    def pool(self, service_name: str, place: str) -> Pool:
        """Return the pool of a service in a zone or region."""
        key = (service_name, place)
        with self._lock:
            pool = self._pool_by_place.get(key)
            if pool is None:
                pool = Pool(service_name, place, self._options)
                self._pool_by_place[key] = pool
            return pool

    def pools_of(self, service_name: str) -> list[Pool]:
        """Return the pools of a service that this host knows."""
        with self._lock:
            return [
                pool
                for (name, _), pool in self._pool_by_place.items()
                if name == service_name
            ]

    def announce(self, announcement: Announcement) -> None:
        """Take an endpoint's announcement and track it from now on."""
        pool = self.pool(announcement.service_name, announcement.place)
        record = pool.announce(announcement)
        tracked = (record.endpoint_id, record.announcement.incarnation)
        with self._lock:
            if tracked in self._tracked:
                return
            self._tracked.add(tracked)
        tracker = EndpointTracker(
            pool, record, self._directory, self._clients, self._sweeps
        )
        self._process.start_task(self._track, tracker, tracked)

    def _track(self, tracker: EndpointTracker, tracked: tuple[str, int]) -> None:
        try:
            tracker.step(self._process)
            tracker.run(self._process)
        finally:
            with self._lock:
                self._tracked.discard(tracked)

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Answer from the queue of the request's service and place."""
        return self.pool(request.service_name, request.place).reserve(request)

    def withdraw(self, request: ReserveRequest) -> None:
        """Take a request out of the queue of its service and place."""
        self.pool(request.service_name, request.place).withdraw(request)

    def progress(self, progress: GrantProgress) -> None:
        """Pass progress on to the pool that made the grant."""
        with self._lock:
            pools = list(self._pool_by_place.values())
        for pool in pools:
            if progress.grant_id in pool.scheduler.grants.by_id:
                pool.progress(progress)
                return

    def statuses(self) -> list[PoolStatus]:
        """Return the counts of every pool, for operators."""
        with self._lock:
            pools = list(self._pool_by_place.values())
        return [pool.status() for pool in pools]

    def _tick(self) -> None:
        with self._lock:
            pools = list(self._pool_by_place.values())
        for pool in pools:
            pool.tick()
