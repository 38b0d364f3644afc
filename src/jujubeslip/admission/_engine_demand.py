"""The demand of requests for a service's engines by role, for the role balance."""

from __future__ import annotations

from collections.abc import Iterable

from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._memory_forecast import MemoryOptions
from jujubeslip.admission._models import EngineNeed, EngineUse, GrantRequest
from jujubeslip.admission._prefill_queue import INITIAL_TOKENS_PER_SECOND
from jujubeslip.admission._prompt_demand import PromptDemand
from jujubeslip.admission._request_needs import RequestNeeds
from jujubeslip.kernel import steady_seconds


class EngineDemand:
    """The recently requested and granted work; guarded by the pool's lock."""

    def __init__(self, options: MemoryOptions) -> None:
        self._options = options
        self.prefill_speed = INITIAL_TOKENS_PER_SECOND
        """Tokens that a prefill engine prefills in a second, as measured."""
        self._requested = PromptDemand()
        self._granted = PromptDemand()
        self._needs = RequestNeeds()
        self._latest_granted: GrantRequest | None = None
        self._latest_reporting_engine: EngineMemory | None = None

    def note_report(self, engine: EngineMemory) -> None:
        """Note the decode engine that reported last."""
        self._latest_reporting_engine = engine

    def note_requested(self, grant_request: GrantRequest) -> None:
        """Note a request that asks for a grant."""
        if grant_request.reads_itself:
            return
        tokens, now = grant_request.prompt_tokens, steady_seconds()
        is_new = self._requested.note(grant_request.request_id, tokens, now)
        engine = self._latest_reporting_engine
        if is_new and engine is not None and engine.usable:
            self._needs.note(self._need_of(grant_request, engine))

    def note_granted(self, grant_request: GrantRequest, now: float) -> None:
        """Note a request that was granted at this time of the steady clock."""
        self._latest_granted = grant_request
        granted_id = f"{grant_request.request_id}/{grant_request.attempt}"
        self._granted.note(granted_id, grant_request.prompt_tokens, now)

    @property
    def busy_prefill_engines(self) -> float:
        """Return how many prefill engines the recently requested prompts keep busy.

        Computed from the requested tokens and the measured prefill speed. The measured
        duration of prefills would include the waiting time at the engine and double
        the apparent load of a burst.
        """
        return self._requested.tokens_per_second(steady_seconds()) / self.prefill_speed

    def use_of(self, engines: Iterable[EngineMemory]) -> EngineUse:
        """Return how many of these engines the recently granted requests keep busy.

        A decode engine counts as busy by the share of its memory at the expected peak.
        """
        mean_need = self._needs.mean
        if self._latest_granted is None:
            return EngineUse(0.0, 0.0, mean_need)
        tokens = self._granted.tokens_per_second(steady_seconds())
        busy_decode_engines = sum(
            self._busy_share(engine, self._latest_granted)
            for engine in engines
            if engine.usable
        )
        return EngineUse(tokens / self.prefill_speed, busy_decode_engines, mean_need)

    def _need_of(self, grant_request: GrantRequest, engine: EngineMemory) -> EngineNeed:
        """Return the expected need of a request at engines like this one."""
        events = grant_request.lengths.mean
        grown_by = events * grant_request.event_tokens
        memory_share = (grant_request.prompt_tokens + grown_by / 2) / self._limit(
            engine
        )
        return EngineNeed(
            grant_request.prompt_tokens / self.prefill_speed,
            memory_share * events / max(1.0, engine.event_rate),
        )

    def _busy_share(self, engine: EngineMemory, new_request: GrantRequest) -> float:
        peak = engine.profile(new_request).peak(self._options.safety_deviations)
        return peak / self._limit(engine)

    def _limit(self, engine: EngineMemory) -> float:
        """Return the tokens that the engine's answers may use."""
        return (1 - self._options.margin) * max(1, engine.capacity_tokens)
