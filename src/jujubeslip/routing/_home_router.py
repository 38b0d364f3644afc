"""Routing with grants from the homes of the service's endpoints."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator

from jujubeslip.declaration import Spread
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.homes import Homes
from jujubeslip.kernel import (
    Deadline,
    PeerUnavailableError,
    Process,
    Ran,
    RequestRefusedError,
)
from jujubeslip.membership import HostDirectory, PeerClients
from jujubeslip.peers import (
    Announcement,
    GrantProgress,
    HostState,
    PeerRefusal,
    ReserveReply,
    ReserveRequest,
    ReserveStatus,
)
from jujubeslip.routing._models import (
    Forecast,
    Reservation,
    ReservationRequest,
    to_reserve_request,
)

logger = logging.getLogger(__name__)

# A home replies within its poll time; after this timeout, in seconds, the home is
# considered unavailable.
RESERVE_TIMEOUT_SECONDS = 0.8
REPORT_TIMEOUT_SECONDS = 1.0
REPORT_TRIES = 3
ANNOUNCE_TIMEOUT_SECONDS = 0.8
FORECAST_LIFETIME_SECONDS = 2.0
RETRY_SECONDS = 1.0
# The pause before homes that did not reply are called again, in seconds.
UNAVAILABLE_PAUSE_SECONDS = 0.05


class HomeRouter:
    """Reserves at the home of the nearest locality, then at other allowed ones."""

    def __init__(
        self,
        directory: HostDirectory,
        clients: PeerClients,
        homes: Homes,
        process: Process,
    ) -> None:
        self._directory = directory
        self._clients = clients
        self._homes = homes
        self._process = process
        self._forecast_by_service: dict[str, tuple[Deadline, Forecast]] = {}
        own = directory.own
        self._owner = f"{own.host_id}/{own.incarnation}"

    def reserve(
        self, request: ReservationRequest, interrupted: Callable[[], bool]
    ) -> Reservation:
        """Return the grant of the first locality that makes one."""
        refusal: ReserveReply | None = None
        for locality in self._localities(request):
            reply, home = self._reserve_at_locality(request, locality, interrupted)
            if reply.status == ReserveStatus.GRANTED:
                return Reservation(reply.grant, home.address)
            if refusal is None or reply.retry_after_ms < refusal.retry_after_ms:
                refusal = reply
        assert refusal is not None
        raise RequestRefusedError(
            "no_capacity",
            f"The request was not started: {refusal.reason}.",
            ran=Ran.NO,
            retry_after=refusal.retry_after_ms / 1000,
        )

    def _localities(self, request: ReservationRequest) -> Iterator[str]:
        own = self._directory.own
        if request.service.pooling is Spread.REGION:
            yield own.region
            return
        yield own.availability_zone
        if request.spread is Spread.ZONE:
            return
        zones = {
            state.availability_zone
            for state in self._directory.live_hosts()
            if state.region == own.region
        }
        yield from sorted(zones - {own.availability_zone})

    def _reserve_at_locality(
        self,
        request: ReservationRequest,
        locality: str,
        interrupted: Callable[[], bool],
    ) -> tuple[ReserveReply, HostState]:
        """Poll until the home grants or refuses; look up the home for each call."""
        while True:
            reply, home = self._reserve_at_homes(request, locality)
            self._store_forecast(request.service.name, reply)
            if reply.status != ReserveStatus.PENDING:
                return reply, home
            if interrupted():
                self._process.start_task(self._withdraw, request, locality, home)
                raise ClientDisconnectedError("The client closed its connection.")
            if request.wait_until.expired:
                reason = "the home of the endpoints does not answer"
                retry_ms = int(RETRY_SECONDS * 1000)
                refusal = ReserveReply(ReserveStatus.REFUSED, None, reason, retry_ms)
                return refusal, home

    def _reserve_at_homes(
        self, request: ReservationRequest, locality: str
    ) -> tuple[ReserveReply, HostState]:
        """Call the home, and the standby immediately if the home does not reply.

        Membership detects a dead home within seconds, and until then all urgent
        requests would be late. The standby receives each announcement too and polls
        the statuses of the endpoints, so it can make grants. If both grant for a
        moment, an endpoint's memory is overcommitted and its engine delays the import.
        """
        homes = self._directory.homes_of(request.service.name, locality)
        for home in homes:
            try:
                return self._reserve_at(
                    home, to_reserve_request(request, self._owner, locality)
                ), home
            except (PeerUnavailableError, PeerRefusal) as error:
                extra = {"home": home.host_id, "error": str(error)}
                logger.info("reserve request to home failed", extra=extra)
        time.sleep(UNAVAILABLE_PAUSE_SECONDS)
        return ReserveReply(ReserveStatus.PENDING, None, "", 0, 0, 0.0), homes[0]

    def _withdraw(
        self, request: ReservationRequest, locality: str, home: HostState
    ) -> None:
        message = to_reserve_request(request, self._owner, locality)
        if home.host_id == self._directory.own.host_id:
            self._homes.withdraw(message)
            return
        try:
            client = self._clients.get(home.address)
            client.call(lambda peer: peer.withdraw(message), REPORT_TIMEOUT_SECONDS)
        except (PeerUnavailableError, PeerRefusal) as error:
            # The home drops the request itself once it is no longer polled.
            logger.info(
                "withdrawing request at home failed", extra={"error": str(error)}
            )

    def _reserve_at(self, home: HostState, message: ReserveRequest) -> ReserveReply:
        if home.host_id == self._directory.own.host_id:
            return self._homes.reserve(message)
        client = self._clients.get(home.address)
        reply: ReserveReply = client.call(
            lambda peer: peer.reserve(message), RESERVE_TIMEOUT_SECONDS
        )
        return reply

    def _store_forecast(self, service_name: str, reply: ReserveReply) -> None:
        if reply.queue_wait_ms is None:
            return
        forecast = Forecast(reply.queue_wait_ms, reply.load or 0.0)
        until = Deadline.after(FORECAST_LIFETIME_SECONDS)
        self._forecast_by_service[service_name] = (until, forecast)

    def forecast(self, service_name: str) -> Forecast:
        """Return the last forecast from a home, or an empty one if it has expired."""
        until, forecast = self._forecast_by_service.get(
            service_name, (Deadline(0), Forecast(0, 0.0))
        )
        return Forecast(0, 0.0) if until.expired else forecast

    def report(self, reservation: Reservation, progress: GrantProgress) -> None:
        """Report progress in a separate task, so that it does not delay tokens."""
        if reservation.home_address == self._directory.own.address:
            self._homes.progress(progress)
            return
        self._process.start_task(self._send_report, reservation, progress)

    def _send_report(self, reservation: Reservation, progress: GrantProgress) -> None:
        client = self._clients.get(reservation.home_address)
        for _ in range(REPORT_TRIES):
            try:
                client.call(
                    lambda peer: peer.progress(progress), REPORT_TIMEOUT_SECONDS
                )
                return
            except (PeerUnavailableError, PeerRefusal) as error:
                logger.info(
                    "progress report to home failed", extra={"error": str(error)}
                )

    def announce(self, announcement: Announcement) -> None:
        """Send the announcement to the home of the endpoint's pool and its standby.

        Raises PeerUnavailableError or PeerRefusal if the home does not accept it.
        """
        home, *standbys = self._directory.homes_of(
            announcement.service_name, announcement.place
        )
        for standby in standbys:
            self._process.start_task(self._announce_to_standby, standby, announcement)
        self._announce_to(home, announcement)
        if self._directory.isolated:
            # A host that is partitioned from the other entry hosts keeps the endpoint
            # in its own pools. The others would not learn of the endpoint while this
            # host accepts its announcements, so the error makes the endpoint announce
            # itself to another host as well.
            raise PeerUnavailableError("This host reaches no other entry host.")

    def _announce_to(self, home: HostState, announcement: Announcement) -> None:
        if home.host_id == self._directory.own.host_id:
            self._homes.announce(announcement)
            return
        client = self._clients.get(home.address)
        client.call(lambda peer: peer.announce(announcement), ANNOUNCE_TIMEOUT_SECONDS)

    def _announce_to_standby(
        self, standby: HostState, announcement: Announcement
    ) -> None:
        try:
            self._announce_to(standby, announcement)
        except (PeerUnavailableError, PeerRefusal) as error:
            extra = {"standby": standby.host_id, "error": str(error)}
            logger.info("announcement to standby home failed", extra=extra)
