"""Whether this host reaches the endpoints over its own links."""

from __future__ import annotations

import itertools
import logging
import random
import threading
from collections.abc import Callable

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.kernel import Deadline, Process, steady_seconds
from jujubeslip.relays._link_check import ACCEPTED, NO_ANSWER, check_addresses

logger = logging.getLogger(__name__)

# How long an awaited answer may stay silent, while no endpoint sends anything, before
# the links are checked, in seconds.
SILENCE_SECONDS = 0.4
# Shortest interval between two checks that are caused by silence, in seconds.
SILENCE_CHECK_SECONDS = 1.0
# Timeout of one round of connection attempts, in seconds. It exceeds the round trip
# between zones; a lost SYN is resent only after a second.
ROUND_SECONDS = 0.25
# Number of rounds, and of endpoints that are tried in each.
ROUNDS = 2
ENDPOINTS_PER_ROUND = 2
# Maximum number of endpoints that are tried in one check, if the first ones refuse.
MAXIMUM_TRIED = 40
# How long after a connection was opened the links count as working, in seconds.
CONNECTED_SECONDS = 0.3
# Interval between checks while no endpoint is reached, in seconds.
RECHECK_SECONDS = 0.5
# Endpoints that announced themselves within this many seconds are tried first.
HEARD_SECONDS = 3.0


class EndpointReach:
    """Detects that this host has lost its links to all endpoints; thread-safe.

    A failed call alone doesn't show it: the endpoint may have ended. The links count as
    lost if no connection can be opened to several endpoints, of different services and
    availability zones where possible, and as restored once one can be opened.
    """

    def __init__(self, registry: EndpointRegistry) -> None:
        self._registry = registry
        self._contact_at = float("-inf")
        """When an endpoint last sent something or accepted a connection."""
        self._connected_at = float("-inf")
        """When one last accepted. Its answers don't show that others do: connections
        that are open may live on while new ones are refused."""
        self._checked_at = float("-inf")
        self._lost_at: float | None = None
        """When the links were last found to be lost."""
        self._is_lost = False
        self._wanted = threading.Event()
        self._check_lock = threading.Lock()
        self._on_change: Callable[[], None] = lambda: None

    def start(self, process: Process) -> None:
        """Check the links when necessary until the process stops."""
        process.start_task(self._run, process)

    def set_change_handler(self, on_change: Callable[[], None]) -> None:
        """Set the function to call when the links are lost or restored."""
        self._on_change = on_change

    @property
    def is_lost(self) -> bool:
        """Return whether this host reaches no endpoint."""
        return self._is_lost

    def was_lost_since(self, timestamp: float) -> bool:
        """Return whether the links were found to be lost after this time."""
        return self._lost_at is not None and self._lost_at >= timestamp

    def note_answer(self) -> None:
        """Record that an endpoint has sent something over a direct connection."""
        self._contact_at = steady_seconds()

    def note_silence(self, seconds: float) -> None:
        """Record that an awaited answer has been silent for these seconds."""
        if seconds < SILENCE_SECONDS or self._is_lost:
            return
        now = steady_seconds()
        if now - self._contact_at < SILENCE_SECONDS:
            return
        if now - self._checked_at >= SILENCE_CHECK_SECONDS:
            self._wanted.set()

    def note_connected(self) -> None:
        """Record that an endpoint has accepted a connection."""
        self._contact_at = self._connected_at = steady_seconds()

    def confirm_lost(self, connected_seconds: float = CONNECTED_SECONDS) -> bool:
        """Check the links, after a connection could not be opened.

        Return whether this host reaches no endpoint. The check is omitted if an
        endpoint has accepted a connection within `connected_seconds`.
        """
        asked_at = steady_seconds()
        with self._check_lock:
            if self._is_lost or self._checked_at >= asked_at:
                return self._is_lost
            if steady_seconds() - self._connected_at >= connected_seconds:
                self._check()
            return self._is_lost

    def _run(self, process: Process) -> None:
        while not process.stopped.is_set():
            interval = RECHECK_SECONDS * random.uniform(0.8, 1.2)
            was_wanted = self._wanted.wait(interval)
            self._wanted.clear()
            if was_wanted or self._is_lost:
                with self._check_lock:
                    self._check()

    def _check(self) -> None:
        """Find out whether an endpoint accepts; the caller holds the lock."""
        outcome_by_address: dict[str, str] = {}
        sample = self._sample()
        if self._reaches_any(sample, outcome_by_address):
            self.note_connected()
            self._set_lost(False, outcome_by_address)
        else:
            # Without endpoints to try, nothing shows that the links are lost.
            self._set_lost(bool(sample), outcome_by_address)
        self._checked_at = steady_seconds()

    def _reaches_any(
        self, sample: list[str], outcome_by_address: dict[str, str]
    ) -> bool:
        """Try endpoints in rounds until one accepts; add the outcome of each."""
        in_rounds = ROUNDS * ENDPOINTS_PER_ROUND
        for start in range(0, in_rounds, ENDPOINTS_PER_ROUND):
            tried = sample[start : start + ENDPOINTS_PER_ROUND]
            if _try_addresses(tried, outcome_by_address):
                return True
        if NO_ANSWER in outcome_by_address.values():
            return False
        # Refusals take no time, and most endpoints may have ended.
        return _try_addresses(sample[in_rounds:], outcome_by_address)

    def _set_lost(self, is_lost: bool, outcome_by_address: dict[str, str]) -> None:
        if is_lost == self._is_lost:
            return
        now = steady_seconds()
        extra: dict[str, object] = {"outcomes": outcome_by_address}
        if is_lost:
            extra["contact_ago_ms"] = _milliseconds(now - self._contact_at)
            logger.warning("links to all endpoints lost", extra=extra)
            self._lost_at = now
        else:
            assert self._lost_at is not None
            extra["lost_ms"] = _milliseconds(now - self._lost_at)
            logger.info("links to endpoints restored", extra=extra)
        self._is_lost = is_lost
        self._on_change()

    def _sample(self) -> list[str]:
        """Return the addresses to try, in random order.

        Those of different services and availability zones come first.
        """
        known = [item for item in self._registry.endpoints() if item.accepts_work]
        heard_since = steady_seconds() - HEARD_SECONDS
        heard = [item for item in known if item.heard_at >= heard_since]
        endpoints = heard or known
        random.shuffle(endpoints)
        by_group: dict[tuple[str, str], list[Endpoint]] = {}
        for endpoint in endpoints:
            group = (endpoint.service_name, endpoint.availability_zone)
            by_group.setdefault(group, []).append(endpoint)
        ordered = itertools.chain.from_iterable(
            itertools.zip_longest(*by_group.values())
        )
        addresses = [item.address for item in ordered if item is not None]
        return addresses[:MAXIMUM_TRIED]


def _try_addresses(tried: list[str], outcome_by_address: dict[str, str]) -> bool:
    """Try addresses at once, and return whether one accepts; add the outcomes."""
    outcomes = check_addresses(tried, Deadline.after(ROUND_SECONDS))
    outcome_by_address |= outcomes
    return ACCEPTED in outcomes.values()


def _milliseconds(seconds: float) -> int | None:
    """Return whole milliseconds, None if the time is unknown."""
    return None if seconds == float("inf") else int(seconds * 1000)
