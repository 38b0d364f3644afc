"""Watch replies of control hosts with invalid records."""

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
    ControlUpdate,
    Endpoint,
    EndpointRegistry,
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

INVALID_NUMBERS = (None, -1, -(2**63), 2**63 - 1)
INVALID_TEXTS = (None, "", "x" * 3000)
INVALID_VALUES_BY_FIELD: dict[str, tuple[Any, ...]] = {
    "endpoint_id": (*INVALID_TEXTS, "a b", "a\r\nX: y", "a/b"),
    "service_name": INVALID_TEXTS,
    "address": (*INVALID_TEXTS, "10.0.0.1", "10.0.0.1:0", "10.0.0.256:80", "a:b"),
    "availability_zone": INVALID_TEXTS,
    "sequence": INVALID_NUMBERS,
    "leaving": (None,),
    "slots": (None, -1, 0, -(2**31), 2**31 - 1),
    "role": (None, 0, 4, -1, 99),
    "silent_ms": INVALID_NUMBERS,
    "cold_remaining_ms": INVALID_NUMBERS,
}
INVALID_FIELDS = [
    (name, value)
    for name, values in INVALID_VALUES_BY_FIELD.items()
    for value in values
]


def invalid_record(*fields: tuple[str, Any]) -> EndpointRecord:
    """Return a record with these values, as read from a connection."""
    record = to_record(engine("foreign"))
    for name, value in fields:
        setattr(record, name, value)
    record_read: EndpointRecord = received(record)
    return record_read


class Follower:
    """A host that follows one control host."""

    def __init__(self) -> None:
        self.registry = EndpointRegistry()
        self.updates: list[ControlUpdate] = []
        process: Any = SimpleNamespace(start_task=lambda task: None)
        identity = PeerIdentity("entry-1", 1, "secret")
        self._followers = ControlFollowers(
            process, identity, self.registry, self.updates.append
        )

    def receive(self, *records: EndpointRecord, **fields: Any) -> None:
        """Apply a watch reply with these records."""
        reply = WatchReply(7, 1, list(records), 3, [], 2, "")
        for name, value in fields.items():
            setattr(reply, name, value)
        self._followers.apply_reply("10.0.0.1:7000", received(reply))

    def by_id(self) -> dict[str, Endpoint]:
        """Return the known endpoints by id."""
        return {item.endpoint_id: item for item in self.registry.endpoints()}


class TestInvalidRecord:
    """Guards against an invalid record that stops a host from following a control host.

    A control host of another version may report an endpoint in a new role. If the hosts
    that watch it failed on this record, they would no longer learn of endpoints that
    announce themselves there.
    """

    @pytest.mark.parametrize(
        "invalid", INVALID_FIELDS, ids=lambda item: ascii(item)[:40]
    )
    def test_is_skipped_and_the_others_apply(
        self, invalid: tuple[str, Any], caplog: pytest.LogCaptureFixture
    ) -> None:
        follower = Follower()
        first, last = to_record(engine("a")), to_record(engine("b"))
        with caplog.at_level(logging.INFO):
            follower.receive(first, invalid_record(invalid), last)
        assert set(follower.by_id()) == {"a", "b"}
        assert follower.updates[0].configuration_version == 3
        [line] = [item for item in caplog.records if "record invalid" in item.message]
        assert f"'{invalid[0]}" in vars(line)["problem"]
        assert len(vars(line)["problem"]) <= 300

    @given(fields=st.lists(st.sampled_from(INVALID_FIELDS), min_size=1, max_size=5))
    @settings(deadline=None, max_examples=60)
    def test_keeps_an_older_valid_record(self, fields: list[tuple[str, Any]]) -> None:
        follower = Follower()
        follower.receive(to_record(engine("foreign")))
        before = follower.by_id()
        follower.receive(invalid_record(("sequence", 1000), *fields))
        assert follower.by_id() == before

    def test_that_is_not_utf_8_is_skipped(self) -> None:
        protocol = TBinaryProtocolAcceleratedFactory()
        valid = serialize(to_record(engine("foreign")), protocol)
        invalid = deserialize(
            EndpointRecord(), valid.replace(b"foreign", b"\xff\xfereign"), protocol
        )
        follower = Follower()
        follower.receive(to_record(engine("a")), invalid, to_record(engine("b")))
        assert set(follower.by_id()) == {"a", "b"}

    @pytest.mark.parametrize("role", list(EndpointRole))
    def test_is_not_one_with_a_known_role(self, role: EndpointRole) -> None:
        follower = Follower()
        follower.receive(to_record(engine("a", role)))
        assert follower.by_id()["a"].role is role


class TestReplyWithoutFields:
    @pytest.mark.parametrize(
        "name",
        ["endpoints", "control_addresses", "entry_hosts", "configuration_version"],
    )
    def test_applies_the_others(self, name: str) -> None:
        follower = Follower()
        follower.receive(to_record(engine("a")), **{name: None})
        assert set(follower.by_id()) == (set() if name == "endpoints" else {"a"})
        [update] = follower.updates
        assert (update.configuration_version, update.entry_hosts) == (
            0 if name == "configuration_version" else 3,
            0 if name == "entry_hosts" else 2,
        )


class TestInvalidRemoval:
    """Guards against an invalid removal that discards the others of its reply."""

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            *(("endpoint_id", value) for value in (*INVALID_TEXTS, "a b")),
            *(("started_at_ms", value) for value in (None, -1)),
            *(("removed_ago_ms", value) for value in (None, -1)),
        ],
    )
    def test_is_skipped_and_the_others_apply(self, name: str, value: Any) -> None:
        invalid = EndpointRemoval("broken", 0, 5)
        setattr(invalid, name, value)
        follower = Follower()
        follower.receive(removals=[invalid, EndpointRemoval("gone", 0, 5)])
        follower.receive(to_record(engine("gone")))
        assert not follower.by_id()["gone"].accepts_work
