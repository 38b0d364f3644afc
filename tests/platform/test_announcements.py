"""Invalid announcements, from other programs or damaged in transit.

Whatever one sender announces, the other endpoints must stay known and in use.
"""

from __future__ import annotations

import io
import json
import logging
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jujubeslip.control._gateway import LeaderGateway
from jujubeslip.discovery import (
    Endpoint,
    EndpointRegistry,
    to_record,
    usable_endpoints,
)
from jujubeslip.peers import EndpointRole
from jujubeslip.platform._control_app import ControlApp
from tests.fakes.broken_fields import (
    INVALID_ADDRESSES,
    INVALID_LISTS,
    INVALID_NUMBERS,
    INVALID_TEXTS,
    INVALID_WORDS,
    MISSING,
    UNREADABLE_BODIES,
    BrokenField,
    broken_field_cases,
    json_values,
    received,
)

ENGINE: dict[str, Any] = {
    "service": "model",
    "address": "10.0.0.9:8080",
    "zone": "zone-1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "decode",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "born": 1_700_000_000_000,
    "seq": 4,
}
PLAIN = {
    key: value
    for key, value in ENGINE.items()
    if key not in ("stage", "models", "born")
}
OPTIONAL = frozenset({"stage", "models", "born"})
BREAKS = broken_field_cases(
    {
        ("service",): INVALID_TEXTS,
        ("address",): INVALID_ADDRESSES,
        ("zone",): INVALID_TEXTS,
        ("version",): INVALID_TEXTS,
        ("slots",): (*INVALID_NUMBERS, 0, 2**31),
        ("state",): INVALID_WORDS,
        ("coldLeftMs",): INVALID_NUMBERS,
        ("stage",): INVALID_WORDS,
        ("models",): INVALID_LISTS,
        ("models", 0, "name"): INVALID_TEXTS,
        ("models", 0, "version"): INVALID_NUMBERS,
        ("models", 0, "adapters"): ("", 1, True, None, {}),
        ("born",): INVALID_NUMBERS,
        ("seq",): INVALID_NUMBERS,
    },
    OPTIONAL,
)
# Breaks of a top-level field, not of a value inside one.
WHOLE_FIELDS = [broken for broken in BREAKS if len(broken.path) == 1]
BAD_IDS = ("", "a b", "a\r\nX: y", "a/b", "\xff", "x" * 1000)


def numbers(minimum: int, maximum: int) -> st.SearchStrategy[int]:
    """Return integers in these bounds, often at one of them."""
    return st.sampled_from([minimum, maximum, maximum - 1]) | st.integers(
        minimum, maximum
    )


class Host:
    """A control host: its responses to endpoints, and its registry."""

    def __init__(self) -> None:
        self.registry = EndpointRegistry()
        watches: Any = SimpleNamespace(wait_until_confirmed=lambda *_: True)
        client: Any = None
        self._app = ControlApp(LeaderGateway(client, self.registry, watches))
        self.status = 0

    def put(self, endpoint_id: str, body: bytes, method: str = "PUT") -> str:
        """Send an announcement; return the body of the response."""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": f"/instances/{endpoint_id}",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }

        def start_response(status: str, headers: object) -> None:
            self.status = int(status.split()[0])

        return b"".join(self._app(environ, start_response)).decode()

    def announce(self, endpoint_id: str, **fields: Any) -> None:
        """Send a valid announcement."""
        self.put(endpoint_id, json.dumps({**ENGINE, **fields}).encode())
        assert self.status == 200

    def reported(self) -> dict[str, Endpoint]:
        """Return the endpoints that the host reports, encoded and decoded again."""
        for endpoint in self.registry.changes_since(0)[1]:
            assert received(to_record(endpoint)).endpoint_id == endpoint.endpoint_id
        return {item.endpoint_id: item for item in self.registry.endpoints()}


