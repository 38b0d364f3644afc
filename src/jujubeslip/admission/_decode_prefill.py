"""Whether a decode engine may prefill a prompt beside its answers; uses no clock."""

from __future__ import annotations

from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._models import GrantRequest
from jujubeslip.admission._own_prefills import EVENT_SECONDS
from jujubeslip.kernel import steady_seconds


def may_prefill_after_pause(
    engine: EngineMemory, grant_request: GrantRequest, prefill_speed: float
) -> bool:
    """Return whether the engine may prefill the prompt if prefill engines are busy.

    One of them takes the prompt soon, so the answers pause less often.
    """
    return engine.has_decoded_since_prefill and may_prefill(
        engine, grant_request, prefill_speed
    )


def may_prefill(
    engine: EngineMemory, grant_request: GrantRequest, prefill_speed: float
) -> bool:
    """Return whether the decode engine may prefill the prompt beside its answers.

    It prefills one prompt at a time, and none that would make the pause of its dozen
    answers exceed their maximum gap, together with the prefills since their latest
    event. `prefill_speed` is that of a prefill engine, in tokens a second; it counts
    until the engine's own speed is measured.
    """
    if engine.is_prefilling:
        return False
    if not engine.profile(grant_request).answers:
        return True
    own_prefills = engine.own_prefills
    pause = own_prefills.pause_seconds(steady_seconds())
    pause += grant_request.prompt_tokens / own_prefills.tokens_per_second(prefill_speed)
    return pause <= max(0.0, grant_request.maximum_gap - EVENT_SECONDS)
