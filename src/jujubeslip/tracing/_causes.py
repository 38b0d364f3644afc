"""Explains in a sentence why a request ended with its outcome."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence

from jujubeslip.tracing._models import Line, RequestEnd, read_end

END_MESSAGE = "request ended"
NO_GRANT_MESSAGE = "no grant at an engine"
PART_MESSAGE = "account above its part of the engines"
WAIT_MESSAGE = "request waited behind other priorities"
KEY_MESSAGE = "key not accepted"
LIMIT_MESSAGE = "request not within its account's limit"
ENDPOINT_LIMIT_MESSAGE = "request not within its endpoint's limit"
BACKOFF_MESSAGE = "request refused during backoff"
QUARANTINE_MESSAGE = "request quarantined"
INTERRUPTION_MESSAGE = "run cut off"
SECOND_SEND_MESSAGE = "request sent a second time"
SECOND_END_MESSAGE = "second send ended"
_STEP = re.compile(r"(?P<ms>\d+) ms (?P<endpoint>\S+): (?P<result>.*)")

CauseFunction = Callable[[RequestEnd, Sequence[Line]], str]


def cause_of(lines: Sequence[Line]) -> str:
    """Return a sentence with the cause of a request's end, from its log lines."""
    ends = [line for line in lines if line.message == END_MESSAGE]
    if not ends:
        return _cause_without_end(lines)
    end = read_end(ends[-1])
    explain = _EXPLAIN_BY_OUTCOME.get(end.outcome, _other_outcome)
    return explain(end, lines) + _second_send(lines)


def _second_send(lines: Sequence[Line]) -> str:
    """Return a sentence about a second send, empty if there was none."""
    sent = [line.fields for line in lines if line.message == SECOND_SEND_MESSAGE]
    ended = [line.fields for line in lines if line.message == SECOND_END_MESSAGE]
    if not sent:
        return ""
    answered_by = ended[-1].get("answered_by") if ended else "none"
    who = "neither send" if answered_by == "none" else f"the {answered_by} send"
    fields = sent[-1]
    return (
        f" It was sent a second time after {fields.get('waited_ms')} ms without an "
        f"answer from {fields.get('start_id')}, to {fields.get('second_start_id')}; "
        f"{who} was answered first."
    )


def _cause_without_end(lines: Sequence[Line]) -> str:
    if not lines:
        return "No line names this request: it reached none of these hosts."
    refusals = [line for line in lines if line.message == KEY_MESSAGE]
    if refusals:
        return _key_refusal(refusals[-1])
    return (
        "No host logged its end: it is still served, its host stopped, or the line was "
        "dropped (see left_out_before and dropped_before of later lines)."
    )


def _key_refusal(line: Line) -> str:
    fields = line.fields
    key_text = "It sent a key" if fields.get("has_key") else "It sent no single key"
    return (
        f"Refused with 401, not run: {fields.get('reason')} in configuration "
        f"{fields.get('version')}. {key_text}, and its route is not public."
    )


def _key_refused(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == KEY_MESSAGE]
    return _key_refusal(refusals[-1]) if refusals else _other_outcome(end, lines)


def _over_limit(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == LIMIT_MESSAGE]
    if not refusals:
        return "Refused, not run: its account's limit; no line has the details."
    fields = refusals[-1].fields
    return (
        f"Refused, not run: it counts {fields.get('cost')} against the limit of "
        f"account {fields.get('account')!r}, and {fields.get('reason')}; enough would "
        f"be free after {fields.get('wait_ms')} ms."
    )


def _over_endpoint_limit(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == ENDPOINT_LIMIT_MESSAGE]
    if not refusals:
        return (
            "Refused, not run: the limits that the endpoints of its service reported "
            "were used up shortly before; see `request not within its endpoint's "
            "limit` of other requests on this host."
        )
    fields = refusals[-1].fields
    granted_by = "the leader" if fields.get("leader") else "the hosts without a leader"
    return (
        f"Refused, not run: endpoint {fields.get('start_id')} takes "
        f"{fields.get('per_second')} requests a second from all hosts, as it reported "
        f"{fields.get('named_ago_ms')} ms before, and {granted_by} had none left for "
        f"{fields.get('wait_ms')} ms."
    )


