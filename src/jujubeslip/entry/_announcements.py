"""Announcements that endpoints send to this host."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from jujubeslip.declaration import Declaration, Spread
from jujubeslip.endpoints import announcement_from_json
from jujubeslip.entry._configuration import ConfigurationFollower
from jujubeslip.entry._responses import (
    Environ,
    StartResponse,
    json_answer,
    require_method,
)
from jujubeslip.kernel import (
    EntrySettings,
    PeerUnavailableError,
    RequestRefusedError,
)
from jujubeslip.peers import PeerRefusal
from jujubeslip.requests import require_secret
from jujubeslip.routing import Router


class AnnouncementReceiver:
    """Checks announcements and passes them on to the homes of the pools."""

    def __init__(
        self,
        settings: EntrySettings,
        configuration: ConfigurationFollower,
        router: Router,
        is_isolated: Callable[[], bool],
    ) -> None:
        self._is_isolated = is_isolated
        self._settings = settings
        self._configuration = configuration
        self._router = router

    def answer(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Take one announcement, or refuse it with what is wrong."""
        require_method(environ, "POST")
        authorization = environ.get("HTTP_AUTHORIZATION", "")
        require_secret(authorization, self._settings.endpoint_secret)
        announcement = announcement_from_json(_body_object(environ))
        announcement.place = self._place_of(
            announcement.service_name, announcement.availability_zone
        )
        try:
            self._router.announce(announcement)
        except (PeerUnavailableError, PeerRefusal) as error:
            raise RequestRefusedError(
                "home_unavailable",
                "The home of the endpoint's pool does not answer.",
                retry_after=0.5,
                remedy="Announce again, also to another entry host.",
            ) from error
        if self._is_isolated():
            raise _isolated()
        return json_answer(start_response, 200, {"accepted": True})

    def _place_of(self, service_name: str, availability_zone: str) -> str:
        service = self._declaration().service_by_name.get(service_name)
        if service is None:
            raise RequestRefusedError(
                "service_unknown",
                f"There is no service {service_name[:64]!r}.",
                status=404,
                remedy="Declare the service, or correct the endpoint's settings.",
            )
        in_region = service.pooling is Spread.REGION
        return self._settings.region if in_region else availability_zone

    def _declaration(self) -> Declaration:
        return self._configuration.declaration


def _isolated() -> RequestRefusedError:
    """Return the refusal of a host that has lost sight of all the others.

    It takes itself for the home of everything. If it accepted announcements, the
    endpoints would go on telling it alone, and the other hosts would lose them. It
    keeps the announcement, since it may be the only host left, and sends the
    endpoint on.
    """
    return RequestRefusedError(
        "host_isolated",
        "This entry host hears from no other one; others must be told as well.",
        retry_after=1.0,
        remedy="Announce to the next entry host too.",
    )


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
