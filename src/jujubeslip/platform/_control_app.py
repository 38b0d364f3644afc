"""What operators and endpoints call on a control host."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure

from jujubeslip.gateway import ControlGateway
from jujubeslip.kernel import PeerUnavailableError
from jujubeslip.peers import PeerRefusal
from jujubeslip.platform._announcements import (
    MAXIMUM_BYTES,
    read_announcement,
    read_endpoint_id,
    read_removal,
)
from jujubeslip.platform._configurations import read_routes

logger = logging.getLogger(__name__)

CONFIGURATION_PATH = "/config"
ENDPOINT_PREFIX = "/instances/"
REASON_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    503: "Service Unavailable",
}
MAXIMUM_LOGGED = 300


@dataclass(frozen=True)
class Reply:
    """What a call is answered."""

    status: int
    body: bytes = b"{}"


class ControlApp:
    """The WSGI application of a control host."""

    def __init__(self, gateway: ControlGateway) -> None:
        self._gateway = gateway

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one call."""
        try:
            reply = self._reply(environ)
        except PeerUnavailableError as error:
            reply = _failed(503, error.message)
        except PeerRefusal as refusal:
            reply = _failed(503, refusal.message)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(f"{reply.status} {REASON_BY_STATUS[reply.status]}", headers)
        return [reply.body]

    def _reply(self, environ: dict[str, Any]) -> Reply:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path == CONFIGURATION_PATH:
            if method == "PUT":
                return self._put_configuration(environ["wsgi.input"].read())
            return (
                self._get_configuration() if method == "GET" else _failed(405, method)
            )
        if path.startswith(ENDPOINT_PREFIX):
            return self._endpoint_call(path.removeprefix(ENDPOINT_PREFIX), environ)
        return _failed(404, path)

    def _endpoint_call(self, named: str, environ: dict[str, Any]) -> Reply:
        """Answer a call of an endpoint that gives this name as its id."""
        method = environ["REQUEST_METHOD"]
        if method not in ("PUT", "DELETE"):
            return _failed(405, method)
        endpoint_id = read_endpoint_id(named)
        if isinstance(endpoint_id, Failure):
            return _failed(400, endpoint_id.failure(), named)
        body = environ["wsgi.input"].read(MAXIMUM_BYTES + 1)
        if len(body) > MAXIMUM_BYTES:
            reason = f"The body is longer than {MAXIMUM_BYTES} bytes; shorten it."
            return _failed(413, reason, named)
        if method == "PUT":
            return self._announce(endpoint_id.unwrap(), body)
        return self._note_left(endpoint_id.unwrap(), body)

    def _put_configuration(self, body: bytes) -> Reply:
        try:
            content = body.decode()
        except UnicodeDecodeError as error:
            return _failed(400, f"The configuration is not UTF-8: {error}.")
        read = read_routes(content)
        if isinstance(read, Failure):
            return _failed(400, read.failure())
        version = read.unwrap().version
        in_force = self._gateway.put_configuration(version, content)
        extra = {"version": version, "in_force": in_force}
        logger.info("configuration acknowledged", extra=extra)
        return Reply(200)

    def _get_configuration(self) -> Reply:
        newest = self._gateway.newest_configuration()
        if newest.revision == 0:
            return _failed(503, "No configuration has been accepted yet.")
        return Reply(200, newest.declaration.encode())

    def _announce(self, endpoint_id: str, body: bytes) -> Reply:
        read = read_announcement(endpoint_id, body)
        if isinstance(read, Failure):
            return _failed(400, read.failure(), endpoint_id)
        self._gateway.announce(read.unwrap())
        return Reply(200)

    def _note_left(self, endpoint_id: str, body: bytes) -> Reply:
        read = read_removal(body)
        if isinstance(read, Failure):
            return _failed(400, read.failure(), endpoint_id)
        self._gateway.remove_endpoint(endpoint_id, read.unwrap())
        return Reply(200)


def _failed(status: int, reason: str, endpoint_id: str = "") -> Reply:
    extra: dict[str, object] = {"status": status, "reason": reason[:MAXIMUM_LOGGED]}
    if endpoint_id:
        extra["endpoint_id"] = endpoint_id[:MAXIMUM_LOGGED]
    logger.info("call not accepted", extra=extra)
    return Reply(status, json.dumps({"error": reason}).encode())
