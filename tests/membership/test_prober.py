"""The consequences of a failed probe for the directory."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import pytest

from jujubeslip.kernel import PeerUnavailableError, Process
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.membership._prober import Prober
from jujubeslip.peers import GossipMessage, HostState, HostStatus

TARGET = "host-1"


class Network:
    """A fake for all peers, whose helpers report whether they reach the target."""

    def __init__(self, helpers_reach: bool) -> None:
        self.helpers_reach = helpers_reach
        self.asked: list[str] = []

    def get(self, address: str) -> Any:
        return _Peer(self, address)


class _Peer:
    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    def call(self, operation: Callable[[Any], Any], timeout: float) -> Any:
        self._network.asked.append(self._address)
        if self._address == TARGET:
            raise PeerUnavailableError("no answer")
        return operation(self)

    def gossip(self, message: GossipMessage) -> GossipMessage:
        return GossipMessage(self._address, [], 0, 0)

    def reaches(self, host_id: str) -> bool:
        return self._network.helpers_reach


def host(host_id: str) -> HostState:
    """Return a host whose address is its id."""
    return HostState(host_id, 1, host_id, "zone-1", HostStatus.ALIVE, 0, 0, "region-1")


def probe_silent_host(helpers_reach: bool) -> tuple[HostDirectory, Network]:
    directory = HostDirectory(host("own"))
    all_hosts = [host(f"host-{number}") for number in range(6)]
    directory.merge(all_hosts)
    network = Network(helpers_reach)
    prober = Prober(directory, cast(PeerClients, network), lambda: 0)
    prober.probe(TARGET, Process("test"))
    return directory, network


def gossiped_status(directory: HostDirectory) -> HostStatus:
    """Return the target's status in this host's messages to it."""
    gossiped = {item.host_id: item.status for item in directory.states_for(TARGET)}
    return gossiped.get(TARGET, HostStatus.ALIVE)


class TestSilentHost:
    def test_is_suspected_if_no_helper_reaches_it(self) -> None:
        directory, network = probe_silent_host(helpers_reach=False)
        assert gossiped_status(directory) == HostStatus.SUSPECT
        assert len(set(network.asked) - {TARGET}) == 3

    def test_is_not_suspected_if_a_helper_reaches_it(self) -> None:
        """One failed hop must not take a host's homes away for all hosts."""
        directory, _ = probe_silent_host(helpers_reach=True)
        assert gossiped_status(directory) == HostStatus.ALIVE

    @pytest.mark.parametrize("helpers_reach", [True, False])
    def test_is_probed_again_soon(self, helpers_reach: bool) -> None:
        directory, _ = probe_silent_host(helpers_reach)
        assert directory.pop_host_to_verify() == TARGET


class TestAddress:
    def test_answer_of_another_host_is_a_failure(self) -> None:
        """A host was removed, and its address was assigned to another one."""
        directory = HostDirectory(host("own"))
        directory.merge([host("host-2")])
        prober = Prober(directory, cast(PeerClients, Network(True)), lambda: 0)
        assert prober.exchange("host-2", "host-9") is None
        assert prober.exchange("host-2", "host-2") is not None
