"""The wiring of a forwarding host."""

from __future__ import annotations

import logging
from pathlib import Path

from returns.result import Failure

from jujubeslip.accounts import ENDPOINT_BOUNDS, HostSpending, LimitBounds
from jujubeslip.admission import MemoryOptions
from jujubeslip.discovery import ControlFollowers, EndpointBook, News
from jujubeslip.endpoints import ConnectionPool
from jujubeslip.forwarding._account_limits import AccountLimits
from jujubeslip.forwarding._admissions import Admissions
from jujubeslip.forwarding._app import ForwardApp, OpenRequests, ReadyApp
from jujubeslip.forwarding._budget import BudgetOptions, RetryBudgets
from jujubeslip.forwarding._choice import Chooser, policies
from jujubeslip.forwarding._crash_news import CrashReporter
from jujubeslip.forwarding._crashes import CrashWatch
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._first_endpoints import FirstEndpoints
from jujubeslip.forwarding._grants import Grants
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._meters import ForwardMeters, HostState, observe_host
from jujubeslip.forwarding._plain_path import PlainPath
from jujubeslip.forwarding._pressure import Pressures
from jujubeslip.forwarding._prompts import PromptReader
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.forwarding._reservations import Reservations
from jujubeslip.forwarding._routes_follower import RoutesFollower
from jujubeslip.forwarding._sending import Sending
from jujubeslip.forwarding._service import ForwardService
from jujubeslip.forwarding._shared_charges import SharedCharges
from jujubeslip.forwarding._stream_path import StreamPath
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
from jujubeslip.quarantine import CrashBook, HarmlessContents
from jujubeslip.telemetry import (
    configure_logging,
    configure_telemetry,
    serve_metrics,
)

logger = logging.getLogger(__name__)

# How often idle connections to endpoints are looked through, in seconds.
CLEANUP_SECONDS = 1.0
# How often contents whose quarantine has ended are looked for, in seconds.
FORGET_SECONDS = 10.0
READY_THREADS = 2
# A balancer needs two unanswered questions, a second apart, to send no more; new
# connections are taken until then, in seconds.
BALANCER_SECONDS = 2.6
# How long the last answers may take to leave, in seconds, and what is kept of the
# stop's limit for that and for the process to end.
FLUSH_SECONDS = 0.5
END_SECONDS = 1.0


