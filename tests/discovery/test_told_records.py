"""What one control host tells of endpoints, with records that can't be used."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.TSerialization import deserialize, serialize

from jujubeslip.discovery import (
    ControlFollowers,
    Endpoint,
    EndpointBook,
    News,
    to_record,
)
from jujubeslip.peers import (
    EndpointRecord,
    EndpointRemoval,
    EndpointRole,
    PeerIdentity,
    WatchReply,
)
from tests.fakes.broken_fields import received
from tests.fakes.engines import engine

NO_NUMBER = (None, -1, -(2**63), 2**63 - 1)
NO_TEXT = (None, "", "x" * 3000)
VALUES_BY_FIELD: dict[str, tuple[Any, ...]] = {
    "endpoint_id": (*NO_TEXT, "a b", "a\r\nX: y", "a/b"),
    "service_name": NO_TEXT,
    "address": (*NO_TEXT, "10.0.0.1", "10.0.0.1:0", "10.0.0.256:80", "a:b"),
    "availability_zone": NO_TEXT,
    "sequence": NO_NUMBER,
    "leaving": (None,),
    "slots": (None, -1, 0, -(2**31), 2**31 - 1),
    "role": (None, 0, 4, -1, 99),
    "silent_ms": NO_NUMBER,
    "cold_remaining_ms": NO_NUMBER,
}
BREAKS = [(name, value) for name, values in VALUES_BY_FIELD.items() for value in values]


def broken_record(*breaks: tuple[str, Any]) -> EndpointRecord:
    """Return a record with these values, as it comes out of a connection."""
    record = to_record(engine("foreign"))
    for name, value in breaks:
        setattr(record, name, value)
    told: EndpointRecord = received(record)
    return told


class Told:
    """A host that follows one control host."""

    def __init__(self) -> None:
        self.book = EndpointBook()
        self.news: list[News] = []
        process: Any = SimpleNamespace(start_task=lambda task: None)
        identity = PeerIdentity("entry-1", 1, "secret")
        self._followers = ControlFollowers(
            process, identity, self.book, self.news.append
        )

    def take(self, *records: EndpointRecord, **fields: Any) -> None:
        """Take over an answer with these records."""
        reply = WatchReply(7, 1, list(records), 3, [], 2, "")
        for name, value in fields.items():
            setattr(reply, name, value)
        self._followers.take("10.0.0.1:7000", received(reply))

    def by_id(self) -> dict[str, Endpoint]:
        """Return what is known."""
        return {item.endpoint_id: item for item in self.book.endpoints()}


class TestBrokenRecord:
    """A control host of another version tells of an endpoint in a role that is new.

    Each host that watches it would fail at this record, and follow that control host no
    more: endpoints that announce themselves there are not heard of again.
    """

    @pytest.mark.parametrize("broken", BREAKS, ids=lambda item: ascii(item)[:40])
    def test_is_left_out_and_the_others_hold(
        self, broken: tuple[str, Any], caplog: pytest.LogCaptureFixture
    ) -> None:
        told = Told()
        first, last = to_record(engine("a")), to_record(engine("b"))
        with caplog.at_level(logging.INFO):
            told.take(first, broken_record(broken), last)
        assert set(told.by_id()) == {"a", "b"}
        assert told.news[0].configuration_version == 3
        [line] = [item for item in caplog.records if "not usable" in item.message]
        assert f"'{broken[0]}" in vars(line)["problem"]
        assert len(vars(line)["problem"]) <= 300

    @given(several=st.lists(st.sampled_from(BREAKS), min_size=1, max_size=5))
    @settings(deadline=None, max_examples=60)
    def test_leaves_an_older_good_one(self, several: list[tuple[str, Any]]) -> None:
        told = Told()
        told.take(to_record(engine("foreign")))
        before = told.by_id()
        told.take(broken_record(("sequence", 1000), *several))
        assert told.by_id() == before

    def test_whose_text_is_no_utf_8_is_left_out(self) -> None:
        protocol = TBinaryProtocolAcceleratedFactory()
        sound = serialize(to_record(engine("foreign")), protocol)
        broken = deserialize(
            EndpointRecord(), sound.replace(b"foreign", b"\xff\xfereign"), protocol
        )
        told = Told()
        told.take(to_record(engine("a")), broken, to_record(engine("b")))
        assert set(told.by_id()) == {"a", "b"}

    @pytest.mark.parametrize("role", list(EndpointRole))
    def test_is_not_what_each_known_role_is(self, role: EndpointRole) -> None:
        told = Told()
        told.take(to_record(engine("a", role)))
        assert told.by_id()["a"].role is role


class TestAnswerThatLacksFields:
    @pytest.mark.parametrize(
        "name",
        ["endpoints", "control_addresses", "entry_hosts", "configuration_version"],
    )
    def test_still_tells_the_rest(self, name: str) -> None:
        told = Told()
        told.take(to_record(engine("a")), **{name: None})
        assert set(told.by_id()) == (set() if name == "endpoints" else {"a"})
        [news] = told.news
        assert (news.configuration_version, news.entry_hosts) == (
            0 if name == "configuration_version" else 3,
            0 if name == "entry_hosts" else 2,
        )


class TestRemovalThatIsTold:
    """Guards against a removal that cannot be read, and costs those beside it."""

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            *(("endpoint_id", value) for value in (*NO_TEXT, "a b")),
            *(("started_at_ms", value) for value in (None, -1)),
            *(("removed_ago_ms", value) for value in (None, -1)),
        ],
    )
    def test_others_are_taken_over(self, name: str, value: Any) -> None:
        broken = EndpointRemoval("broken", 0, 5)
        setattr(broken, name, value)
        told = Told()
        told.take(removals=[broken, EndpointRemoval("gone", 0, 5)])
        told.take(to_record(engine("gone")))
        assert not told.by_id()["gone"].stays
