"""The entry hosts that relay requests for this host, and which of them is used next."""

from __future__ import annotations

import logging
import random
import threading
from collections import Counter
from collections.abc import Callable, Collection

from jujubeslip.discovery import ControlUpdate, RelayHost
from jujubeslip.kernel import Deadline

logger = logging.getLogger(__name__)

# How long a relay is skipped that could not be reached, and one that refused because it
# reaches no endpoint either or has no capacity, in seconds.
UNREACHABLE_PAUSE_SECONDS = 1.0
REFUSED_PAUSE_SECONDS = 0.3
# How long a relay is used only rarely after an answer through it was lost, in seconds,
# and its cost in open requests: the relay or the endpoint may have failed.
DOUBT_SECONDS = 1.0
DOUBT_COST = 4.0
# Cost of a relay in another availability zone, in open requests.
OTHER_ZONE_COST = 1.0


class RelayDirectory:
    """The relays that control hosts list, with their use by this host; thread-safe."""

    def __init__(
        self, availability_zone: str, reaches_control: Callable[[str], bool]
    ) -> None:
        self._availability_zone = availability_zone
        self._reaches = reaches_control
        self._relays_by_control: dict[str, tuple[RelayHost, ...]] = {}
        self._paused_until_by_address: dict[str, Deadline] = {}
        self._doubted_until_by_address: dict[str, Deadline] = {}
        self._open_by_address: Counter[str] = Counter()
        self._lock = threading.Lock()

    def apply_update(self, update: ControlUpdate) -> None:
        """Record the relays that a control host lists; drop those of lost ones."""
        if update.relays is None:
            return
        with self._lock:
            lists = self._relays_by_control
            kept = {key: item for key, item in lists.items() if self._reaches(key)}
            self._relays_by_control = {**kept, update.address: update.relays}

    def count(self) -> int:
        """Return how many relays may be used now."""
        with self._lock:
            return len(self._usable(()))

    def choose(self, excluded: Collection[str]) -> RelayHost | None:
        """Return the relay with the fewest open requests of this host.

        None if there is none except for those at the excluded addresses.
        """
        with self._lock:
            usable = self._usable(excluded)
            random.shuffle(usable)
            return min(usable, key=self._cost, default=None)

    def begin(self, relay: RelayHost) -> None:
        """Count one more open request at the relay."""
        with self._lock:
            self._open_by_address[relay.address] += 1

    def end(self, relay: RelayHost) -> None:
        """Count one open request less at the relay."""
        with self._lock:
            self._open_by_address[relay.address] -= 1
            if self._open_by_address[relay.address] <= 0:
                del self._open_by_address[relay.address]

    def note_unreachable(self, relay: RelayHost) -> None:
        """Skip a relay for a while that could not be reached."""
        self._pause(relay, UNREACHABLE_PAUSE_SECONDS, "unreachable")

    def note_refused(self, relay: RelayHost) -> None:
        """Skip a relay for a moment that can't relay requests now."""
        self._pause(relay, REFUSED_PAUSE_SECONDS, "refused")

    def note_lost_answer(self, relay: RelayHost) -> None:
        """Prefer other relays for a while, as an answer through this one was lost."""
        with self._lock:
            doubted = _unexpired(self._doubted_until_by_address)
            doubted[relay.address] = Deadline.after(DOUBT_SECONDS)
            self._doubted_until_by_address = doubted

    def _pause(self, relay: RelayHost, seconds: float, reason: str) -> None:
        with self._lock:
            paused = _unexpired(self._paused_until_by_address)
            paused[relay.address] = Deadline.after(seconds)
            self._paused_until_by_address = paused
        extra = {"host": relay.host_id, "seconds": seconds, "reason": reason}
        logger.info("relay skipped", extra=extra)

    def _usable(self, excluded: Collection[str]) -> list[RelayHost]:
        return [
            relay
            for relay in self._listed()
            if relay.address not in excluded and not self._is_paused(relay)
        ]

    def _listed(self) -> list[RelayHost]:
        """Return the relays that reachable control hosts list.

        Without a reachable control host, the last lists still count.
        """
        lists = self._relays_by_control
        reached = [item for key, item in lists.items() if self._reaches(key)]
        relay_by_address = {
            relay.address: relay
            for relays in reached or lists.values()
            for relay in relays
        }
        return list(relay_by_address.values())

    def _is_paused(self, relay: RelayHost) -> bool:
        paused = self._paused_until_by_address.get(relay.address)
        return paused is not None and not paused.expired

    def _is_doubted(self, relay: RelayHost) -> bool:
        doubted = self._doubted_until_by_address.get(relay.address)
        return doubted is not None and not doubted.expired

    def _cost(self, relay: RelayHost) -> float:
        is_in_zone = relay.availability_zone == self._availability_zone
        zone_cost = 0.0 if is_in_zone else OTHER_ZONE_COST
        doubt_cost = DOUBT_COST if self._is_doubted(relay) else 0.0
        return self._open_by_address[relay.address] + zone_cost + doubt_cost


def _unexpired(deadline_by_address: dict[str, Deadline]) -> dict[str, Deadline]:
    """Return the entries that still count: addresses of replaced hosts don't return."""
    return {key: item for key, item in deadline_by_address.items() if not item.expired}
