"""Errors with a stable id, a message and a remedy."""

from __future__ import annotations

import enum


class Ran(enum.Enum):
    """Whether a refused request may have run at an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"


class JujubeslipError(Exception):
    """Base class of all errors that operators or clients can get."""

    error_id = "internal"
    default_remedy = "Report it with the request id and the log lines around it."

    def __init__(self, message: str, remedy: str | None = None) -> None:
        self.message = message
        self.remedy = remedy or self.default_remedy
        super().__init__(f"{message} {self.remedy}")


class ConfigurationInvalidError(JujubeslipError):
    """A settings file or a declaration is invalid."""

    error_id = "configuration_invalid"
    default_remedy = "Correct the named key, then run `jujubeslip check` on the file."


class StartFailedError(JujubeslipError):
    """The operating system prevented a process from starting."""

    error_id = "start_failed"
    default_remedy = (
        "Check that the settings' addresses are this host's own, that no other process "
        "listens on them, and that the data_folder can be written."
    )


class PeerUnavailableError(JujubeslipError):
    """A host could not be reached, not even over a new connection."""

    error_id = "peer_unavailable"
    default_remedy = "Check that the host runs and that its peer port can be reached."


class RequestRefusedError(JujubeslipError):
    """A client's request is refused at once, without an answer.

    `ran` is NO only if no byte of the request has been sent to an endpoint, or the
    endpoint itself reported that it refused before running it. `retry_after` is in
    seconds; None means that a retry will not help.
    """

    error_id = "refused"
    default_remedy = "Ask again after the time given in Retry-After."

    def __init__(
        self,
        error_id: str,
        message: str,
        *,
        status: int = 503,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
        remedy: str | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.error_id = error_id
        self.status = status
        self.ran = ran
        self.retry_after = retry_after
