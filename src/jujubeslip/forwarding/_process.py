"""Builds and runs the components of a forwarding host."""

from __future__ import annotations

import logging
from functools import partial
from pathlib import Path

from returns.result import Failure

from jujubeslip.accounts import ENDPOINT_BOUNDS, HostSpending, LimitBounds
from jujubeslip.admission import MemoryOptions
from jujubeslip.discovery import ControlFollowers, ControlUpdate, EndpointRegistry
from jujubeslip.forwarding._account_limits import AccountLimits
from jujubeslip.forwarding._admissions import Admissions
from jujubeslip.forwarding._app import (
    ForwardApp,
    OpenRequests,
    ReadyApp,
    encode_http_error,
)
from jujubeslip.forwarding._choice import Chooser
from jujubeslip.forwarding._crash_detector import CrashDetector
from jujubeslip.forwarding._crash_reporter import CrashReporter
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._grants import Grants
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._initial_discovery import InitialDiscovery
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._meters import ForwardMeters, HostState, observe_host
from jujubeslip.forwarding._plain_path import PlainPath
from jujubeslip.forwarding._policies import policies
from jujubeslip.forwarding._prefill import Prefiller
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.forwarding._relaying import Relaying
from jujubeslip.forwarding._reservations import Reservations
from jujubeslip.forwarding._retry_budgets import BudgetOptions, RetryBudgets
from jujubeslip.forwarding._routes_follower import RoutesFollower
from jujubeslip.forwarding._second_sends import SecondSends
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.forwarding._service import ForwardService
from jujubeslip.forwarding._shared_charges import SharedCharges
from jujubeslip.forwarding._stream_path import StreamPath
from jujubeslip.hedging import SecondSendOptions
from jujubeslip.http_server import HttpServer, HttpServerOptions
from jujubeslip.interfaces import interfaces
from jujubeslip.kernel import (
    Deadline,
    ForwardSettings,
    Process,
    load_forward_settings,
    load_plugins,
    new_incarnation,
    steady_seconds,
)
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import PeerIdentity
from jujubeslip.quarantine import CrashRegistry, HarmlessContents
from jujubeslip.telemetry import (
    configure_logging,
    configure_telemetry,
    serve_metrics,
)

logger = logging.getLogger(__name__)

# Interval between scans for expired idle connections to endpoints, in seconds.
CLEANUP_SECONDS = 1.0
# Interval between scans for contents whose quarantine has ended, in seconds.
FORGET_SECONDS = 10.0
READY_THREADS = 2
# How long new connections are accepted after the stop begins, in seconds. A load
# balancer sends no more requests after two failed health checks, a second apart.
BALANCER_SECONDS = 2.6
# How long sending the last answers may take, in seconds, and the part of the stop's
# limit that is reserved for it and for the exit of the process.
FLUSH_SECONDS = 0.5
EXIT_SECONDS = 1.0


