"""What it costs to place an answer at a decode engine; uses no clock.

Answers the load of engines of one service that differ in speed: at a fast engine an
answer ends sooner and frees its memory sooner; at one that has turned slow it holds its
memory several times as long, and its events come too late. Where engines are even, the
cost is the expected fill of the engine's memory and that of crossing a zone's border.
"""

from __future__ import annotations

from dataclasses import dataclass

from jujubeslip.admission._engine_speed import EVEN_FACTOR, DecodeSpeeds
from jujubeslip.admission._models import GrantRequest
from jujubeslip.admission._speed_measure import EngineSpeed
from jujubeslip.discovery import Endpoint

# How much fuller an engine in the entry host's own availability zone may be than one
# in another zone, as a share of its memory for the usual time of an answer. When a zone
# is partitioned, the answers that cross its border are lost. With this cost and the
# bound on prompts that a decode engine prefills beside its answers, 49 to 61 of 100
# streams are in time during such a partition; without both, 39 to 54.
OTHER_ZONE_COST = 0.25


@dataclass(frozen=True)
class Offer:
    """The terms on which an engine takes an answer."""

    time_factor: float
    """How long the answer takes, as a multiple of the usual time."""
    zone_cost: float

    def cost(self, fill: float) -> float:
        """Return the cost at this expected fill of the engine's memory.

        The share of the memory that is in use until the answer ends, for that time.
        """
        return fill * self.time_factor + self.zone_cost


class Placement:
    """Offers engines of one service by when an answer would end there."""

    def __init__(self, speeds: DecodeSpeeds) -> None:
        self._speeds = speeds

    def offer(
        self, grant_request: GrantRequest, engine: Endpoint, answers: int, now: float
    ) -> Offer | None:
        """Return the terms at an engine with this many answers, None if it has none."""
        speed = self._speeds.expected_speed(engine.start_id, answers, now)
        if self._is_left_out(grant_request, engine.start_id, speed, answers):
            return None
        same_zone = engine.availability_zone == grant_request.availability_zone
        zone_cost = 0.0 if same_zone else OTHER_ZONE_COST
        if not self._counts_speed(grant_request):
            return Offer(1.0, zone_cost)
        event_seconds = self._speeds.event_seconds(speed, answers + 1)
        return Offer(event_seconds / self._speeds.usual_event_seconds, zone_cost)

    def _counts_speed(self, grant_request: GrantRequest) -> bool:
        """Return whether engines differ by more than noise, and the caller notices.

        A difference that is shorter than the longest pause in time is not noticed.
        """
        if not self._speeds.are_uneven or not self._speeds.usual_event_seconds:
            return False
        usual = grant_request.lengths.mean * self._speeds.usual_event_seconds
        return usual * (1 - 1 / EVEN_FACTOR) > grant_request.maximum_gap

    def _is_left_out(
        self,
        grant_request: GrantRequest,
        start_id: str,
        speed: EngineSpeed,
        answers: int,
    ) -> bool:
        """Return whether all answers there would be too slow with one more.

        Only the few slowest engines are judged by their own speed, so that a wrong
        measurement leaves no more than a share of the service out. Others are judged by
        their answers at the median speed at least, and always take one.
        """
        if not grant_request.maximum_gap:
            return False
        if self._speeds.may_be_left_out(start_id):
            judged = speed
        elif answers:
            judged = EngineSpeed(max(1.0, speed.factor))
        else:
            return False
        event_seconds = self._speeds.event_seconds(judged, answers + 1)
        is_slow = self._speeds.is_slow(judged)
        return is_slow or event_seconds > grant_request.maximum_gap
