"""Tells an answer that is whole from one that its endpoint's end has cut off."""

from __future__ import annotations

from collections.abc import Callable

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import AnswerCutError
from jujubeslip.forwarding._exchange import Exchange

HasEnded = Callable[[Endpoint], bool]
"""Returns whether an endpoint's start has ended."""


def check_end(endpoint: Endpoint, exchange: Exchange, has_ended: HasEnded) -> None:
    """Raise AnswerCutError if the answer may have ended only because its endpoint did.

    An answer with neither a length nor chunks ends with its connection, also when the
    endpoint's process ends in the middle of it, as that of an endpoint that leaves may.
    """
    if exchange.ends_with_connection and has_ended(endpoint):
        with exchange.recorded_errors():
            raise AnswerCutError(f"{endpoint.address}: ended during its answer.")
