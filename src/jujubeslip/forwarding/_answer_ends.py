"""Tells an answer that is whole from one that its endpoint's end has cut off."""

from __future__ import annotations

from collections.abc import Callable

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import AnswerCutError
from jujubeslip.forwarding._exchange import Exchange
from jujubeslip.notices import EndpointNotices, HoldReason

HasEnded = Callable[[Endpoint], bool]
"""Returns whether an endpoint's start has ended without leaving first."""


def check_end(
    endpoint: Endpoint,
    exchange: Exchange,
    notices: EndpointNotices,
    has_ended_unannounced: HasEnded,
) -> None:
    """Raise AnswerCutError if the answer ended only because its endpoint did.

    An answer with neither a length nor chunks ends with its connection, also when the
    endpoint's process ends in the middle of it.
    """
    if not exchange.ends_with_connection:
        return
    hold = notices.hold_of(endpoint.start_id)
    is_leaving = hold is not None and hold.reason is HoldReason.LEAVING
    if not is_leaving and has_ended_unannounced(endpoint):
        raise AnswerCutError(f"{endpoint.address}: ended during its answer.")
