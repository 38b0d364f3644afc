"""A claim of a key needs a quorum of its owners, even if hosts' views differ."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from jujubeslip.kernel import (
    PeerUnavailableError,
    RequestRefusedError,
    steady_seconds,
)
from jujubeslip.membership import HostDirectory
from jujubeslip.peers import HostState, HostStatus, KeyClaim, KeyStatus
from jujubeslip.requests._key_table import KeyTable
from jujubeslip.requests._keys import InMemoryKeys

HOST_IDS = ("entry-1", "entry-2", "entry-3")


def _state(host_id: str) -> HostState:
    return HostState(
        host_id, 1, f"{host_id}:7000", "zone-1", HostStatus.ALIVE, 0, 0, "region-1"
    )


class Hosts:
    """Three entry hosts, each with its own membership view and its own key table."""

    def __init__(self) -> None:
        self.lost: set[str] = set()
        self.directory_by_id = {host_id: _directory(host_id) for host_id in HOST_IDS}
        self.key_table_by_id = {
            host_id: KeyTable(self.directory_by_id[host_id]) for host_id in HOST_IDS
        }

    def keys_of(self, host_id: str) -> InMemoryKeys:
        clients: Any = _Clients(self)
        process: Any = _SynchronousProcess()
        return InMemoryKeys(
            self.directory_by_id[host_id],
            clients,
            self.key_table_by_id[host_id],
            process,
            has_peers=True,
        )

    def suspect_others(self, host_id: str) -> None:
        for other in HOST_IDS:
            if other != host_id:
                self.directory_by_id[host_id].suspect(other)


def _directory(host_id: str) -> HostDirectory:
    others = [_state(other) for other in HOST_IDS if other != host_id]
    directory = HostDirectory(_state(host_id))
    directory.merge(others)
    directory.apply_full_list(others, steady_seconds(), complete=True)
    return directory


class _SynchronousProcess:
    """A process that runs tasks synchronously, so that tests need not wait."""

    def start_task(self, task: Callable[..., None], *arguments: object) -> None:
        task(*arguments)


class _Clients:
    """Calls key owners without a network; lost hosts don't reply."""

    def __init__(self, hosts: Hosts) -> None:
        self._hosts = hosts

    def get(self, address: str) -> _Client:
        return _Client(self._hosts, address.partition(":")[0])


class _Client:
    def __init__(self, hosts: Hosts, host_id: str) -> None:
        self._hosts = hosts
        self._host_id = host_id

    def call(self, operation: Callable[[Any], Any], timeout: float) -> Any:
        if self._host_id in self._hosts.lost:
            raise PeerUnavailableError(f"No answer from {self._host_id}.")
        return operation(_Peer(self._hosts.key_table_by_id[self._host_id]))


class _Peer:
    """The calls of a key table under their names in the peer protocol."""

    def __init__(self, key_table: KeyTable) -> None:
        self.claim_key = key_table.claim
        self.finish_key = key_table.finish
        self.abandon_key = key_table.abandon


def _claim(owner: str, number: int = 0) -> KeyClaim:
    return KeyClaim(
        "northvane", f"key-{number}", f"request-{owner}", f"{owner}/1", "same"
    )


class TestClaimByHostWithoutContact:
    """Guards against a second run when a client resends to another host.

    All open connections between the entry hosts went silent. For a moment the first
    host suspects both others, and would claim the key only at itself. The host that
    gets the resend asks the two others, which know of no run.
    """

    @pytest.mark.parametrize("number", range(8))
    def test_is_found_by_resend_at_another_host(self, number: int) -> None:
        hosts = Hosts()
        hosts.suspect_others("entry-1")
        first = hosts.keys_of("entry-1").claim(_claim("entry-1", number))
        assert first.status == KeyStatus.FIRST
        for other in ("entry-2", "entry-3"):
            resend = hosts.keys_of(other).claim(_claim(other, number))
            assert resend.status == KeyStatus.RUNNING
            assert resend.owner == "entry-1/1"

    def test_is_refused_when_no_other_owner_replies(self) -> None:
        hosts = Hosts()
        hosts.lost = {"entry-2", "entry-3"}
        with pytest.raises(RequestRefusedError, match="too few owners") as caught:
            hosts.keys_of("entry-1").claim(_claim("entry-1"))
        assert caught.value.error_id == "key_unavailable"


class TestClaimWithLostOwner:
    """An owner that died and is not yet detected as dead must not block claims."""

    @pytest.mark.parametrize("lost", HOST_IDS[1:])
    def test_is_accepted_by_the_other_owners(self, lost: str) -> None:
        hosts = Hosts()
        hosts.lost = {lost}
        claim = _claim("entry-1")
        keys = hosts.keys_of("entry-1")
        assert keys.claim(claim).status == KeyStatus.FIRST
        left = next(host for host in HOST_IDS[1:] if host != lost)
        resend = hosts.keys_of(left).claim(_claim(left))
        assert resend.status == KeyStatus.RUNNING
        keys.finish(claim, b"answer")
        assert hosts.keys_of(left).claim(_claim(left)).outcome == b"answer"


class TestRefusedClaim:
    """A claim that only one owner accepted must be freed at that owner.

    Otherwise the key would stay blocked until its record expires: each resend would be
    told that a run is in progress that never started.
    """

    def test_leaves_the_key_free(self) -> None:
        hosts = Hosts()
        hosts.lost = {"entry-2", "entry-3"}
        with pytest.raises(RequestRefusedError):
            hosts.keys_of("entry-1").claim(_claim("entry-1"))
        hosts.lost = set()
        again = hosts.keys_of("entry-2").claim(_claim("entry-2"))
        assert again.status == KeyStatus.FIRST
