"""A way to an endpoint by another entry host."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Iterable
from dataclasses import dataclass, replace

from returns.result import Failure

from jujubeslip.discovery import RelayHost
from jujubeslip.endpoints import (
    AnswerCutError,
    AnswerHead,
    Connection,
    ConnectionPool,
    EndpointAnswerError,
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

logger = logging.getLogger(__name__)

# Maximum number of relays that are tried for one send.
MAXIMUM_RELAYS = 3
CALL_ID_BYTES = 8


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
        self._call_id = ""
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
        head = self._read_answer()
        self.read_rest(head)
        ended = head.values(wire.ENDED)
        if ended not in (["0"], ["1"]):
            raise self._not_proven("it doesn't say whether the endpoint has ended")
        self.keep()
        return ended == ["1"]

    def _send(self) -> None:
        request = self._request
        encoded_ago_ms = int(request.encoded_at.overdue() * 1000)
        self._call_id = secrets.token_hex(CALL_ID_BYTES)
        headers = (
            *request.headers,
            (wire.SECRET, self._access.secret),
            (wire.SENDER, self._access.host_id),
            (wire.START, self._start_id),
            (wire.CALL, self._call_id),
            (wire.ENCODED_AGO, str(encoded_ago_ms)),
        )
        self._connection.watch(self._deadline, self._interrupted)
        self._connection.send(request.method, request.target, headers, request.body)

    def watch(self, deadline: Deadline, interrupted: Interrupted) -> None:
        """Bound the reads from now on."""
        self._deadline, self._interrupted = deadline, interrupted
        self._connection.watch(deadline, interrupted)

    def read_head(self) -> AnswerHead:
        """Wait for the head of the answer; change the relay if this one refuses.

        Raises EndpointAnswerError if the answer isn't proven to be the relay's, and to
        this call. The request may have run then.
        """
        head = self._read_answer()
        return replace(head, headers=tuple(wire.without_relay_headers(head.headers)))

    def _read_answer(self) -> AnswerHead:
        """Return the head of the first answer that is no refusal."""
        while True:
            head = self._read_head()
            refused = self._read_refusal(head)
            if refused is None:
                return head
            self._connection.read_rest(head)
            relay, will_close = self._relay, head.will_close
            self._release(is_reusable=not will_close)
            if refused.why is RelayRefusal.UNREACHABLE:
                raise EndpointUnreachableError(
                    f"{self._address}: {relay.host_id} can't connect to it."
                )
            if refused.why is RelayRefusal.ON_HOLD:
                raise EndpointOnHoldError(self._address, refused.hold_seconds)
            if refused.why is RelayRefusal.ELSEWHERE:
                self._access.directory.note_refused(relay)
            self._change_relay(refused.why)
            self._send()

    def _read_refusal(self, head: AnswerHead) -> wire.Refused | None:
        if head.values(wire.CALL) != [self._call_id]:
            raise self._not_proven("it doesn't name this call")
        refused = wire.read_refusal(head)
        if isinstance(refused, Failure):
            raise self._not_proven(refused.failure())
        return refused.unwrap()

    def _not_proven(self, reason: str) -> EndpointAnswerError:
        """Return the error of an answer that this host doesn't accept."""
        self._access.directory.note_lost_answer(self._relay)
        extra = {
            "host": self._relay.host_id,
            "start_id": self._start_id,
            "reason": reason,
        }
        logger.warning("answer of relay not accepted", extra=extra)
        relay = self._relay.host_id
        return EndpointAnswerError(f"{relay}: not an answer of a relay, {reason}.")

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
