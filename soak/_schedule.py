"""The faults of a run, drawn from its seed: the same seed gives the same faults.

Faults are arranged in tracks. Those of one track follow each other, those of different
tracks overlap. They stay within what the system tolerates: one control host is
disturbed at a time, or all processes are killed at once and keep their data folders.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields

from tests.fakes.endpoint_links import CUTS

CONTROLS = ("control-0", "control-1", "control-2")
BASE_ENTRIES = ("entry-0", "entry-1", "entry-2")
# Further entry hosts, for runs with as many processes as the machine can run.
EXTRA_ENTRIES = tuple(
    f"entry-{number}"
    for number in range(len(BASE_ENTRIES), int(os.environ.get("SOAK_ENTRIES", "0")))
)
ENTRIES = (*BASE_ENTRIES, *EXTRA_ENTRIES)
EXTRA_SHARE = len(EXTRA_ENTRIES) / len(BASE_ENTRIES)
PLAIN_ENDPOINTS = ("plain-0", "plain-1", "plain-2")
PREFILL_ENDPOINTS = ("prefill-0", "prefill-1")
DECODE_ENDPOINTS = ("decode-0", "decode-1", "decode-2")
ENGINES = (*PREFILL_ENDPOINTS, *DECODE_ENDPOINTS)
ENDPOINTS = (*PLAIN_ENDPOINTS, *ENGINES)
DIRECTIONS = ("to_server", "to_client")

# The gap between two faults of one track, in seconds: within the time of one recovery,
# so that many faults hit a system that has not recovered yet.
GAP_SECONDS = {
    "control": (1.5, 5.0),
    **dict.fromkeys(BASE_ENTRIES, (2.0, 9.0)),
    # Together as often as the base ones, since each start takes processor time.
    **dict.fromkeys(EXTRA_ENTRIES, (2.0 * EXTRA_SHARE, 9.0 * EXTRA_SHARE)),
    "plain": (0.5, 3.0),
    "engines": (0.5, 3.0),
    "answers": (0.3, 2.5),
    "links": (0.5, 3.0),
    "fatal": (0.3, 2.0),
    "limits": (1.0, 6.0),
    "notices": (0.5, 4.0),
    "partitions": (1.0, 8.0),
    "slow": (0.5, 4.0),
    "late answers": (0.3, 2.0),
    "spoiled answers": (0.3, 2.0),
    "busy answers": (0.3, 2.0),
}
# How long a host is down or paused, in seconds: the range includes times shorter and
# longer than an election and than the 1.2 s after which a silent connection is closed.
DOWN_SECONDS = (0.0, 3.0)
# How long after the acknowledgement of an endpoint's removal an announcement that it
# sent before arrives, and how long it keeps serving: longer than the bound within which
# it may still get requests.
DELAYED_ANNOUNCEMENT_SECONDS = 0.7
LEAVE_SERVES_SECONDS = 6.0
# The kinds of requests whose fatal content crashes each endpoint that runs it.
FATAL_KINDS = ("unsafe", "stream")
# How long an endpoint reports a limit, in seconds, and the limits, in requests per
# second.
LIMIT_SECONDS = (4.0, 12.0)
LIMITS = (2.0, 5.0)
# How long an endpoint refuses all requests, the backoff that it asks for then, and how
# long it reports that it leaves before it ends, in seconds.
REFUSING_SECONDS = (0.5, 6.0)
BACKOFFS = ("1", "2.5", "4")
LEAVING_NOTICE_SECONDS = (3.0, 6.0)
# How long an endpoint is slow, and how long each of its answers takes then, in seconds:
# slow enough for a second send, and too slow for the target.
SLOW_SECONDS = (0.3, 6.0)
SLOW_ANSWER_SECONDS = (0.2, 0.9)
# How long answers of endpoints are spoiled, in seconds, and the share of them.
SPOILED_SECONDS = (0.3, 4.0)
SPOILED_SHARES = (0.1, 0.3, 0.8)
# How long entry hosts are cut off from all endpoints, in seconds: from shorter than
# their detection of it to several times longer.
PARTITION_SECONDS = (0.5, 9.0)
# How long a link is disturbed, and the delay it adds, in seconds.
LINK_SECONDS = (0.2, 4.0)
DELAY_SECONDS = (0.02, 0.5)


@dataclass(frozen=True)
class Fault:
    """A fault of one track, `at` seconds after the start of the run."""

    at: float
    track: str


@dataclass(frozen=True)
class HostFault(Fault):
    """A fault of one host's process, which is down or paused for these seconds."""

    host: str
    seconds: float