class ForwardProcess:
    """Everything that a forwarding host runs."""

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
        self._pool = ConnectionPool()
        self._pressures = Pressures()
        self._book = EndpointBook()
        self._crash_book = CrashBook()
        self._harmless = HarmlessContents()
        quarantine = Quarantine(self._crash_book, self._harmless)
        self._routes = RoutesFollower(interface, identity)
        self._followers = ControlFollowers(
            self._process,
            identity,
            self._book,
            self._take_news,
            is_entry_host=True,
            pressures=self._pressures.told,
            crash_book=self._crash_book,
        )
        self._leader = LeaderContact(identity, self._followers.reaches)
        self._crash_reporter = CrashReporter(
            self._process,
            settings.host_id,
            self._crash_book,
            self._followers,
            self._leader,
        )
        self._crash_book.tell_cleared(self._crash_reporter.report)
        # With pauses of its own: a leader that knows no engines yet, and is not asked
        # for grants for a moment, does know the limits.
        self._limit_leader = LeaderContact(identity, self._followers.reaches)
        self._endpoint_limits = self._build_endpoint_limits()
        sending = self._build_sending(quarantine)
        self._limits = self._build_limits()
        self._admissions = (
            Admissions(
                self._process,
                self._leader,
                settings.availability_zone,
                self._book,
                sending.health,
                self._endpoint_limits,
            )
            if settings.asks_leader
            else None
        )
        self._open_requests = OpenRequests(
            max(1, settings.http_threads - settings.reserved_threads)
        )
        service = ForwardService(
            self._routes,
            PlainPath(sending),
            StreamPath(
                sending,
                PromptReader(sending, settings.reads_prompts_apart, self._pressures),
                Grants(
                    sending,
                    self._book,
                    self._pressures,
                    Reservations(
                        sending,
                        MemoryOptions(settings.memory_margin, settings.memory_caution),
                        settings.availability_zone,
                    ),
                    self._admissions,
                    self._limits,
                ),
            ),
            ForwardMeters(),
            self._limits,
            FirstEndpoints(self._book),
            quarantine,
        )
        self._http = HttpServer(
            HttpServerOptions(
                settings.http_address,
                settings.http_threads,
                settings.maximum_connections,
            ),
            ForwardApp(interface, service, self._open_requests),
        )
        self._ready_http = HttpServer(
            HttpServerOptions(settings.ready_address, READY_THREADS),
            ReadyApp(self._is_ready),
        )

    def _state(self) -> HostState:
        return HostState(
            self._open_requests.count,
            self._pool.idle_count,
            self._followers.count_reachable(),
            self._routes.version,
            self._routes.age_seconds,
            self._budgets.left_by_service(),
            len(self._crash_book.held_back()),
            self._endpoint_limits.count,
            self._endpoint_limits.notices.held_count,
        )

    def _build_sending(self, quarantine: Quarantine) -> Sending:
        settings = self._settings
        health = EndpointHealth()
        policy = policies.get(settings.policy)(health, settings.availability_zone)
        budget = BudgetOptions(
            settings.retry_ratio,
            settings.retry_window_ms / 1000,
            settings.retry_allowance,
        )
        self._budgets = RetryBudgets(budget, lambda: self._entry_hosts)
        return Sending(
            interfaces.get(settings.interface),
            self._pool,
            Chooser(
                self._book,
                health,
                policy,
                settings.endpoint_silence_ms / 1000,
                self._endpoint_limits.hold_of,
            ),
            health,
            self._budgets,
            CrashWatch(
                self._book,
                self._crash_book,
                self._harmless,
                self._crash_reporter.report,
            ),
            quarantine,
            self._endpoint_limits,
        )

    def _build_endpoint_limits(self) -> EndpointLimits:
        spending = HostSpending(
            ENDPOINT_BOUNDS, lambda: self._entry_hosts, steady_seconds()
        )
        charges = SharedCharges(self._limit_leader, spending)
        host_id = self._settings.host_id
        notices = EndpointNotices(self._book)
        return EndpointLimits(charges, host_id, lambda: self._entry_hosts, notices)

    def _build_limits(self) -> AccountLimits:
        settings = self._settings
        bounds = LimitBounds(
            settings.limit_window_ms / 1000,
            settings.limit_overage,
            settings.limit_slack,
        )
        spending = HostSpending(bounds, lambda: self._entry_hosts, steady_seconds())
        return AccountLimits(
            self._process,
            self._limit_leader,
            spending,
            settings.host_id,
            lambda: self._entry_hosts,
            self._routes.has_accounts,
        )

    def run(self) -> None:
        """Serve until SIGTERM, then finish what is open and exit with status 0."""
        process = self._process
        process.catch_signals()
        process.reload_with(self._reload)
        self._followers.learn(self._settings.seed_addresses)
        process.repeat(CLEANUP_SECONDS, self._pool.close_expired)
        process.repeat(FORGET_SECONDS, self._crash_book.forget_old)
        self._limits.start()
        self._endpoint_limits.start(process)
        if self._admissions is not None:
            self._admissions.start()
        observe_host(self._state)
        serve_metrics(self._settings.telemetry, self._telemetry, process)
        self._http.start(process)
        self._ready_http.start(process)
        extra = {"http": self._settings.http_address, "host": self._settings.host_id}
        logger.info("forwarding host serves", extra=extra)
        process.run(self._drain)

    def _take_news(self, news: News) -> None:
        self._entry_hosts = max(self._entry_hosts, news.entry_hosts)
        self._routes.take(news)
        self._leader.take(news)
        self._limit_leader.take(news)

    def _is_ready(self) -> bool:
        return self._routes.version > 0 and not self._process.stopping.is_set()

    def _reload(self) -> None:
        """Follow the control hosts that the settings name now."""
        read = load_forward_settings(self._settings_path)
        if isinstance(read, Failure):
            problems = [str(problem) for problem in read.failure()]
            logger.error("settings not usable", extra={"problems": problems})
            return
        seeds = read.unwrap().seed_addresses
        logger.info("seeds read", extra={"seeds": seeds})
        self._followers.learn(seeds)

    def _drain(self) -> None:
        """Finish what is open, and what still comes until the balancer knows.

        Each answer from now on says that its connection closes, so that clients don't
        send their next request on it.
        """
        limit = Deadline.after(self._settings.stop_limit_ms / 1000 - END_SECONDS)
        self._http.announce_close()
        self._process.stopped.wait(BALANCER_SECONDS)
        # A client may still ask over a connection that was idle all the while. Taken,
        # its request would be cut off by the end of this process: a stream needs longer
        # than is left. Refused, it has not run, and another host takes it at once.
        self._open_requests.close()
        extra = {"open_requests": self._open_requests.count}
        logger.info("no further requests are taken", extra=extra)
        self._open_requests.wait_until_none(limit.remaining())
        self._http.stop_listening()
        self._http.wait_until_flushed(FLUSH_SECONDS)
        self._telemetry.shutdown()


def run_forward(settings: ForwardSettings, settings_path: Path) -> None:
    """Run a forwarding host until it is stopped."""
    configure_logging(settings.telemetry)
    load_plugins()
    ForwardProcess(settings, settings_path).run()
