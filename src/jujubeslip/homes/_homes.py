"""The pools that this host keeps as home or standby, by service and locality."""

from __future__ import annotations

import threading

from jujubeslip.homes._endpoint_tracker import EndpointTracker
from jujubeslip.homes._pool import Pool
from jujubeslip.homes._scheduler import SchedulerOptions
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
    """Pools by service and locality (a zone or region), created on first use."""

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
        self._pool_by_locality: dict[tuple[str, str], Pool] = {}
        self._tracked: set[tuple[str, int]] = set()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start the periodic task that processes the queues."""
        self._process.repeat(TICK_SECONDS, self._tick)

    def pool(self, service_name: str, locality: str) -> Pool:
        """Return the pool of a service in a locality, creating it if necessary."""
        key = (service_name, locality)
        with self._lock:
            pool = self._pool_by_locality.get(key)
            if pool is None:
                pool = Pool(service_name, locality, self._options)
                self._pool_by_locality[key] = pool
            return pool

    def pools_of(self, service_name: str) -> list[Pool]:
        """Return the pools of a service that this host knows."""
        with self._lock:
            return [
                pool
                for (name, _), pool in self._pool_by_locality.items()
                if name == service_name
            ]

    def announce(self, announcement: Announcement) -> None:
        """Record an endpoint's announcement and start to track the endpoint."""
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
            tracker.poll(self._process)
            tracker.run(self._process)
        finally:
            with self._lock:
                self._tracked.discard(tracked)

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Return the reply of the pool of the request's service and locality."""
        return self.pool(request.service_name, request.place).reserve(request)

    def withdraw(self, request: ReserveRequest) -> None:
        """Remove a request from the queue of its service and locality."""
        self.pool(request.service_name, request.place).withdraw(request)

    def progress(self, progress: GrantProgress) -> None:
        """Pass a progress report on to the pool that made the grant."""
        with self._lock:
            pools = list(self._pool_by_locality.values())
        for pool in pools:
            if progress.grant_id in pool.scheduler.grants.by_id:
                pool.progress(progress)
                return

    def statuses(self) -> list[PoolStatus]:
        """Return the counts of every pool, for operators."""
        with self._lock:
            pools = list(self._pool_by_locality.values())
        return [pool.status() for pool in pools]

    def _tick(self) -> None:
        with self._lock:
            pools = list(self._pool_by_locality.values())
        for pool in pools:
            pool.tick()
