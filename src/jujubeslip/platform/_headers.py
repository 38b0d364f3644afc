"""The platform's header names, and which headers belong to one connection only."""

from __future__ import annotations

REQUEST_ID = "Request-Id"
# Milliseconds that the sender will wait, counted from when it sends.
DEADLINE = "Deadline-Ms"
LAST_EVENT_ID = "Last-Event-Id"
# The start of an endpoint that alone may answer; others answer 421.
EXPECTED_ENDPOINT = "Expect-Instance"
# The start of the endpoint that answers.
ENDPOINT_ID = "Instance-Id"
STAGE = "Stage"
# Where a prompt's memory is fetched: "IP:port/handle".
PROMPT_AT = "Kv-From"
# Marks an answer of an endpoint; nothing else bears it.
ORIGIN_MARK = "Server-Stamp"
# An endpoint says that it refused before it ran the request.
NOT_RUN = "Not-Run"
# The slot and memory that were reserved for the request.
RESERVATION = "Kv-Hold"
# The client's key, for this system alone.
AUTHORIZATION = "Authorization"
# The client account that holds the key, for endpoints.
ACCOUNT = "Tenant"
# Requests a second that an endpoint in need takes from all hosts together.
ENDPOINT_LIMIT = "Server-Limit"
# Seconds for which an endpoint that refuses a request wants none from this host.
RETRY_AFTER = "Retry-After"
# An endpoint says that it is shutting down.
ENDPOINT_LEAVING = "Server-Leaving"
CONTENT_ENCODING = "Content-Encoding"
KEEP_ALIVE = "Keep-Alive"
CONNECTION = "Connection"

# Names of headers in lower case that end at the next hop.
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
# Headers that only this system may set: a client that sets one could take another's
# memory at an endpoint, hold capacity there, or pass for another client account.
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
