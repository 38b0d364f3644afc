"""Serve a client's request: parse, match, reserve, prefill, transfer, decode, resume.

A request can carry an idempotency key, so that a resend gets the recorded answer of
the first run and isn't run a second time.
"""

from jujubeslip.requests._answers import ModelAnswer, PlainServiceAnswer
from jujubeslip.requests._authentication import authenticate, require_secret
from jujubeslip.requests._cancellation import Canceller
from jujubeslip.requests._key_replicator import KeyReplicator
from jujubeslip.requests._key_table import KeyTable
from jujubeslip.requests._keys import DurableKeys, InMemoryKeys, Keys
from jujubeslip.requests._model_path import ModelPath
from jujubeslip.requests._models import ClientRequest, RequestContext
from jujubeslip.requests._open_requests import OpenRequests
from jujubeslip.requests._parse import parse_request
from jujubeslip.requests._plain_path import PlainPath
from jujubeslip.requests._retries import RetryPolicy
from jujubeslip.requests._service import RequestService

__all__ = [
    "Canceller",
    "ClientRequest",
    "DurableKeys",
    "InMemoryKeys",
    "KeyReplicator",
    "KeyTable",
    "Keys",
    "ModelAnswer",
    "ModelPath",
    "OpenRequests",
    "PlainPath",
    "PlainServiceAnswer",
    "RequestContext",
    "RequestService",
    "RetryPolicy",
    "authenticate",
    "parse_request",
    "require_secret",
]
