"""Serving of a request: its rule, the claim of its key, its run and its answer."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterator

from jujubeslip.declaration import Declaration, ServiceKind
from jujubeslip.endpoints import ClientDisconnectedError
from jujubeslip.kernel import (
    Deadline,
    JujubeslipError,
    Ran,
    RequestRefusedError,
)
from jujubeslip.membership import HostDirectory
from jujubeslip.peers import HostStatus, KeyClaim, KeyReply, KeyStatus
from jujubeslip.requests._answers import (
    Answer,
    ModelAnswer,
    PlainServiceAnswer,
    UnknownAnswer,
    decode_answer,
    encode_answer,
)
from jujubeslip.requests._keys import Keys
from jujubeslip.requests._model_path import ModelPath
from jujubeslip.requests._models import ClientRequest, RequestContext
from jujubeslip.requests._plain_path import PlainPath
from jujubeslip.routing import ClientLimits, Router
from jujubeslip.rules import RequestFacts, first_match

logger = logging.getLogger(__name__)

JOIN_POLL_INTERVAL_SECONDS = 0.1
MAXIMUM_OUTCOME_BYTES = 1_000_000

AnswerPart = str | PlainServiceAnswer


class RequestService:
    """Serves requests: matches rules, applies limits, claims keys, records answers."""

    def __init__(
        self,
        owner: str,
        availability_zone: str,
        declaration: Callable[[], Declaration],
        router: Router,
        limits: ClientLimits,
        model_path: ModelPath,
        plain_path: PlainPath,
        in_memory_keys: Keys,
        durable_keys: Keys,
        directory: HostDirectory,
    ) -> None:
        self._directory = directory
        self._owner = owner
        self._availability_zone = availability_zone
        self._declaration = declaration
        self._router = router
        self._limits = limits
        self._model_path = model_path
        self._plain_path = plain_path
        self._in_memory_keys = in_memory_keys
        self._durable_keys = durable_keys

    def decide(
        self,
        request: ClientRequest,
        interrupted: Callable[[], bool],
        abandoned: Callable[[], bool],
    ) -> RequestContext:
        """Return the request with the first matching rule's action, or refuse it."""
        rule = first_match(self._declaration().rule, self.facts(request))
        if rule is None:
            raise RequestRefusedError(
                "no_rule",
                "No rule matches the request.",
                status=403,
                remedy="Ask the operators for a rule that covers it.",
            )
        action = rule.then
        if action.refuse:
            raise RequestRefusedError(
                "refused_by_rule",
                f"Rule {rule.name!r} refuses: {action.refuse}.",
                status=403,
                remedy="Ask the operators about this rule.",
            )
        self._limits.admit(request.client, request.prompt_tokens + request.max_tokens)
        return RequestContext(
            request=request,
            rule_name=rule.name,
            action=action,
            first_token_by=Deadline.after(action.first_token_ms / 1000),
            wait_until=Deadline.after(action.wait_ms / 1000),
            end_by=Deadline.after(request.service.maximum_duration_ms / 1000),
            interrupted=interrupted,
            abandoned=abandoned,
        )

    def facts(self, request: ClientRequest) -> RequestFacts:
        """Return the properties of the request that rules can match."""
        forecast = self._router.forecast(request.service.name)
        return RequestFacts(
            service=request.service.name,
            model=request.model,
            adapter=request.adapter,
            client=request.client.name,
            priority=request.priority,
            prompt_tokens=request.prompt_tokens,
            repeatable=request.repeatable,
            queue_wait_ms=forecast.queue_wait_ms,
            load=forecast.load,
            availability_zone=self._availability_zone,
        )

    def answer_parts(self, context: RequestContext) -> Iterator[AnswerPart]:
        """Yield the tokens, or the single answer of a plain service.

        Returns only once the answer is complete.
        """
        if not context.request.idempotency_key:
            yield from self._run(context)
            return
        claim = self._claim_of(context.request)
        keys = self._keys_for(context.request)
        reply = self._claim_or_join(keys, claim, context)
        if reply.status == KeyStatus.FIRST:
            yield from self._run_and_record(context, keys, claim)
            return
        yield from _replay(decode_answer(reply.outcome))

    def _keys_for(self, request: ClientRequest) -> Keys:
        return self._in_memory_keys if request.repeatable else self._durable_keys

    def _claim_of(self, request: ClientRequest) -> KeyClaim:
        return KeyClaim(
            request.client.name,
            request.idempotency_key,
            request.request_id,
            self._owner,
            request.fingerprint,
        )

    def _claim_or_join(
        self, keys: Keys, claim: KeyClaim, context: RequestContext
    ) -> KeyReply:
        """Return FIRST, or FINISHED once the run that holds the key has ended."""
        while True:
            reply = keys.claim(claim)
            if reply.status == KeyStatus.CONFLICT:
                raise RequestRefusedError(
                    "key_conflict",
                    "The Idempotency-Key was used for a different request.",
                    status=409,
                    remedy="Use a new key for each different request.",
                )
            if reply.status != KeyStatus.RUNNING:
                return reply
            if context.interrupted():
                # The run that holds the key has started, so `ran` is not NO.
                raise ClientDisconnectedError(
                    "The client closed its connection.", Ran.UNKNOWN
                )
            if not context.request.repeatable and self._is_dead(reply.owner):
                raise _outcome_unknown("The entry host that ran it died.")
            if context.wait_until.expired:
                raise _still_running(context.request)
            time.sleep(JOIN_POLL_INTERVAL_SECONDS)

    def _is_dead(self, owner: str) -> bool:
        host_id, _, incarnation = owner.rpartition("/")
        status = self._directory.status_of(host_id, int(incarnation))
        return bool(status == HostStatus.DEAD)

    def _run(self, context: RequestContext) -> Iterator[AnswerPart]:
        if context.request.service.kind is ServiceKind.PLAIN:
            yield self._plain_path.answer(context)
            return
        yield from self._model_path.tokens(context)

    def _run_and_record(
        self, context: RequestContext, keys: Keys, claim: KeyClaim
    ) -> Iterator[AnswerPart]:
        answer_parts = []
        try:
            for part in self._run(context):
                if isinstance(part, PlainServiceAnswer):
                    # Recorded before it is yielded: the client may have disconnected,
                    # but its resend needs the answer.
                    self._record(keys, claim, part)
                answer_parts.append(part)
                yield part
        except BaseException as error:
            # BaseException includes GeneratorExit: a client that disconnects closes
            # this generator.
            if context.request.repeatable or _certainly_not_run(error):
                keys.abandon(claim)
            else:
                # Lets resends fail immediately instead of waiting for a run that ended.
                self._record(keys, claim, UnknownAnswer(_reason(error)))
            raise
        if not (answer_parts and isinstance(answer_parts[0], PlainServiceAnswer)):
            tokens = tuple(str(part) for part in answer_parts)
            self._record(keys, claim, ModelAnswer(tokens, context.rule_name))

    def _record(self, keys: Keys, claim: KeyClaim, answer: Answer) -> None:
        outcome = encode_answer(answer)
        if len(outcome) > MAXIMUM_OUTCOME_BYTES:
            extra = {"request_id": claim.request_id}
            logger.warning("answer of request too long to be recorded", extra=extra)
            if keys is self._in_memory_keys:
                keys.abandon(claim)
                return
            # A free key would let a resend run what may run only once.
            outcome = encode_answer(UnknownAnswer("Its answer was too long to keep."))
        try:
            keys.finish(claim, outcome)
        except JujubeslipError as error:
            extra = {"request_id": claim.request_id, "error": str(error)}
            logger.warning("answer of request not recorded", extra=extra)


