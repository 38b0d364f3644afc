"""Receives endpoint announcements over HTTP and forwards them to the pool's home."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from jujubeslip.declaration import Spread
from jujubeslip.endpoints import announcement_from_json
from jujubeslip.entry._configuration_follower import ConfigurationFollower
from jujubeslip.entry._responses import Environ, StartResponse, json_answer
from jujubeslip.kernel import (
    EntrySettings,
    PeerUnavailableError,
    RequestRefusedError,
)
from jujubeslip.peers import PeerRefusal
from jujubeslip.requests import require_secret
from jujubeslip.routing import Router


class AnnouncementReceiver:
    """Receives announcements from endpoints that present the endpoint secret."""

    def __init__(
        self,
        settings: EntrySettings,
        configuration: ConfigurationFollower,
        router: Router,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._router = router

    def receive(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Forward an announcement, or refuse it with the reason."""
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        require_secret(authorization, self._settings.endpoint_secret)
        announcement = announcement_from_json(_body_object(environ))
        announcement.place = self._locality_of(
            announcement.service_name, announcement.availability_zone
        )
        try:
            self._router.announce(announcement)
        except (PeerUnavailableError, PeerRefusal) as error:
            raise RequestRefusedError(
                "home_unavailable",
                "The home of the endpoint's pool is unavailable.",
                retry_after=0.5,
                remedy="Announce again, also to another entry host.",
            ) from error
        return json_answer(start_response, 200, {"accepted": True})

    def _locality_of(self, service_name: str, availability_zone: str) -> str:
        service = self._configuration.declaration.service_by_name.get(service_name)
        if service is None:
            raise RequestRefusedError(
                "service_unknown",
                f"There is no service {service_name[:64]!r}.",
                status=404,
                remedy="Declare the service, or correct the endpoint's settings.",
            )
        in_region = service.pooling is Spread.REGION
        return self._settings.region if in_region else availability_zone


def _body_object(environ: Environ) -> dict[str, Any]:
    try:
        message = json.loads(environ["wsgi.input"].read())
    except (ValueError, RecursionError) as error:
        raise _body_invalid("The body is not valid JSON.") from error
    if not isinstance(message, dict):
        raise _body_invalid("The body is not a JSON object.")
    return message


def _body_invalid(message: str) -> RequestRefusedError:
    return RequestRefusedError(
        "request_invalid", message, status=400, remedy="Send a JSON object."
    )
