"""Checks of the guarantees on what clients, operators and endpoints observed."""

from __future__ import annotations

import math
import re
import time
from collections import defaultdict
from collections.abc import Callable, Iterator

from soak._bounds import CONTACT_SECONDS, STALL_FACTOR, count_between
from soak._crash_checks import check_fatal_contents, is_fatal
from soak._endpoints import STREAM_EVENTS
from soak._notice_checks import check_backoff, check_leaving, check_limits
from soak._observations import (
    ClientCall,
    Departure,
    Kind,
    Observations,
    Outcome,
    Run,
    Violation,
)
from soak._operator import MAXIMUM_ATTEMPTS
from soak._partition_checks import check_partitions
from soak._system import (
    RETRY_ALLOWANCE,
    RETRY_RATIO,
    RETRY_WINDOW_MS,
    STOP_LIMIT_MS,
)
from tests.fakes.platform_worker import stamp

# How long after a control host acknowledged its removal an endpoint may still receive
# requests, and how long a connected host may not know an acknowledged configuration, in
# seconds. Both take milliseconds; the margin is for a busy machine, and is extended by
# the stalls that were measured.
LEAVE_SECONDS = 1.5
APPLY_SECONDS = 5.0
# How long after its client disconnected an endpoint may take to see that, in seconds; a
# stream that lasts longer must not be processed to its end.
DISCONNECT_SECONDS = 4.0
# How long a host may take to detect that a client disconnected, in seconds. An endpoint
# that ends within that time need not be notified.
DETECTION_SECONDS = 0.5
# A stop may interrupt a request that was sent within its first EARLY_SECONDS and still
# runs after LATE_SHARE of the stop limit.
LATE_SHARE = 5 / 6
EARLY_SECONDS = 3.0
# How much longer than its limit a stop may take, in seconds.
STOP_MARGIN_SECONDS = 10.0
NOT_RUN = frozenset({408, 421, 429, 503})
EVENT = re.compile(rb"id: (\d+)\ndata: token-(\d+)\n\n")
WINDOW_SECONDS = RETRY_WINDOW_MS / 1000
Check = Callable[[Observations], Iterator[Violation]]


def find_violations(observations: Observations) -> list[Violation]:
    """Return every violation of a guarantee so far."""
    return [violation for check in CHECKS for violation in check(observations)]


def check_runs(observations: Observations) -> Iterator[Violation]:
    """Check that a request runs at most once, or as often as its route allows."""
    runs_by_id = observations.runs_by_request_id()
    kind_by_name = {kind.value: kind for kind in Kind}
    for request_id, runs in runs_by_id.items():
        kind = kind_by_name.get(request_id.partition("-")[0])
        if kind is None or not all(run.intact for run in runs):
            yield Violation(
                "nothing that was not asked",
                request_id or "a request without an id",
                f"no client sent this request: {_format_runs(observations, runs)}",
            )
            continue
        allowed = 1 if kind.runs_once else MAXIMUM_ATTEMPTS
        if len(runs) > allowed:
            yield Violation(
                "at most once" if kind.runs_once else "attempts of a request",
                request_id,
                f"it ran {len(runs)} times: {_format_runs(observations, runs)}",
            )


def check_refusals(observations: Observations) -> Iterator[Violation]:
    """Check that a request refused as not run never runs, also not later."""
    runs_by_id = observations.runs_by_request_id()
    for call in list(observations.calls):
        runs = runs_by_id.get(call.request_id)
        answered = call.outcome is Outcome.ANSWERED and call.status in NOT_RUN
        if answered and runs and call.kind.runs_once:
            yield Violation(
                "true refusals",
                call.request_id,
                f"{call.entry} answered {call.status} "
                f"at {observations.offset(call.ended_at)}, and it ran: "
                f"{_format_runs(observations, runs)}",
            )


