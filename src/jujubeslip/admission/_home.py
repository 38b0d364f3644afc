"""The home of all admissions, on the leading control host."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable, Collection, Iterator, Sequence
from typing import Protocol

from jujubeslip.admission._account_shares import HeldMemory
from jujubeslip.admission._engine_pool import EnginePool
from jujubeslip.admission._engine_report_poller import EngineReportPoller
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._meters import AdmissionMeters, observe_speeds
from jujubeslip.admission._models import (
    DEFAULT_WAITING,
    EngineUse,
    MeasuredEngine,
    WaitingOptions,
    grant_request_of,
)
from jujubeslip.admission._share_meters import ShareMeters, observe_held
from jujubeslip.admission._waiting_request import Decision
from jujubeslip.discovery import Endpoint, EndpointRegistry
from jujubeslip.interfaces import Interface
from jujubeslip.kernel import Deadline, Process, steady_seconds
from jujubeslip.notices import EndpointNotices
from jujubeslip.peers import (
    AccountSpending,
    AdmissionNews,
    AdmissionReply,
    AdmissionRequest,
    AdmissionStatus,
    AdmissionStep,
    EndpointRole,
    PeerRefusal,
)
from jujubeslip.routes import EngineReport

logger = logging.getLogger(__name__)

# Interval at which the home updates the set of engines that it polls, in seconds.
SCAN_SECONDS = 0.25
# Interval at which waiting requests are decided again without new reports, in seconds:
# by then a busy prefill engine may have time for a further prompt.
RETRY_SECONDS = 0.05
# An engine may have crashed if its last report is older than this, in seconds: two of
# its reports are missing.
RECENT_REPORT_SECONDS = 0.55
# Engines are polled for reports only if a request came within this time, in seconds.
ACTIVE_SECONDS = 5.0
# Upper bound for the wait of a call, in seconds, whatever its host asks for: each
# waiting call occupies a task.
MAXIMUM_WAIT_SECONDS = 2.0


class AccountCharges(Protocol):
    """Charges requests against the limits of client accounts."""

    def charge_once(self, request_id: str, spending: AccountSpending) -> float:
        """Charge a request; return after how many seconds to retry, 0 if it may run."""

    def give_back(self, request_id: str) -> None:
        """Refund the charge of a request that will not run."""


class AdmissionHome:
    """Gives grants at all services' engines while this host leads.

    If two hosts both believe that they lead, they give too many grants at worst: a full
    engine refuses requests, and its report shows those that the other host granted.
    """

    def __init__(
        self,
        process: Process,
        registry: EndpointRegistry,
        interface: Interface,
        options: MemoryOptions,
        leads: Callable[[], bool],
        configured_services: Callable[[], Collection[str]],
        ordered_role: Callable[[Endpoint], EndpointRole | None] = lambda _: None,
        charges: AccountCharges | None = None,
        waiting: WaitingOptions = DEFAULT_WAITING,
        notices: EndpointNotices | None = None,
    ) -> None:
        self._notices = notices or EndpointNotices()
        self._charges = charges
        self._ordered_role = ordered_role
        self._process = process
        self._registry = registry
        self._interface = interface
        self._options = options
        self._waiting = waiting
        self._leads = leads
        self._configured_services = configured_services
        self._pool_by_service: dict[str, EnginePool] = {}
        self._poller_by_start: dict[str, EngineReportPoller] = {}
        self._last_request_at = float("-inf")
        self._meters = AdmissionMeters()
        self._share_meters = ShareMeters()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Poll the engines until the process stops."""
        observe_speeds(self._measured_engines)
        observe_held(self._held_memories)
        self._process.repeat(SCAN_SECONDS, self.run_once)
        self._process.repeat(RETRY_SECONDS, self._retry_waiting)

    def _held_memories(self) -> Iterator[tuple[str, HeldMemory]]:
        with self._lock:
            pools = list(self._pool_by_service.items())
        for service_name, pool in pools:
            for held in pool.held_memories():
                yield service_name, held

    def admit(self, request: AdmissionRequest) -> AdmissionReply:
        """Reply once the request is granted or refused, or when it must ask again."""
        wait = Deadline.from_remaining_ms(request.wait_ms)
        until = wait.earlier_of(Deadline.after(MAXIMUM_WAIT_SECONDS))
        self._last_request_at = steady_seconds()
        pool = self._pool(request.service_name)
        if not pool.usable:
            self.run_once()
            raise _engines_unknown()
        retry_seconds = self._charge(request)
        if retry_seconds > 0:
            wait_ms = math.ceil(retry_seconds * 1000)
            return AdmissionReply(AdmissionStatus.OVER_LIMIT, "", wait_ms, "", 0)
        grant_request = grant_request_of(request)
        decision = pool.ask(grant_request, request.avoided_start_ids or (), until)
        if decision.refused and self._charges is not None:
            self._charges.give_back(request.request_id)
        self._meters.note(request.service_name, decision)
        self._share_meters.note(request.service_name, grant_request, decision)
        self._log(request, decision)
        self._log_wait(request, decision)
        self._log_part(request, decision)
        return _reply(decision)

    def _charge(self, request: AdmissionRequest) -> float:
        """Charge the account; return after how many seconds to retry, 0 if it may run.

        The charge precedes the wait for an engine, so that a request beyond its
        account's limit does not take a place in the queue.
        """
        if self._charges is None or not request.account_name:
            return 0.0
        spending = AccountSpending(request.account_name, request.account_cost or 0.0)
        return self._charges.charge_once(request.request_id, spending)

    def take(self, updates: Sequence[AdmissionNews]) -> None:
        """Apply updates on the progress of requests with grants."""
        pools = self._pools()
        for update in updates:
            for pool in pools:
                if update.step == AdmissionStep.ENDED:
                    was_waiting = pool.end(update.request_id, update.attempt)
                    if was_waiting and self._charges is not None:
                        self._charges.give_back(update.request_id)
                else:
                    pool.note_prefilled(update.request_id, update.attempt)

    def busy_prefill_engines(self, service_name: str) -> float:
        """Return how many prefill engines a service's recent prompts keep busy."""
        return self._pool(service_name).busy_prefill_engines

    def engine_use(self, service_name: str) -> EngineUse:
        """Return how many engines a service's recently granted requests keep busy."""
        return self._pool(service_name).use

    def answer_count(self, engine: Endpoint) -> int:
        """Return how many answers an engine is decoding, 0 if it is unknown."""
        return self._pool(engine.service_name).answer_count(engine.start_id)

    def has_recent_report(self, engine: Endpoint) -> bool:
        """Return whether an engine has recently replied to a poll for its report."""
        pool = self._pool(engine.service_name)
        return pool.reported_within(engine.start_id, RECENT_REPORT_SECONDS)

    def run_once(self) -> None:
        """Update the set of polled engines; poll none unless this host is in use."""
        active = steady_seconds() - self._last_request_at < ACTIVE_SECONDS
        services = (
            self._configured_engine_services() if active and self._leads() else set()
        )
        polled: list[Endpoint] = []
        for service_name in services | self._pool_by_service.keys():
            decode_engines, prefill_engines = self._engines(service_name, services)
            # The pool has to know the engines before they are polled, or their first
            # report would be discarded.
            self._pool(service_name).set_engines(decode_engines, prefill_engines)
            polled += [*decode_engines, *prefill_engines]
        with self._lock:
            added = self._update_pollers(polled)
        for poller in added:
            self._process.start_task(poller.run)

    def _retry_waiting(self) -> None:
        for pool in self._pools():
            pool.look_again()

    def _measured_engines(self) -> list[MeasuredEngine]:
        return [engine for pool in self._pools() for engine in pool.speeds]

    def _pools(self) -> list[EnginePool]:
        with self._lock:
            return list(self._pool_by_service.values())

    def _configured_engine_services(self) -> set[str]:
        """Return the services with announced engines that a configuration names.

        Any program may announce an engine of any service at any address, so an engine
        of a service that no configuration names must not be polled.
        """
        return self._registry.engine_services().intersection(
            self._configured_services()
        )

    def _engines(
        self, service_name: str, services: Collection[str]
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return a service's decode engines and prefill engines."""
        if service_name not in services:
            return [], []
        return (
            self._with_role(service_name, EndpointRole.DECODE),
            self._with_role(service_name, EndpointRole.PREFILL),
        )

    def _with_role(self, service_name: str, role: EndpointRole) -> list[Endpoint]:
        """Return the engines of a role that neither leave nor are ordered to change."""
        return [
            engine
            for engine in self._registry.engines(service_name, role)
            if self._ordered_role(engine) in (None, role)
            and not self._notices.leaves(engine.start_id)
        ]

    def _update_pollers(self, engines: Sequence[Endpoint]) -> list[EngineReportPoller]:
        """Poll these starts and no others; return the new pollers."""
        wanted = {engine.start_id for engine in engines}
        for start_id in self._poller_by_start.keys() - wanted:
            self._poller_by_start.pop(start_id).stop()
        added = []
        for engine in engines:
            if engine.start_id not in self._poller_by_start:
                poller = EngineReportPoller(
                    engine,
                    self._interface,
                    self._process,
                    self._take_report,
                    self._note_unreachable,
                    self._notices,
                )
                self._poller_by_start[engine.start_id] = poller
                added.append(poller)
        return added

    def _take_report(self, engine: Endpoint, report: EngineReport) -> None:
        self._pool(engine.service_name).take_report(engine.start_id, report)

    def _note_unreachable(self, engine: Endpoint) -> None:
        self._pool(engine.service_name).note_unreachable(engine.start_id)
        extra = {"endpoint_id": engine.endpoint_id, "service": engine.service_name}
        logger.warning("engine lost, no requests granted until it returns", extra=extra)

    def _pool(self, service_name: str) -> EnginePool:
        with self._lock:
            pool = self._pool_by_service.get(service_name)
            if pool is None:
                pool = EnginePool(service_name, self._options, self._waiting)
                self._pool_by_service[service_name] = pool
            return pool

    def _log_wait(self, request: AdmissionRequest, decision: Decision) -> None:
        """Log which requests of other priorities were granted while this one waited."""
        granted = decision.granted_meanwhile
        if granted is None or not granted.priorities_differ:
            return
        extra = {
            "request_id": request.request_id,
            "service": request.service_name,
            "priority": request.priority or 0,
            "waited_ms": int(decision.waited * 1000),
            "granted_higher": granted.higher,
            "granted_same": granted.same,
            "granted_lower": granted.lower,
            "latest_granted": granted.latest_id,
            "latest_priority": granted.latest_priority,
        }
        logger.info("request waited behind other priorities", extra=extra)

    def _log_part(self, request: AdmissionRequest, decision: Decision) -> None:
        """Log that others went first, as the account holds more than its part."""
        part = decision.account_part
        if part is None:
            return
        extra = {
            "request_id": request.request_id,
            "service": request.service_name,
            "account": request.sharing_account or "",
            "waited_ms": int(decision.waited * 1000),
            "held_tokens": part.held_tokens,
            "part_tokens": part.part_tokens,
        }
        logger.info("account above its part of the engines", extra=extra)

    def _log(self, request: AdmissionRequest, decision: Decision) -> None:
        if decision.grant is None and not decision.refused:
            return
        extra: dict[str, object] = {
            "request_id": request.request_id,
            "service": request.service_name,
            "prompt_tokens": request.prompt_tokens,
            "expected_events": request.expected_events,
            "forecast_ms": int(decision.forecast * 1000),
            "priority": request.priority or 0,
        }
        if decision.grant is None:
            extra["lacked"] = decision.missing_resource
            logger.info("no grant at an engine", extra=extra)
            return
        grant = decision.grant
        extra["endpoint_id"] = grant.endpoint.endpoint_id
        extra["started_at_ms"] = grant.endpoint.started_at_ms
        extra["reader_id"] = (
            grant.prefill_engine.endpoint_id if grant.prefill_engine else ""
        )
        extra["fill"] = round(grant.fill, 3)
        extra["report_age_ms"] = grant.report_age_ms
        if grant.speed.measured_at is not None:
            extra["speed"] = round(grant.speed.factor, 2)
            extra["speed_age_ms"] = int(grant.speed.age(steady_seconds()) * 1000)
        if grant.prefill_speed.measured_at is not None:
            extra["reader_speed"] = round(grant.prefill_speed.factor, 2)
        logger.info("grant at an engine", extra=extra)


def _reply(decision: Decision) -> AdmissionReply:
    forecast_ms = int(decision.forecast * 1000)
    if decision.grant is not None:
        grant = decision.grant
        return AdmissionReply(
            AdmissionStatus.ADMITTED,
            grant.endpoint.start_id,
            forecast_ms,
            grant.prefill_engine.start_id if grant.prefill_engine else "",
            int(grant.prefill_seconds * 1000),
        )
    refused = decision.refused
    status = AdmissionStatus.REFUSED if refused else AdmissionStatus.WAITING
    return AdmissionReply(status, "", forecast_ms, "", 0)


def _engines_unknown() -> PeerRefusal:
    return PeerRefusal(
        "engines_unknown",
        "This control host has not received a report from any engine yet.",
        "Reserve capacity directly at the engines, as if there were no leader.",
        0,
    )