def _endpoints_in_backoff(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == BACKOFF_MESSAGE]
    if not refusals:
        return (
            "Refused, not run: all endpoints of its service were in backoff; no line "
            "names the endpoints."
        )
    fields = refusals[-1].fields
    endpoint_names = ", ".join(fields.get("start_ids") or ["endpoints of its service"])
    return (
        f"Refused, not run: no endpoint was available, and {endpoint_names} had asked "
        f"this host for backoff, which ends first after {fields.get('wait_ms')} ms; "
        "see earlier lines `endpoint asked for backoff` of this host."
    )


def _quarantined(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == QUARANTINE_MESSAGE]
    if not refusals:
        return (
            "Refused, not run: its content is in quarantine; no line has the details."
        )
    fields = refusals[-1].fields
    what, requests = (
        ("a part of its prompt,", "requests with this part")
        if fields.get("is_part")
        else ("its content", "equal requests")
    )
    return (
        f"Refused, not run: {what} {fields.get('fingerprint')} is in quarantine "
        f"for {fields.get('held_for_ms')} ms more, since {requests} have ended "
        f"{fields.get('crashes')} endpoints in succession; "
        "`jujubeslip quarantine lift` ends the quarantine."
    )


def _no_capacity(end: RequestEnd, lines: Sequence[Line]) -> str:
    refusals = [line for line in lines if line.message == NO_GRANT_MESSAGE]
    if refusals:
        fields = refusals[-1].fields
        return (
            "Refused, not run: the leader found no engine with enough free memory for "
            f"its {fields.get('prompt_tokens')} prompt tokens and for the growth of "
            f"all answers there; it forecast a wait of {fields.get('forecast_ms')} ms."
            f"{_wait_behind_others(lines)}{_account_above_part(lines)}"
        )
    return (
        "Refused, not run: no engine had free capacity in time, and no leader was "
        f"asked; {_last_step(end)}."
    )


def _wait_behind_others(lines: Sequence[Line]) -> str:
    waits = [line for line in lines if line.message == WAIT_MESSAGE]
    if not waits:
        return ""
    fields = waits[-1].fields
    return (
        f" It has priority {fields.get('priority')} and waited for "
        f"{fields.get('waited_ms')} ms, in which {fields.get('granted_higher')} "
        f"requests of higher priorities, {fields.get('granted_same')} of its own and "
        f"{fields.get('granted_lower')} of lower ones got an engine."
    )


def _account_above_part(lines: Sequence[Line]) -> str:
    parts = [line for line in lines if line.message == PART_MESSAGE]
    if not parts:
        return ""
    fields = parts[-1].fields
    return (
        f" Requests of other accounts went first: account {fields.get('account')!r} "
        f"held {fields.get('held_tokens')} tokens of the engines' memory, and its part "
        f"was {fields.get('part_tokens')}."
    )


def _answer_lost(end: RequestEnd, lines: Sequence[Line]) -> str:
    endpoint, result = _failed_step(end)
    return (
        f"Its answer was lost: endpoint {endpoint} took it and ended with {result}"
        f"{_endpoint_crash(lines)}. It may have run there, and was not sent "
        "again, since its route does not allow that or no attempt or time was left."
    )


def _endpoint_crash(lines: Sequence[Line]) -> str:
    cuts = [line for line in lines if line.message == INTERRUPTION_MESSAGE]
    if not cuts or not cuts[-1].fields.get("endpoint_ended"):
        return ""
    return f", as its process had ended (content {cuts[-1].fields.get('fingerprint')})"


def _no_answer(end: RequestEnd, lines: Sequence[Line]) -> str:
    endpoint, _ = _failed_step(end)
    return (
        f"Endpoint {endpoint} took it and gave no answer in time; whether it ran is "
        "not known."
    )


def _refused_by_endpoints(end: RequestEnd, lines: Sequence[Line]) -> str:
    return f"Refused, not run: no endpoint took it; {_last_step(end)}."


