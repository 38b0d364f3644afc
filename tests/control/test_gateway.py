"""What a control host acknowledges to endpoints."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import Mock

from jujubeslip.control._gateway import LeaderGateway
from jujubeslip.discovery import EndpointRegistry, Removal
from jujubeslip.kernel import Deadline
from tests.fakes.engines import engine

FIRST, SECOND = 1_700_000_000_000, 1_700_000_005_000


class TestLeavingOfAStartThatHasNoEffectHere:
    """Guards against an acknowledgement before other hosts are told of the leaving.

    Entry hosts may have heard of that start from another control host.
    """

    def test_is_told_before_it_is_acknowledged(self) -> None:
        registry, watches = EndpointRegistry(), Mock()
        known = replace(engine("e"), started_at_ms=SECOND)
        registry.merge([known])
        recorded: list[Removal] = []

        def record(removal: Removal, _: Deadline) -> None:
            recorded.append(removal)

        gateway = LeaderGateway(Mock(), registry, watches, record)
        # The clock of its host was set back between the two starts.
        gateway.announce(replace(known, started_at_ms=FIRST, leaving=True))
        [told] = registry.removals_since(0)
        assert (told.endpoint_id, told.started_at_ms) == ("e", FIRST)
        assert [removal.key for removal in recorded] == [told.key]
        assert watches.wait_until_confirmed.call_args.args[0] == told.version
