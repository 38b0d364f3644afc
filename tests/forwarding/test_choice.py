"""Which endpoints a forwarding host chooses from."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.endpoints import (
    ConnectionPool,
    EndpointConnection,
    EndpointOnHoldError,
    never_interrupted,
)
from jujubeslip.forwarding._choice import Chooser, LeastCost
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.interfaces import EndpointCall, interfaces
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.notices import EndpointNotices, Hold, HoldReason
from jujubeslip.notices._models import NEVER
from jujubeslip.peers import EndpointRole
from jujubeslip.platform._endpoint_calls import read_head
from tests.fakes.engines import engine
from tests.fakes.platform_worker import PlatformWorker

SILENCE_SECONDS = 5.0


class TestWithoutHealthyEndpoints:
    """Guards against choosing an engine that is known to be replaced.

    In a partitioned zone all engines of other zones are unreachable, and one more
    crashed half a minute before. It was only skipped, and so chosen as the last one
    left: eleven streams had their prompts prefilled, got a reservation at its address,
    and were refused by the engine that has the address now, four times each.
    """

    @staticmethod
    def choice_of(*endpoints: Endpoint) -> tuple[Chooser, EndpointHealth]:
        registry, health = EndpointRegistry(), EndpointHealth()
        registry.merge(
            replace(item, address=f"10.0.0.{number}:80")
            for number, item in enumerate(endpoints)
        )
        policy = LeastCost(health, "zone-1")
        return Chooser(registry, health, policy, SILENCE_SECONDS), health

    def test_unreachable_one_is_tried(self) -> None:
        chooser, health = self.choice_of(engine("silent"))
        health.note_unreachable("silent")
        chosen = chooser.choose("model", EndpointRole.DECODE, ())
        assert chosen is not None and chosen.endpoint_id == "silent"

    def test_replaced_one_is_not(self) -> None:
        chooser, health = self.choice_of(engine("replaced"))
        health.note_replaced("replaced")
        assert health.is_paused("replaced")
        assert chooser.choose("model", EndpointRole.DECODE, ()) is None


class TestEndpointsOnHold:
    """Guards against waits for an endpoint in backoff while another one is free."""

    @staticmethod
    def chooser_of(**holds: Hold | None) -> Chooser:
        registry, health = EndpointRegistry(), EndpointHealth()
        registry.merge(
            replace(engine(name), address=f"10.0.0.{number}:80")
            for number, name in enumerate(holds)
        )
        policy = LeastCost(health, "zone-1")
        return Chooser(registry, health, policy, SILENCE_SECONDS, holds.__getitem__)

    def test_the_hold_that_ends_first_is_reported(self) -> None:
        long = Hold(HoldReason.BACKOFF, Deadline.after(9))
        short = Hold(HoldReason.LIMIT, Deadline.after(1))
        leaving = Hold(HoldReason.LEAVING, NEVER)
        chooser = self.chooser_of(a=long, b=short, c=leaving)
        holds = chooser.holds("model", EndpointRole.DECODE)
        assert holds.first_to_end is short
        assert holds.cover_all
        assert holds.starts_in_backoff == ["a"]

    def test_not_all_are_held_while_one_may_be_asked(self) -> None:
        chooser = self.chooser_of(a=Hold(HoldReason.BACKOFF, Deadline.after(9)), b=None)
        assert not chooser.holds("model", EndpointRole.DECODE).cover_all

    def test_no_hold_ends_if_all_are_leaving(self) -> None:
        chooser = self.chooser_of(a=Hold(HoldReason.LEAVING, NEVER))
        assert chooser.holds("model", EndpointRole.DECODE).first_to_end is None


class TestHoldThatBeginsWhileAConnectionIsOpened:
    """Guards against requests that are sent just when a backoff begins."""

    def test_nothing_is_sent(self) -> None:
        load_plugins()
        with PlatformWorker("w", "plain") as worker:
            endpoint = replace(engine("w"), address=worker.address)
            notices = EndpointNotices()

            class SlowPool(ConnectionPool):
                def take(self, *where: Any) -> EndpointConnection:
                    refusal = read_head(503, [("Retry-After", "3")])
                    notices.record_answer(endpoint, refusal, 0.0)
                    return super().take(*where)

            request: Any = SimpleNamespace(request_id="first")
            pool = SlowPool()
            interface = interfaces.get("platform")
            call = EndpointCall("w", 1000)
            exchange = Exchange(
                pool, interface, endpoint, request, never_interrupted, notices
            )
            with exchange, pytest.raises(EndpointOnHoldError) as raised:
                exchange.call(call, Deadline.after(1))
            assert not raised.value.may_have_run
            assert pool.idle_count == 1
            assert not worker.arrivals
