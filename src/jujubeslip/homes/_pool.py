"""The endpoints of one service in one zone or region, and their request queue."""

from __future__ import annotations

import bisect
import itertools
import threading
from collections.abc import Sequence

from jujubeslip.endpoints import CacheEvent, EndpointStatus
from jujubeslip.homes._forecast import Forecast
from jujubeslip.homes._progress import apply_progress
from jujubeslip.homes._records import (
    ANNOUNCEMENT_LIFETIME_SECONDS,
    EndpointRecord,
    GrantRecord,
    Waiter,
)
from jujubeslip.homes._scheduler import Choice, Scheduler, SchedulerOptions
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import (
    Announcement,
    EndpointRole,
    Grant,
    GrantProgress,
    PoolStatus,
    ReserveReply,
    ReserveRequest,
    ReserveStatus,
)

# A reserve call replies PENDING after this time, in seconds, and the entry host calls
# again, so an unresponsive connection is detected within one call.
POLL_SECONDS = 0.25
# A waiting request whose entry host stopped polling is dropped after this time, in
# seconds.
POLLING_LIFETIME_SECONDS = 2.0
# A grant that reports no progress and is not held by its endpoints is dropped after
# this time, in seconds.
GRANT_SILENCE_SECONDS = 3.0
NO_ENDPOINT_WAIT_SECONDS = 3600.0
# A new home receives the announcements of all its endpoints within this time, in
# seconds, since they announce themselves every second. Until then, it must not refuse
# requests for lack of endpoints.
DISCOVERY_SECONDS = 2.5


