"""The grants of one pool, recorded at the endpoints that they use."""

from __future__ import annotations

from jujubeslip.homes._records import URGENT, EndpointRecord, GrantRecord
from jujubeslip.kernel import steady_seconds

# How long the attempt of a released grant is remembered, in seconds. A status that was
# read before the release still lists the attempt, and would make a free slot look used.
RELEASED_SECONDS = 5.0


class GrantRegistry:
    """Grants by id; every method must be called with the pool's lock held."""

    def __init__(self, record_by_id: dict[str, EndpointRecord]) -> None:
        self.record_by_id = record_by_id
        self.by_id: dict[str, GrantRecord] = {}
        # The number of grants for urgent requests.
        self.urgent = 0
        self._known_until_by_key: dict[tuple[str, int], float] = {}

    def add(self, grant: GrantRecord) -> None:
        """Add a grant and record it at its endpoints."""
        self.by_id[grant.grant_id] = grant
        self._known_until_by_key[grant.key] = float("inf")
        if grant.request.priority == URGENT:
            self.urgent += 1
        prefill = self.record_by_id.get(grant.prefill_id)
        if prefill is not None:
            prefill.prefill_grants[grant.grant_id] = grant
            prefill.transfer_grants[grant.grant_id] = grant
        decode = self.record_by_id.get(grant.decode_id)
        if decode is not None:
            decode.decode_grants[grant.grant_id] = grant

    def finish_prefill(self, grant: GrantRecord) -> None:
        """Mark the prefill finished, and remove it from its endpoint's backlog."""
        grant.prefill_finished = True
        record = self.record_by_id.get(grant.prefill_id)
        if record is not None:
            record.prefill_grants.pop(grant.grant_id, None)

    def finish_transfer(self, grant: GrantRecord) -> None:
        """Release the prefill endpoint's link."""
        record = self.record_by_id.get(grant.prefill_id)
        if record is not None:
            record.transfer_grants.pop(grant.grant_id, None)

    def remove(self, grant: GrantRecord) -> None:
        """Remove a grant and release all its capacity."""
        if self.by_id.pop(grant.grant_id, None) is None:
            return
        self.finish_prefill(grant)
        self.finish_transfer(grant)
        record = self.record_by_id.get(grant.decode_id)
        if record is not None:
            record.decode_grants.pop(grant.grant_id, None)
        if grant.request.priority == URGENT:
            self.urgent -= 1
        self._known_until_by_key[grant.key] = steady_seconds() + RELEASED_SECONDS

    def count_foreign_requests(self, record: EndpointRecord) -> None:
        """Count the requests that an endpoint holds without a grant of this home.

        They were granted by a previous home, or by one on the other side of a network
        partition, and each uses a slot until the endpoint's status no longer lists it.
        """
        held = record.status.held if record.status else ()
        record.foreign_requests = sum(
            1
            for item in held
            if (item.request_id, item.attempt) not in self._known_until_by_key
        )

    def prune_released(self) -> None:
        """Remove attempts that were released more than RELEASED_SECONDS ago."""
        now = steady_seconds()
        for key, until in list(self._known_until_by_key.items()):
            if until < now:
                del self._known_until_by_key[key]
