"""One task for each endpoint: asks for its status and sweeps its orphans."""

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

STATUS_INTERVAL = 0.5
QUIET_STATUS_INTERVAL = 1.0
EVENTS_INTERVAL = 1.0
STATUS_TIMEOUT = 1.0
# What is younger than this, in milliseconds, is not asked about: its entry host may
# only just have opened it.
SWEEP_AGE_MS = 1500
SWEEP_INTERVAL = 1.0
OWNER_TIMEOUT = 0.6
CONNECT_TIMEOUT = 0.5
# An owner that is silent for this long, in seconds, is taken for ended. If it was
# only cut off, its streams are resumed elsewhere.
ABSENT_SECONDS = 30.0
CANCEL_TIMEOUT = 1.0


class EndpointTracker:
    """Keeps one endpoint's record fresh while it announces itself here."""

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
        self._absent_until_by_owner: dict[str, Deadline] = {}
        self._next_event = 0
        self._events_due = Deadline.after(0)
        self._monitor = EndpointMonitor(record.announcement.address)

    def run(self, process: Process) -> None:
        """Ask until the endpoint stops announcing itself, or the process stops."""
        while not process.stopped.wait(self._interval()):
            if self._record.announced_until.expired:
                break
            self.step(process)
        self._monitor.close()
        self._pool.forget(self._record)

    def _interval(self) -> float:
        """Return the pause between statuses, longer where nothing depends on it.

        Asking is most of a home's own cost. A standby's view may be older, and that
        of an endpoint that holds nothing too.
        """
        home = self._directory.home_of(self._pool.service_name, self._pool.place)
        is_home = home.host_id == self._directory.own.host_id
        if is_home and self._record.in_use:
            return STATUS_INTERVAL
        return QUIET_STATUS_INTERVAL

    def step(self, process: Process) -> None:
        """Ask once; an endpoint that doesn't answer is used no more when it's due."""
        asked_at = steady_seconds()
        monitor = self._monitor_of_address()
        try:
            status = monitor.status(Deadline.after(STATUS_TIMEOUT))
        except EndpointError as error:
            logger.debug("no status", extra={"error": str(error)})
            return
        if status.endpoint_id != self._record.endpoint_id:
            logger.warning(
                "another endpoint answers at this address",
                extra={"endpoint": self._record.endpoint_id},
            )
            return
        self._pool.observe(self._record.endpoint_id, status, asked_at)
        self._read_events(monitor, status)
        self._start_sweep(process, EngineAdapter(monitor.address), status)

    def _monitor_of_address(self) -> EndpointMonitor:
        """Return the monitor of the address that the endpoint last announced."""
        address = self._record.announcement.address
        if self._monitor.address != address:
            self._monitor.close()
            self._monitor = EndpointMonitor(address)
        return self._monitor

    def _read_events(self, monitor: EndpointMonitor, status: EndpointStatus) -> None:
        if status.role != EndpointRole.PREFILL or not self._events_due.expired:
            return
        self._events_due = Deadline.after(EVENTS_INTERVAL)
        try:
            deadline = Deadline.after(STATUS_TIMEOUT)
            events, self._next_event = monitor.events(self._next_event, deadline)
        except EndpointError:
            return
        self._pool.note_events(self._record.endpoint_id, events)

    def _start_sweep(
        self, process: Process, adapter: EngineAdapter, status: EndpointStatus
    ) -> None:
        """Sweep in a task of its own, one at a time.

        An owner that is cut off or frozen answers late. If the tracker waited for
        it, the endpoint's status would age beyond its lifetime, and the endpoint
        would be lost to every other entry host.
        """
        running = self._sweep_task is not None and not self._sweep_task.done()
        if not self._sweeps or running or not self._next_sweep.expired:
            return
        self._next_sweep = Deadline.after(SWEEP_INTERVAL)
        self._sweep_task = process.start_task(self._sweep, adapter, status)

    def _sweep(self, adapter: EngineAdapter, status: EndpointStatus) -> None:
        """Free what the engine holds for entry processes that serve it no more.

        An entry process that is killed can't cancel what it started, and the engine
        would hold its memory for good. The home asks each living owner; what a dead
        incarnation owned, or what the owner does not know, is cancelled.
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
                OWNER_TIMEOUT,
            )
        except (PeerUnavailableError, PeerRefusal):
            # Suspicion is not enough: its callers may be living ones.
            return requests if dead and self._has_ended(owner, address) else []
        return closed

    def _has_ended(self, owner: str, address: str) -> bool:
        """Say whether a host that is taken for dead has surely ended.

        A host that is cut off from the others, but not from the engines, takes all
        others for dead. If it swept what they own, it would cancel the requests of
        living callers. A process that has ended refuses connections at once; one
        beyond a cut is silent, and is given ABSENT_SECONDS.
        """
        if _refuses_connections(address):
            return True
        limit = Deadline.after(ABSENT_SECONDS)
        return self._absent_until_by_owner.setdefault(owner, limit).expired

    def _cancel(self, adapter: EngineAdapter, request: HeldRequest) -> None:
        extra = {"request_id": request.request_id, "attempt": request.attempt}
        logger.info("cancelling an orphaned request", extra=extra)
        try:
            adapter.cancel(
                request.request_id, request.attempt, Deadline.after(CANCEL_TIMEOUT)
            )
        except EndpointError as error:
            # It is still in the engine's list, so the next sweep asks again.
            logger.info("cancel failed", extra={**extra, "error": str(error)})


def _refuses_connections(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
