"""The home of all admissions, on the control host that leads."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from jujubeslip.admission._engine_follower import EngineFollower
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._meters import AdmissionMeters
from jujubeslip.admission._models import (
    DEFAULT_WAITING,
    EngineUse,
    WaitingOptions,
    read_applicant,
)
from jujubeslip.admission._pool import Decision, EnginePool
from jujubeslip.discovery import Endpoint, EndpointBook
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

# How often the home looks which engines there are, in seconds.
LOOK_SECONDS = 0.25
# How often waiting requests are looked at without news of their engines, in seconds: a
# reader that was busy has time for a further prompt by then.
DECIDE_SECONDS = 0.05
# An engine whose last report is older than this may have crashed, in seconds: two of
# its reports are missing.
REPORTS_NOW_SECONDS = 0.55
# Engines are asked for reports while requests came within this time, in seconds.
ACTIVE_SECONDS = 5.0
# How long a call may wait at most, in seconds, whatever its host asks for: each one
# holds a task.
MAXIMUM_WAIT_SECONDS = 2.0


class AccountCharges(Protocol):
    """What keeps the limits of client accounts."""

    def charge_once(self, request_id: str, spending: AccountSpending) -> float:
        """Charge a request; return when it may come back, 0 where it may run."""

    def give_back(self, request_id: str) -> None:
        """Take back the charge of a request that will not run."""


class AdmissionHome:
    """Gives grants at all services' engines while this host leads.

    Two hosts that both think they lead give too many grants at worst: an engine that
    is full refuses, and its report shows what the other one gave.
    """

    def __init__(
        self,
        process: Process,
        book: EndpointBook,
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
        self._book = book
        self._interface = interface
        self._options = options
        self._waiting = waiting
        self._leads = leads
        self._configured_services = configured_services
        self._pool_by_service: dict[str, EnginePool] = {}
        self._follower_by_start: dict[str, EngineFollower] = {}
        self._asked_at = float("-inf")
        self._meters = AdmissionMeters()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Follow the engines until the process stops."""
        self._process.repeat(LOOK_SECONDS, self.look)
        self._process.repeat(DECIDE_SECONDS, self._decide)

    def admit(self, request: AdmissionRequest) -> AdmissionReply:
        """Answer once the request has a grant or will get none, or to ask again."""
        wait = Deadline.from_remaining_ms(request.wait_ms)
        until = wait.earlier_of(Deadline.after(MAXIMUM_WAIT_SECONDS))
        self._asked_at = steady_seconds()
        pool = self._pool(request.service_name)
        if not pool.usable:
            self.look()
            raise _no_engine_known()
        over_limit = self._charge(request)
        if over_limit > 0:
            wait_ms = math.ceil(over_limit * 1000)
            return AdmissionReply(AdmissionStatus.OVER_LIMIT, "", wait_ms, "", 0)
        applicant = read_applicant(request)
        decision = pool.ask(applicant, request.avoided_start_ids or (), until)
        if decision.refused and self._charges is not None:
            self._charges.give_back(request.request_id)
        self._meters.note(request.service_name, decision)
        self._log(request, decision)
        return _reply(decision)

    def _charge(self, request: AdmissionRequest) -> float:
        """Charge the request's account; return when it may come back, 0 for now.

        Before it waits for an engine: one beyond its limit takes nobody's turn.
        """
        if self._charges is None or not request.account_name:
            return 0.0
        spending = AccountSpending(request.account_name, request.account_cost or 0.0)
        return self._charges.charge_once(request.request_id, spending)

    def take(self, told: Sequence[AdmissionNews]) -> None:
        """Note how far requests with grants have come."""
        pools = self._pools()
        for news in told:
            for pool in pools:
                if news.step == AdmissionStep.ENDED:
                    was_waiting = pool.end(news.request_id, news.attempt)
                    if was_waiting and self._charges is not None:
                        self._charges.give_back(news.request_id)
                else:
                    pool.note_read(news.request_id, news.attempt)

    def busy_readers(self, service_name: str) -> float:
        """Return how many readers the prompts that a service got would keep busy."""
        return self._pool(service_name).busy_readers

    def engine_use(self, service_name: str) -> EngineUse:
        """Return how many engines a service's granted requests keep busy."""
        return self._pool(service_name).use

    def answer_count(self, engine: Endpoint) -> int:
        """Return how many answers an engine makes now, 0 if it isn't known."""
        return self._pool(engine.service_name).answer_count(engine.start_id)

    def reports_now(self, engine: Endpoint) -> bool:
        """Say whether an engine answers questions for its state at this moment."""
        pool = self._pool(engine.service_name)
        return pool.reported_within(engine.start_id, REPORTS_NOW_SECONDS)

    def look(self) -> None:
        """Follow the engines that there are now, if this host is asked."""
        active = steady_seconds() - self._asked_at < ACTIVE_SECONDS
        services = self._services() if active and self._leads() else set()
        followed: list[Endpoint] = []
        for service_name in services | self._pool_by_service.keys():
            answering, reading = self._engines(service_name, services)
            # Before they are followed: the first report would be for an unknown engine.
            self._pool(service_name).set_engines(answering, reading)
            followed += [*answering, *reading]
        with self._lock:
            added = self._follow(followed)
        for follower in added:
            self._process.start_task(follower.run)

    def _decide(self) -> None:
        for pool in self._pools():
            pool.look_again()

    def _pools(self) -> list[EnginePool]:
        with self._lock:
            return list(self._pool_by_service.values())

    def _services(self) -> set[str]:
        """Return the services of engines that a configuration names as such.

        Any program may announce an engine, of any service and at any address: one that
        no configuration names must not be asked for reports.
        """
        return self._book.engine_services().intersection(self._configured_services())

    def _engines(
        self, service_name: str, services: Collection[str]
    ) -> tuple[list[Endpoint], list[Endpoint]]:
        """Return a service's engines that answer and that read prompts."""
        if service_name not in services:
            return [], []
        return (
            self._with_role(service_name, EndpointRole.DECODE),
            self._with_role(service_name, EndpointRole.PREFILL),
        )

    def _with_role(self, service_name: str, role: EndpointRole) -> list[Endpoint]:
        """Return the engines of a role that stay and aren't ordered to another one."""
        return [
            engine
            for engine in self._book.engines(service_name, role)
            if self._ordered_role(engine) in (None, role)
            and not self._notices.leaves(engine.start_id)
        ]

    def _follow(self, engines: Sequence[Endpoint]) -> list[EngineFollower]:
        """Follow these starts and no others; return the followers that are new."""
        wanted = {engine.start_id for engine in engines}
        for start_id in self._follower_by_start.keys() - wanted:
            self._follower_by_start.pop(start_id).stop()
        added = []
        for engine in engines:
            if engine.start_id not in self._follower_by_start:
                follower = EngineFollower(
                    engine,
                    self._interface,
                    self._process,
                    self._take_report,
                    self._note_lost,
                    self._notices,
                )
                self._follower_by_start[engine.start_id] = follower
                added.append(follower)
        return added

    def _take_report(self, engine: Endpoint, report: EngineReport) -> None:
        self._pool(engine.service_name).take_report(engine.start_id, report)

    def _note_lost(self, engine: Endpoint) -> None:
        self._pool(engine.service_name).note_lost(engine.start_id)
        extra = {"endpoint_id": engine.endpoint_id, "service": engine.service_name}
        logger.warning("engine is given nothing until it is back", extra=extra)

    def _pool(self, service_name: str) -> EnginePool:
        with self._lock:
            pool = self._pool_by_service.get(service_name)
            if pool is None:
                pool = EnginePool(service_name, self._options, self._waiting)
                self._pool_by_service[service_name] = pool
            return pool

    def _log(self, request: AdmissionRequest, decision: Decision) -> None:
        if decision.grant is None and not decision.refused:
            return
        extra: dict[str, object] = {
            "request_id": request.request_id,
            "service": request.service_name,
            "prompt_tokens": request.prompt_tokens,
            "expected_events": request.expected_events,
            "forecast_ms": int(decision.forecast * 1000),
        }
        if decision.grant is None:
            extra["lacked"] = decision.lacked
            logger.info("no grant at an engine", extra=extra)
            return
        reader = decision.grant.reader
        extra["endpoint_id"] = decision.grant.endpoint.endpoint_id
        extra["started_at_ms"] = decision.grant.endpoint.started_at_ms
        extra["reader_id"] = reader.endpoint_id if reader else ""
        extra["fill"] = round(decision.grant.fill, 3)
        extra["report_age_ms"] = decision.grant.report_age_ms
        logger.info("grant at an engine", extra=extra)


def _reply(decision: Decision) -> AdmissionReply:
    forecast_ms = int(decision.forecast * 1000)
    if decision.grant is not None:
        grant = decision.grant
        return AdmissionReply(
            AdmissionStatus.ADMITTED,
            grant.endpoint.start_id,
            forecast_ms,
            grant.reader.start_id if grant.reader else "",
            int(grant.read_seconds * 1000),
        )
    refused = decision.refused
    status = AdmissionStatus.REFUSED if refused else AdmissionStatus.WAITING
    return AdmissionReply(status, "", forecast_ms, "", 0)


def _no_engine_known() -> PeerRefusal:
    return PeerRefusal(
        "engines_unknown",
        "This host has no engine's report yet.",
        "Ask the engines for room, as without a leader.",
        0,
    )