class ForwardProcess:
    """The process of a forwarding host, with all its components."""

    def __init__(self, settings: ForwardSettings, settings_path: Path) -> None:
        self._settings = settings
        self._settings_path = settings_path
        self._process = Process("forward")
        self._telemetry = configure_telemetry(
            settings.telemetry, settings.host_id, settings.availability_zone
        )
        identity = PeerIdentity(
            settings.host_id, new_incarnation(), settings.peer_secret
        )
        interface = interfaces.get(settings.interface)
        self._entry_hosts = 1
        self._pressures = Pressures()
        self._registry = EndpointRegistry()
        self._health = EndpointHealth()
        self._crash_registry = CrashRegistry()
        self._harmless_contents = HarmlessContents()
        quarantine = Quarantine(self._crash_registry, self._harmless_contents)
        self._routes_follower = RoutesFollower(interface, identity)
        self._followers = ControlFollowers(
            self._process,
            identity,
            self._registry,
            self._apply_update,
            is_entry_host=True,
            pressures=self._pressures.report,
            crash_registry=self._crash_registry,
            relay=lambda: self._relaying.record(self._process.stopping.is_set()),
            answer_reports=self._health.shared_times.reports,
        )
        self._relaying = Relaying(settings, self._registry, self._followers.reaches)
        self._connections = self._relaying.connections
        self._leader_contact = LeaderContact(identity, self._followers.reaches)
        self._crash_reporter = CrashReporter(
            self._process,
            settings.host_id,
            self._crash_registry,
            self._followers,
            self._leader_contact,
        )
        self._crash_registry.set_cleared_callback(self._crash_reporter.report)
        # This contact has its own pauses: a leader that does not know the engines yet,
        # and is skipped for grants, may already know the limits.
        self._limit_leader_contact = LeaderContact(identity, self._followers.reaches)
        self._endpoint_limits = self._build_endpoint_limits()
        sender = self._sender = self._build_sending(quarantine)
        self._account_limits = self._build_account_limits()
        self._admissions = (
            Admissions(
                self._process,
                self._leader_contact,
                settings.availability_zone,
                self._registry,
                sender.health,
                self._endpoint_limits,
            )
            if settings.asks_leader
            else None
        )
        self._open_requests = OpenRequests(
            max(1, settings.http_threads - settings.reserved_threads)
        )
        service = ForwardService(
            self._routes_follower,
            PlainPath(sender, self._build_second_sends(sender)),
            StreamPath(
                sender,
                Prefiller(sender, settings.reads_prompts_apart, self._pressures),
                Grants(
                    sender,
                    self._registry,
                    self._pressures,
                    Reservations(
                        sender,
                        MemoryOptions(settings.memory_margin, settings.memory_caution),
                        settings.availability_zone,
                    ),
                    self._admissions,
                    self._account_limits,
                ),
            ),
            ForwardMeters(),
            self._account_limits,
            InitialDiscovery(self._registry),
            quarantine,
            self._connections.check_in_reach,
        )
        self._http = HttpServer(
            HttpServerOptions(
                settings.http_address,
                settings.http_threads,
                settings.maximum_connections,
                single_headers=interface.single_request_headers,
                encode_error=partial(encode_http_error, interface),
                is_full=lambda: self._open_requests.is_full,
            ),
            ForwardApp(interface, service, self._open_requests),
        )
        self._ready_http = HttpServer(
            HttpServerOptions(settings.ready_address, READY_THREADS),
            ReadyApp(self._is_ready),
        )

    def _host_state(self) -> HostState:
        return HostState(
            self._open_requests.count,
            self._connections.direct.idle_count,
            self._followers.count_reachable(),
            self._routes_follower.version,
            self._routes_follower.age_seconds,
            self._retry_budgets.left_by_service(),
            self._crash_registry.count_quarantined(is_part=False),
            self._crash_registry.count_quarantined(is_part=True),
            self._endpoint_limits.count,
            self._endpoint_limits.notices.held_count,
            not self._relaying.reach.is_lost,
            self._relaying.directory.count(),
            self._health.slow_log.count,
        )

    def _build_sending(self, quarantine: Quarantine) -> EndpointSender:
        settings = self._settings
        health = self._health
        forget_failures = partial(self._forget_endpoint_failures, health)
        self._relaying.reach.set_change_handler(forget_failures)
        policy = policies.get(settings.policy)(health, settings.availability_zone)
        budget = BudgetOptions(
            settings.retry_ratio,
            settings.retry_window_ms / 1000,
            settings.retry_allowance,
            settings.second_send_share,
        )
        self._retry_budgets = RetryBudgets(budget, lambda: self._entry_hosts)
        return EndpointSender(
            interfaces.get(settings.interface),
            self._connections,
            Chooser(
                self._registry,
                health,
                policy,
                settings.endpoint_silence_ms / 1000,
                self._endpoint_limits.hold_of,
            ),
            health,
            self._retry_budgets,
            CrashDetector(
                self._registry,
                self._crash_registry,
                self._harmless_contents,
                self._crash_reporter.report,
                self._connections.has_ended,
            ),
            quarantine,
            self._endpoint_limits,
            self._relaying.reach,
        )

    def _build_second_sends(self, sender: EndpointSender) -> SecondSends | None:
        """Return what sends slow requests a second time, None if nothing does."""
        settings = self._settings
        options = SecondSendOptions(
            settings.second_send_share,
            settings.second_send_percentile,
            settings.second_send_floor_ms / 1000,
        )
        if not options.is_enabled:
            return None
        return SecondSends(sender, options, self._account_limits.is_near_limit)

    def _forget_endpoint_failures(self, health: EndpointHealth) -> None:
        """Forget what calls over lost links showed, and connections over these."""
        health.forget_failures()
        self._connections.direct.close_all()

    def _build_endpoint_limits(self) -> EndpointLimits:
        spending = HostSpending(
            ENDPOINT_BOUNDS, lambda: self._entry_hosts, steady_seconds()
        )
        charges = SharedCharges(self._limit_leader_contact, spending)
        host_id = self._settings.host_id
        notices = EndpointNotices(self._registry)
        return EndpointLimits(charges, host_id, lambda: self._entry_hosts, notices)

    def _build_account_limits(self) -> AccountLimits:
        settings = self._settings
        bounds = LimitBounds(
            settings.limit_window_ms / 1000,
            settings.limit_overage,
            settings.limit_slack,
        )
        spending = HostSpending(bounds, lambda: self._entry_hosts, steady_seconds())
        return AccountLimits(
            self._process,
            self._limit_leader_contact,
            spending,
            settings.host_id,
            lambda: self._entry_hosts,
            self._routes_follower.has_accounts,
        )

    def run(self) -> None:
        """Serve until SIGTERM, then finish open requests and exit with status 0."""
        process = self._process
        process.catch_signals()
        process.set_reload_handler(self._reload)
        self._followers.learn(self._settings.seed_addresses)
        process.repeat(CLEANUP_SECONDS, self._connections.close_expired)
        process.repeat(FORGET_SECONDS, self._crash_registry.forget_old)
        self._account_limits.start()
        self._endpoint_limits.start(process)
        if self._admissions is not None:
            self._admissions.start()
        observe_host(self._host_state)
        serve_metrics(self._settings.telemetry, self._telemetry, process)
        self._http.start(process)
        self._ready_http.start(process)
        self._relaying.start(process, self._sender, self._open_requests)
        extra = {"http": self._settings.http_address, "host": self._settings.host_id}
        logger.info("forwarding host serves", extra=extra)
        process.run(self._drain)

    def _apply_update(self, update: ControlUpdate) -> None:
        self._entry_hosts = max(self._entry_hosts, update.entry_hosts)
        self._routes_follower.apply_update(update)
        self._leader_contact.apply_update(update)
        self._limit_leader_contact.apply_update(update)
        self._relaying.directory.apply_update(update)
        self._health.shared_times.apply(update.address, update.slow_endpoints)

    def _is_ready(self) -> bool:
        return self._routes_follower.version > 0 and not self._process.stopping.is_set()

    def _reload(self) -> None:
        """Follow the control hosts that the current settings name."""
        loaded = load_forward_settings(self._settings_path)
        if isinstance(loaded, Failure):
            problems = [str(problem) for problem in loaded.failure()]
            logger.error("settings not usable", extra={"problems": problems})
            return
        seeds = loaded.unwrap().seed_addresses
        logger.info("seeds read", extra={"seeds": seeds})
        self._followers.learn(seeds)

    def _drain(self) -> None:
        """Finish open requests, and those that arrive until the load balancer reacts.

        Each answer from now on announces that its connection closes, so that clients
        don't send their next request on it.
        """
        limit = Deadline.after(self._settings.stop_limit_ms / 1000 - EXIT_SECONDS)
        self._http.announce_close()
        self._process.stopped.wait(BALANCER_SECONDS)
        # A client may still send a request on a connection that was idle until now. If
        # it were accepted, the exit of this process would cut it off, as a stream takes
        # longer than the remaining time. A refused request has not run, and another
        # host can serve it at once.
        self._open_requests.close()
        self._relaying.open_calls.close()
        extra = {"open_requests": self._open_requests.count}
        logger.info("forwarding host accepts no further requests", extra=extra)
        self._open_requests.wait_until_none(limit.remaining())
        self._relaying.open_calls.wait_until_none(limit.remaining())
        self._http.stop_listening()
        self._http.wait_until_flushed(FLUSH_SECONDS)
        self._telemetry.shutdown()


def run_forward(settings: ForwardSettings, settings_path: Path) -> None:
    """Run a forwarding host until it is stopped."""
    configure_logging(settings.telemetry)
    load_plugins()
    ForwardProcess(settings, settings_path).run()