def check_answers(observations: Observations) -> Iterator[Violation]:
    """Check that responses are complete, in order and from an endpoint they ran at."""
    runs_by_id = observations.runs_by_request_id()
    for call in list(observations.calls):
        problem = _find_problem(observations, call, runs_by_id.get(call.request_id, []))
        if problem:
            yield Violation(
                "whole answers in order",
                call.request_id,
                f"{call.entry}, {observations.offset(call.sent_at)} "
                f"to {observations.offset(call.ended_at)}, "
                f"{call.outcome.value}: {problem}",
            )


def _find_problem(observations: Observations, call: ClientCall, runs: list[Run]) -> str:
    if call.status == 404 and call.kind is not Kind.PROBE:
        return "404 for a route that every configuration contains"
    if call.echoed_id not in ("", call.request_id):
        return f"the response has the request id {call.echoed_id!r}"
    endpoint_id = call.stamp.partition(".")[0]
    if call.stamp and call.stamp != stamp(endpoint_id, call.request_id, call.status):
        return f"the stamp of a {call.status} for the request is {call.stamp!r}"
    if call.status != 200:
        return ""
    if not call.echoed_id:
        return "the response has no request id"
    if endpoint_id not in {run.endpoint_id for run in runs}:
        return f"{endpoint_id!r} answered without having run the request"
    complete = call.outcome is Outcome.ANSWERED
    if call.kind.is_stream:
        return _find_stream_problem(call.body, complete)
    if complete and call.body != observations.answer_by_endpoint[endpoint_id]:
        return f"the body differs from that of {endpoint_id}: {call.body[:60]!r}"
    return ""


def _find_stream_problem(body: bytes, complete: bool) -> str:
    numbers = [int(number) for number, _ in EVENT.findall(body)]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events out of order: {numbers}"
    rest = EVENT.sub(b"", body)
    if rest and (complete or body.endswith(b"\n\n")):
        return f"bytes that belong to no event: {rest[:60]!r}"
    if complete and len(numbers) != STREAM_EVENTS:
        return f"the stream ended normally after event {len(numbers)}"
    return ""


def check_losses(observations: Observations) -> Iterator[Violation]:
    """Check that a request that ran is answered, also while its entry host stops."""
    runs_by_id = observations.runs_by_request_id()
    for call in list(observations.calls):
        runs = runs_by_id.get(call.request_id, [])
        if call.outcome not in (Outcome.CUT, Outcome.SILENT) or is_fatal(call):
            continue
        if call.outcome is Outcome.CUT and not runs:
            continue
        if _is_excused(observations, call, runs) or _ends_late_in_stop(
            observations, call
        ):
            continue
        yield Violation(
            "requests that are lost",
            call.request_id,
            f"{call.entry} gave no complete response "
            f"from {observations.offset(call.sent_at)} "
            f"to {observations.offset(call.ended_at)} "
            f"({call.outcome.value}, {call.error}, "
            f"{len(call.body)} bytes): {_format_runs(observations, runs)}",
        )


def _is_excused(observations: Observations, call: ClientCall, runs: list[Run]) -> bool:
    """Return whether a fault explains that the response is missing."""
    begun_at = call.sent_at - CONTACT_SECONDS
    link = f"client>{call.entry}"
    if observations.disturbed(link, call.connected_at, call.ended_at):
        return True
    if observations.disturbed(call.entry, begun_at, call.ended_at, planned=False):
        return True
    return any(_is_endpoint_disturbed(observations, run, call.ended_at) for run in runs)


def _is_endpoint_disturbed(
    observations: Observations, run: Run, ended_at: float
) -> bool:
    begun_at = run.started_at - CONTACT_SECONDS
    return observations.disturbed(
        run.slot, begun_at, ended_at
    ) or observations.disturbed(f"entry>{run.slot}", begun_at, ended_at)


def _ends_late_in_stop(observations: Observations, call: ClientCall) -> bool:
    for end in list(observations.ends):
        if end.host != call.entry or end.requested_at is None:
            continue
        late_from = end.requested_at + LATE_SHARE * STOP_LIMIT_MS / 1000
        early = call.sent_at <= end.requested_at + EARLY_SECONDS
        if early and late_from <= call.ended_at <= end.ended_at + CONTACT_SECONDS:
            return True
    return False


