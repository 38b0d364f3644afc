"""The platform's header names, and which headers are not forwarded."""

from __future__ import annotations

REQUEST_ID = "Request-Id"
# Milliseconds that the sender waits, counted from the time it sends.
DEADLINE = "Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# The endpoint id that the request is for; any other endpoint answers 421.
EXPECTED_ENDPOINT = "Expect-Instance"
# The id of the endpoint that answers.
ENDPOINT_ID = "Instance-Id"
STAGE = "Stage"
# Priority of the request at an engine, from 0, the highest, to 9.
PRIORITY = "Request-Priority"
# Where the KV cache of a prefilled prompt is fetched: "IP:port/handle".
PREFILLED_AT = "Kv-From"
# Proof of origin: only answers of endpoints have this header.
ORIGIN_MARK = "Server-Stamp"
# Set by an endpoint that refused the request before it ran.
NOT_RUN = "Not-Run"
# The slot and memory that were reserved for the request.
RESERVATION = "Kv-Hold"
# The client's key, which is for this system only.
AUTHORIZATION = "Authorization"
# The client account that the key belongs to, sent to endpoints.
ACCOUNT = "Tenant"
# Requests per second that an endpoint accepts from all hosts together.
ENDPOINT_LIMIT = "Server-Limit"
# Seconds for which an endpoint that refuses a request wants no more from this host.
RETRY_AFTER = "Retry-After"
# Set by an endpoint that is shutting down.
ENDPOINT_LEAVING = "Server-Leaving"
CONTENT_ENCODING = "Content-Encoding"
KEEP_ALIVE = "Keep-Alive"
CONNECTION = "Connection"

# Headers of which an answer has one at most, in lower case.
SINGLE = frozenset({REQUEST_ID.lower(), ENDPOINT_ID.lower(), ORIGIN_MARK.lower()})
# Hop-by-hop headers, in lower case; they are not forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that only this system may set: a client that sets one could use another's KV
# cache at an endpoint, hold capacity there, or impersonate another client account.
SET_BY_SYSTEM = frozenset(
    {
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "kv-hold",
        "pin-ms",
        "request-priority",
        "stage",
        "tenant",
    }
)
# Headers of a request of which one value decides something, in lower case. Without
# Authorization: more than one key is an invalid one, which has a status of its own.
SINGLE_IN_REQUESTS = SET_BY_SYSTEM | {
    "host",
    "last-event-id",
    "length-hint",
    "model",
    "prompt-prefix",
    "request-id",
    "token-count",
}
