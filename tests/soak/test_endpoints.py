"""Tests of how the soak's endpoints end."""

from __future__ import annotations

import http.client
import json
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from soak._endpoints import FATAL_BODY, SoakEndpoint
from soak._observations import Observations
from soak._schedule import ENTRIES
from soak._system import SoakSystem

# How long it takes to end the links to an endpoint, as for many entry hosts.
ENDING_SECONDS = 0.1


@pytest.fixture
def system(tmp_path: Path) -> Iterator[SoakSystem]:
    system = SoakSystem(tmp_path, Observations())
    yield system
    system.close()


def routed_address(folder: Path, system: SoakSystem, address: str) -> tuple[str, int]:
    """Return where the last entry host's connections to the address go."""
    name = system.host_by_slot[ENTRIES[-1]].host.name
    routes = json.loads((folder / f"{name}.routes.json").read_text())
    host, _, port = routes[address].rpartition(":")
    return host, int(port)


class TestRequestThatEndsItsEndpoint:
    """Guards against an endpoint that still accepts after it has ended."""

    def test_new_connection_is_refused_once_the_request_has_failed(
        self, system: SoakSystem, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        end_endpoint = system.end_endpoint

        def end_slowly(address: str) -> None:
            time.sleep(ENDING_SECONDS)
            end_endpoint(address)

        monkeypatch.setattr(system, "end_endpoint", end_slowly)
        endpoint = SoakEndpoint("plain-0", 0, system, 1)
        address = endpoint.worker.address
        connection = http.client.HTTPConnection(
            *routed_address(tmp_path, system, address), timeout=5
        )
        with pytest.raises((OSError, http.client.HTTPException)):
            connection.request("POST", "/", FATAL_BODY)
            connection.getresponse()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(routed_address(tmp_path, system, address), 5)

    def test_disturbs_the_endpoint_before_its_links_end(
        self, system: SoakSystem, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        targets: list[list[str]] = []

        def end_endpoint(_: str) -> None:
            targets.append([item.target for item in system.observations.disturbances])

        endpoint = SoakEndpoint("plain-0", 0, system, 1)
        monkeypatch.setattr(system, "end_endpoint", end_endpoint)
        address = endpoint.worker.address
        connection = http.client.HTTPConnection(address, timeout=5)
        with pytest.raises((OSError, http.client.HTTPException)):
            connection.request("POST", "/", FATAL_BODY)
            connection.getresponse()
        assert targets[0] == ["plain-0"]
