"""Clients of endpoints: announcements, connections, status, the engine protocol."""

from jujubeslip.endpoints._announcements import announcement_from_json
from jujubeslip.endpoints._answer_reader import AnswerHead, AnswerReader, Framing
from jujubeslip.endpoints._bounded_reader import (
    ConnectionObserver,
    Interrupted,
    never_interrupted,
)
from jujubeslip.endpoints._connections import (
    CONNECT_SECONDS,
    Connection,
    ConnectionPool,
    Connections,
    EndpointConnection,
)
from jujubeslip.endpoints._engine_adapter import EngineAdapter
from jujubeslip.endpoints._errors import (
    AnswerCutError,
    ClientDisconnectedError,
    EndpointAnswerError,
    EndpointError,
    EndpointOnHoldError,
    EndpointRefusedError,
    EndpointReplacedError,
    EndpointRoleError,
    EndpointsOutOfReachError,
    EndpointTimeoutError,
    EndpointUnreachableError,
    RefusalUnprovenError,
)
from jujubeslip.endpoints._models import (
    CacheEvent,
    EndpointStatus,
    HeldItem,
    PlainAnswer,
    PrefillResult,
    RequestRef,
)
from jujubeslip.endpoints._monitor import EndpointMonitor
from jujubeslip.endpoints._plain_service import call_plain_service
from jujubeslip.endpoints._process_end import check_regular_end, has_ended

__all__ = [
    "CONNECT_SECONDS",
    "AnswerCutError",
    "AnswerHead",
    "AnswerReader",
    "CacheEvent",
    "ClientDisconnectedError",
    "Connection",
    "ConnectionObserver",
    "ConnectionPool",
    "Connections",
    "EndpointAnswerError",
    "EndpointConnection",
    "EndpointError",
    "EndpointOnHoldError",
    "EndpointRefusedError",
    "EndpointReplacedError",
    "EndpointRoleError",
    "EndpointMonitor",
    "EndpointStatus",
    "EndpointsOutOfReachError",
    "EndpointTimeoutError",
    "EndpointUnreachableError",
    "EngineAdapter",
    "Framing",
    "HeldItem",
    "Interrupted",
    "PlainAnswer",
    "PrefillResult",
    "RefusalUnprovenError",
    "RequestRef",
    "announcement_from_json",
    "call_plain_service",
    "check_regular_end",
    "has_ended",
    "never_interrupted",
]
