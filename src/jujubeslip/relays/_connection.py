"""A way to an endpoint by another entry host."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from jujubeslip.discovery import RelayHost
from jujubeslip.endpoints import (
    AnswerCutError,
    AnswerHead,
    Connection,
    ConnectionPool,
    EndpointConnection,
    EndpointOnHoldError,
    EndpointsOutOfReachError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    Interrupted,
    never_interrupted,
)
from jujubeslip.kernel import Deadline
from jujubeslip.relays import _wire as wire
from jujubeslip.relays._directory import RelayDirectory
from jujubeslip.relays._wire import RelayRefusal

# Maximum number of relays that are tried for one send.
MAXIMUM_RELAYS = 3


@dataclass(frozen=True)
class RelayAccess:
    """How this host reaches relays."""

    directory: RelayDirectory
    connections: ConnectionPool
    """Connections to relays, by their address."""
    host_id: str
    secret: str


@dataclass(frozen=True)
class _Request:
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    encoded_at: Deadline


class RelayedConnection(Connection):
    """Carries one request to an endpoint through another entry host.

    A relay that refuses has sent nothing to the endpoint, so the request then goes to
    another relay. One whose answer is cut off may have sent it.
    """

    def __init__(self, access: RelayAccess, start_id: str, address: str) -> None:
        """Connect to a relay, or raise EndpointsOutOfReachError."""
        self._access = access
        self._start_id = start_id
        self._address = address
        self._tried: set[str] = set()
        self._request = _Request("", "", (), b"", Deadline.after(0))
        self._deadline = Deadline.after(0)
        self._interrupted: Interrupted = never_interrupted
        self._relay, self._connection = self._connect()

    def _connect(self) -> tuple[RelayHost, EndpointConnection]:
        directory, connections = self._access.directory, self._access.connections
        while len(self._tried) < MAXIMUM_RELAYS:
            relay = directory.choose(self._tried)
            if relay is None:
                break
            self._tried.add(relay.address)
            try:
                connection = connections.take(relay.address, relay.address)
            except EndpointUnreachableError:
                directory.note_unreachable(relay)
                continue
            assert isinstance(connection, EndpointConnection)
            directory.begin(relay)
            self.relayed_by = relay.host_id
            return relay, connection
        raise EndpointsOutOfReachError("No entry host relays the request.")

    def send(
        self, method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete request, after which its answer can be read."""
        kept = tuple(wire.without_relay_headers(headers))
        self._request = _Request(method, target, kept, body, Deadline.after(0))
        self._send()

    def ask_whether_ended(self, deadline: Deadline) -> bool:
        """Ask the relay whether the endpoint's process has ended, and keep the way."""
        headers = (("Host", self._address), (wire.CHECK, "1"))
        self._request = _Request("GET", "/", headers, b"", Deadline.after(0))
        self.watch(deadline, never_interrupted)
        self._send()
        head = self.read_head()
        self.read_rest(head)
        self.keep()
        return head.value(wire.ENDED) == "1"

    def _send(self) -> None:
        request = self._request
        encoded_ago_ms = int(request.encoded_at.overdue() * 1000)
        headers = (
            *request.headers,
            (wire.SECRET, self._access.secret),
            (wire.SENDER, self._access.host_id),
            (wire.START, self._start_id),
            (wire.ENCODED_AGO, str(encoded_ago_ms)),
        )
        self._connection.watch(self._deadline, self._interrupted)
        self._connection.send(request.method, request.target, headers, request.body)

    def watch(self, deadline: Deadline, interrupted: Interrupted) -> None:
        """Bound the reads from now on."""
        self._deadline, self._interrupted = deadline, interrupted
        self._connection.watch(deadline, interrupted)

    def read_head(self) -> AnswerHead:
        """Wait for the head of the answer; change the relay if this one refuses."""
        while True:
            head = self._read_head()
            refusal = head.value(wire.REFUSAL)
            if refusal is None:
                return head
            self._connection.read_rest(head)
            relay, will_close = self._relay, head.will_close
            self._release(is_reusable=not will_close)
            if refusal == RelayRefusal.UNREACHABLE.value:
                raise EndpointUnreachableError(
                    f"{self._address}: {relay.host_id} can't connect to it."
                )
            if refusal == RelayRefusal.ON_HOLD.value:
                hold_seconds = head.value(wire.HOLD_SECONDS) or "0"
                raise EndpointOnHoldError(self._address, float(hold_seconds))
            if refusal == RelayRefusal.ELSEWHERE.value:
                self._access.directory.note_refused(relay)
            self._change_relay(RelayRefusal(refusal))
            self._send()

    def _change_relay(self, refusal: RelayRefusal) -> None:
        try:
            self._relay, self._connection = self._connect()
        except EndpointsOutOfReachError as error:
            if refusal is RelayRefusal.UNKNOWN:
                raise EndpointUnreachableError(
                    f"{self._address}: no relay knows {self._start_id}."
                ) from error
            raise

    def _read_head(self) -> AnswerHead:
        try:
            return self._connection.read_head()
        except (AnswerCutError, EndpointTimeoutError):
            self._access.directory.note_lost_answer(self._relay)
            raise

    def read_some(self, head: AnswerHead) -> bytes:
        """Return the next bytes of a body, or nothing once it is proven whole."""
        return self._connection.read_some(head)

    def keep(self) -> None:
        """Keep the connection to the relay for other requests."""
        self._release(is_reusable=True)

    def close(self) -> None:
        """Close the connection to the relay, which then stops the endpoint."""
        self._release(is_reusable=False)

    def _release(self, is_reusable: bool) -> None:
        if not self.relayed_by:
            return
        self.relayed_by = ""
        self._access.directory.end(self._relay)
        if is_reusable:
            address = self._relay.address
            self._access.connections.give_back(address, self._connection, None)
        else:
            self._connection.close()
