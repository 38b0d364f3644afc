"""The headers of requests that one entry host relays for another."""

from __future__ import annotations

import enum
import http
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success

from jujubeslip.endpoints import AnswerHead

PREFIX = "jujubeslip-"
# Proves that the sender is a host of this system.
SECRET = "Jujubeslip-Secret"
# The host that sends the request.
SENDER = "Jujubeslip-Sender"
# The start of the endpoint that is to get the request.
START = "Jujubeslip-Start"
# Tells the calls of a host apart. An answer has the one of its call, which proves that
# a relay gave it, and to this call.
CALL = "Jujubeslip-Call"
# Milliseconds since the other headers were encoded, which have the remaining time.
ENCODED_AGO = "Jujubeslip-Encoded-Ago-Ms"
# Set, without a request to relay, to ask whether the endpoint's process has ended.
CHECK = "Jujubeslip-Check"
# Set in the answer to such a question: "1" if the process has ended.
ENDED = "Jujubeslip-Ended"
# Set in the answer of a relay that has sent nothing to the endpoint.
REFUSAL = "Jujubeslip-Refusal"
# For how long the endpoint accepts no requests, in seconds, if that is the reason.
HOLD_SECONDS = "Jujubeslip-Hold-Seconds"

# The headers of a relayed call, in lower case.
RELAY_HEADERS = frozenset(
    name.lower() for name in (SECRET, SENDER, START, CALL, ENCODED_AGO, CHECK)
)

REFUSAL_STATUS = http.HTTPStatus.SERVICE_UNAVAILABLE
_HOLD_SECONDS_TEXT = re.compile(r"[0-9]\.[0-9]{2}")


class RelayRefusal(enum.Enum):
    """Why a relay has sent nothing to the endpoint."""

    ELSEWHERE = "elsewhere"
    """Another relay may send the request: this one can't, or has no capacity."""
    UNKNOWN = "unknown"
    """It doesn't know this start of the endpoint; another relay may."""
    UNREACHABLE = "unreachable"
    """The endpoint can't be reached although others can."""
    ON_HOLD = "on hold"
    """The endpoint has asked for backoff, or is leaving."""


@dataclass(frozen=True)
class Refused:
    """A refusal of a relay, which has sent nothing to the endpoint."""

    why: RelayRefusal
    hold_seconds: float = 0.0
    """For how long the endpoint accepts no requests, if that is the reason."""


def read_refusal(head: AnswerHead) -> Result[Refused | None, str]:
    """Return the refusal in an answer, None if it is the endpoint's, or what is wrong.

    What can't be read proves nothing: neither that the request wasn't sent, nor that
    the endpoint gave the answer.
    """
    refusals = head.values(REFUSAL)
    if not refusals:
        return Success(None)
    is_known = refusals[0] in {item.value for item in RelayRefusal}
    if head.status != REFUSAL_STATUS or len(refusals) > 1 or not is_known:
        return Failure(f"the refusal {refusals} with {head.status} can't be read")
    why = RelayRefusal(refusals[0])
    if why is not RelayRefusal.ON_HOLD:
        return Success(Refused(why))
    hold = head.only_value(HOLD_SECONDS) or ""
    if not _HOLD_SECONDS_TEXT.fullmatch(hold):
        return Failure(f"the hold {hold!r} can't be read")
    return Success(Refused(why, float(hold)))


def without_relay_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers except for those between entry hosts."""
    return [item for item in headers if not item[0].lower().startswith(PREFIX)]


@dataclass(frozen=True)
class RelayHeaders:
    """The headers of a relayed call, as its relay reads them."""

    secret: str
    sender: str
    start_id: str
    encoded_ago_ms: int
    is_check: bool
    call_id: str

    @classmethod
    def read(cls, environ: Mapping[str, Any]) -> RelayHeaders:
        """Read the headers from a WSGI environment."""

        def value(name: str) -> str:
            return str(environ.get("HTTP_" + name.upper().replace("-", "_"), ""))

        ago = value(ENCODED_AGO)
        return cls(
            value(SECRET),
            value(SENDER),
            value(START),
            int(ago) if ago.isdigit() else 0,
            value(CHECK) == "1",
            value(CALL),
        )

    def of_answer(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of the endpoint's answer, as they are passed on."""
        kept = without_relay_headers(headers)
        # Hosts of earlier versions name no call, and pass on all headers.
        return [*kept, (CALL, self.call_id)] if self.call_id else kept

    def of_refusal(
        self, refusal: RelayRefusal, hold_seconds: float
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer that refuses."""
        return [
            (CALL, self.call_id),
            (REFUSAL, refusal.value),
            (HOLD_SECONDS, f"{hold_seconds:.2f}"),
        ]

    def of_check(self, ended: bool) -> list[tuple[str, str]]:
        """Return the headers of an answer to the question whether a process ended."""
        return [(CALL, self.call_id), (ENDED, "1" if ended else "0")]
