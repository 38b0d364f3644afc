"""The process of a control host, which hands over its leadership on a planned stop."""

from __future__ import annotations

import logging

from returns.result import Result

from jujubeslip.accounts import LimitBounds
from jujubeslip.admission import (
    AdmissionHome,
    EngineUse,
    MemoryOptions,
    SharingWeights,
    WaitingOptions,
)
from jujubeslip.control._absence_probe import PROBE_INTERVAL_SECONDS, AbsenceProbe
from jujubeslip.control._account_limit_manager import AccountLimitManager
from jujubeslip.control._active_routes import ActiveRoutes
from jujubeslip.control._client import ControlClient
from jujubeslip.control._disk_probe import PROBE_SECONDS, DiskProbe
from jujubeslip.control._election import Elections
from jujubeslip.control._endpoint_limit_manager import EndpointLimitManager
from jujubeslip.control._engine_log import EngineLog
from jujubeslip.control._gateway import LeaderGateway
from jujubeslip.control._handler import ControlHandler
from jujubeslip.control._joining import Joining
from jujubeslip.control._limit_manager import LeaseTimes
from jujubeslip.control._log_maintenance import LogMaintenance
from jujubeslip.control._membership_changes import MembershipChanges
from jujubeslip.control._meters import observe_replica
from jujubeslip.control._outstanding_orders import OutstandingOrders
from jujubeslip.control._receiver import Receiver
from jujubeslip.control._removal_log import RemovalLog
from jujubeslip.control._replica import Replica
from jujubeslip.control._replica_clients import ReplicaClients
from jujubeslip.control._replication import Replication
from jujubeslip.control._role_manager import SCAN_INTERVAL_SECONDS, RoleManager
from jujubeslip.control._stopping import prepare_to_stop
from jujubeslip.control._storage import Storage
from jujubeslip.control._watches import Watches
from jujubeslip.discovery import ControlFollowers, ControlUpdate, EndpointRegistry
from jujubeslip.http_server import HttpServer, HttpServerOptions
from jujubeslip.interfaces import interfaces
from jujubeslip.kernel import (
    ControlSettings,
    PeerAddress,
    Process,
    load_plugins,
    new_incarnation,
    steady_seconds,
)
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import ControlPeer, PeerIdentity, PeerServer
from jujubeslip.quarantine import CrashRegistry
from jujubeslip.routes import RouteTable
from jujubeslip.telemetry import configure_telemetry, serve_metrics

logger = logging.getLogger(__name__)

MEMBERSHIP_CHECK_SECONDS = 0.2
# How often expired crash histories, limits and notices are removed, in seconds.
CLEANUP_INTERVAL_SECONDS = 10.0
# Maximum number of concurrent HTTP calls: announcements that wait for confirmation, and
# up to eight calls of an operator.
HTTP_THREADS = 24


