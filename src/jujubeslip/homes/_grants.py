"""The grants of one pool, counted at the endpoints that they use."""

from __future__ import annotations

from jujubeslip.homes._records import URGENT, EndpointRecord, GrantRecord
from jujubeslip.kernel import steady_seconds

# How long a released grant's attempt is remembered: statuses that were read before
# the release still list it, and would show a slot in use that is free.
RELEASED_SECONDS = 5.0


class GrantBook:
    """Grants by id; every method is called under the pool's lock."""

    def __init__(self, record_by_id: dict[str, EndpointRecord]) -> None:
        self.record_by_id = record_by_id
        self.by_id: dict[str, GrantRecord] = {}
        # How many of them are for urgent requests.
        self.urgent = 0
        self._known_until_by_key: dict[tuple[str, int], float] = {}

    def add(self, grant: GrantRecord) -> None:
        """Count a grant at its endpoints."""
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
        """Give the prefill endpoint's turn back."""
        grant.prefill_finished = True
        record = self.record_by_id.get(grant.prefill_id)
        if record is not None:
            record.prefill_grants.pop(grant.grant_id, None)

    def finish_transfer(self, grant: GrantRecord) -> None:
        """Give the prefill endpoint's link back."""
        record = self.record_by_id.get(grant.prefill_id)
        if record is not None:
            record.transfer_grants.pop(grant.grant_id, None)

    def remove(self, grant: GrantRecord) -> None:
        """Give everything back."""
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

    def count_strangers(self, record: EndpointRecord) -> None:
        """Count what an endpoint holds that this home did not grant.

        It was granted by an earlier home, or by one beyond a network partition, and
        takes a slot until the endpoint's own list shows that it is gone.
        """
        held = record.status.held if record.status else ()
        record.strangers = sum(
            1
            for item in held
            if (item.request_id, item.attempt) not in self._known_until_by_key
        )

    def forget_released(self) -> None:
        """Forget attempts whose release is long past."""
        now = steady_seconds()
        for key, until in list(self._known_until_by_key.items()):
            if until < now:
                del self._known_until_by_key[key]
