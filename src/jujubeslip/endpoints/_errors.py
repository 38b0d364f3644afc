"""Errors of calls to endpoints, and whether the request may have run."""

from __future__ import annotations

from jujubeslip.kernel import JujubeslipError, Ran


class EndpointError(JujubeslipError):
    """A call to an endpoint that failed without an answer.

    `may_have_run` is False only if no byte was sent to the endpoint, or if the endpoint
    reported that it refused the request before running it.
    """

    error_id = "endpoint_failed"
    default_remedy = "Check the endpoint's log at this time."
    may_have_run = True


class EndpointUnreachableError(EndpointError):
    """No connection could be opened, so nothing was sent."""

    error_id = "endpoint_unreachable"
    default_remedy = "Check that the endpoint runs and that its port can be reached."
    may_have_run = False


class EndpointsOutOfReachError(EndpointError):
    """No endpoint is in reach of this host, nor a host that relays requests."""

    error_id = "endpoints_out_of_reach"
    default_remedy = "Check this host's links to endpoints and to other entry hosts."
    may_have_run = False


class EndpointTimeoutError(EndpointError):
    """The endpoint did not answer before the deadline."""

    error_id = "endpoint_timeout"


class AnswerCutError(EndpointError):
    """The answer ended before its end marker."""

    error_id = "answer_cut"


class EndpointAnswerError(EndpointError):
    """The answer is invalid, or belongs to another request or attempt."""

    error_id = "endpoint_answer_invalid"


class EndpointRefusedError(EndpointError):
    """The endpoint answered with a refusal and its reason."""

    error_id = "endpoint_refused"

    def __init__(self, status: int, reason: str, may_have_run: bool) -> None:
        super().__init__(f"The endpoint refused with {status}: {reason}.")
        self.status = status
        self.reason = reason
        self.may_have_run = may_have_run


class RefusalUnprovenError(EndpointError):
    """The status tells clients that nothing ran, but the endpoint doesn't state it."""

    error_id = "refusal_unproven"
    default_remedy = "Look in the endpoint's log whether it has run the request."

    def __init__(self, address: str, status: int) -> None:
        super().__init__(
            f"{address}: it answered {status}, and may have run the request."
        )
        self.status = status


class EndpointReplacedError(EndpointRefusedError):
    """Another endpoint, or another start of it, answers at the address."""

    error_id = "endpoint_replaced"

    def __init__(self, answered_by: str) -> None:
        super().__init__(421, f"{answered_by} has the address", False)


class EndpointRoleError(EndpointRefusedError):
    """The endpoint has changed its role."""

    error_id = "endpoint_role_changed"

    def __init__(self) -> None:
        super().__init__(421, "it has another role", False)


class EndpointOnHoldError(EndpointError):
    """The endpoint accepts no requests from this host at present; none was sent."""

    error_id = "endpoint_on_hold"
    default_remedy = "Check which notices the endpoint sent shortly before."
    may_have_run = False

    def __init__(self, address: str, hold_seconds: float = 0.0) -> None:
        super().__init__(f"{address}: the endpoint asked for backoff or is leaving.")
        self.hold_seconds = hold_seconds
        """For how long another host that relays requests knows that, in seconds."""


class ClientDisconnectedError(JujubeslipError):
    """The client closed its connection, so whatever is held for it must be freed.

    `ran` tells whether the request may have run by then.
    """

    error_id = "caller_gone"
    default_remedy = "None; the client no longer waits for the answer."

    def __init__(self, message: str, ran: Ran = Ran.NO) -> None:
        super().__init__(message)
        self.ran = ran
