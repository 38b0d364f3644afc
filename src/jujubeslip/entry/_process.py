"""Builds, starts and stops the components of an entry process."""

from __future__ import annotations

import logging

from jujubeslip.control import ControlClient
from jujubeslip.entry._configuration_follower import ConfigurationFollower
from jujubeslip.entry._http_app import HttpApp
from jujubeslip.entry._http_errors import RefusingChannel
from jujubeslip.entry._peer_handler import PeerHandler
from jujubeslip.homes import Homes
from jujubeslip.http_server import HttpServer, HttpServerOptions
from jujubeslip.kernel import EntrySettings, Process, load_plugins, new_incarnation
from jujubeslip.membership import Gossip, HostDirectory, PeerClients
from jujubeslip.peers import (
    EntryPeer,
    HostState,
    HostStatus,
    PeerIdentity,
    PeerServer,
)
from jujubeslip.requests import (
    Canceller,
    DurableKeys,
    InMemoryKeys,
    KeyReplicator,
    KeyTable,
    ModelPath,
    OpenRequests,
    PlainPath,
    RequestService,
    RetryPolicy,
)
from jujubeslip.routing import (
    ClientLimits,
    HomeRouter,
    LimitReports,
    LocalRouter,
    RetryBudgets,
    Router,
    home_policies,
    local_policies,
    scheduler_options,
)
from jujubeslip.telemetry import Meters, configure_logging, configure_telemetry

logger = logging.getLogger(__name__)

# Headers of which one value decides something, in lower case.
SINGLE_HEADERS = frozenset({"host", "idempotency-key", "traceparent", "x-request-id"})
# Time for the other hosts to learn by gossip that this host is leaving.
LEAVE_SECONDS = 1.0


class EntryProcess:
    """The components of an entry host, built in the order of their dependencies."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._process = Process("entry")
        incarnation = new_incarnation()
        self._identity = PeerIdentity(
            settings.host_id, incarnation, settings.peer_secret
        )
        self._owner = f"{settings.host_id}/{incarnation}"
        self._telemetry = configure_telemetry(
            settings.telemetry, settings.host_id, settings.availability_zone
        )
        self._meters = Meters()
        self._clients = PeerClients(self._identity)
        self._control = ControlClient(settings.control_peers, self._identity)
        self._configuration = ConfigurationFollower(self._control, self._clients)
        self._directory = HostDirectory(
            self._own_state(incarnation),
            {peer.host_id: peer.address for peer in settings.entry_peers},
        )
        self._gossip = Gossip(
            self._directory,
            self._clients,
            tuple(peer.address for peer in settings.entry_peers),
            lambda: self._configuration.revision,
            self._configuration.fetch_from_peer,
        )
        self._homes = Homes(
            self._directory,
            self._clients,
            self._process,
            scheduler_options(settings.policy),
        )
        self._router = self._build_router()
        self._limits = ClientLimits(lambda: len(self._directory.live_hosts()))
        self._limit_reports = LimitReports(self._directory, self._clients, self._limits)
        self._open_requests = OpenRequests()
        self._key_owner = KeyTable(self._directory)
        self._http = HttpServer(http_options(settings), self._build_app())
        self._peers = PeerServer(
            settings.peer_listen_address or settings.peer_address,
            EntryPeer.Processor,
            self._build_peer_handler(),
            settings.peer_secret,
            self._process,
        )

    def _own_state(self, incarnation: int) -> HostState:
        settings = self._settings
        return HostState(
            settings.host_id,
            incarnation,
            settings.peer_address,
            settings.availability_zone,
            HostStatus.ALIVE,
            0,
            0,
            settings.region,
        )

    def _build_router(self) -> Router:
        if self._settings.policy in home_policies.by_name:
            return HomeRouter(
                self._directory, self._clients, self._homes, self._process
            )
        policy = local_policies.get(self._settings.policy)
        return LocalRouter(self._directory, self._clients, self._homes, policy)

    def _build_app(self) -> HttpApp:
        retries = RetryPolicy(RetryBudgets(), self._meters)
        canceller = Canceller(self._process, self._open_requests)
        service = RequestService(
            self._owner,
            self._settings.availability_zone,
            lambda: self._configuration.declaration,
            self._router,
            self._limits,
            ModelPath(self._owner, self._router, canceller, retries, self._meters),
            PlainPath(self._owner, self._router, retries),
            InMemoryKeys(
                self._directory,
                self._clients,
                self._key_owner,
                self._process,
                has_peers=bool(self._settings.entry_peers),
            ),
            DurableKeys(self._control, self._process),
            self._directory,
        )
        return HttpApp(
            self._settings,
            self._process,
            self._configuration,
            service,
            self._router,
            self._open_requests,
            self._meters,
        )

    def _build_peer_handler(self) -> PeerHandler:
        return PeerHandler(
            self._process,
            self._directory,
            self._gossip,
            self._homes,
            self._key_owner,
            self._open_requests,
            self._configuration,
            self._limit_reports,
        )

    def run(self) -> None:
        """Serve until SIGTERM, then finish the open requests and exit with status 0."""
        self._process.catch_signals()
        self._peers.start()
        self._gossip.start(self._process)
        self._configuration.start(self._process)
        self._homes.start()
        self._limit_reports.start(self._process)
        KeyReplicator(self._directory, self._clients, self._key_owner).start(
            self._process
        )
        self._http.start(self._process)
        extra = {"http": self._settings.http_address, "peers": self._peers.address}
        logger.info("entry host ready", extra=extra)
        self._process.run(self._drain)

    def _drain(self) -> None:
        """Refuse new requests, hand over the homes and finish the open requests.

        The port is closed only after LEAVE_SECONDS. Until then new requests are
        refused as "not run". Closing the port at once would reset the connections
        that wait to be accepted.
        """
        self._directory.leave()
        self._process.stopped.wait(LEAVE_SECONDS)
        self._http.stop_listening()
        self._open_requests.wait_until_none()
        self._http.wait_until_flushed()
        self._telemetry.shutdown()


def http_options(settings: EntrySettings) -> HttpServerOptions:
    """Return the options of the HTTP server for clients and endpoints."""
    return HttpServerOptions(
        address=settings.http_address,
        threads=settings.http_threads,
        maximum_connections=settings.maximum_connections,
        maximum_body_bytes=settings.maximum_body_bytes,
        receive_seconds=settings.receive_timeout_ms / 1000,
        channel_class=RefusingChannel,
        single_headers=SINGLE_HEADERS,
    )


def run_entry(settings: EntrySettings) -> None:
    """Run an entry host until it is stopped."""
    configure_logging(settings.telemetry)
    load_plugins()
    EntryProcess(settings).run()
