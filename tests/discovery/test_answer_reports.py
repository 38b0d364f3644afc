"""Reports of answer times travel with the watches of control hosts."""

from __future__ import annotations

from threading import Event
from types import SimpleNamespace
from typing import Any

from jujubeslip.discovery import (
    AnswerReport,
    ControlFollowers,
    ControlUpdate,
    EndpointRegistry,
    SlowEndpoint,
)
from jujubeslip.discovery._control_followers import ReportedState
from jujubeslip.peers import (
    AnswerTimesRecord,
    PeerIdentity,
    SlowEndpointRecord,
    WatchReply,
)

REPORT = AnswerReport("a", 0.11, 0.044, 3, 1)


class TestWatchRequest:
    """Guards against messages of their own, and against bytes while all is well."""

    def test_carries_the_reports(self) -> None:
        request, _ = followers([REPORT]).request(ReportedState(), 0)
        assert request.answer_times == [AnswerTimesRecord("a", 110, 44, 3, 1)]

    def test_has_no_field_without_reports(self) -> None:
        request, _ = followers([]).request(ReportedState(), 0)
        assert request.answer_times is None


class TestWatchReply:
    def test_list_reaches_the_host(self) -> None:
        reply = WatchReply(slow_endpoints=[SlowEndpointRecord("a", 110, 45)])
        assert update_of(reply).slow_endpoints == (SlowEndpoint("a", 0.11, 0.45),)

    def test_of_an_earlier_version_lists_nothing(self) -> None:
        assert update_of(WatchReply()).slow_endpoints == ()


def followers(
    reports: list[AnswerReport], updates: list[ControlUpdate] | None = None
) -> ControlFollowers:
    process: Any = SimpleNamespace(stopped=Event())
    received: list[ControlUpdate] = [] if updates is None else updates
    return ControlFollowers(
        process,
        PeerIdentity("entry-1", 1, "secret"),
        EndpointRegistry(),
        received.append,
        is_entry_host=True,
        answer_reports=lambda: reports,
    )


def update_of(reply: WatchReply) -> ControlUpdate:
    updates: list[ControlUpdate] = []
    followers([], updates).apply_reply("10.0.0.1:1", reply)
    (update,) = updates
    return update