def check_departures(observations: Observations) -> Iterator[Violation]:
    """Check that nothing is sent to an endpoint after its removal is acknowledged."""
    departure_by_id = {item.endpoint_id: item for item in list(observations.departures)}
    call_by_id = {call.request_id: call for call in list(observations.calls)}
    for run in list(observations.runs):
        departure = departure_by_id.get(run.endpoint_id)
        call = call_by_id.get(run.request_id)
        if departure is None or call is None:
            continue
        if _is_late(observations, run, departure, call):
            yield Violation(
                "nothing after leaving",
                f"{run.endpoint_id} from {call.entry}",
                f"it left by {departure.manner}, acknowledged by {departure.control} "
                f"at {observations.offset(departure.acknowledged_at)}, and was sent "
                f"{run.request_id} at {observations.offset(run.started_at)}",
            )


def _is_late(
    observations: Observations, run: Run, departure: Departure, call: ClientCall
) -> bool:
    acknowledged_at = departure.acknowledged_at
    stalled = STALL_FACTOR * observations.stall(acknowledged_at, run.started_at)
    if run.started_at < acknowledged_at + LEAVE_SECONDS + stalled:
        return False
    contact_from = run.started_at - CONTACT_SECONDS
    held_up = observations.disturbed(f"entry>{run.slot}", call.sent_at, run.started_at)
    return not (
        held_up or observations.disturbed(call.entry, contact_from, run.started_at)
    )


def check_configurations(observations: Observations) -> Iterator[Violation]:
    """Check that a configuration once acknowledged or read is never reverted."""
    puts = list(observations.put_by_version.values())
    acknowledged = sorted(
        (put.acknowledged_at, put.version)
        for put in puts
        if put.acknowledged_at < math.inf
    )
    reads = sorted(list(observations.reads), key=lambda read: read.begun_at)
    known = sorted([*acknowledged, *((read.ended_at, read.version) for read in reads)])
    newest, position = 0, 0
    for read in reads:
        while position < len(known) and known[position][0] < read.begun_at:
            newest = max(newest, known[position][1])
            position += 1
        put = observations.put_by_version.get(read.version)
        subject = f"version {read.version} at {read.control}"
        when = (
            f"{observations.offset(read.begun_at)} "
            f"to {observations.offset(read.ended_at)}"
        )
        if read.version < newest:
            yield Violation(
                "configuration never goes back",
                f"{subject}, {when}",
                f"version {newest} had been acknowledged or read before",
            )
        if put is None or put.content != read.content:
            yield Violation(
                "one content for each version",
                f"{subject}, {when}",
                "the content read differs from the content sent for this version",
            )


def check_routes(observations: Observations) -> Iterator[Violation]:
    """Check that an entry host applies acknowledged versions and never reverts them."""
    newest_by_boot: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    probes = [call for call in list(observations.calls) if call.kind is Kind.PROBE]
    for call in probes:
        answered = call.outcome is Outcome.ANSWERED and call.boot
        if answered and call.status != 404:
            served = (call.ended_at, call.version)
            newest_by_boot[call.entry, call.boot].append(served)
    for call in probes:
        if call.status != 404:
            continue
        earlier = [
            version
            for ended_at, version in newest_by_boot[call.entry, call.boot]
            if ended_at < call.sent_at and version >= call.version
        ]
        if earlier and call.boot:
            yield Violation(
                "configuration never goes back",
                call.request_id,
                f"{call.entry} answered 404 for the route of version {call.version} at "
                f"{observations.offset(call.ended_at)}, and had "
                f"served that of version {earlier[-1]}",
            )
        elif _must_serve_route(observations, call):
            yield Violation(
                "configuration in force",
                call.request_id,
                f"{call.entry} answered 404 for the route of version {call.version} at "
                f"{observations.offset(call.ended_at)}",
            )


def _must_serve_route(observations: Observations, call: ClientCall) -> bool:
    acknowledged_at = observations.put_by_version[call.version].acknowledged_at
    stalled = STALL_FACTOR * observations.stall(acknowledged_at, call.ended_at)
    if call.sent_at < acknowledged_at + APPLY_SECONDS + stalled:
        return False
    begun_at = call.sent_at - APPLY_SECONDS - stalled
    return not observations.disturbed(call.entry, begun_at, call.ended_at)


