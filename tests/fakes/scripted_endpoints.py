"""Endpoints without sockets, which answer as a test says, and a path to them."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from jujubeslip.accounts import ENDPOINT_BOUNDS, HostSpending
from jujubeslip.discovery import EndpointRegistry
from jujubeslip.endpoints import (
    AnswerHead,
    ClientDisconnectedError,
    Connection,
    EndpointError,
    EndpointTimeoutError,
    Framing,
)
from jujubeslip.forwarding._choice import Chooser, LeastCost
from jujubeslip.forwarding._crash_detector import CrashDetector
from jujubeslip.forwarding._endpoint_limits import EndpointLimits
from jujubeslip.forwarding._health import EndpointHealth
from jujubeslip.forwarding._leader_contact import LeaderContact
from jujubeslip.forwarding._models import ForwardContext
from jujubeslip.forwarding._quarantine import Quarantine
from jujubeslip.forwarding._retry_budgets import BudgetOptions, RetryBudgets
from jujubeslip.forwarding._sender import EndpointSender
from jujubeslip.forwarding._shared_charges import SharedCharges
from jujubeslip.interfaces import interfaces
from jujubeslip.kernel import Deadline, load_plugins
from jujubeslip.peers import EndpointRole, PeerIdentity
from jujubeslip.quarantine import CrashRegistry, HarmlessContents
from jujubeslip.relays import EndpointReach
from jujubeslip.routes import (
    ForwardedRequest,
    ForwardService,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from tests.fakes.engines import engine

STEP_SECONDS = 0.005
SERVICE = "plain"
BODY = b"answer of "


@dataclass
class Script:
    """How an endpoint answers its requests from now on."""

    seconds: float = 0.0
    status: int = 200
    error: EndpointError | None = None
    headers: dict[str, str] = field(default_factory=dict)
    answers: threading.Event | None = None
    """Answers once this is set, in place of a time."""
    body: bytes | None = None
    """The answer's body, None for one that names the start."""
    connect_seconds: float = 0.0
    connect_error: EndpointError | None = None
    """Why no connection can be opened."""


