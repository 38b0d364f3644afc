"""The faults of a run, drawn from its seed: the same seed gives the same faults.

Faults come on tracks. Those of one track follow each other, those of different
tracks overlap. What is tolerated bounds them: of the control hosts one is disturbed
at a time, or all processes are killed at once and keep their data folders.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields

CONTROLS = ("control-0", "control-1", "control-2")
FIRST_ENTRIES = ("entry-0", "entry-1", "entry-2")
# Further entry hosts, for runs with as many processes as a machine bears.
MORE_ENTRIES = tuple(
    f"entry-{number}"
    for number in range(len(FIRST_ENTRIES), int(os.environ.get("SOAK_ENTRIES", "0")))
)
ENTRIES = (*FIRST_ENTRIES, *MORE_ENTRIES)
MORE_SHARE = len(MORE_ENTRIES) / len(FIRST_ENTRIES)
PLAIN_ENDPOINTS = ("plain-0", "plain-1", "plain-2")
PREFILL_ENDPOINTS = ("prefill-0", "prefill-1")
DECODE_ENDPOINTS = ("decode-0", "decode-1", "decode-2")
ENGINES = (*PREFILL_ENDPOINTS, *DECODE_ENDPOINTS)
ENDPOINTS = (*PLAIN_ENDPOINTS, *ENGINES)
DIRECTIONS = ("to_server", "to_client")

# Between the starts of two faults of one track, in seconds: within the time of one
# recovery, so that many of them meet a system that has not come to rest.
GAP_SECONDS = {
    "control": (1.5, 5.0),
    **dict.fromkeys(FIRST_ENTRIES, (2.0, 9.0)),
    # Together as often as the first ones, since each start takes processor time.
    **dict.fromkeys(MORE_ENTRIES, (2.0 * MORE_SHARE, 9.0 * MORE_SHARE)),
    "plain": (0.5, 3.0),
    "engines": (0.5, 3.0),
    "answers": (0.3, 2.5),
    "links": (0.5, 3.0),
    "fatal": (0.3, 2.0),
    "limits": (1.0, 6.0),
    "notices": (0.5, 4.0),
}
# How long a host is down or paused, in seconds: shorter and longer than an election
# and than the 1.2 s after which a silent connection is given up.
DOWN_SECONDS = (0.0, 3.0)
# An announcement from before it left arrives this long after the acknowledgement, and
# the endpoint serves on for so long: longer than the bound in which it may still get
# requests.
LATE_BEAT_SECONDS = 0.7
LEAVE_SERVES_SECONDS = 6.0
# Contents that end each endpoint which runs them, by the kind of their requests.
FATAL_KINDS = ("unsafe", "stream")
# How long an endpoint that named a limit keeps it, and how many requests a second it
# takes then.
LIMIT_SECONDS = (4.0, 12.0)
LIMITS = (2.0, 5.0)
# How long an endpoint refuses all requests, which backoff it asks for then, and how
# long it says that it leaves before it does, in seconds.
REFUSING_SECONDS = (0.5, 6.0)
BACKOFFS = ("1", "2.5", "4")
SAID_SECONDS = (3.0, 6.0)
# How long a link is disturbed, and by how much it delays, in seconds.
LINK_SECONDS = (0.2, 4.0)
DELAY_SECONDS = (0.02, 0.5)


@dataclass(frozen=True)
class Fault:
    """What is done on a track, this many seconds after the start of the run."""

    at: float
    track: str


@dataclass(frozen=True)
class HostFault(Fault):
    """A fault of one host's process; it is down or paused for these seconds."""

    host: str
    seconds: float


class HostStopped(HostFault):
    """SIGTERM, and a start once it has ended."""


class HostKilled(HostFault):
    """SIGKILL, and a start with its data folder."""


class HostPaused(HostFault):
    """SIGSTOP and SIGCONT: its clock seems to leap."""


class DiskLost(HostFault):
    """SIGKILL, and a start with an empty data folder."""


class DiskFull(HostFault):
    """Its next writes fail; then SIGKILL and a start with its data folder."""


class HostReplaced(HostFault):
    """SIGKILL for good; an empty host starts at another address."""


@dataclass(frozen=True)
class AllKilled(Fault):
    """SIGKILL of all hosts at once, and a start with their data folders."""

    seconds: float


@dataclass(frozen=True)
class LinkFault(Fault):
    """A fault of the connections on one link."""

    link: str
    seconds: float


@dataclass(frozen=True)
class LinkDelayed(LinkFault):
    """Each byte comes late."""

    delay: float


@dataclass(frozen=True)
class LinkCut(LinkFault):
    """No byte goes through one way, or either way if none is given."""

    direction: str


class LinkReset(LinkFault):
    """Its connections end with a TCP reset."""


class LinkSilenced(LinkFault):
    """Its connections are silent for good; new ones work."""


@dataclass(frozen=True)
class EndpointFault(Fault):
    """A fault of one endpoint; it is away for these seconds."""

    endpoint: str
    seconds: float


class EndpointCrashed(EndpointFault):
    """It ends without a word, and another start takes its place."""


class EndpointLeaves(EndpointFault):
    """It says that it leaves, serves on for a while, and ends."""


@dataclass(frozen=True)
class AnswersSpoiled(Fault):
    """An endpoint does something wrong with so many of its next requests."""

    endpoint: str
    fault: str
    count: int


@dataclass(frozen=True)
class FatalRequests(Fault):
    """Clients send one content that ends each endpoint which runs it."""

    kind: str
    count: int


@dataclass(frozen=True)
class LimitNamed(EndpointFault):
    """It says for these seconds that it takes no more than so many a second."""

    per_second: float


