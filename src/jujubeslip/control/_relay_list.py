"""The entry hosts that relay requests, and which of them each host is told of."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from jujubeslip.peers import RelayRecord

# Maximum number of relays that one host is told of. Each host gets a different choice,
# so that the requests of many hosts without links spread over many relays.
RELAYS_PER_HOST = 8


class RelayList:
    """The relays among the live entry hosts; guarded by the lock of the watches."""

    def __init__(self) -> None:
        self.version = 1
        """Increases whenever a relay is added, changed or removed."""
        self._relay_by_host: dict[str, RelayRecord] = {}

    def replace(self, relays: Iterable[RelayRecord]) -> None:
        """Replace the relays by those of the hosts that are live now."""
        relay_by_host = {relay.host_id: relay for relay in relays}
        if relay_by_host != self._relay_by_host:
            self._relay_by_host = relay_by_host
            self.version += 1

    def chosen_for(self, host_id: str) -> list[RelayRecord]:
        """Return the relays that a host is told of, the same ones each time."""

        def rank(relay: RelayRecord) -> int:
            return zlib.crc32(f"{host_id}/{relay.host_id}".encode())

        others = [relay for key, relay in self._relay_by_host.items() if key != host_id]
        return sorted(others, key=rank)[:RELAYS_PER_HOST]
