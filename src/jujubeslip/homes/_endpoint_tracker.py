"""One task per endpoint that polls its status and cancels orphaned requests."""

from __future__ import annotations

import logging
import socket
from collections import defaultdict
from collections.abc import Sequence
from concurrent.futures import Future

from jujubeslip.endpoints import (
    EndpointError,
    EndpointMonitor,
    EndpointStatus,
    EngineAdapter,
    HeldItem,
)
from jujubeslip.homes._pool import Pool
from jujubeslip.homes._records import EndpointRecord
from jujubeslip.kernel import Deadline, PeerUnavailableError, Process, steady_seconds
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import EndpointRole, HeldRequest, HostStatus, PeerRefusal

logger = logging.getLogger(__name__)

STATUS_INTERVAL_SECONDS = 0.5
IDLE_STATUS_INTERVAL_SECONDS = 1.0
EVENTS_INTERVAL_SECONDS = 1.0
STATUS_TIMEOUT_SECONDS = 1.0
# Younger requests than this, in milliseconds, are not checked: their entry host may not
# have recorded them yet.
SWEEP_AGE_MS = 1500
SWEEP_INTERVAL_SECONDS = 1.0
OWNER_TIMEOUT_SECONDS = 0.6
CONNECT_TIMEOUT_SECONDS = 0.5
# An owner that does not respond for this long, in seconds, is considered ended. If it
# was only partitioned, its streams are resumed elsewhere.
OWNER_ABSENCE_SECONDS = 30.0
CANCEL_TIMEOUT_SECONDS = 1.0


