"""One service's endpoints in one zone or region, with the queue for them."""

from __future__ import annotations

import bisect
import itertools
import threading
import time

from jujubeslip.endpoints import EndpointStatus
from jujubeslip.homes._records import (
    ANNOUNCEMENT_LIFETIME,
    EndpointRecord,
    GrantRecord,
    Waiter,
)
from jujubeslip.homes._scheduler import URGENT, Choice, Scheduler, SchedulerOptions
from jujubeslip.kernel import Deadline
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

# A reserve call answers PENDING after this time, in seconds, and is asked again; so a
# connection that went silent is found within one call.
POLL_SECONDS = 0.4
# A waiting request whose entry host stopped asking is dropped after this time.
ASKED_LIFETIME = 2.0
# A grant that neither moved on nor shows on its endpoints is dropped after this time.
GRANT_SILENCE_SECONDS = 3.0
MINIMUM_RETRY_SECONDS = 0.2
# A home that has just taken over hears of all its endpoints within this time, since
# they announce themselves each second; until then it can't say that there are none.
LEARNING_SECONDS = 2.5


class Pool:
    """Grants an endpoint's capacity in order of priority, then deadline."""

    def __init__(
        self, service_name: str, place: str, options: SchedulerOptions
    ) -> None:
        self.service_name = service_name
        self.place = place
        self.learned_by = Deadline.after(LEARNING_SECONDS)
        self.queue_wait_ms = 0
        self.load = 0.0
        self.scheduler = Scheduler(options)
        self._queue: list[Waiter] = []
        self._waiter_by_key: dict[tuple[str, int], Waiter] = {}
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)

    # Endpoints

    def announce(self, announcement: Announcement) -> EndpointRecord:
        """Enter or renew an endpoint; leaving is final for an incarnation."""
        with self._lock:
            record_by_id = self.scheduler.record_by_id
            record = record_by_id.get(announcement.endpoint_id)
            if record is None:
                record = EndpointRecord(announcement)
                record_by_id[announcement.endpoint_id] = record
                return record
            known = record.announcement
            if announcement.incarnation < known.incarnation:
                return record
            if announcement.incarnation > known.incarnation:
                record = EndpointRecord(announcement)
                record_by_id[announcement.endpoint_id] = record
                return record
            if known.leaving:
                announcement.leaving = True
            record.announcement = announcement
            record.announced_until = Deadline.after(ANNOUNCEMENT_LIFETIME)
            return record

    def observe(
        self, endpoint_id: str, status: EndpointStatus, asked_at: float
    ) -> None:
        """Take over an endpoint's status and drop grants that it disproves."""
        with self._lock:
            record = self.scheduler.record_by_id.get(endpoint_id)
            if record is None:
                return
            record.observe(status, asked_at)
            self._drop_silent_grants(asked_at)
            self._dispatch()

    def forget(self, record: EndpointRecord) -> None:
        """Drop an endpoint that announces itself no more, but no later incarnation."""
        with self._lock:
            record_by_id = self.scheduler.record_by_id
            if record_by_id.get(record.endpoint_id) is record:
                del record_by_id[record.endpoint_id]

    def _drop_silent_grants(self, asked_at: float) -> None:
        """Drop grants whose release was lost, as when their entry host died.

        Such a grant would hold a slot that the engine has long freed. It is dropped
        once both endpoints, asked later than its last progress, don't hold it.
        """
        for grant in list(self.scheduler.grant_by_id.values()):
            if asked_at - grant.progressed_at < GRANT_SILENCE_SECONDS:
                continue
            if not self._is_held(grant):
                del self.scheduler.grant_by_id[grant.grant_id]

    def _is_held(self, grant: GrantRecord) -> bool:
        for endpoint_id in (grant.prefill_id, grant.decode_id):
            record = self.scheduler.record_by_id.get(endpoint_id)
            if record is None or record.status is None:
                continue
            if record.status_asked_at <= grant.progressed_at:
                return True
            held = {(item.request_id, item.attempt) for item in record.status.held}
            if grant.key in held:
                return True
        return False

    # Requests

    def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Return a grant, a refusal, or PENDING if neither came in POLL_SECONDS."""
        waiter = self._enter(request)
        waiter.answered.wait(min(POLL_SECONDS, waiter.wait_until.remaining() + 0.01))
        with self._lock:
            if waiter.reply is None:
                self._refuse_if_hopeless(waiter)
            reply = waiter.reply or ReserveReply(ReserveStatus.PENDING, None, "", 0)
            reply.queue_wait_ms = self.queue_wait_ms
            reply.load = self.load
            return reply

    def _enter(self, request: ReserveRequest) -> Waiter:
        key = (request.request_id, request.attempt)
        with self._lock:
            waiter = self._waiter_by_key.get(key)
            if waiter is None:
                waiter = Waiter(request)
                self._waiter_by_key[key] = waiter
                self._admit(waiter)
            waiter.asked_until = Deadline.after(ASKED_LIFETIME)
            return waiter

    def _admit(self, waiter: Waiter) -> None:
        self.scheduler.note_arrival(waiter)
        if self.scheduler.options.priority_order:
            bisect.insort(self._queue, waiter, key=lambda item: item.order)
        else:
            self._queue.append(waiter)
        self._dispatch()
        if waiter.reply is None:
            self._refuse_if_hopeless(waiter)

    def progress(self, progress: GrantProgress) -> None:
        """Note what became of a grant, learn from it, and grant what came free."""
        with self._lock:
            grant = self.scheduler.grant_by_id.get(progress.grant_id)
            if progress.failed_endpoint_id:
                self._note_failure(progress.failed_endpoint_id)
            if grant is not None:
                self._note_progress(grant, progress)
            self._dispatch()

    def _note_failure(self, endpoint_id: str) -> None:
        record = self.scheduler.record_by_id.get(endpoint_id)
        if record is not None:
            record.failed()

    def _note_progress(self, grant: GrantRecord, progress: GrantProgress) -> None:
        now = time.monotonic()
        if progress.prefill_finished and not grant.prefill_finished:
            self._note_prefill(grant, progress.prefill_tokens, now)
        if progress.transfer_finished and not grant.transfer_finished_at:
            self._note_transfer(grant, now)
        if progress.released:
            self._note_release(grant, progress, now)
        grant.progressed_at = now

    def _note_prefill(
        self, grant: GrantRecord, computed_tokens: int, now: float
    ) -> None:
        grant.prefill_finished = True
        record = self.scheduler.record_by_id.get(grant.prefill_id)
        if record is None:
            return
        started = max(grant.granted_at, record.last_prefill_finished_at)
        record.last_prefill_finished_at = now
        if computed_tokens > 0:
            record.prefill_seconds_per_token.add((now - started) / computed_tokens)
        record.remember_prefixes(
            grant.request.prefix_hashes, grant.request.prompt_tokens
        )
        record.succeeded()

    def _note_transfer(self, grant: GrantRecord, now: float) -> None:
        grant.transfer_finished_at = now
        estimates = self.scheduler.estimates
        if grant.prefill_finished:
            seconds = now - max(grant.progressed_at, grant.granted_at)
            estimates.transfer_seconds_per_token.add(
                seconds / max(1, grant.request.prompt_tokens)
            )
        hold = estimates.decode_seconds(grant.request.output_tokens)
        grant.releases = Deadline(now + hold)

    def _note_release(
        self, grant: GrantRecord, progress: GrantProgress, now: float
    ) -> None:
        del self.scheduler.grant_by_id[grant.grant_id]
        estimates = self.scheduler.estimates
        if progress.output_tokens <= 0 or not grant.transfer_finished_at:
            return
        seconds = now - grant.transfer_finished_at
        estimates.decode_seconds_per_token.add(seconds / progress.output_tokens)
        estimates.output_share.add(
            progress.output_tokens / max(1, grant.request.output_tokens)
        )
        if grant.request.priority == URGENT:
            estimates.urgent_seconds.add(now - grant.granted_at)
        record = self.scheduler.record_by_id.get(grant.decode_id)
        if record is not None:
            record.succeeded()

    # Queue

    def tick(self) -> None:
        """Drop and refuse what can't be served any more; grant what can."""
        with self._lock:
            for waiter in list(self._waiter_by_key.values()):
                if waiter.asked_until.expired:
                    self._remove(waiter)
                elif waiter.reply is None:
                    self._refuse_if_hopeless(waiter)
            self._dispatch()
            self._publish()

    def _publish(self) -> None:
        """Refresh the forecast that rules ask about."""
        self.queue_wait_ms = int(1000 * self._forecast_wait())
        slots = self._usable_slots()
        grants = len(self.scheduler.grant_by_id)
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
            # Others may pass only one that waits for a particular endpoint.
            if not waiter.request.avoid_endpoint_ids:
                return

    def _grant(self, waiter: Waiter, choice: Choice) -> None:
        self._queue.remove(waiter)
        grant_id = f"{waiter.request.request_id}/{next(self._numbers)}"
        self.scheduler.grant_by_id[grant_id] = GrantRecord(
            grant_id,
            waiter.request,
            choice.prefill.endpoint_id if choice.prefill else "",
            choice.decode.endpoint_id,
            choice.prefill_ends,
            choice.releases,
        )
        grant = Grant(
            grant_id,
            choice.prefill.reference if choice.prefill else None,
            choice.decode.reference,
            choice.cached_tokens,
        )
        waiter.answer(ReserveReply(ReserveStatus.GRANTED, grant, "", 0))

    def _refuse_if_hopeless(self, waiter: Waiter) -> None:
        """Refuse at once what would miss its first-token target; say when to return."""
        if waiter.wait_until.expired:
            self._refuse(waiter, "the wait limit has passed", MINIMUM_RETRY_SECONDS)
            return
        if not self.scheduler.options.early_refusal:
            return
        ahead = itertools.takewhile(lambda item: item is not waiter, self._queue)
        forecast = self.scheduler.forecast_first_token(waiter, ahead)
        late = forecast - waiter.first_token_by.remaining()
        if forecast == float("inf"):
            if self._has_usable_endpoints() or not self.learned_by.expired:
                return
            self._refuse(waiter, "no endpoint is usable", 1.0)
        elif late > 0:
            self._refuse(waiter, "the first token would be late", late)

    def _has_usable_endpoints(self) -> bool:
        if self._is_plain():
            return bool(self.scheduler.candidates(EndpointRole.PLAIN, []))
        return all(
            self.scheduler.candidates(role, [])
            for role in (EndpointRole.PREFILL, EndpointRole.DECODE)
        )

    def _is_plain(self) -> bool:
        records = self.scheduler.record_by_id.values()
        return any(record.role == EndpointRole.PLAIN for record in records)

    def _refuse(self, waiter: Waiter, reason: str, retry_after: float) -> None:
        if waiter in self._queue:
            self._queue.remove(waiter)
        milliseconds = int(max(MINIMUM_RETRY_SECONDS, retry_after) * 1000)
        waiter.answer(ReserveReply(ReserveStatus.REFUSED, None, reason, milliseconds))

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
            plain=self._is_plain(),
        )
        forecast = self.scheduler.forecast_first_token(Waiter(request), self._queue)
        return 3600.0 if forecast == float("inf") else forecast

    def status(self) -> PoolStatus:
        """Return counts for operators."""
        with self._lock:
            records = list(self.scheduler.record_by_id.values())
            return PoolStatus(
                self.service_name,
                len(records),
                sum(1 for record in records if record.usable),
                self._usable_slots(),
                len(self.scheduler.grant_by_id),
                len(self._queue),
            )