class HostStopped(HostFault):
    """SIGTERM, then a start once the process has ended."""


class HostKilled(HostFault):
    """SIGKILL, then a start with the same data folder."""


class HostPaused(HostFault):
    """SIGSTOP, then SIGCONT: the process sees its clock jump."""


class DiskLost(HostFault):
    """SIGKILL, then a start with an empty data folder."""


class DiskFull(HostFault):
    """The next writes fail; then SIGKILL and a start with the same data folder."""


class HostReplaced(HostFault):
    """SIGKILL without a restart; an empty host starts at another address."""


@dataclass(frozen=True)
class AllKilled(Fault):
    """SIGKILL of all hosts at once, then a start with their data folders."""

    seconds: float


@dataclass(frozen=True)
class HostsPartitioned(Fault):
    """Entry hosts lose their links to all endpoints for these seconds."""

    hosts: tuple[str, ...]
    how: str
    seconds: float


@dataclass(frozen=True)
class LinkFault(Fault):
    """A fault of the connections on one link."""

    link: str
    seconds: float


@dataclass(frozen=True)
class LinkDelayed(LinkFault):
    """Each byte is delayed."""

    delay: float


@dataclass(frozen=True)
class LinkCut(LinkFault):
    """No byte passes in one direction, or in both if it is empty."""

    direction: str


class LinkReset(LinkFault):
    """All open connections end with a TCP reset."""


class LinkSilenced(LinkFault):
    """All open connections stay silent permanently; new ones work."""


@dataclass(frozen=True)
class EndpointFault(Fault):
    """A fault of one endpoint that lasts for these seconds."""

    endpoint: str
    seconds: float


class EndpointCrashed(EndpointFault):
    """The endpoint ends without a notice; another start replaces it."""


class EndpointLeaves(EndpointFault):
    """The endpoint announces that it leaves, keeps serving for a while, and ends."""


@dataclass(frozen=True)
class AnswersSpoiled(Fault):
    """An endpoint handles its next `count` requests wrongly."""

    endpoint: str
    fault: str
    count: int


@dataclass(frozen=True)
class FatalRequests(Fault):
    """Clients send a content that crashes each endpoint that runs it."""

    kind: str
    count: int


@dataclass(frozen=True)
class LimitNamed(EndpointFault):
    """The endpoint reports a limit of requests per second for these seconds."""

    per_second: float


@dataclass(frozen=True)
class BackoffAsked(EndpointFault):
    """The endpoint refuses all requests and asks for backoff for these seconds."""

    backoff: str


@dataclass(frozen=True)
class EndpointSlowed(EndpointFault):
    """The endpoint takes this long for each answer, in seconds."""

    answer_seconds: float


@dataclass(frozen=True)
class AnswersDamaged(Fault):
    """A share of the endpoints' answers end early, are damaged or come twice."""

    endpoints: tuple[str, ...]
    seconds: float
    share: float
    seed: int
    """Draws the answers, what happens to each, and where."""


class LeavingSaid(EndpointFault):
    """The endpoint reports in responses that it leaves, announces ready, and ends."""