def _no_endpoint(end: RequestEnd, lines: Sequence[Line]) -> str:
    return (
        "Refused, not run: its host knew no usable endpoint of the service; see "
        "earlier lines `endpoint changed` and `endpoint skipped` of this host."
    )


def _out_of_reach(end: RequestEnd, lines: Sequence[Line]) -> str:
    return (
        "Refused, not run: its host had lost its links to all endpoints and knew no "
        "other entry host that relays requests; see its earlier lines `links to all "
        "endpoints lost` and `relay skipped`."
    )


def _client_left(end: RequestEnd, lines: Sequence[Line]) -> str:
    return f"Its client closed the connection; before that: {_last_step(end)}."


def _answer_cut(end: RequestEnd, lines: Sequence[Line]) -> str:
    endpoint, result = _failed_step(end)
    return (
        f"Its answer was cut off at endpoint {endpoint} with {result}, after some "
        "events; its client was shown that the answer is incomplete."
    )


def _answered(end: RequestEnd, lines: Sequence[Line]) -> str:
    late_cause = _late_first_event(end)
    if late_cause:
        return f"Answered whole, late: {late_cause}"
    if end.maximum_gap_ms and end.longest_gap_ms > end.maximum_gap_ms:
        return (
            f"Answered whole, late: it paused for {end.longest_gap_ms} ms, "
            f"{end.maximum_gap_ms} ms are allowed. Its decode engine evicted it from "
            "memory, or prefilled another prompt itself at that time."
        )
    return "Answered whole and in time."


def _late_first_event(end: RequestEnd) -> str:
    first = end.first_event_ms
    if first is None or not end.target_ms or first <= end.target_ms:
        return ""
    longest, step = _longest_wait(end)
    return (
        f"its first event came after {first} ms, {end.target_ms} ms are allowed; "
        f"{longest} ms of it until `{step}`{_repeated_prefill(end)}."
    )


def _repeated_prefill(end: RequestEnd) -> str:
    is_prefilled = any(step.endswith("prompt read") for step in end.steps)
    is_refused = any("endpoint_refused" in step for step in end.steps)
    if is_prefilled and is_refused:
        return (
            "; its prompt had been prefilled, its KV cache was lost before the decode "
            "engine fetched it, and the prompt was prefilled again"
        )
    return ""


def _longest_wait(end: RequestEnd) -> tuple[int, str]:
    waits = []
    previous = 0
    for step in end.steps:
        match = _STEP.match(step)
        if match is None:
            continue
        elapsed = int(match["ms"])
        waits.append((elapsed - previous, match["result"]))
        previous = elapsed
    return max(waits, default=(0, "the request arrived"))


def _failed_step(end: RequestEnd) -> tuple[str, str]:
    for step in reversed(end.steps):
        match = _STEP.match(step)
        if match is not None and "ran=True" in match["result"]:
            return match["endpoint"], match["result"].split()[0]
    return "-", "no answer"


def _last_step(end: RequestEnd) -> str:
    return f"last step: {end.steps[-1]}" if end.steps else "nothing was sent"


def _other_outcome(end: RequestEnd, lines: Sequence[Line]) -> str:
    if end.outcome.isdigit():
        return (
            f"An endpoint answered {end.outcome}, which was forwarded to the client; "
            f"{_last_step(end)}."
        )
    return f"Ended with outcome {end.outcome}, ran {end.ran}; {_last_step(end)}."


_EXPLAIN_BY_OUTCOME: dict[str, CauseFunction] = {
    "no_room": _no_capacity,
    "request_quarantined": _quarantined,
    "endpoint_limit": _over_endpoint_limit,
    "endpoint_backoff": _endpoints_in_backoff,
    "client_unknown": _key_refused,
    "client_limit": _over_limit,
    "limit_unknown": _over_limit,
    "answer_lost": _answer_lost,
    "no_answer_in_time": _no_answer,
    "endpoints_refused": _refused_by_endpoints,
    "no_endpoint": _no_endpoint,
    "endpoints_out_of_reach": _out_of_reach,
    "caller_gone": _client_left,
    "left": _client_left,
    "answer_cut": _answer_cut,
    "whole": _answered,
    "200": _answered,
}
