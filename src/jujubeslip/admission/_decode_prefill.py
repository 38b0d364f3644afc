"""Whether a decode engine may prefill a prompt beside its answers; uses no clock."""

from __future__ import annotations

from jujubeslip.admission._engine_memory import EngineMemory
from jujubeslip.admission._models import GrantRequest

# Prefill speed of a decode engine, as a share of the speed of a prefill engine, as
# engines are specified.
DECODE_ENGINE_SPEED_SHARE = 0.5
# Time that a full engine takes for one event, in seconds. A pause in decoding is longer
# than the prefill that causes it by this time.
EVENT_SECONDS = 0.08


def may_prefill_after_pause(
    engine: EngineMemory, grant_request: GrantRequest, prefill_speed: float
) -> bool:
    """Return whether the engine may prefill the prompt if prefill engines are busy.

    Two prefills in a row would be one long pause for its answers, so it must have
    decoded for a while since its last prefill.
    """
    return engine.has_decoded_since_prefill and may_prefill(
        engine, grant_request, prefill_speed
    )


def may_prefill(
    engine: EngineMemory, grant_request: GrantRequest, prefill_speed: float
) -> bool:
    """Return whether the decode engine may prefill the prompt beside its answers.

    It prefills one prompt at a time and none that takes too long. Otherwise its dozen
    answers would exceed their maximum gap, and all of them would be late.
    `prefill_speed` is that of a prefill engine, in tokens a second.
    """
    if engine.is_prefilling:
        return False
    seconds = grant_request.prompt_tokens / (prefill_speed * DECODE_ENGINE_SPEED_SHARE)
    longest = max(0.0, grant_request.maximum_gap - EVENT_SECONDS)
    return seconds <= longest or not engine.profile(grant_request).answers
