"""Which endpoints a host may choose from."""

from __future__ import annotations

from dataclasses import replace

from jujubeslip.discovery import Endpoint, EndpointBook
from jujubeslip.forwarding._choice import Chooser, LeastCost
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.peers import EndpointRole
from tests.fakes.engines import engine

SILENCE_SECONDS = 5.0


class TestWithoutSoundEndpoints:
    """A zone is cut off, and all engines of the other zones are out of reach.

    What is left beside them is an engine that crashed half a minute before. Eleven
    streams had their prompts read, got room at its address, and were refused by the
    engine that has it now, four times each: it was only passed over, and taken as the
    last one left.
    """

    @staticmethod
    def choice_of(*endpoints: Endpoint) -> tuple[Chooser, EndpointHealth]:
        book, health = EndpointBook(), EndpointHealth()
        book.take(
            replace(item, address=f"10.0.0.{number}:80")
            for number, item in enumerate(endpoints)
        )
        policy = LeastCost(health, "zone-1")
        return Chooser(book, health, policy, SILENCE_SECONDS), health

    def test_one_that_cannot_be_reached_is_tried(self) -> None:
        chooser, health = self.choice_of(engine("silent"))
        health.note_unreachable("silent")
        chosen = chooser.choose("model", EndpointRole.DECODE, ())
        assert chosen is not None and chosen.endpoint_id == "silent"

    def test_one_that_is_gone_is_not(self) -> None:
        chooser, health = self.choice_of(engine("gone"))
        health.note_replaced("gone")
        assert health.is_paused("gone")
        assert chooser.choose("model", EndpointRole.DECODE, ()) is None
