"""Whether a host tells the loss of its own links from the loss of endpoints."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import replace

import pytest

from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.kernel import Deadline, steady_seconds
from jujubeslip.peers import EndpointRole
from jujubeslip.relays import EndpointReach
from jujubeslip.relays._reach import SILENCE_SECONDS
from tests.fakes.endpoint_links import UnansweredAddress
from tests.fakes.processes import free_address


def endpoint(name: str, address: str, service: str = "plain") -> Endpoint:
    return Endpoint(
        endpoint_id=name,
        service_name=service,
        address=address,
        availability_zone="zone-1",
        sequence=1,
        leaving=False,
        slots=8,
        role=EndpointRole.PLAIN,
        heard_at=steady_seconds(),
        slow_until=Deadline.after(0),
    )


def reach_of(*endpoints: Endpoint) -> EndpointReach:
    registry = EndpointRegistry()
    registry.merge(endpoints)
    return EndpointReach(registry)


@pytest.fixture
def accepting() -> Iterator[str]:
    """Return an address that accepts connections."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        host, port = listener.getsockname()
        yield f"{host}:{port}"


@pytest.fixture
def unanswered() -> Iterator[str]:
    """Return an address that answers nothing."""
    address = UnansweredAddress()
    yield address.address
    address.close()


class TestLostLinks:
    def test_are_lost_if_no_endpoint_accepts(self, unanswered: str) -> None:
        reach = reach_of(endpoint("a", unanswered), endpoint("b", free_address()))
        assert reach.confirm_lost() and reach.is_lost

    def test_are_restored_once_endpoints_accept(self, accepting: str) -> None:
        registry = EndpointRegistry()
        registry.merge([endpoint("a", free_address())])
        reach = EndpointReach(registry)
        changes = []
        reach.set_change_handler(lambda: changes.append(reach.is_lost))
        assert reach.confirm_lost()
        registry.merge([replace(endpoint("a", accepting), sequence=2)])
        reach._check()
        assert not reach.is_lost
        assert changes == [True, False]

    def test_are_restored_by_one_endpoint_beside_others_that_have_ended(
        self, accepting: str
    ) -> None:
        """Guards against refusals while the endpoints that are left could serve."""
        registry = EndpointRegistry()
        ended = [endpoint(f"e-{number}", free_address()) for number in range(3)]
        registry.merge(ended)
        reach = EndpointReach(registry)
        assert reach.confirm_lost()
        registry.merge([endpoint("new", accepting)])
        reach._check()
        assert not reach.is_lost

    def test_errors_of_calls_sent_before_are_explained(self) -> None:
        reach = reach_of(endpoint("a", free_address()))
        sent_at = steady_seconds()
        assert not reach.was_lost_since(sent_at)
        reach.confirm_lost()
        assert reach.was_lost_since(sent_at)
        assert not reach.was_lost_since(steady_seconds())


class TestHostWithoutDescriptors:
    """Guards against the end of the task that finds out when links are restored."""

    def test_check_goes_on(
        self, accepting: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        reach = reach_of(endpoint("a", accepting))

        def fail() -> None:
            raise OSError(errno.EMFILE, "Too many open files")

        with monkeypatch.context() as patched:
            patched.setattr(socket, "socket", fail)
            assert reach.confirm_lost()
        reach._check()
        assert not reach.is_lost


class TestLostEndpoints:
    """Guards against hosts that relay requests although their own links work."""

    def test_one_silent_endpoint_of_two(self, accepting: str, unanswered: str) -> None:
        reach = reach_of(endpoint("a", unanswered), endpoint("b", accepting))
        assert not reach.confirm_lost()

    def test_most_endpoints(self, accepting: str) -> None:
        ended = [endpoint(f"e-{number}", free_address()) for number in range(20)]
        alone = endpoint("other", accepting, "other")
        assert not reach_of(*ended, alone).confirm_lost()

    def test_most_endpoints_of_one_service(self, accepting: str) -> None:
        """They fill the first rounds, as all are of one service and zone."""
        ended = [endpoint(f"e-{number}", free_address()) for number in range(20)]
        assert not reach_of(*ended, endpoint("alone", accepting)).confirm_lost()

    def test_endpoints_that_are_no_longer_heard(self, accepting: str) -> None:
        """They ended some time ago, and fill the sample otherwise."""
        ended = [
            replace(endpoint(f"e-{number}", free_address()), heard_at=0.0)
            for number in range(20)
        ]
        assert not reach_of(*ended, endpoint("a", accepting)).confirm_lost()

    def test_no_endpoint_is_known(self) -> None:
        assert not reach_of().confirm_lost()

    def test_one_accepted_a_connection_just_now(self) -> None:
        reach = reach_of(endpoint("a", free_address()))
        reach.note_connected()
        assert not reach.confirm_lost()
        assert reach.confirm_lost(connected_seconds=0.0)


class TestSilence:
    """Guards against checks, which open connections, while endpoints answer."""

    def test_short_silence_causes_no_check(self) -> None:
        reach = reach_of(endpoint("a", free_address()))
        reach.note_silence(SILENCE_SECONDS / 2)
        assert not reach._wanted.is_set()

    def test_silence_of_one_endpoint_while_others_answer(self) -> None:
        reach = reach_of(endpoint("a", free_address()))
        reach.note_answer()
        reach.note_silence(2 * SILENCE_SECONDS)
        assert not reach._wanted.is_set()

    def test_long_silence_causes_one(self) -> None:
        reach = reach_of(endpoint("a", free_address()))
        reach.note_silence(2 * SILENCE_SECONDS)
        assert reach._wanted.is_set()