class ScriptedConnection(Connection):
    """A connection to an endpoint with a script."""

    def __init__(self, pool: ScriptedPool, start_id: str, script: Script) -> None:
        self._pool = pool
        self._script = script
        self.start_id = start_id
        self.headers: dict[str, str] = {}
        self.closed_at: float | None = None
        self.is_kept = False
        self.request_count = 0

    def send(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Record the request."""
        assert self.closed_at is None, "a closed connection is used"
        self.headers = dict(headers)
        self.request_count += 1
        self._script = self._pool.script_by_endpoint[self.start_id]
        self._due = Deadline.after(self._script.seconds)
        self._pool.sends.append((self.headers["Request-Id"], self))

    def watch(self, deadline: Deadline, interrupted: Callable[[], bool]) -> None:
        """Bound the reads from now on."""
        self._deadline, self._interrupted = deadline, interrupted

    @property
    def _is_due(self) -> bool:
        answers = self._script.answers
        return answers.is_set() if answers is not None else self._due.expired

    def wait_for_answer(self, limit: Deadline) -> bool:
        """Wait until the answer is due, or until the limit."""
        while not self._is_due and not limit.expired:
            self._check()
            time.sleep(STEP_SECONDS)
        return self._is_due

    def read_head(self) -> AnswerHead:
        """Return the head of the answer when it is due, or raise its error."""
        while not self._is_due:
            self._check()
            if self._deadline.expired:
                raise EndpointTimeoutError("no answer in time")
            time.sleep(STEP_SECONDS)
        if self._script.error is not None:
            raise self._script.error
        body = self._script.body
        self._unread = [BODY + self.start_id.encode() if body is None else body]
        request_id = self.headers["Request-Id"]
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": f"{self.start_id}.{request_id}",
            **self._script.headers,
        }
        return AnswerHead(
            self._script.status,
            tuple(headers.items()),
            Framing.LENGTH,
            will_close=False,
            length=len(BODY),
        )

    def _check(self) -> None:
        if self._interrupted():
            raise ClientDisconnectedError("not needed any more")

    def read_some(self, head: AnswerHead) -> bytes:
        """Return the body, then nothing."""
        return self._unread.pop() if self._unread else b""

    def close(self) -> None:
        """Record when the connection was closed."""
        self.closed_at = time.monotonic()


class ScriptedPool:
    """Connections to endpoints by their start; keeps those that were read whole."""

    def __init__(self, names: Iterable[str]) -> None:
        self.script_by_endpoint = {name: Script() for name in names}
        self.sends: list[tuple[str, ScriptedConnection]] = []
        self.connects: list[str] = []
        """The starts to which connections were opened, or could not be."""
        self._idle: list[ScriptedConnection] = []

    def take(
        self, start_id: str, address: str, request_id: str | None = None
    ) -> ScriptedConnection:
        """Return an idle connection, or a new one."""
        for connection in self._idle:
            if connection.start_id == start_id:
                self._idle.remove(connection)
                connection.is_kept = False
                return connection
        script = self.script_by_endpoint[start_id]
        self.connects.append(start_id)
        time.sleep(script.connect_seconds)
        if script.connect_error is not None:
            raise script.connect_error
        return ScriptedConnection(self, start_id, script)

    def give_back(self, start_id: str, connection: Any, _: float | None) -> None:
        """Keep a connection."""
        connection.is_kept = True
        self._idle.append(connection)

    def note_unnamed(self, start_id: str) -> None:
        """Do nothing, as the endpoints name the requests."""

    def sends_of(self, request_id: str) -> list[ScriptedConnection]:
        """Return the connections over which a request was sent."""
        return [item for sent_id, item in self.sends if sent_id == request_id]


class ScriptedSystem:
    """The sending parts of a host, and endpoints with scripts."""

    def __init__(self, *names: str, role: EndpointRole = EndpointRole.PLAIN) -> None:
        load_plugins()
        self.pool = ScriptedPool(names)
        self.registry = EndpointRegistry()
        self.registry.merge(
            replace(
                engine(name, role),
                service_name=SERVICE,
                address=f"10.0.0.{number}:80",
            )
            for number, name in enumerate(names)
        )
        self.health = EndpointHealth()
        self.crash_registry = CrashRegistry()
        harmless = HarmlessContents()
        contact = LeaderContact(PeerIdentity("host", 1, "secret"), lambda _: False)
        charges = SharedCharges(contact, HostSpending(ENDPOINT_BOUNDS, lambda: 1, 0.0))
        self.limits = EndpointLimits(charges, "host", lambda: 1)
        self.budgets = RetryBudgets(BudgetOptions(1.0, 10.0, 100, 1.0), lambda: 1)
        self.reach = EndpointReach(self.registry)
        self.sender = EndpointSender(
            interfaces.get("platform"),
            self.pool,
            Chooser(
                self.registry,
                self.health,
                LeastCost(self.health, "zone-1"),
                10.0,
                self.limits.hold_of,
            ),
            self.health,
            self.budgets,
            CrashDetector(
                self.registry,
                self.crash_registry,
                harmless,
                lambda: None,
                lambda *_: False,
            ),
            Quarantine(self.crash_registry, harmless),
            self.limits,
            self.reach,
        )

    def context(self, request_id: str, **fields: Any) -> ForwardContext:
        """Return a request of a safe route; `fields` change its route."""
        is_left = fields.pop("client_disconnected", lambda: False)
        check_account = fields.pop("check_account", lambda: None)
        route = Route(
            "safe",
            "host",
            "/",
            fields.pop("kind", RouteKind.SAFE),
            (ServiceShare(SERVICE, 1),),
            timeout_ms=fields.pop("timeout_ms", 1500),
            target_ms=fields.pop("target_ms", 600),
            maximum_attempts=fields.pop("maximum_attempts", 2),
        )
        assert not fields
        request = ForwardedRequest(
            request_id=request_id,
            method="GET",
            target="/x",
            host="host",
            headers=(("Request-Id", request_id), ("Extra", "kept")),
            body=b"",
            client_deadline=None,
        )
        table = RouteTable(1, (route,), {SERVICE: ForwardService(SERVICE)})
        return ForwardContext(
            request=request,
            table=table,
            route=route,
            service_name=SERVICE,
            end_by=Deadline.after(route.timeout_ms / 1000),
            client_disconnected=is_left,
            target_by=Deadline.after(route.target_ms / 1000),
            check_account=check_account,
        )