@pytest.fixture(scope="module")
def host() -> Host:
    """Return a host that knows three endpoints."""
    host = Host()
    host.announce("engine", seq=4)
    host.announce("reader", seq=7, stage="prefill", address="10.0.0.10:8080")
    host.put("plain", json.dumps({**PLAIN, "service": "plain"}).encode())
    assert host.status == 200
    return host


class TestBrokenField:
    """Guards against an invalid field that is acknowledged and kept.

    With a sequence number of seventy bits, or half a surrogate pair in a name, no
    answer to the watching hosts can be encoded any more. None of them learns of any
    endpoint: new ones are not used, and leaving ones get requests until they exit.
    """

    @pytest.mark.parametrize("broken", BREAKS, ids=str)
    def test_names_no_endpoint_and_harms_none(
        self, host: Host, broken: BrokenField
    ) -> None:
        before = host.reported()
        answer = host.put("foreign", broken.apply(ENGINE))
        assert 400 <= host.status < 500
        assert f"'{broken.field}" in json.loads(answer)["error"]
        assert host.reported() == before

    @pytest.mark.parametrize("broken", BREAKS, ids=str)
    def test_of_a_known_start_leaves_what_was_known(
        self, host: Host, broken: BrokenField
    ) -> None:
        before = host.reported()
        host.put("engine", broken.apply({**ENGINE, "seq": 1000}))
        assert host.status == 400
        assert host.reported() == before

    @given(several=st.lists(st.sampled_from(WHOLE_FIELDS), min_size=2, max_size=6))
    @settings(deadline=None, max_examples=60)
    def test_among_others_is_refused_all_the_same(
        self, host: Host, several: list[BrokenField]
    ) -> None:
        before = host.reported()
        body = dict(ENGINE)
        for broken in several:
            body[broken.field] = broken.value
        kept = {key: value for key, value in body.items() if value is not MISSING}
        host.put("foreign", json.dumps(kept).encode())
        assert host.status == 400
        assert host.reported() == before


class TestUnreadableBody:
    @pytest.mark.parametrize(
        "body", UNREADABLE_BODIES, ids=lambda body: ascii(body[:12])
    )
    def test_is_refused(self, host: Host, body: bytes) -> None:
        before = host.reported()
        assert json.loads(host.put("foreign", body))["error"]
        assert host.status == 400
        assert host.reported() == before

    @given(body=st.binary(max_size=200))
    @settings(deadline=None, max_examples=100)
    def test_of_any_bytes_is_refused(self, host: Host, body: bytes) -> None:
        before = host.reported()
        host.put("foreign", body)
        assert host.status == 400
        assert host.reported() == before

    def test_of_a_megabyte_is_refused_without_reading_it(self, host: Host) -> None:
        before = host.reported()
        body = json.dumps({**ENGINE, "padding": "x" * 1_000_000}).encode()
        answer = host.put("foreign", body)
        assert host.status == 413
        assert "65536" in json.loads(answer)["error"]
        assert host.reported() == before


class TestId:
    """Guards against an id with a line break, which would add a header to requests."""

    @pytest.mark.parametrize("endpoint_id", BAD_IDS, ids=lambda name: ascii(name[:9]))
    def test_that_is_invalid_is_refused(self, host: Host, endpoint_id: str) -> None:
        before = host.reported()
        answer = host.put(endpoint_id, json.dumps(ENGINE).encode())
        assert host.status == 400
        assert "id" in json.loads(answer)["error"]
        host.put(endpoint_id, b"", method="DELETE")
        assert host.status == 400
        assert host.reported() == before

    @pytest.mark.parametrize(
        "other_id", ["engine", "", 1, True, None, [], {}], ids=repr
    )
    def test_that_differs_from_the_path_is_refused(
        self, host: Host, other_id: Any
    ) -> None:
        before = host.reported()
        answer = host.put("foreign", json.dumps({**ENGINE, "id": other_id}).encode())
        assert host.status == 400
        assert "'id'" in json.loads(answer)["error"]
        assert host.reported() == before

    def test_that_equals_the_path_is_accepted(self) -> None:
        host = Host()
        host.announce("e-1", id="e-1")
        assert list(host.reported()) == ["e-1"]


