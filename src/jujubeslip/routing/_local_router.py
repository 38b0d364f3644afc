"""Routing by a baseline policy without homes; engines queue the requests."""

from __future__ import annotations

import logging
from collections.abc import Callable

from jujubeslip.homes import EndpointRecord, Homes
from jujubeslip.kernel import PeerUnavailableError, Ran, RequestRefusedError
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import (
    Announcement,
    EndpointRole,
    Grant,
    GrantProgress,
    HostState,
    PeerRefusal,
)
from jujubeslip.routing._models import Forecast, Reservation, ReservationRequest
from jujubeslip.routing._policies import LocalPolicy

logger = logging.getLogger(__name__)

ANNOUNCE_TIMEOUT_SECONDS = 0.8


class LocalRouter:
    """Chooses by this host's own view; every host receives each announcement."""

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        homes: Homes,
        policy: LocalPolicy,
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._homes = homes
        self._policy = policy

    def reserve(
        self, request: ReservationRequest, interrupted: Callable[[], bool]
    ) -> Reservation:
        """Return the endpoints that the policy chooses, without waiting."""
        if request.plain:
            plain = self._choose(request, EndpointRole.PLAIN)
            return Reservation(Grant("", None, plain.reference, 0), "")
        prefill = self._choose(request, EndpointRole.PREFILL)
        decode = self._choose(request, EndpointRole.DECODE)
        return Reservation(Grant("", prefill.reference, decode.reference, 0), "")

    def _choose(
        self, request: ReservationRequest, role: EndpointRole
    ) -> EndpointRecord:
        usable = [
            record
            for pool in self._homes.pools_of(request.service.name)
            for record in pool.usable(role)
        ]
        wanted = [
            record
            for record in usable
            if record.endpoint_id not in request.avoid_endpoint_ids
        ]
        if not usable:
            raise RequestRefusedError(
                "no_capacity",
                "The request was not started: no endpoint is usable.",
                ran=Ran.NO,
                retry_after=1.0,
            )
        return self._policy(wanted or usable)

    def report(self, reservation: Reservation, progress: GrantProgress) -> None:
        """Do nothing: baseline policies do not track grants."""

    def forecast(self, service_name: str) -> Forecast:
        """Return an empty forecast: baseline policies have none."""
        return Forecast(0, 0.0)

    def announce(self, announcement: Announcement) -> None:
        """Send the announcement to every living host."""
        self._homes.announce(announcement)
        for host in self._directory.live_hosts():
            if host.host_id != self._directory.own.host_id:
                self._forward(host, announcement)

    def _forward(self, host: HostState, announcement: Announcement) -> None:
        client = self._clients.get(host.address)
        try:
            client.call(
                lambda peer: peer.announce(announcement), ANNOUNCE_TIMEOUT_SECONDS
            )
        except (PeerUnavailableError, PeerRefusal) as error:
            logger.info(
                "forwarding announcement to host failed", extra={"error": str(error)}
            )