class ControlProcess:
    """Everything that a control host runs."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._process = Process("control")
        # Before the instruments are created: earlier ones would record nothing.
        self._telemetry = configure_telemetry(
            settings.telemetry, settings.host_id, settings.availability_zone
        )
        storage = Storage(settings.data_folder, settings.host_id)
        self._replica = Replica(settings, storage, self._process)
        self._clients = ReplicaClients(settings)
        self._changes = MembershipChanges(self._replica)
        self._registry = EndpointRegistry()
        self._notices = EndpointNotices(self._registry)
        self._crash_registry = CrashRegistry(on_change=self._registry.wake)
        self._watches = Watches(
            self._replica, self._registry, self._control_addresses, self._crash_registry
        )
        self._identity = PeerIdentity(
            settings.host_id, new_incarnation(), settings.peer_secret
        )
        self._followers = ControlFollowers(
            self._process,
            self._identity,
            self._registry,
            self._ignore_configuration,
            settings.peer_address,
            crash_registry=self._crash_registry,
        )
        self._orders = OutstandingOrders()
        self._routes = ActiveRoutes(
            lambda: self._replica.machine.configurations, self._read_routes
        )
        self._absence_probe = AbsenceProbe(
            self._replica, self._clients, self._has_leaderless_hosts
        )
        self._account_limits = self._build_account_limits()
        self._endpoint_limits = EndpointLimitManager(
            self._leadership_began_at, self._watches.heard_share
        )
        self._admissions = self._build_admissions()
        handler = ControlHandler(
            self._replica,
            Receiver(self._replica),
            self._changes,
            self._watches,
            self._admissions,
            self._account_limits,
            self._crash_registry,
            self._endpoint_limits,
        )
        self._server = PeerServer(
            settings.peer_listen_address or settings.peer_address,
            ControlPeer.Processor,
            handler,
            settings.peer_secret,
            self._process,
        )
        self._client = self._build_client()
        self._removals = RemovalLog(self._replica, self._registry, self._client)
        self._http = self._build_http()

    def _read_routes(self, content: str) -> Result[RouteTable, str]:
        """Parse a configuration with this host's interface, looked up at first use.

        The product's own interface is not among the registered ones and has no routes.
        """
        return interfaces.get(self._settings.interface).read_routes(content)

    def _build_account_limits(self) -> AccountLimitManager | None:
        """Return the manager of account limits, None without an HTTP interface.

        Account limits need configurations that operators number, which come over HTTP.
        """
        settings = self._settings
        if settings.http_address is None:
            return None
        bounds = LimitBounds(
            settings.limit_window_ms / 1000,
            settings.limit_overage,
            settings.limit_slack,
        )
        return AccountLimitManager(
            bounds,
            self._routes.accounts,
            self._leadership_began_at,
            self._watches.heard_share,
            LeaseTimes(
                self._replica.leased_time,
                self._absence_probe.spans,
                steady_seconds(),
                rates_add_up=False,
            ),
        )

    def _has_leaderless_hosts(self) -> bool:
        limits = self._account_limits
        return limits is not None and limits.has_leaderless_hosts()

    def _build_admissions(self) -> AdmissionHome | None:
        """Return the home of admissions, if endpoints announce themselves here."""
        settings = self._settings
        if settings.http_address is None or not settings.grants_engines:
            return None
        return AdmissionHome(
            self._process,
            self._registry,
            interfaces.get(settings.interface),
            MemoryOptions(settings.memory_margin, settings.memory_caution),
            lambda: self._replica.fence() is not None,
            self._routes.engine_services,
            self._orders.role_of,
            self._account_limits,
            WaitingOptions(
                settings.passed_ms / 1000,
                settings.reader_wait_ms / 1000,
                settings.lower_priority_share,
                SharingWeights(
                    self._routes.accounts
                    if settings.shares_between_accounts
                    else lambda: None
                ),
            ),
            self._notices,
        )

    def _build_client(self) -> ControlClient:
        """Return the client that reaches the leader, which may be this host."""
        settings = self._settings
        own = PeerAddress(settings.host_id, settings.peer_address)
        client = ControlClient(
            [own], self._identity, self._replica.known_leader_address
        )
        client.learn(settings.seed_addresses)
        return client

    def _build_http(self) -> HttpServer | None:
        settings = self._settings
        if settings.http_address is None:
            return None
        gateway = LeaderGateway(
            self._client, self._registry, self._watches, self._removals.record
        )
        app = interfaces.get(settings.interface).control_app(gateway)
        options = HttpServerOptions(settings.http_address, threads=HTTP_THREADS)
        return HttpServer(options, app)

    def run(self) -> None:
        """Run until SIGTERM; does not return."""
        process = self._process
        process.catch_signals()
        observe_replica(self._replica, self._registry, self._crash_registry)
        serve_metrics(self._settings.telemetry, self._telemetry, process)
        self._server.start()
        log_maintenance = LogMaintenance(self._replica)
        process.start_task(log_maintenance.run_writes)
        process.start_task(log_maintenance.run_snapshots)
        process.start_task(Replication(self._replica, self._clients).run)
        process.start_task(Elections(self._replica, self._clients).run)
        process.start_task(Joining(self._replica, self._clients).run)
        process.start_task(self._watches.follow_configuration)
        process.start_task(self._watches.follow_leader)
        process.repeat(MEMBERSHIP_CHECK_SECONDS, self._changes.promote_learners)
        process.repeat(PROBE_SECONDS, DiskProbe(self._replica).run_once)
        process.repeat(CLEANUP_INTERVAL_SECONDS, self._crash_registry.forget_old)
        process.repeat(CLEANUP_INTERVAL_SECONDS, self._endpoint_limits.forget_old)
        process.repeat(CLEANUP_INTERVAL_SECONDS, self._notices.forget_old)
        if self._http is not None:
            self._removals.load()
            process.start_task(self._removals.follow)
            self._followers.learn(self._settings.seed_addresses)
            process.repeat(MEMBERSHIP_CHECK_SECONDS, self._follow_members)
            self._http.start(process)
            self._start_role_manager()
            process.repeat(PROBE_INTERVAL_SECONDS, self._absence_probe.run_once)
        if self._admissions is not None:
            self._admissions.start()
        logger.info(
            "control host started",
            extra={
                "replica": self._replica.replica_id,
                "address": self._server.address,
            },
        )
        process.run(self._stop)

    def _start_role_manager(self) -> None:
        settings = self._settings
        if not settings.changes_roles:
            return
        admissions = self._admissions
        manager = RoleManager(
            self._replica,
            EngineLog(self._replica),
            self._registry,
            self._watches,
            interfaces.get(settings.interface),
            settings.order_lease_ms / 1000,
            self._routes.engine_services,
            self._orders,
            admissions.busy_prefill_engines if admissions else lambda _: 0.0,
            admissions.run_once if admissions else lambda: None,
            admissions.engine_use if admissions else lambda _: EngineUse(0.0, 0.0),
            self._notices,
            admissions.has_recent_report if admissions else lambda _: True,
            admissions.answer_count if admissions else lambda _: 0,
        )
        self._process.repeat(SCAN_INTERVAL_SECONDS, manager.scan)

    def _leadership_began_at(self) -> float | None:
        """Return the time since which this host leads, None while it doesn't."""
        # Without the replica's lock: callers hold locks of their own.
        leadership = self._replica.leadership
        return leadership.started_at if leadership is not None else None

    def _control_addresses(self) -> list[str]:
        """Return the members' peer addresses, and this host's own."""
        with self._replica.lock:
            members = self._replica.membership.members
        addresses = [member.address for member in members]
        return list(dict.fromkeys([self._settings.peer_address, *addresses]))

    def _follow_members(self) -> None:
        self._followers.learn(self._control_addresses())

    def _ignore_configuration(self, news: ControlUpdate) -> None:
        """Ignore configurations, which reach every replica through the log."""

    def _stop(self) -> None:
        prepare_to_stop(self._replica, self._clients)
        self._telemetry.shutdown()
        if self._http is not None:
            self._http.stop_listening()
            self._http.wait_until_flushed()


def run_control(settings: ControlSettings) -> None:
    """Run a control host until SIGTERM; does not return.

    Raises StorageDamagedError, StorageFailedError or DataFolderInUseError when the
    data folder can't be used.
    """
    load_plugins()
    ControlProcess(settings).run()