def check_budget(observations: Observations) -> Iterator[Violation]:
    """Check that retries stay within the ratio and the allowance."""
    requests: dict[str, list[float]] = {"plain": [], "model": []}
    for call in list(observations.calls):
        service = "model" if call.kind.is_stream else "plain"
        requests[service].append(call.sent_at)
    retries: dict[str, list[float]] = {"plain": [], "model": []}
    for runs in observations.runs_by_request_id().values():
        retries[runs[0].service].extend(run.started_at for run in runs[1:])
    for service, times in retries.items():
        times.sort()
        sent = sorted(requests[service])
        for until in times:
            count = count_between(times, until - WINDOW_SECONDS, until)
            maximum_requests = max(
                count_between(sent, until - back - WINDOW_SECONDS, until - back)
                for back in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
            )
            if count > RETRY_RATIO * maximum_requests + RETRY_ALLOWANCE:
                yield Violation(
                    "retry budget",
                    f"{service} until {observations.offset(until)}",
                    f"{count} repeated runs in {WINDOW_SECONDS} s "
                    f"for {maximum_requests} requests",
                )
                break


def check_disconnected_clients(observations: Observations) -> Iterator[Violation]:
    """Check that no endpoint finishes a request whose client disconnected."""
    runs_by_id = observations.runs_by_request_id()
    now = time.monotonic()
    for call in list(observations.calls):
        if call.outcome is not Outcome.LEFT or call.ended_at + DISCONNECT_SECONDS > now:
            continue
        runs = runs_by_id.get(call.request_id, [])
        if call.request_id in observations.disconnected_at_by_request_id:
            continue
        judged_by = call.ended_at + DISCONNECT_SECONDS
        if observations.stall(call.sent_at, judged_by) * STALL_FACTOR > 0.5:
            continue
        if observations.disturbed(
            call.entry, call.sent_at - CONTACT_SECONDS, judged_by
        ):
            continue
        if _is_excused(observations, call, runs):
            continue
        noticed_by = call.ended_at + DETECTION_SECONDS
        if any(_is_endpoint_disturbed(observations, run, noticed_by) for run in runs):
            continue
        yield Violation(
            "callers that are gone",
            call.request_id,
            f"its client disconnected from {call.entry} "
            f"at {observations.offset(call.ended_at)}, and the "
            f"endpoint was never notified: {_format_runs(observations, runs)}",
        )


def check_ends(observations: Observations) -> Iterator[Violation]:
    """Check that processes end on SIGTERM, within their limit, and never otherwise."""
    for end in list(observations.ends):
        when = observations.offset(end.ended_at)
        if end.requested_at is None:
            yield Violation(
                "processes that go on", f"{end.host}, {when}", f"status {end.status}"
            )
            continue
        seconds = end.ended_at - end.requested_at
        limit = STOP_LIMIT_MS / 1000 + STOP_MARGIN_SECONDS
        limit += STALL_FACTOR * observations.stall(end.requested_at, end.ended_at)
        if end.status != 0 or seconds > limit:
            yield Violation(
                "planned stops",
                f"{end.host}, {when}",
                f"status {end.status} {seconds:.2f} s after SIGTERM",
            )


def check_recovery(observations: Observations) -> Iterator[Violation]:
    """Check that everything is served again once the faults are over."""
    for problem in list(observations.unrecovered):
        yield Violation("recovery", problem, "did not recover in time")


def _format_runs(observations: Observations, runs: list[Run]) -> str:
    return ", ".join(
        f"{run.endpoint_id} at {observations.offset(run.started_at)}" for run in runs
    )


CHECKS: tuple[Check, ...] = (
    check_runs,
    check_refusals,
    check_answers,
    check_losses,
    check_departures,
    check_configurations,
    check_routes,
    check_budget,
    check_disconnected_clients,
    check_ends,
    check_fatal_contents,
    check_limits,
    check_backoff,
    check_leaving,
    check_partitions,
    check_recovery,
)
