"""The HTTP application for operators and endpoints on a control host."""

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
# Longest reason or id in a log line, in characters.
MAXIMUM_LOGGED_CHARACTERS = 300


@dataclass(frozen=True)
class Reply:
    """The status and body of a response."""

    status: int
    body: bytes = b"{}"


class ControlApp:
    """The WSGI application of a control host."""

    def __init__(self, gateway: ControlGateway) -> None:
        self._gateway = gateway

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Respond to one request."""
        try:
            reply = self._reply(environ)
        except PeerUnavailableError as error:
            reply = _error_reply(503, error.message)
        except PeerRefusal as refusal:
            reply = _error_reply(503, refusal.message)
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
                self._get_configuration()
                if method == "GET"
                else _error_reply(405, method)
            )
        if path.startswith(ENDPOINT_PREFIX):
            return self._endpoint_call(path.removeprefix(ENDPOINT_PREFIX), environ)
        return _error_reply(404, path)

    def _endpoint_call(self, path_id: str, environ: dict[str, Any]) -> Reply:
        """Respond to an endpoint that gives this id in the path."""
        method = environ["REQUEST_METHOD"]
        if method not in ("PUT", "DELETE"):
            return _error_reply(405, method)
        endpoint_id = read_endpoint_id(path_id)
        if isinstance(endpoint_id, Failure):
            return _error_reply(400, endpoint_id.failure(), path_id)
        body = environ["wsgi.input"].read(MAXIMUM_BYTES + 1)
        if len(body) > MAXIMUM_BYTES:
            reason = (
                f"The body is longer than {MAXIMUM_BYTES} bytes; send a shorter one."
            )
            return _error_reply(413, reason, path_id)
        if method == "PUT":
            return self._announce(endpoint_id.unwrap(), body)
        return self._remove(endpoint_id.unwrap(), body)

    def _put_configuration(self, body: bytes) -> Reply:
        try:
            content = body.decode()
        except UnicodeDecodeError as error:
            return _error_reply(400, f"The configuration is not UTF-8: {error}.")
        read = read_routes(content)
        if isinstance(read, Failure):
            return _error_reply(400, read.failure())
        version = read.unwrap().version
        in_force = self._gateway.put_configuration(version, content)
        extra = {"version": version, "in_force": in_force}
        logger.info("configuration acknowledged", extra=extra)
        return Reply(200)

    def _get_configuration(self) -> Reply:
        newest = self._gateway.newest_configuration()
        if newest.revision == 0:
            return _error_reply(503, "No configuration has been accepted yet.")
        return Reply(200, newest.declaration.encode())

    def _announce(self, endpoint_id: str, body: bytes) -> Reply:
        read = read_announcement(endpoint_id, body)
        if isinstance(read, Failure):
            return _error_reply(400, read.failure(), endpoint_id)
        self._gateway.announce(read.unwrap())
        return Reply(200)

    def _remove(self, endpoint_id: str, body: bytes) -> Reply:
        read = read_removal(body)
        if isinstance(read, Failure):
            return _error_reply(400, read.failure(), endpoint_id)
        self._gateway.remove_endpoint(endpoint_id, read.unwrap())
        return Reply(200)


def _error_reply(status: int, reason: str, endpoint_id: str = "") -> Reply:
    extra: dict[str, object] = {
        "status": status,
        "reason": reason[:MAXIMUM_LOGGED_CHARACTERS],
    }
    if endpoint_id:
        extra["endpoint_id"] = endpoint_id[:MAXIMUM_LOGGED_CHARACTERS]
    logger.info("call not accepted", extra=extra)
    return Reply(status, json.dumps({"error": reason}).encode())
