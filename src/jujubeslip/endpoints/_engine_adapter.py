"""The one place with the engine protocol (docs/reference/engine-interface.md)."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping
from functools import partial
from typing import Any

from jujubeslip.endpoints._errors import (
    AnswerCutError,
    EndpointAnswerError,
    EndpointRefusedError,
    EndpointTimeoutError,
)
from jujubeslip.endpoints._http import (
    Call,
    Interrupted,
    Probe,
    exchange_json,
    never_interrupted,
    parse_object,
)
from jujubeslip.endpoints._models import (
    EndpointStatus,
    PrefillResult,
    RequestRef,
)
from jujubeslip.endpoints._status import status_from_json
from jujubeslip.kernel import Deadline

HTTP_OK = 200
PROBE_SECONDS = 1.0
PREFILL_PHASES = frozenset({"queued", "prefill"})
QUEUED = "queued"
TRANSFER = "transfer"
LEAVING = "leaving"


class EngineAdapter:
    """Calls one engine, and checks that every answer is for the requested attempt."""

    def __init__(self, address: str, interrupted: Interrupted = never_interrupted):
        self.address = address
        self._interrupted = interrupted

    def prefill(
        self,
        ref: RequestRef,
        model: str,
        prompt: str,
        priority: int,
        deadline: Deadline,
        traceparent: str = "",
    ) -> PrefillResult:
        """Compute a prompt and return where its KV cache is held."""
        message = {"model": model, "prompt": prompt, "priority": priority}
        probe = partial(self._check_phase, ref, PREFILL_PHASES)
        answer = self._request(
            ref, "/v1/prefill", message, deadline, traceparent, probe
        )
        try:
            return PrefillResult(
                kv_id=str(answer["kv_id"]),
                prompt_tokens=int(answer["prompt_tokens"]),
                cached_tokens=int(answer["cached_tokens"]),
                computed_tokens=int(answer["computed_tokens"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EndpointAnswerError(f"{self.address}: prefill: {error!r}.") from error

    def import_kv(
        self,
        ref: RequestRef,
        source: str,
        kv_id: str,
        priority: int,
        deadline: Deadline,
        traceparent: str = "",
        transfer_limit: float = math.inf,
    ) -> str:
        """Fetch a KV cache from a prefill engine; return its id at this engine.

        Raises EndpointTimeoutError when the engine has a slot for it and the
        transfer takes longer than `transfer_limit` seconds, as it has stalled then.
        """
        message = {"source": source, "kv_id": kv_id, "priority": priority}
        probe = _TransferProbe(self, ref, transfer_limit)
        answer = self._request(ref, "/v1/import", message, deadline, traceparent, probe)
        return str(answer.get("kv_id", kv_id))

    def decode(
        self,
        ref: RequestRef,
        kv_id: str,
        offset: int,
        max_tokens: int,
        deadline: Deadline,
        silence_timeout: float,
        traceparent: str = "",
    ) -> Iterator[str]:
        """Yield the tokens from `offset` on; return only after the end marker.

        Raises AnswerCutError when the stream ends without its end marker, so that a
        truncated stream is never mistaken for a short answer.
        """
        call = Call(self.address, deadline, self._interrupted)
        message = _with_ref(ref, {"kv_id": kv_id, "offset": offset})
        message["max_tokens"] = max_tokens
        try:
            call.send(
                "POST",
                "/v1/decode",
                json.dumps(message).encode(),
                _trace_headers(traceparent),
            )
            response = call.response()
            if response.status != HTTP_OK:
                refusal = parse_object(call.read_rest(), self.address)
                raise _refusal(response.status, refusal, ref, self.address)
            yield from self._tokens(ref, call.lines(silence_timeout), offset)
        finally:
            call.close()

    def _tokens(
        self, ref: RequestRef, lines: Iterator[bytes], offset: int
    ) -> Iterator[str]:
        expected = offset
        for line in lines:
            item = parse_object(line, self.address)
            _check_ref(item, ref, self.address)
            if item.get("end"):
                if item.get("tokens") != expected:
                    raise EndpointAnswerError(f"{self.address}: tokens are missing.")
                return
            if "token" not in item:
                continue
            if item.get("index") != expected:
                raise EndpointAnswerError(f"{self.address}: a token is out of order.")
            expected += 1
            yield str(item["token"])
        raise AnswerCutError(f"{self.address}: the stream has no end marker.")

    def check_new_work(self, incarnation: int, deadline: Deadline) -> None:
        """Return if this incarnation accepts new work, else raise EndpointError."""
        status = self.status(deadline)
        if status.leaving or status.incarnation != incarnation:
            raise EndpointRefusedError(409, LEAVING, may_have_run=False)

    def phase_of(self, ref: RequestRef) -> str:
        """Return the phase in which the engine holds the attempt, or ""."""
        status = EngineAdapter(self.address).status(Deadline.after(PROBE_SECONDS))
        for item in status.held:
            if (item.request_id, item.attempt) == (ref.request_id, ref.attempt):
                return item.phase
        return ""

    def _check_phase(self, ref: RequestRef, phases: frozenset[str]) -> None:
        if self.phase_of(ref) not in phases:
            raise EndpointTimeoutError(f"{self.address}: the answer was lost.")

    def cancel(self, request_id: str, attempt: int, deadline: Deadline) -> None:
        """Free everything that is held for an attempt; raises unless acknowledged."""
        ref = RequestRef(request_id, attempt, "")
        self._request(ref, "/v1/cancel", {}, deadline)

    def status(self, deadline: Deadline) -> EndpointStatus:
        """Return the status that the endpoint reports."""
        status, answer = exchange_json(
            self.address, "/v1/status", None, deadline, self._interrupted
        )
        if status != HTTP_OK:
            raise EndpointRefusedError(status, "status", may_have_run=False)
        return status_from_json(answer, self.address)

    def _request(
        self,
        ref: RequestRef,
        path: str,
        message: Mapping[str, Any],
        deadline: Deadline,
        traceparent: str = "",
        probe: Probe | None = None,
    ) -> dict[str, Any]:
        status, answer = exchange_json(
            self.address,
            path,
            _with_ref(ref, message),
            deadline,
            self._interrupted,
            _trace_headers(traceparent),
            probe,
        )
        if status != HTTP_OK:
            raise _refusal(status, answer, ref, self.address)
        _check_ref(answer, ref, self.address)
        return answer


class _TransferProbe:
    """Checks the progress of an import; raises once its transfer has stalled."""

    def __init__(
        self, adapter: EngineAdapter, ref: RequestRef, transfer_limit: float
    ) -> None:
        self._adapter = adapter
        self._ref = ref
        self._transfer_limit = transfer_limit
        self._stalled_at: Deadline | None = None

    def __call__(self) -> None:
        phase = self._adapter.phase_of(self._ref)
        if phase == QUEUED:
            return
        if phase != TRANSFER:
            address = self._adapter.address
            raise EndpointTimeoutError(f"{address}: the import's answer was lost.")
        if self._stalled_at is None:
            self._stalled_at = Deadline.after(self._transfer_limit)
        if self._stalled_at.expired:
            raise EndpointTimeoutError(f"{self._adapter.address}: a transfer stalled.")


def _trace_headers(traceparent: str) -> dict[str, str]:
    return {"traceparent": traceparent} if traceparent else {}


def _with_ref(ref: RequestRef, message: Mapping[str, Any]) -> dict[str, Any]:
    return {
        "request_id": ref.request_id,
        "attempt": ref.attempt,
        "owner": ref.owner,
        **message,
    }


def _check_ref(answer: Mapping[str, Any], ref: RequestRef, address: str) -> None:
    """Reject an answer to another request, or a late one to an earlier attempt.

    A swapped or late reply is a well-formed answer with other ids and would otherwise
    reach the wrong client. Engines echo both ids in every answer.
    """
    given = (answer.get("request_id"), answer.get("attempt"))
    if given != (ref.request_id, ref.attempt):
        raise EndpointAnswerError(f"{address}: the answer is for another attempt.")


def _refusal(
    status: int, answer: Mapping[str, Any], ref: RequestRef, address: str
) -> EndpointRefusedError:
    """Return the refusal, which says "not run" only if it names the attempt.

    An engine may refuse a call before it has read the ids. That refusal could as well
    be one of another attempt, so this one may have run.
    """
    has_ids = "request_id" in answer and "attempt" in answer
    if has_ids:
        _check_ref(answer, ref, address)
    reason = str(answer.get("reason", "no reason given"))
    not_run = has_ids and answer.get("ran") == "no"
    return EndpointRefusedError(status, reason, may_have_run=not not_run)