def _certainly_not_run(error: BaseException) -> bool:
    if not isinstance(error, ClientDisconnectedError | RequestRefusedError):
        return False
    return error.ran is Ran.NO


def _reason(error: BaseException) -> str:
    if isinstance(error, JujubeslipError):
        return error.message
    return "The client disconnected before the answer was complete."


def _outcome_unknown(reason: str) -> RequestRefusedError:
    return RequestRefusedError(
        "outcome_unknown",
        f"A request with this Idempotency-Key may have run. {reason}",
        status=409,
        ran=Ran.UNKNOWN,
        remedy="Find out at the service whether it ran; to run it again use a new key.",
    )


def _replay(answer: Answer) -> Iterator[AnswerPart]:
    if isinstance(answer, UnknownAnswer):
        raise _outcome_unknown(answer.reason)
    if isinstance(answer, PlainServiceAnswer):
        yield answer
        return
    yield from answer.tokens


def _still_running(request: ClientRequest) -> RequestRefusedError:
    return RequestRefusedError(
        "key_running",
        "A request with this Idempotency-Key was started and has no outcome yet.",
        status=409,
        ran=Ran.UNKNOWN,
        retry_after=1.0 if request.repeatable else 5.0,
        remedy="Send the request again with the same key to get its outcome.",
    )
