"""Checks that limits, backoffs and departures in responses of endpoints are obeyed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Mapping

from soak._bounds import CONTACT_SECONDS, STALL_FACTOR, count_between
from soak._observations import ClientCall, EndpointArrival, Observations, Violation

# How many requests a host may send to an endpoint within a backoff that the endpoint
# asked it for; those of the first BACKOFF_SLACK_SECONDS are not counted.
BACKOFF_REQUESTS = 2
BACKOFF_SLACK_SECONDS = 0.5
# How long after it reported to leave an endpoint may still get requests, in seconds.
DRAIN_SECONDS = 2.0

# By how much an endpoint's limit may be exceeded within a window, and how long after
# its first request to the endpoint a host may take to apply the limit, in seconds.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
LIMIT_APPLY_SECONDS = 1.0

Sender = tuple[str, str]
"""An endpoint's id, and the entry host that sent it requests."""


def check_limits(observations: Observations) -> Iterator[Violation]:
    """Check that hosts which know an endpoint's limit do not exceed it."""
    entry_by_id = {call.request_id: call.entry for call in list(observations.calls)}
    for limit in list(observations.limits):
        notified_at_by_entry: dict[str, float] = {}
        times = []
        for run in sorted(list(observations.runs), key=lambda item: item.started_at):
            entry = entry_by_id.get(run.request_id, "")
            if run.endpoint_id != limit.endpoint_id or not limit.holds(run.started_at):
                continue
            notified_at = notified_at_by_entry.setdefault(entry, run.started_at)
            was_disturbed = observations.disturbed(
                entry, limit.begun_at, run.started_at
            )
            if run.started_at > notified_at + LIMIT_APPLY_SECONDS and not was_disturbed:
                times.append(run.started_at)
        allowed = LIMIT_SHARE * limit.per_second * LIMIT_WINDOW_SECONDS + LIMIT_SLACK
        for until in times:
            count = count_between(times, until - LIMIT_WINDOW_SECONDS, until)
            if until > limit.begun_at + CONTACT_SECONDS and count > allowed:
                message = f"{count} in {LIMIT_WINDOW_SECONDS} s, {allowed} are allowed"
                when = f"{limit.endpoint_id} until {observations.offset(until)}"
                yield Violation("limits of endpoints", when, message)
                break


def check_backoff(observations: Observations) -> Iterator[Violation]:
    """Check that an endpoint gets almost no requests within a backoff it asked for."""
    for sender, arrivals in _by_sender(observations).items():
        for notice in arrivals:
            if not notice.backoff_seconds:
                continue
            until = notice.at + notice.backoff_seconds
            since = notice.at + BACKOFF_SLACK_SECONDS
            since += STALL_FACTOR * observations.stall(notice.at, until)
            late = [item for item in arrivals if since < item.at < until]
            if len(late) <= BACKOFF_REQUESTS or _is_excused(
                observations, sender, notice, until
            ):
                continue
            yield Violation(
                "backoff of endpoints",
                f"{sender[0]} from {sender[1]}, {observations.offset(notice.at)}",
                f"it asked for {notice.backoff_seconds} s and got "
                f"{_format_arrivals(observations, late)}",
            )


def check_leaving(observations: Observations) -> Iterator[Violation]:
    """Check that an endpoint gets no requests after it reported to leave."""
    call_by_id = _calls(observations)
    for sender, arrivals in _by_sender(observations).items():
        notice = next((item for item in arrivals if item.reported_leaving), None)
        if notice is None:
            continue
        stalled = STALL_FACTOR * observations.stall(notice.at, arrivals[-1].at)
        drained_at = notice.at + DRAIN_SECONDS + stalled
        late = [
            item
            for item in arrivals
            if call_by_id[item.request_id].sent_at > drained_at
            and not _is_excused(observations, sender, notice, item.at)
        ]
        if late:
            yield Violation(
                "nothing after it said that it leaves",
                f"{sender[0]} from {sender[1]}",
                f"it reported this at {observations.offset(notice.at)} and got "
                f"{_format_arrivals(observations, late)}",
            )


def _by_sender(observations: Observations) -> Mapping[Sender, list[EndpointArrival]]:
    """Return the requests that each endpoint got from each host, in order."""
    call_by_id = _calls(observations)
    found = defaultdict(list)
    for arrival in sorted(list(observations.arrivals), key=lambda item: item.at):
        call = call_by_id.get(arrival.request_id)
        if call is not None:
            found[arrival.endpoint_id, call.entry].append(arrival)
    return found


def _calls(observations: Observations) -> dict[str, ClientCall]:
    return {call.request_id: call for call in list(observations.calls)}


def _is_excused(
    observations: Observations, sender: Sender, notice: EndpointArrival, until: float
) -> bool:
    """Return whether the host or its link was disturbed since before the notice."""
    begun_at = notice.at - CONTACT_SECONDS
    link = f"entry>{notice.slot}"
    return observations.disturbed(sender[1], begun_at, until) or observations.disturbed(
        link, begun_at, until
    )


def _format_arrivals(
    observations: Observations, arrivals: list[EndpointArrival]
) -> str:
    return ", ".join(
        f"{item.request_id} at {observations.offset(item.at)}" for item in arrivals
    )
