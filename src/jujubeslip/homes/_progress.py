"""Progress reports of grants, and the speeds that a home learns from them."""

from __future__ import annotations

from jujubeslip.homes._records import URGENT, GrantRecord
from jujubeslip.homes._scheduler import Scheduler
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import GrantProgress


def apply_progress(
    scheduler: Scheduler, grant: GrantRecord, progress: GrantProgress
) -> None:
    """Update a grant from a progress report, and the speed estimates with it."""
    now = steady_seconds()
    if progress.prefill_finished and not grant.prefill_finished:
        _apply_prefill_finished(scheduler, grant, progress.prefill_tokens, now)
    if progress.transfer_finished and not grant.transfer_finished_at:
        _apply_transfer_finished(scheduler, grant, now)
    if progress.released:
        _apply_release(scheduler, grant, progress, now)
    grant.progressed_at = now


def _apply_prefill_finished(
    scheduler: Scheduler, grant: GrantRecord, computed_tokens: int, now: float
) -> None:
    scheduler.grants.finish_prefill(grant)
    record = scheduler.record_by_id.get(grant.prefill_id)
    if record is None:
        return
    started = max(grant.granted_at, record.last_prefill_finished_at)
    record.last_prefill_finished_at = now
    record.prefill_seconds.add(computed_tokens, now - started)
    scheduler.prefixes.record_prefill(grant.prefill_id, grant.request.prefix_hashes)
    record.record_success()


def _apply_transfer_finished(
    scheduler: Scheduler, grant: GrantRecord, now: float
) -> None:
    grant.transfer_finished_at = now
    scheduler.grants.finish_transfer(grant)
    estimates = scheduler.estimates
    if grant.prefill_finished:
        seconds = now - max(grant.progressed_at, grant.granted_at)
        estimates.transfer_seconds.add(grant.request.prompt_tokens, seconds)
    hold = estimates.hold_seconds(grant.request.output_tokens)
    grant.releases_at = Deadline(now + hold)


def _apply_release(
    scheduler: Scheduler, grant: GrantRecord, progress: GrantProgress, now: float
) -> None:
    scheduler.grants.remove(grant)
    if progress.output_tokens <= 0:
        return
    started = grant.granted_at if grant.request.plain else grant.transfer_finished_at
    if not started:
        return
    estimates = scheduler.estimates
    estimates.decode_seconds.add(progress.output_tokens, now - started)
    limit = max(1, grant.request.output_tokens)
    estimates.output_share.add(progress.output_tokens / limit)
    if grant.request.priority == URGENT:
        estimates.urgent_seconds.add(now - grant.granted_at)
    record = scheduler.record_by_id.get(grant.decode_id)
    if record is not None:
        record.record_success()
