"""Logs and counts answers of endpoints that are not proven whole or of a request."""

from __future__ import annotations

import logging

from opentelemetry import metrics

from jujubeslip.discovery import Endpoint
from jujubeslip.endpoints import (
    AnswerHead,
    Connection,
    EndpointError,
)
from jujubeslip.routes import ForwardedRequest

logger = logging.getLogger(__name__)

_answers = metrics.get_meter("jujubeslip.forwarding").create_counter(
    "jujubeslip.forward.unproven_answers",
    description="Answers of endpoints that were not whole, valid or proven, by error.",
)


def record_unproven_answer(
    request: ForwardedRequest,
    endpoint: Endpoint,
    connection: Connection,
    head: AnswerHead | None,
    error: EndpointError,
) -> None:
    """Record an answer that was not accepted, and how far it was read.

    `head` is None if the answer ended before its head was whole.
    """
    _answers.add(1, {"error": error.error_id})
    extra = {
        "request_id": request.request_id,
        "start_id": endpoint.start_id,
        "relay": connection.relayed_by,
        "carried_others": connection.has_carried_others,
        "status": head.status if head else None,
        "framing": head.framing.value if head else None,
        "error": error.message,
    }
    logger.info("answer not accepted", extra=extra)
