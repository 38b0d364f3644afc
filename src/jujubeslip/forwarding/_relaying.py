"""The parts of an entry host that send calls through others, and relay theirs."""

from __future__ import annotations

from collections.abc import Callable

from jujubeslip.discovery import EndpointRegistry
from jujubeslip.endpoints import ConnectionPool
from jujubeslip.forwarding._app import OpenRequests
from jujubeslip.forwarding._relay_app import RelayApp, RelayServices
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.http_server import HttpServer, HttpServerOptions
from jujubeslip.interfaces import interfaces
from jujubeslip.kernel import ForwardSettings, Process
from jujubeslip.peers import RelayRecord
from jujubeslip.relays import (
    RELAY_HEADERS,
    EndpointReach,
    RelayAccess,
    RelayDirectory,
    RelayingPool,
)

# Calls relayed for other hosts at a time, as a share of the threads for clients, and
# further threads that only refuse calls.
RELAYED_SHARE = 1 / 3
REFUSING_THREADS = 4
MAXIMUM_RELAY_CONNECTIONS = 400
# Share of the threads for clients above which no calls of other hosts are relayed.
OWN_CLIENTS_SHARE = 3 / 4


class Relaying:
    """The links to endpoints, the relays, and the server for calls of other hosts."""

    def __init__(
        self,
        settings: ForwardSettings,
        registry: EndpointRegistry,
        reaches_control: Callable[[str], bool],
    ) -> None:
        self._settings = settings
        self._registry = registry
        self.reach = EndpointReach(registry)
        self.directory = RelayDirectory(settings.availability_zone, reaches_control)
        access = RelayAccess(
            self.directory, ConnectionPool(), settings.host_id, settings.peer_secret
        )
        self.connections = RelayingPool(self.reach, access)
        self.open_calls = OpenRequests(
            max(1, int(settings.http_threads * RELAYED_SHARE))
        )
        """The calls that are relayed for other hosts."""

    def record(self, is_stopping: bool) -> RelayRecord | None:
        """Return how other hosts reach this one as a relay, None if it relays none."""
        settings = self._settings
        if settings.relay_address is None or is_stopping or self.reach.is_lost:
            return None
        return RelayRecord(
            settings.host_id, settings.relay_address, settings.availability_zone
        )

    def start(
        self, process: Process, sender: EndpointSender, open_requests: OpenRequests
    ) -> None:
        """Check the links, and relay calls of other hosts, until the process stops."""
        self.reach.start(process)
        address = self._settings.relay_address
        if address is None:
            return
        services = RelayServices(
            interfaces.get(self._settings.interface),
            self.connections.direct,
            self._registry,
            self.reach,
            sender.notices,
            self.open_calls,
            lambda: open_requests.used_share < OWN_CLIENTS_SHARE,
            sender.crashes.has_ended,
            self._settings.peer_secret,
        )
        threads = self.open_calls.maximum + REFUSING_THREADS
        options = HttpServerOptions(
            address,
            threads,
            MAXIMUM_RELAY_CONNECTIONS,
            single_headers=services.interface.single_request_headers | RELAY_HEADERS,
        )
        HttpServer(options, RelayApp(services)).start(process)