class EndpointTracker:
    """Keeps the record of one endpoint current while it announces itself here."""

    def __init__(
        self,
        pool: Pool,
        record: EndpointRecord,
        directory: HostDirectory,
        clients: PeerClients,
        sweeps: bool,
    ) -> None:
        self._pool = pool
        self._record = record
        self._directory = directory
        self._clients = clients
        self._sweeps = sweeps
        self._next_sweep = Deadline.after(0)
        self._sweep_task: Future[None] | None = None
        self._absence_limit_by_owner: dict[str, Deadline] = {}
        self._next_event = 0
        self._events_due = Deadline.after(0)
        self._monitor = EndpointMonitor(record.announcement.address)

    def run(self, process: Process) -> None:
        """Poll until the endpoint stops announcing itself or the process stops."""
        while not process.stopped.wait(self._status_interval()):
            if self._record.announced_until.expired:
                break
            self.poll(process)
        self._monitor.close()
        self._pool.remove_endpoint(self._record)

    def _status_interval(self) -> float:
        """Return the interval between polls, longer where an older status suffices.

        Polling is most of a home's own cost. An older status suffices at a standby, and
        for an endpoint that holds no requests.
        """
        home = self._directory.home_of(self._pool.service_name, self._pool.locality)
        is_home = home.host_id == self._directory.own.host_id
        if is_home and self._record.in_use:
            return STATUS_INTERVAL_SECONDS
        return IDLE_STATUS_INTERVAL_SECONDS

    def poll(self, process: Process) -> None:
        """Poll once; without an answer, the endpoint's last status expires."""
        requested_at = steady_seconds()
        monitor = self._monitor_of_address()
        try:
            status = monitor.status(Deadline.after(STATUS_TIMEOUT_SECONDS))
        except EndpointError as error:
            logger.debug("endpoint status request failed", extra={"error": str(error)})
            return
        if status.endpoint_id != self._record.endpoint_id:
            logger.warning(
                "another endpoint answers at this address",
                extra={"endpoint": self._record.endpoint_id},
            )
            return
        self._pool.observe(self._record.endpoint_id, status, requested_at)
        self._read_events(monitor, status)
        self._start_sweep(process, EngineAdapter(monitor.address), status)

    def _monitor_of_address(self) -> EndpointMonitor:
        """Return a monitor of the address that the endpoint last announced."""
        address = self._record.announcement.address
        if self._monitor.address != address:
            self._monitor.close()
            self._monitor = EndpointMonitor(address)
        return self._monitor

    def _read_events(self, monitor: EndpointMonitor, status: EndpointStatus) -> None:
        if status.role != EndpointRole.PREFILL or not self._events_due.expired:
            return
        self._events_due = Deadline.after(EVENTS_INTERVAL_SECONDS)
        try:
            deadline = Deadline.after(STATUS_TIMEOUT_SECONDS)
            events, self._next_event = monitor.events(self._next_event, deadline)
        except EndpointError:
            return
        self._pool.apply_cache_events(self._record.endpoint_id, events)

    def _start_sweep(
        self, process: Process, adapter: EngineAdapter, status: EndpointStatus
    ) -> None:
        """Start a sweep in a separate task, unless one is running.

        An owner that is partitioned or frozen answers late. If the tracker waited for
        it, the endpoint's status would expire, and the endpoint would be unusable for
        every other entry host.
        """
        running = self._sweep_task is not None and not self._sweep_task.done()
        if not self._sweeps or running or not self._next_sweep.expired:
            return
        self._next_sweep = Deadline.after(SWEEP_INTERVAL_SECONDS)
        self._sweep_task = process.start_task(self._sweep, adapter, status)

    def _sweep(self, adapter: EngineAdapter, status: EndpointStatus) -> None:
        """Cancel requests in the engine whose entry process no longer serves them.

        An entry process that is killed cannot cancel its requests, and the engine would
        hold their memory forever. The home asks each live owner; the requests that the
        owner does not know, and those of a dead incarnation, are cancelled.
        """
        held_by_owner: dict[str, list[HeldItem]] = defaultdict(list)
        for item in status.held:
            if item.age_ms >= SWEEP_AGE_MS:
                held_by_owner[item.owner].append(item)
        for owner, items in held_by_owner.items():
            for request in self._orphans(owner, items):
                self._cancel(adapter, request)

    def _orphans(self, owner: str, items: Sequence[HeldItem]) -> list[HeldRequest]:
        endpoint_id = self._record.endpoint_id
        requests = [
            HeldRequest(item.request_id, item.attempt, endpoint_id) for item in items
        ]
        host_id, _, incarnation_text = owner.rpartition("/")
        if not host_id or not incarnation_text.isdigit():
            return []
        incarnation = int(incarnation_text)
        status = self._directory.status_of(host_id, incarnation)
        address = self._directory.address_of(host_id)
        dead = status == HostStatus.DEAD
        if address is None:
            return requests if dead else []
        try:
            closed: list[HeldRequest] = self._clients.get(address).call(
                lambda client: client.closed_requests(incarnation, requests),
                OWNER_TIMEOUT_SECONDS,
            )
        except (PeerUnavailableError, PeerRefusal):
            # A suspected owner is not enough: its callers may still be connected.
            return requests if dead and self._has_ended(owner, address) else []
        return closed

    def _has_ended(self, owner: str, address: str) -> bool:
        """Return whether a host that is considered dead has certainly ended.

        A host that is partitioned from the others, but not from the engines, considers
        all others dead. If it cancelled their requests, it would cut off connected
        callers. An ended process refuses connections at once; one behind a partition
        does not respond, and is considered ended after OWNER_ABSENCE_SECONDS.
        """
        if _refuses_connections(address):
            return True
        limit = Deadline.after(OWNER_ABSENCE_SECONDS)
        return self._absence_limit_by_owner.setdefault(owner, limit).expired

    def _cancel(self, adapter: EngineAdapter, request: HeldRequest) -> None:
        extra = {"request_id": request.request_id, "attempt": request.attempt}
        logger.info("cancelling orphaned request", extra=extra)
        try:
            adapter.cancel(
                request.request_id,
                request.attempt,
                Deadline.after(CANCEL_TIMEOUT_SECONDS),
            )
        except EndpointError as error:
            # The request is still in the engine's status; the next sweep tries again.
            logger.info(
                "cancelling orphaned request failed",
                extra={**extra, "error": str(error)},
            )


def _refuses_connections(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