class TestAcceptedAnnouncement:
    """Guards against numbers that only the receiving control host accepts.

    It would acknowledge the announcement, and the hosts that it reports the endpoint
    to would refuse it and never use the endpoint.
    """

    @given(
        service=st.text(st.characters(codec="utf-8"), min_size=1, max_size=255),
        slots=numbers(1, 1_000_000),
        seq=numbers(0, 2**53 - 1),
        cold_ms=numbers(0, 24 * 3600 * 1000),
    )
    @settings(deadline=None, max_examples=100)
    def test_is_usable_for_all_hosts(
        self, service: str, slots: int, seq: int, cold_ms: int
    ) -> None:
        host = Host()
        host.announce("e", service=service, slots=slots, seq=seq, coldLeftMs=cold_ms)
        [kept] = host.registry.endpoints()
        [usable] = usable_endpoints("host", [received(to_record(kept))])
        assert (usable.service_name, usable.slots, usable.sequence) == (
            service,
            slots,
            seq,
        )

    def test_has_a_slow_start_of_a_day_at_most(self, host: Host) -> None:
        before = host.reported()
        body = json.dumps({**ENGINE, "coldLeftMs": 24 * 3600 * 1000 + 1}).encode()
        assert "'coldLeftMs'" in host.put("foreign", body)
        assert host.status == 400
        assert host.reported() == before


class TestValidAnnouncement:
    def test_of_an_engine_is_accepted(self) -> None:
        host = Host()
        host.announce("e-1", state="draining")
        endpoint = host.reported()["e-1"]
        assert endpoint.leaving
        assert (endpoint.role, endpoint.sequence, endpoint.slots) == (
            EndpointRole.DECODE,
            4,
            64,
        )

    @pytest.mark.parametrize("absent", [{"born"}, {"models"}, {"born", "models"}])
    def test_may_lack_what_is_optional(self, absent: set[str]) -> None:
        host = Host()
        body = {key: value for key, value in ENGINE.items() if key not in absent}
        host.put("e-1", json.dumps(body).encode())
        assert host.status == 200

    def test_without_a_stage_is_of_a_plain_service(self) -> None:
        host = Host()
        host.put("e-1", json.dumps(PLAIN).encode())
        assert host.reported()["e-1"].role is EndpointRole.PLAIN

    @given(name=st.text(st.characters(codec="utf-8"), max_size=8), value=json_values)
    @settings(deadline=None, max_examples=60)
    def test_may_have_unknown_fields(self, name: str, value: Any) -> None:
        host = Host()
        host.put("e-1", json.dumps({f"new{name}": value, **ENGINE}).encode())
        assert host.status == 200
        assert host.reported()["e-1"].service_name == "model"

    def test_after_an_invalid_one_is_accepted(self) -> None:
        host = Host()
        host.announce("e-1", seq=4)
        host.put("e-1", json.dumps({**ENGINE, "seq": 5, "slots": "8"}).encode())
        host.announce("e-1", seq=6, slots=8)
        assert host.reported()["e-1"].slots == 8


class TestLogLine:
    def test_names_the_endpoint_and_the_field_and_is_short(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        host = Host()
        everything_wrong = {name: "x" * 2000 for name in ENGINE}
        with caplog.at_level(logging.INFO):
            host.put("e-1", json.dumps({**everything_wrong, "seq": "4"}).encode())
        [line] = [item for item in caplog.records if "accepted" in item.message]
        fields = vars(line)
        assert fields["endpoint_id"] == "e-1"
        assert "'service'" in fields["reason"]
        assert len(fields["reason"]) <= 300
