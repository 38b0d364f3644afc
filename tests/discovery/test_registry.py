"""The state of an endpoint whose announcements arrive late and out of order."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jujubeslip.discovery import Endpoint, EndpointRegistry, Removal, _removals
from jujubeslip.discovery._models import REMOVAL_SECONDS
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole


def endpoint(sequence: int, leaving: bool = False, endpoint_id: str = "e") -> Endpoint:
    return Endpoint(
        endpoint_id=endpoint_id,
        service_name="plain",
        address="10.0.0.1:80",
        availability_zone="zone-1",
        sequence=sequence,
        leaving=leaving,
        slots=4,
        role=EndpointRole.PLAIN,
        heard_at=steady_seconds(),
        slow_until=Deadline.after(0),
    )


class TestLeaving:
    """Guards against requests to a worker that leaves and would cut them when it exits.

    An older "ready" announcement arrives, through another host, after the worker
    announced that it leaves.
    """

    def test_is_not_reset_by_an_older_announcement(self) -> None:
        registry = EndpointRegistry()
        registry.merge([endpoint(5, leaving=True)])
        registry.merge([endpoint(4)])
        assert registry.endpoints()[0].leaving

    def test_is_not_reset_by_a_newer_announcement(self) -> None:
        registry = EndpointRegistry()
        registry.merge([endpoint(5, leaving=True)])
        registry.merge([endpoint(6)])
        assert registry.endpoints()[0].leaving

    def test_with_an_older_sequence_applies(self) -> None:
        registry = EndpointRegistry()
        registry.merge([endpoint(5)])
        registry.merge([endpoint(4, leaving=True)])
        assert registry.endpoints()[0].leaving

    def test_does_not_apply_to_another_endpoint(self) -> None:
        registry = EndpointRegistry()
        registry.merge([endpoint(5, leaving=True), endpoint(1, endpoint_id="next")])
        assert [item.leaving for item in registry.endpoints()] == [True, False]


class TestRemovalOfAnUnknownEndpoint:
    """Guards against requests to an endpoint whose removal was acknowledged.

    An endpoint signs off with a control host that has just restarted and acknowledges
    the removal. An earlier announcement of the endpoint then arrives from another host,
    and requests are sent to an endpoint that is about to exit: with a removal
    acknowledged at 13.35 s, requests came from 16.85 to 17.99 s.
    """

    def test_applies_to_later_announcements(self) -> None:
        registry = EndpointRegistry()
        registry.remove_endpoint("e")
        registry.merge([endpoint(4), endpoint(5)])
        assert [item.accepts_work for item in registry.endpoints()] == [False]

    def test_is_reported_to_other_hosts(self) -> None:
        registry, other = EndpointRegistry(), EndpointRegistry()
        registry.remove_endpoint("e")
        other.merge([endpoint(4)])
        registry.merge(other.changes_since(0)[1])
        other.merge(registry.changes_since(0)[1])
        assert [item.accepts_work for item in other.endpoints()] == [False]

    @pytest.mark.parametrize("announced_first", [True, False])
    def test_is_reported_before_the_endpoint_is_announced(
        self, announced_first: bool
    ) -> None:
        registry, other = EndpointRegistry(), EndpointRegistry()
        registry.remove_endpoint("e")
        if announced_first:
            other.merge([endpoint(4)])
        other.apply_removals(registry.removals_since(0))
        other.merge([endpoint(4), endpoint(5)])
        assert [item.accepts_work for item in other.endpoints()] == [False]

    def test_is_reported_once(self) -> None:
        registry, other = EndpointRegistry(), EndpointRegistry()
        version = registry.remove_endpoint("e")
        other.apply_removals(registry.removals_since(0))
        registry.apply_removals(other.removals_since(0))
        assert registry.removals_since(version) == []
        assert registry.version == version

    @pytest.mark.parametrize("age", [_removals.RETENTION_SECONDS + 1, 2.0**60])
    def test_is_not_applied_once_it_has_expired(self, age: float) -> None:
        """A sender drops expired removals only when it adds further ones."""
        registry = EndpointRegistry()
        old = Removal("e", steady_seconds() - age, 0)
        registry.apply_removals([old, Removal("f", steady_seconds(), 0)])
        other = replace(endpoint(1, endpoint_id="f"), address="10.0.0.2:80")
        registry.merge([endpoint(1), other])
        assert [item.accepts_work for item in registry.endpoints()] == [True, False]

    def test_that_is_reported_may_be_of_the_previous_start(self) -> None:
        registry, other = EndpointRegistry(), EndpointRegistry()
        registry.remove_endpoint("e")
        started = replace(endpoint(1), started_at_ms=8)
        other.merge([started])
        other.apply_removals(registry.removals_since(0))
        assert not other.endpoints()[0].accepts_work
        later = started.heard_at + REMOVAL_SECONDS + 1
        other.merge([replace(started, sequence=2, heard_at=later)])
        assert other.endpoints()[0].accepts_work

    def test_does_not_apply_to_another_start(self) -> None:
        registry = EndpointRegistry()
        registry.remove_endpoint("e", started_at_ms=7)
        registry.merge([replace(endpoint(1), started_at_ms=8)])
        assert [item.accepts_work for item in registry.endpoints()] == [True]

    def test_ends_for_a_start_that_keeps_announcing_itself(self) -> None:
        """The removal may have been the last message of the previous start."""
        registry = EndpointRegistry()
        registry.remove_endpoint("e")
        started = replace(endpoint(1), started_at_ms=8)
        registry.merge([started])
        assert not registry.endpoints()[0].accepts_work
        later = started.heard_at + REMOVAL_SECONDS + 1
        registry.merge([replace(started, sequence=2, heard_at=later)])
        assert registry.endpoints()[0].accepts_work

    def test_is_stored_for_a_limited_number(self) -> None:
        registry = EndpointRegistry()
        for number in range(_removals.MAXIMUM_STORED + 1):
            registry.remove_endpoint(f"e-{number}")
        first, last = f"e-{0}", f"e-{_removals.MAXIMUM_STORED}"
        registry.merge([endpoint(1, endpoint_id=name) for name in (first, last)])
        assert {
            item.endpoint_id: item.accepts_work for item in registry.endpoints()
        } == {
            first: True,
            last: False,
        }


class TestChanges:
    def test_renewal_wakes_no_waiting_caller(self) -> None:
        registry = EndpointRegistry()
        version = registry.merge([endpoint(1)])
        registry.merge([endpoint(2)])
        waited = Deadline.after(0.05)
        registry.wait_for_changes(version, lambda: False, waited)
        assert waited.expired

    def test_repeated_announcement_is_no_change(self) -> None:
        """Otherwise two hosts would keep sending each other the same announcement."""
        registry = EndpointRegistry()
        announced = endpoint(1)
        version = registry.merge([announced])
        later = replace(announced, heard_at=announced.heard_at + 0.2)
        assert registry.merge([later]) == version

    def test_watcher_gets_changes_since_its_version(self) -> None:
        registry = EndpointRegistry()
        version = registry.merge([endpoint(1)])
        registry.merge([endpoint(1, endpoint_id="next")])
        _, changed = registry.changes_since(version)
        assert [item.endpoint_id for item in changed] == ["next"]