@dataclass(frozen=True)
class BackoffAsked(EndpointFault):
    """It refuses all requests for these seconds, and asks for backoff each time."""

    backoff: str


class LeavingSaid(EndpointFault):
    """It says in answers that it leaves, announces that it is ready, and ends."""


def make_schedule(seed: int, seconds: float) -> tuple[Fault, ...]:
    """Return the faults of a run of this length, in order of their time."""
    faults = [fault for track in GAP_SECONDS for fault in _track(seed, track, seconds)]
    return tuple(sorted(faults, key=lambda fault: (fault.at, fault.track)))


def describe(fault: Fault) -> str:
    """Return one line on a fault."""
    shown = [
        f"{item.name}={getattr(fault, item.name)}"
        for item in fields(fault)
        if item.name not in ("at", "track")
    ]
    return f"{fault.at:6.2f} s {type(fault).__name__} {' '.join(shown)}"


def lasts(fault: Fault) -> float:
    """Return how long the fault takes, in seconds, as far as that is known."""
    away = float(getattr(fault, "seconds", 0.0))
    if isinstance(fault, EndpointLeaves):
        return away + LATE_BEAT_SECONDS + LEAVE_SERVES_SECONDS
    return away


def _track(seed: int, track: str, seconds: float) -> Iterator[Fault]:
    chance = random.Random(f"{seed}/{track}")
    draw = _DRAW_BY_TRACK[track]
    at = chance.uniform(*GAP_SECONDS[track])
    while at < seconds:
        fault = draw(chance, round(at, 2), track)
        yield fault
        at += lasts(fault) + chance.uniform(*GAP_SECONDS[track])


def _span(chance: random.Random, bounds: tuple[float, float]) -> float:
    """Return a length of time; short ones are as likely as long ones."""
    return round(bounds[0] + (bounds[1] - bounds[0]) * chance.random() ** 2, 2)


def _control_fault(chance: random.Random, at: float, track: str) -> Fault:
    kinds: list[type[HostFault]] = [
        *(HostStopped, HostKilled, HostPaused, DiskLost, DiskFull, HostReplaced)
    ]
    draw = chance.random()
    if draw < 0.08:
        return AllKilled(at, track, _span(chance, DOWN_SECONDS))
    if draw < 0.3:
        source, target = chance.sample(CONTROLS, 2)
        return _link_fault(chance, at, track, f"{source}>{target}")
    kind = chance.choice(kinds)
    return kind(at, track, chance.choice(CONTROLS), _span(chance, DOWN_SECONDS))


def _entry_fault(chance: random.Random, at: float, track: str) -> Fault:
    kind = chance.choice((HostStopped, HostStopped, HostKilled, HostPaused))
    return kind(at, track, track, _span(chance, DOWN_SECONDS))


def _endpoint_fault(chance: random.Random, at: float, track: str) -> Fault:
    kind = chance.choice((EndpointLeaves, EndpointLeaves, EndpointCrashed))
    slots = PLAIN_ENDPOINTS if track == "plain" else ENGINES
    return kind(at, track, chance.choice(slots), _span(chance, DOWN_SECONDS))


def _answer_fault(chance: random.Random, at: float, track: str) -> Fault:
    endpoint = chance.choice(ENDPOINTS)
    names = ["refuse", "lose", "hang"]
    if endpoint in PLAIN_ENDPOINTS:
        names += ["fail", "cut", "answer_twice", "unframed"]
    if endpoint in DECODE_ENDPOINTS:
        names = ["refuse", "lose", "lapse", "no_room", "cut_stream_after"]
    fault = chance.choice(names)
    return AnswersSpoiled(at, track, endpoint, fault, chance.choice((1, 2, 5, 20)))


def _any_link_fault(chance: random.Random, at: float, track: str) -> Fault:
    links = [
        *(f"client>{entry}" for entry in ENTRIES),
        *(f"operator>{control}" for control in CONTROLS),
        *(f"entry>{endpoint}" for endpoint in ENDPOINTS),
    ]
    return _link_fault(chance, at, track, chance.choice(links))


def _link_fault(chance: random.Random, at: float, track: str, link: str) -> Fault:
    seconds = _span(chance, LINK_SECONDS)
    kind = chance.choice((LinkDelayed, LinkCut, LinkReset, LinkSilenced))
    if kind is LinkDelayed:
        return LinkDelayed(at, track, link, seconds, _span(chance, DELAY_SECONDS))
    if kind is LinkCut:
        return LinkCut(at, track, link, seconds, chance.choice(("", *DIRECTIONS)))
    if kind is LinkReset:
        return LinkReset(at, track, link, seconds)
    return LinkSilenced(at, track, link, seconds)


def _fatal_requests(chance: random.Random, at: float, track: str) -> Fault:
    return FatalRequests(at, track, chance.choice(FATAL_KINDS), chance.randint(1, 6))


def _limit(chance: random.Random, at: float, track: str) -> Fault:
    seconds = _span(chance, LIMIT_SECONDS)
    endpoint = chance.choice((*PLAIN_ENDPOINTS, *DECODE_ENDPOINTS))
    return LimitNamed(at, track, endpoint, seconds, chance.choice(LIMITS))


def _notice(chance: random.Random, at: float, track: str) -> Fault:
    endpoint = chance.choice(ENDPOINTS)
    if chance.random() < 0.3:
        return LeavingSaid(at, track, endpoint, _span(chance, SAID_SECONDS))
    seconds = _span(chance, REFUSING_SECONDS)
    return BackoffAsked(at, track, endpoint, seconds, chance.choice(BACKOFFS))


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
}