def make_schedule(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Return the faults of a run of this length, in order of their time."""
    faults = [
        fault for track in GAP_SECONDS for fault in _draw_track(seed, track, seconds)
    ]
    return tuple(sorted(faults, key=lambda fault: (fault.at, fault.track)))


def describe(fault: Fault) -> str:
    """Return a line of text that describes the fault."""
    shown = [
        f"{item.name}={getattr(fault, item.name)}"
        for item in fields(fault)
        if item.name not in ("at", "track")
    ]
    return f"{fault.at:6.2f} s {type(fault).__name__} {' '.join(shown)}"


def duration_seconds(fault: Fault) -> float:
    """Return the duration of the fault in seconds, as far as it is known."""
    away = float(getattr(fault, "seconds", 0.0))
    if isinstance(fault, EndpointLeaves):
        return away + DELAYED_ANNOUNCEMENT_SECONDS + LEAVE_SERVES_SECONDS
    return away


def _draw_track(seed: int, track: str, seconds: float) -> Iterator[Fault]:
    rng = random.Random(f"{seed}/{track}")
    draw = _DRAW_BY_TRACK[track]
    at = rng.uniform(*GAP_SECONDS[track])
    while at < seconds:
        fault = draw(rng, round(at, 2), track)
        yield fault
        at += duration_seconds(fault) + rng.uniform(*GAP_SECONDS[track])


def _draw_duration(rng: random.Random, bounds: tuple[float, float]) -> float:
    """Return a duration within the bounds, in seconds; short ones are more likely."""
    return round(bounds[0] + (bounds[1] - bounds[0]) * rng.random() ** 2, 2)


def _control_fault(rng: random.Random, at: float, track: str) -> Fault:
    kinds: list[type[HostFault]] = [
        *(HostStopped, HostKilled, HostPaused, DiskLost, DiskFull, HostReplaced)
    ]
    draw = rng.random()
    if draw < 0.08:
        return AllKilled(at, track, _draw_duration(rng, DOWN_SECONDS))
    if draw < 0.3:
        source, target = rng.sample(CONTROLS, 2)
        return _link_fault(rng, at, track, f"{source}>{target}")
    kind = rng.choice(kinds)
    return kind(at, track, rng.choice(CONTROLS), _draw_duration(rng, DOWN_SECONDS))


def _entry_fault(rng: random.Random, at: float, track: str) -> Fault:
    kind = rng.choice((HostStopped, HostStopped, HostKilled, HostPaused))
    return kind(at, track, track, _draw_duration(rng, DOWN_SECONDS))


def _endpoint_fault(rng: random.Random, at: float, track: str) -> Fault:
    kind = rng.choice((EndpointLeaves, EndpointLeaves, EndpointCrashed))
    slots = PLAIN_ENDPOINTS if track == "plain" else ENGINES
    return kind(at, track, rng.choice(slots), _draw_duration(rng, DOWN_SECONDS))


def _answer_fault(rng: random.Random, at: float, track: str) -> Fault:
    endpoint = rng.choice(ENDPOINTS)
    names = ["refuse", "lose", "hang"]
    if endpoint in PLAIN_ENDPOINTS:
        names += ["fail", "cut", "answer_twice", "unframed"]
    if endpoint in DECODE_ENDPOINTS:
        names = ["refuse", "lose", "lapse", "no_room", "cut_stream_after"]
    fault = rng.choice(names)
    return AnswersSpoiled(at, track, endpoint, fault, rng.choice((1, 2, 5, 20)))


def _late_answers(rng: random.Random, at: float, track: str) -> Fault:
    endpoint = rng.choice((*PLAIN_ENDPOINTS, *DECODE_ENDPOINTS))
    return AnswersSpoiled(at, track, endpoint, "refuse_twice", rng.choice((1, 5, 20)))


def _busy_answers(rng: random.Random, at: float, track: str) -> Fault:
    endpoint = rng.choice((*PLAIN_ENDPOINTS, *DECODE_ENDPOINTS))
    return AnswersSpoiled(at, track, endpoint, "busy", rng.choice((1, 5, 20)))


def _any_link_fault(rng: random.Random, at: float, track: str) -> Fault:
    links = [
        *(f"client>{entry}" for entry in ENTRIES),
        *(f"operator>{control}" for control in CONTROLS),
        *(f"entry>{endpoint}" for endpoint in ENDPOINTS),
    ]
    return _link_fault(rng, at, track, rng.choice(links))


def _link_fault(rng: random.Random, at: float, track: str, link: str) -> Fault:
    seconds = _draw_duration(rng, LINK_SECONDS)
    kind = rng.choice((LinkDelayed, LinkCut, LinkReset, LinkSilenced))
    if kind is LinkDelayed:
        return LinkDelayed(at, track, link, seconds, _draw_duration(rng, DELAY_SECONDS))
    if kind is LinkCut:
        return LinkCut(at, track, link, seconds, rng.choice(("", *DIRECTIONS)))
    if kind is LinkReset:
        return LinkReset(at, track, link, seconds)
    return LinkSilenced(at, track, link, seconds)


def _fatal_requests(rng: random.Random, at: float, track: str) -> Fault:
    return FatalRequests(at, track, rng.choice(FATAL_KINDS), rng.randint(1, 6))


def _limit(rng: random.Random, at: float, track: str) -> Fault:
    seconds = _draw_duration(rng, LIMIT_SECONDS)
    endpoint = rng.choice((*PLAIN_ENDPOINTS, *DECODE_ENDPOINTS))
    return LimitNamed(at, track, endpoint, seconds, rng.choice(LIMITS))


def _notice(rng: random.Random, at: float, track: str) -> Fault:
    endpoint = rng.choice(ENDPOINTS)
    if rng.random() < 0.3:
        return LeavingSaid(
            at, track, endpoint, _draw_duration(rng, LEAVING_NOTICE_SECONDS)
        )
    seconds = _draw_duration(rng, REFUSING_SECONDS)
    return BackoffAsked(at, track, endpoint, seconds, rng.choice(BACKOFFS))


def _slowness(rng: random.Random, at: float, track: str) -> Fault:
    endpoint = rng.choice((*PLAIN_ENDPOINTS, *DECODE_ENDPOINTS))
    seconds = _draw_duration(rng, SLOW_SECONDS)
    answer_seconds = round(rng.uniform(*SLOW_ANSWER_SECONDS), 2)
    return EndpointSlowed(at, track, endpoint, seconds, answer_seconds)


def _damaged_answers(rng: random.Random, at: float, track: str) -> Fault:
    endpoints = tuple(rng.sample(ENDPOINTS, rng.randint(1, len(ENDPOINTS) // 2)))
    seconds, share = _draw_duration(rng, SPOILED_SECONDS), rng.choice(SPOILED_SHARES)
    return AnswersDamaged(at, track, endpoints, seconds, share, rng.getrandbits(32))


def _partition(rng: random.Random, at: float, track: str) -> Fault:
    hosts = tuple(rng.sample(ENTRIES, rng.randint(1, len(ENTRIES))))
    seconds = round(rng.uniform(*PARTITION_SECONDS), 2)
    return HostsPartitioned(at, track, hosts, rng.choice(CUTS), seconds)


_DRAW_BY_TRACK: dict[str, Callable[[random.Random, float, str], Fault]] = {
    "control": _control_fault,
    **dict.fromkeys(ENTRIES, _entry_fault),
    "plain": _endpoint_fault,
    "engines": _endpoint_fault,
    "answers": _answer_fault,
    "links": _any_link_fault,
    "fatal": _fatal_requests,
    "limits": _limit,
    "notices": _notice,
    "partitions": _partition,
    "slow": _slowness,
    "late answers": _late_answers,
    "spoiled answers": _damaged_answers,
    "busy answers": _busy_answers,
}
