"""Tells an answer that is whole from one that its endpoint's end has cut off."""

from __future__ import annotations

from collections.abc import Callable

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import check_regular_end
from jujubeslip.forwarding._exchange import Exchange

HasEnded = Callable[[Endpoint], bool]
"""Returns whether an endpoint's start has ended."""


def check_end(endpoint: Endpoint, exchange: Exchange, has_ended: HasEnded) -> None:
    """Raise AnswerCutError if the answer may have ended only because its endpoint did.

    Such an answer is recorded.
    """
    with exchange.recorded_errors():
        check_regular_end(
            exchange.answer, endpoint.address, lambda: has_ended(endpoint)
        )