class Pool:
    """Grants the capacity of its endpoints by priority, then by deadline."""

    def __init__(
        self, service_name: str, locality: str, options: SchedulerOptions
    ) -> None:
        self.service_name = service_name
        self.locality = locality
        self.discovered_by = Deadline.after(DISCOVERY_SECONDS)
        self.queue_wait_ms = 0
        self.load = 0.0
        self.scheduler = Scheduler(options)
        self._queue: list[Waiter] = []
        self._waiter_by_key: dict[tuple[str, int], Waiter] = {}
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)

    # Endpoints

    def announce(self, announcement: Announcement) -> EndpointRecord:
        """Add or refresh an endpoint; once leaving, an incarnation stays leaving."""
        with self._lock:
            known = self.scheduler.record_by_id.get(announcement.endpoint_id)
            if known is None or announcement.incarnation > known.incarnation:
                return self._add_endpoint(announcement)
            if announcement.incarnation < known.incarnation:
                return known
            if known.announcement.leaving:
                announcement.leaving = True
            known.announcement = announcement
            known.announced_until = Deadline.after(ANNOUNCEMENT_LIFETIME_SECONDS)
            if announcement.leaving:
                self.scheduler.endpoints_changed()
            return known

    def _add_endpoint(self, announcement: Announcement) -> EndpointRecord:
        record = EndpointRecord(announcement)
        self.scheduler.record_by_id[record.endpoint_id] = record
        self.scheduler.prefixes.remove_endpoint(record.endpoint_id)
        self.scheduler.endpoints_changed()
        return record

    def observe(
        self, endpoint_id: str, status: EndpointStatus, requested_at: float
    ) -> None:
        """Record an endpoint's status and drop the grants that it contradicts."""
        with self._lock:
            record = self.scheduler.record_by_id.get(endpoint_id)
            if record is None:
                return
            before = (record.usable, record.role)
            record.observe(status, requested_at)
            if before != (record.usable, record.role):
                self.scheduler.endpoints_changed()
            self.scheduler.grants.count_foreign_requests(record)
            self._drop_stale_grants(record)
            self._dispatch()

    def apply_cache_events(
        self, endpoint_id: str, events: Sequence[CacheEvent]
    ) -> None:
        """Apply the cache events of an endpoint to the prefix index."""
        with self._lock:
            self.scheduler.prefixes.apply_events(endpoint_id, events)

    def remove_endpoint(self, record: EndpointRecord) -> None:
        """Remove an endpoint that stopped announcing itself, unless it was replaced."""
        with self._lock:
            record_by_id = self.scheduler.record_by_id
            if record_by_id.get(record.endpoint_id) is record:
                del record_by_id[record.endpoint_id]
                self.scheduler.prefixes.remove_endpoint(record.endpoint_id)
                self.scheduler.endpoints_changed()

    def _drop_stale_grants(self, record: EndpointRecord) -> None:
        """Drop grants whose release report was lost, for example with their entry host.

        Such a grant would use a slot that the engine has already freed. It is dropped
        once the statuses of both endpoints, requested after its last progress report,
        no longer list it.
        """
        grants = [*record.prefill_grants.values(), *record.decode_grants.values()]
        for grant in grants:
            silent_seconds = record.status_requested_at - grant.progressed_at
            if silent_seconds >= GRANT_SILENCE_SECONDS and not self._is_held(grant):
                self.scheduler.grants.remove(grant)

    def _is_held(self, grant: GrantRecord) -> bool:
        for endpoint_id in (grant.prefill_id, grant.decode_id):
            record = self.scheduler.record_by_id.get(endpoint_id)
            if record is None or record.status is None:
                continue
            if record.status_requested_at <= grant.progressed_at:
                return True
            held = {(item.request_id, item.attempt) for item in record.status.held}
            if grant.key in held:
                return True
        return False

    # Requests

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Return a grant, a refusal, or PENDING if there is neither in POLL_SECONDS."""
        waiter = self._find_or_add_waiter(request)
        waiter.answered.wait(min(POLL_SECONDS, waiter.wait_until.remaining() + 0.01))
        with self._lock:
            if waiter.reply is None and waiter.wait_until.expired:
                self._refuse_expired(waiter)
            reply = waiter.reply or ReserveReply(ReserveStatus.PENDING, None, "", 0)
            reply.queue_wait_ms = self.queue_wait_ms
            reply.load = self.load
            return reply

    def _find_or_add_waiter(self, request: ReserveRequest) -> Waiter:
        key = (request.request_id, request.attempt)
        with self._lock:
            waiter = self._waiter_by_key.get(key)
            if waiter is None:
                waiter = Waiter(request)
                self._waiter_by_key[key] = waiter
                self._admit(waiter)
            waiter.polled_until = Deadline.after(POLLING_LIFETIME_SECONDS)
            return waiter

    def _admit(self, waiter: Waiter) -> None:
        self.scheduler.record_arrival(waiter)
        if self.scheduler.options.priority_order:
            bisect.insort(self._queue, waiter, key=lambda item: item.order)
        else:
            self._queue.append(waiter)
        self._dispatch()
        if waiter.reply is None:
            self._refuse_new_if_unservable(waiter)

    def withdraw(self, request: ReserveRequest) -> None:
        """Remove a request whose caller has disconnected, and its unused grant if any.

        Otherwise the request would stay in the queue until its polling lifetime ends,
        and a grant made in that time would hold capacity for no caller.
        """
        with self._lock:
            waiter = self._waiter_by_key.get((request.request_id, request.attempt))
            if waiter is None:
                return
            self._remove(waiter)
            if waiter.reply is not None and waiter.reply.grant is not None:
                grant = self.scheduler.grants.by_id.get(waiter.reply.grant.grant_id)
                if grant is not None:
                    self.scheduler.grants.remove(grant)
            self._dispatch()

    def progress(self, progress: GrantProgress) -> None:
        """Apply a progress report to its grant, then grant the capacity freed by it."""
        with self._lock:
            grant = self.scheduler.grants.by_id.get(progress.grant_id)
            if progress.failed_endpoint_id:
                self._record_failure(progress.failed_endpoint_id)
            if grant is not None:
                apply_progress(self.scheduler, grant, progress)
            self._dispatch()

    def _record_failure(self, endpoint_id: str) -> None:
        record = self.scheduler.record_by_id.get(endpoint_id)
        if record is not None:
            record.record_failure()
            self.scheduler.endpoints_changed()

    # Queue

    def tick(self) -> None:
        """Drop abandoned requests, refuse unservable ones, and grant free capacity."""
        with self._lock:
            for waiter in list(self._waiter_by_key.values()):
                if waiter.polled_until.expired:
                    self._remove(waiter)
                elif waiter.reply is None and waiter.wait_until.expired:
                    self._refuse_expired(waiter)
            self._refuse_unservable()
            self._dispatch()
            self.scheduler.grants.prune_released()
            self._update_load()

    def _update_load(self) -> None:
        """Update the queue wait and the load that rules evaluate."""
        self.queue_wait_ms = int(1000 * self._forecast_wait())
        slots = self._usable_slots()
        grants = len(self.scheduler.grants.by_id)
        self.load = grants / slots if slots else 1.0

    def _usable_slots(self) -> int:
        return sum(
            record.slots
            for record in self.scheduler.record_by_id.values()
            if record.role != EndpointRole.PREFILL and record.usable
        )

    def _dispatch(self) -> None:
        for waiter in list(self._queue):
            choice = self.scheduler.choose(waiter)
            if choice is not None:
                self._grant(waiter, choice)
                continue
            # Later requests may overtake only a request that avoids some endpoints.
            if not waiter.request.avoid_endpoint_ids:
                return

    def _grant(self, waiter: Waiter, choice: Choice) -> None:
        self._queue.remove(waiter)
        grant_id = f"{waiter.request.request_id}/{next(self._numbers)}"
        record = GrantRecord(
            grant_id,
            waiter.request,
            choice.prefill.endpoint_id if choice.prefill else "",
            choice.decode.endpoint_id,
            choice.prefill_ends,
            choice.transfer_seconds,
            choice.releases_at,
        )
        self.scheduler.grants.add(record)
        grant = Grant(
            grant_id,
            choice.prefill.reference if choice.prefill else None,
            choice.decode.reference,
            choice.cached_tokens,
        )
        waiter.answer(ReserveReply(ReserveStatus.GRANTED, grant, "", 0))

    def _refuse_unservable(self) -> None:
        """Refuse queued requests that would miss their first token target."""
        if not self._queue or not self.scheduler.options.early_refusal:
            return
        forecast = Forecast(self.scheduler, self._is_plain())
        if not forecast.has_endpoints:
            for waiter in list(self._queue):
                self._refuse_without_endpoints(waiter)
            return
        for waiter, first_token_at in forecast.first_token_times(list(self._queue)):
            self._refuse_if_late(waiter, first_token_at, forecast)

    def _refuse_new_if_unservable(self, waiter: Waiter) -> None:
        """Refuse a new request if its first token would be late."""
        if not self.scheduler.options.early_refusal:
            return
        forecast = Forecast(self.scheduler, self._is_plain())
        if not forecast.has_endpoints:
            self._refuse_without_endpoints(waiter)
            return
        ahead = itertools.takewhile(lambda item: item is not waiter, self._queue)
        first_token_at = forecast.first_token_time(waiter, ahead)
        self._refuse_if_late(waiter, first_token_at, forecast)

    def _refuse_if_late(
        self, waiter: Waiter, first_token_at: float, forecast: Forecast
    ) -> None:
        late = first_token_at - waiter.first_token_by.timestamp
        if late > 0:
            retry = forecast.retry_seconds(waiter, late)
            self._refuse(waiter, "the first token would be late", retry)

    def _refuse_without_endpoints(self, waiter: Waiter) -> None:
        if self.discovered_by.expired:
            self._refuse(waiter, "no endpoint is usable", 1.0)

    def _refuse_expired(self, waiter: Waiter) -> None:
        forecast = Forecast(self.scheduler, self._is_plain())
        retry = forecast.retry_seconds(waiter, 0.0)
        self._refuse(waiter, "the wait limit has passed", retry)

    def _refuse(self, waiter: Waiter, reason: str, retry_after: float) -> None:
        if waiter in self._queue:
            self._queue.remove(waiter)
        milliseconds = int(retry_after * 1000)
        waiter.answer(ReserveReply(ReserveStatus.REFUSED, None, reason, milliseconds))

    def _is_plain(self) -> bool:
        records = self.scheduler.record_by_id.values()
        return any(record.role == EndpointRole.PLAIN for record in records)

    def _remove(self, waiter: Waiter) -> None:
        if waiter in self._queue:
            self._queue.remove(waiter)
        key = (waiter.request.request_id, waiter.request.attempt)
        self._waiter_by_key.pop(key, None)

    # Views

    def usable(self, role: EndpointRole) -> list[EndpointRecord]:
        """Return the usable endpoints of a role."""
        with self._lock:
            return self.scheduler.candidates(role, [])

    def _forecast_wait(self) -> float:
        """Return the forecast wait of a short standard request, in seconds."""
        forecast = Forecast(self.scheduler, self._is_plain())
        if not forecast.has_endpoints:
            return NO_ENDPOINT_WAIT_SECONDS
        request = ReserveRequest(
            request_id="",
            attempt=0,
            priority=1,
            first_token_remaining_ms=0,
            wait_remaining_ms=0,
            prompt_tokens=1,
            output_tokens=1,
            prefix_hashes=[],
            avoid_endpoint_ids=[],
            prefill_endpoint_id="",
        )
        first_token_at = forecast.first_token_time(Waiter(request), self._queue)
        return max(0.0, first_token_at - steady_seconds())

    def status(self) -> PoolStatus:
        """Return counts for operators."""
        with self._lock:
            records = list(self.scheduler.record_by_id.values())
            return PoolStatus(
                self.service_name,
                len(records),
                sum(1 for record in records if record.usable),
                self._usable_slots(),
                len(self.scheduler.grants.by_id),
                len(self._queue),
            )
